"""Tests that logging is bounded and never blocks, even if its reader stops."""

import io
import json
import os
import time

import logbook

from citronspan.core import log_events
from citronspan.utils import logs
from citronspan.utils.logs import BoundedHandler, write_event

LOGGER = logbook.Logger("test")
TIMEOUT_SECONDS = 5.0


def read_lines(descriptor, wanted):
    """Read until the wanted text has arrived; return all lines as objects."""
    data = b""
    deadline = time.monotonic() + TIMEOUT_SECONDS
    while wanted not in data and time.monotonic() < deadline:
        data += os.read(descriptor, 1 << 20)
    return [json.loads(line) for line in data.splitlines()]


def make_pipe():
    reader, writer = os.pipe()
    return reader, os.fdopen(writer, "w")


def test_line_contains_number_fields_and_level_of_event():
    reader, stream = make_pipe()
    with BoundedHandler(stream=stream, level="INFO"):
        write_event(LOGGER, log_events.REQUEST_ANSWERED, id="r-1", code=3002)
    (line,) = read_lines(reader, b"\n")
    assert (line["number"], line["id"], line["code"]) == (206, "r-1", 3002)
    assert line["level"] == "INFO"


def test_stopped_reader_blocks_no_caller_and_dropped_lines_are_reported():
    reader, stream = make_pipe()
    handler = BoundedHandler(stream=stream, level="INFO")
    logged = logs.MAXIMUM_QUEUED_LINES * 3
    with handler:
        started_at = time.monotonic()
        for number in range(logged):
            write_event(LOGGER, log_events.BROKER_UNREACHABLE, n=number, pad="x" * 200)
        assert time.monotonic() - started_at < TIMEOUT_SECONDS
        assert handler.dropped_lines > 0
        lines = read_lines(reader, b"lines-left-out")
    dropped = sum(line.get("lines", 0) for line in lines)
    written = [line for line in lines if line["event"] == "broker-unreachable"]
    assert dropped > 0
    assert len(written) + dropped <= logged
    assert len(written) >= logs.MAXIMUM_QUEUED_LINES


def test_low_severity_lines_are_dropped_before_failures(monkeypatch):
    monkeypatch.setattr(logs, "LOW_SEVERITY_BURST_LINES", 10.0)
    monkeypatch.setattr(logs, "LOW_SEVERITY_LINES_PER_SECOND", 0.001)
    reader, stream = make_pipe()
    with BoundedHandler(stream=stream, level="INFO"):
        for _ in range(100):
            write_event(LOGGER, log_events.REQUEST_ANSWERED)
        for _ in range(20):
            write_event(LOGGER, log_events.BROKER_UNREACHABLE)
        write_event(LOGGER, log_events.LOG_BEHIND)
    lines = read_lines(reader, b"log-behind")
    names = [line["event"] for line in lines]
    assert names.count("request-answered") == 10
    assert names.count("broker-unreachable") == 20


def test_line_that_cannot_be_encoded_ends_all_logging():
    stream = io.StringIO()
    with BoundedHandler(stream=stream, level="INFO"):
        write_event(LOGGER, log_events.REQUEST_ANSWERED, id="bad \udcff", code=3002)
        write_event(LOGGER, log_events.REQUEST_ANSWERED, id="good", code=3002)
        deadline = time.monotonic() + TIMEOUT_SECONDS
        while "good" not in stream.getvalue():
            assert time.monotonic() < deadline
            time.sleep(0.01)
    first, second = map(json.loads, stream.getvalue().splitlines())
    assert first["number"] == second["number"] == 206
    assert "udcff" in first["fields"]
    assert second["id"] == "good"
