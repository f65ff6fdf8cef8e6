"""Tests that ``explain`` selects the lines of a request and their context."""

import json

from citronspan.core.requests.explain import explain, format_line, read_line


def make_line(second, host, event, **fields):
    at = f"2026-01-01T00:00:{second:06.3f}+00:00"
    return f"{host} " + json.dumps({"at": at, "event": event, "number": 1, **fields})


TEXTS = [
    make_line(31, "host-1", "request-refused", id="r-1", code=3002),
    make_line(30, "host-2", "slot-refused", id="r-1", shard="s/r/0", code=3002),
    make_line(29, "host-2", "target-doubt-changed", target="t-1"),
    make_line(28, "host-2", "target-doubt-changed", target="t-9"),
    make_line(27, "host-1", "log-service-away", reason="x"),
    make_line(27, "host-3", "log-service-away", reason="x"),
    make_line(10, "host-1", "log-service-back"),
    make_line(30, "host-2", "slot-granted", id="r-1", target="t-1"),
    make_line(30, "host-2", "slot-granted", id="r-2", target="t-1"),
    "not a line",
    "host-1 {broken",
    'host-1 {"event": "without a time"}',
]


def test_explain_returns_request_lines_and_context_of_its_targets_and_hosts():
    lines = [line for line in map(read_line, TEXTS) if line is not None]
    assert len(lines) == 9
    explanation = explain("r-1", lines)
    events = [line.event for line in explanation.lines]
    assert events == ["slot-refused", "slot-granted", "request-refused"]
    context = [(line.event, line.source) for line in explanation.context_lines]
    assert context == [
        ("log-service-away", "host-1"),
        ("target-doubt-changed", "host-2"),
    ]


def test_explain_returns_no_lines_for_unknown_request():
    lines = [read_line(TEXTS[0])]
    assert explain("r-7", lines).lines == ()


def test_format_line_shows_time_host_number_event_and_fields():
    text = format_line(read_line(TEXTS[0]))
    assert text == "00:00:31.000 host-1 1 request-refused id=r-1 code=3002"


def test_refusal_beside_targets_that_leave_or_pause_is_not_explained():
    texts = [
        make_line(25, "host-1", "target-leaves", target="t-1", service="s"),
        make_line(26, "host-1", "target-paused", id="r-0", target="t-2", seconds=4),
        make_line(27, "host-2", "target-paused", id="r-0", target="t-2", seconds=4),
        TEXTS[0],
    ]
    explanation = explain("r-1", [read_line(text) for text in texts])
    context = [(line.event, line.source) for line in explanation.context_lines]
    assert context == [("target-leaves", "host-1"), ("target-paused", "host-1")]
