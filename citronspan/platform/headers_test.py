import pytest

from citronspan.ops.dialect import RATE_LIMIT_HEADER, DefaultDialect
from citronspan.platform.headers import PlatformDialect

DIALECTS = {
    "Server-Limit": PlatformDialect(),
    RATE_LIMIT_HEADER: DefaultDialect(),
}


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
