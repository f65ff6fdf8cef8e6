"""Tests that spans are exported where it is asked for, and only there."""

import json
import os

from opentelemetry import trace

from citronspan.utils.traces import inject_context, start_span, start_tracing


def test_span_is_lost_on_its_way_to_the_descriptor():
    read_end, write_end = os.pipe()
    tracer = start_tracing(
        service="citronspan-entry",
        exporter="file-descriptor",
        file_descriptor=write_end,
        sampled_share=1.0,
    )
    headers = {}
    with start_span(tracer, "dispatch"):
        inject_context(tracer, headers)
    trace_id = headers["traceparent"].split("-")[1]
    tracer.span_processor.force_flush()
    os.close(write_end)
    with os.fdopen(read_end) as lines:
        span = json.loads(lines.readline())
    assert span["name"] == "dispatch"
    assert span["context"]["trace_id"] == f"0x{trace_id}"


def test_process_without_an_exporter_changes_the_callers_trace_headers():
    tracer = start_tracing(
        service="s", exporter="none", file_descriptor=2, sampled_share=1.0
    )
    headers = {"traceparent": "as-sent"}
    with start_span(tracer, "entry", headers) as span:
        inject_context(tracer, headers)
    assert span is trace.INVALID_SPAN
    assert headers == {"traceparent": "as-sent"}
