"""Tests that the checker of promises notices each broken one, and only those."""

from dataclasses import replace

import pytest

from citronspan_standins.promises import (
    ANSWERED,
    BROKEN_OFF,
    DIED,
    Arrival,
    History,
    SentRequest,
    Span,
    digest_request,
    find_violations,
    make_answer_body,
)

STOP = Span(name="host-1", start=10.0, end=16.0)
REQUEST = SentRequest(
    request_id="id-1",
    host="host-1",
    uri="/order/1?work=0&size=5",
    sent_body=b"xy",
    answer_bytes=5,
    is_idempotent=False,
    began_at=11.0,
    last_byte_at=11.1,
    deadline_at=14.0,
    ended_at=11.5,
    status=200,
    signature="i-1.id-1",
    body=make_answer_body("id-1", 5),
    is_whole=True,
)
CUT = replace(REQUEST, status=0, signature="", body=b"", is_whole=False)
REFUSED = replace(CUT, status=503, is_whole=True)
ARRIVAL = Arrival(
    request_id="id-1",
    target="i-1",
    digest=digest_request("POST", REQUEST.uri, b"xy"),
    at=11.2,
    ended_at=11.4,
    outcome=ANSWERED,
)
OTHER = replace(ARRIVAL, target="i-2")


def judge(request, *arrivals, **changes):
    history = History(
        grace_seconds=6.0, requests=[request], arrivals=list(arrivals), stops=[STOP]
    )
    for name, value in changes.items():
        setattr(history, name, value)
    return [violation.promise for violation in find_violations(history)]


@pytest.mark.parametrize(
    ("request_seen", "arrivals"),
    [
        (REQUEST, [ARRIVAL]),
        (REFUSED, []),
        (CUT, [replace(ARRIVAL, outcome=DIED)]),
        (replace(CUT, ended_at=11.2), []),
        (replace(CUT, last_byte_at=None), []),
        (replace(CUT, follows_close=True), []),
        (replace(CUT, ended_at=14.0), [ARRIVAL]),
        (
            replace(CUT, deadline_at=20.0, ended_at=16.0),
            [replace(ARRIVAL, ended_at=16.0)],
        ),
    ],
)
def test_kept_promise_counts_as_broken(request_seen, arrivals):
    assert judge(request_seen, *arrivals) == []


@pytest.mark.parametrize(
    ("promise", "request_seen", "arrivals"),
    [
        ("LOST", CUT, [ARRIVAL]),
        ("LOST", CUT, []),
        ("LOST", replace(CUT, follows_close=True), [ARRIVAL]),
        ("LOST", replace(CUT, status=200), [ARRIVAL]),
        ("LOST", replace(REFUSED, status=502), [replace(ARRIVAL, outcome=BROKEN_OFF)]),
        ("REFUSED", REFUSED, [ARRIVAL]),
        ("TWICE", REQUEST, [ARRIVAL, OTHER]),
        ("MIXED", replace(REQUEST, signature=""), [ARRIVAL]),
        ("MIXED", replace(REQUEST, signature="i-2.id-1"), [ARRIVAL]),
        ("MIXED", replace(REQUEST, body=b"id-1"), [ARRIVAL]),
        ("UNASKED", REQUEST, [replace(ARRIVAL, digest="changed")]),
        ("HELD", replace(REQUEST, ended_at=14.6), [ARRIVAL]),
    ],
)
def test_broken_promise_is_not_noticed(promise, request_seen, arrivals):
    assert judge(request_seen, *arrivals) == [promise]


def test_cut_outside_of_planned_work_is_not_noticed():
    assert judge(CUT, ARRIVAL, stops=[]) == ["LOST"]
    assert judge(CUT, stops=[]) == []


def test_cut_late_in_the_grace_is_excused_for_a_request_that_came_late():
    arrival = replace(ARRIVAL, ended_at=16.0, outcome=BROKEN_OFF)
    late = replace(CUT, began_at=13.5, last_byte_at=13.6, deadline_at=20.0, ended_at=16)
    assert judge(late, arrival) == ["LOST"]
    assert judge(replace(late, began_at=12.9), arrival) == []


def test_request_at_a_leaving_target_is_not_noticed():
    late = {"leaving_at_by_target": {"i-1": 8.6}, "stops": []}
    assert judge(REQUEST, ARRIVAL, **late) == ["DRAIN"]
    assert (
        judge(REQUEST, ARRIVAL, **{**late, "leaving_at_by_target": {"i-1": 8.8}}) == []
    )


def test_frozen_host_is_held_to_its_promises_in_time():
    frozen = {"disruptions": [Span(name="host-1", start=7.0, end=7.5)]}
    assert judge(CUT, ARRIVAL, **frozen) == []
    frozen = {"disruptions": [Span(name="host-1", start=6.0, end=6.5)]}
    assert judge(CUT, ARRIVAL, **frozen) == ["LOST"]


FIRST = replace(REQUEST, key="k1-p.s1")
REPEAT = replace(
    FIRST, request_id="id-2", began_at=12.0, last_byte_at=12.1, ended_at=13
)
REPEATED_ARRIVAL = replace(ARRIVAL, request_id="id-2", at=12.2, ended_at=12.4)


def judge_key(repeat, *arrivals):
    return judge(FIRST, *arrivals, requests=[FIRST, repeat])


@pytest.mark.parametrize(
    "repeat",
    [
        REPEAT,
        replace(REPEAT, status=503, signature="", body=b""),
        replace(REPEAT, status=409, signature="", body=b"", result=4006),
        replace(REPEAT, status=409, signature="", body=b"", result=4005),
    ],
)
def test_kept_promise_on_a_key_counts_as_broken(repeat):
    assert judge_key(repeat, ARRIVAL) == []


@pytest.mark.parametrize(
    ("promises", "repeat", "arrivals"),
    [
        (["KEYED", "KEYED"], REPEAT, [ARRIVAL, REPEATED_ARRIVAL]),
        (["MIXED"], replace(REPEAT, signature="i-2.id-2"), [ARRIVAL]),
        (["MIXED"], replace(REPEAT, body=b"id-2 "), [ARRIVAL]),
        (["KEYED"], replace(REPEAT, status=409, result=4003), [ARRIVAL]),
        (["KEYED"], replace(REPEAT, status=409, result=4004), [ARRIVAL]),
        (["KEYED"], replace(REPEAT, status=503, result=4007), [ARRIVAL]),
        (["KEYED"], replace(REPEAT, status=409, result=4010), [ARRIVAL]),
        (["KEYED"], replace(REPEAT, status=422, result=4008), [ARRIVAL]),
        (["MIXED", "KEYED"], replace(REPEAT, status=409, result=4006), []),
    ],
)
def test_broken_promise_on_a_key_is_not_noticed(promises, repeat, arrivals):
    assert judge_key(repeat, *arrivals) == promises
