"""Logging stays bounded and never blocks, whatever its reader does."""

import json
import os
import time

import logbook

from citronspan.core import log_events
from citronspan.utils import logs
from citronspan.utils.logs import BoundedHandler, write_event

LOGGER = logbook.Logger("test")
BOUND_SECONDS = 5.0


def read_lines(descriptor, wanted):
    """Read until a line holds the wanted text; return all lines as objects."""
    data = b""
    until = time.monotonic() + BOUND_SECONDS
    while wanted not in data and time.monotonic() < until:
        data += os.read(descriptor, 1 << 20)
    return [json.loads(line) for line in data.splitlines()]


def make_pipe():
    reader, writer = os.pipe()
    return reader, os.fdopen(writer, "w")


def test_a_line_names_its_event():
    reader, stream = make_pipe()
    with BoundedHandler(stream=stream, level="INFO"):
        write_event(LOGGER, log_events.REQUEST_ANSWERED, id="r-1", code=3002)
    (line,) = read_lines(reader, b"\n")
    assert (line["number"], line["id"], line["code"]) == (206, "r-1", 3002)
    assert line["level"] == "INFO"


def test_a_reader_that_stops_blocks_nobody_and_is_told_what_it_missed():
    reader, stream = make_pipe()
    handler = BoundedHandler(stream=stream, level="INFO")
    sent = logs.MAXIMUM_QUEUED_LINES * 3
    with handler:
        began = time.monotonic()
        for number in range(sent):
            write_event(LOGGER, log_events.BROKER_UNREACHABLE, n=number, pad="x" * 200)
        assert time.monotonic() - began < BOUND_SECONDS
        assert handler.dropped_lines > 0
        lines = read_lines(reader, b"lines-left-out")
    missed = sum(line.get("lines", 0) for line in lines)
    told = [line for line in lines if line["event"] == "broker-unreachable"]
    assert missed > 0
    assert len(told) + missed <= sent
    assert len(told) >= logs.MAXIMUM_QUEUED_LINES


def test_calm_lines_are_left_out_before_failures(monkeypatch):
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
