"""The lines of one request and the beliefs of its time are put together."""

import json

from citronspan.core.explain import explain, format_line, read_line


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


def test_lines_of_a_request_and_beliefs_on_its_targets_and_hosts():
    lines = [line for line in map(read_line, TEXTS) if line is not None]
    assert len(lines) == 9
    found = explain("r-1", lines)
    events = [line.event for line in found.lines]
    assert events == ["slot-refused", "slot-granted", "request-refused"]
    told = [(line.event, line.source) for line in found.context_lines]
    assert told == [
        ("log-service-away", "host-1"),
        ("target-doubt-changed", "host-2"),
    ]


def test_a_request_that_no_line_names_is_not_explained():
    lines = [read_line(TEXTS[0])]
    assert explain("r-7", lines).lines == ()


def test_a_line_for_people_has_time_host_number_and_fields():
    text = format_line(read_line(TEXTS[0]))
    assert text == "00:00:31.000 host-1 1 request-refused id=r-1 code=3002"
