import pytest

from citronspan.ops.targets.dialect import (
    LEAVING_HEADER,
    LOAD_HEADER,
    MAXIMUM_PAUSE_SECONDS,
    PAUSE_HEADER,
    RATE_LIMIT_HEADER,
    DefaultDialect,
)
from citronspan.platform.headers import PlatformDialect

DIALECTS = {
    "Server-Limit": PlatformDialect(),
    RATE_LIMIT_HEADER: DefaultDialect(),
}


LOAD_TEXT_BY_DIALECT = {
    PlatformDialect(): "X-Citronspan-Backend-Load",
    DefaultDialect(): LOAD_HEADER,
}


@pytest.mark.parametrize("digits", [10, 20, 5000])
@pytest.mark.parametrize(("dialect", "header"), LOAD_TEXT_BY_DIALECT.items())
def test_load_of_too_many_digits_is_unknown_and_raises_nothing(dialect, header, digits):
    text = "9" * digits + (",0,6" if dialect.id_header else "/6")
    assert dialect.read_load({header: text}.get) == -1


@pytest.mark.parametrize("header", DIALECTS)
@pytest.mark.parametrize(
    ("text", "rate"),
    [
        ("2.3", 2.3),
        ("0", 0.0),
        (None, None),
        ("", None),
        ("many", None),
        ("-1", None),
        ("nan", None),
        ("inf", None),
    ],
)
def test_rate_limit_is_not_taken_from_a_malformed_header(header, text, rate):
    found = DIALECTS[header].read_rate_limit({header: text}.get)
    assert found == rate


LEAVING_HEADER_BY_DIALECT = {
    PlatformDialect(): "Server-Leaving",
    DefaultDialect(): LEAVING_HEADER,
}


@pytest.mark.parametrize(("dialect", "header"), LEAVING_HEADER_BY_DIALECT.items())
@pytest.mark.parametrize(
    ("text", "is_leaving"),
    [("1", True), (" 1 ", True), ("0", False), ("", False), (None, False)],
)
@pytest.mark.parametrize("status", [200, 404, 500, 503])
def test_leaving_target_is_taken_for_one_that_stays_or_the_reverse(
    dialect, header, text, is_leaving, status
):
    notice = dialect.read_notice(status, {header: text}.get)
    assert notice.is_leaving == is_leaving


def test_another_target_at_the_address_says_that_this_one_leaves():
    assert (
        not PlatformDialect().read_notice(421, {"Server-Leaving": "1"}.get).is_leaving
    )


PAUSE_HEADER_BY_DIALECT = {
    PlatformDialect(): "Retry-After",
    DefaultDialect(): PAUSE_HEADER,
}


@pytest.mark.parametrize(("dialect", "header"), PAUSE_HEADER_BY_DIALECT.items())
@pytest.mark.parametrize(
    ("text", "seconds", "problem"),
    [
        (None, 0.0, ""),
        ("4", 4.0, ""),
        (" 0.25 ", 0.25, ""),
        ("0", 0.0, ""),
        ("3600", MAXIMUM_PAUSE_SECONDS, ""),
        ("3600.5", MAXIMUM_PAUSE_SECONDS, "too long"),
        ("inf", MAXIMUM_PAUSE_SECONDS, "too long"),
        ("-1", 0.0, "negative"),
        ("-inf", 0.0, "negative"),
        ("nan", 0.0, "no number"),
        ("", 0.0, "no number"),
        ("Sat, 05 Dec 2026 08:00:00 GMT", 0.0, "no number"),
        ("9" * 5000, MAXIMUM_PAUSE_SECONDS, "too long"),
    ],
)
def test_pause_is_misread(dialect, header, text, seconds, problem):
    notice = dialect.read_notice(503, {header: text}.get)
    assert notice.pause_seconds == seconds
    assert notice.problem.partition(":")[0] == problem
    assert len(notice.problem) < 100


@pytest.mark.parametrize(("dialect", "header"), PAUSE_HEADER_BY_DIALECT.items())
@pytest.mark.parametrize("status", [200, 421, 429, 500])
def test_pause_is_taken_from_an_answer_that_is_no_refusal(dialect, header, status):
    assert dialect.read_notice(status, {header: "4"}.get).pause_seconds == 0.0


@pytest.mark.parametrize(
    ("seconds", "text"), [(0.3, "0.30"), (2.125, "2.12"), (0.0, "0.05"), (-1.0, "0.05")]
)
def test_caller_is_told_to_come_back_a_whole_second_later(seconds, text):
    assert PlatformDialect().format_retry_after(seconds) == text
