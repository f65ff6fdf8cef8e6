"""OpenTelemetry spans: one per hop, the context passed on by ``traceparent``."""

import contextlib
import os
from contextlib import AbstractContextManager

from opentelemetry import trace
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.export import (
    BatchSpanProcessor,
    ConsoleSpanExporter,
    SpanExporter,
)
from opentelemetry.sdk.trace.sampling import ParentBased, TraceIdRatioBased
from opentelemetry.trace.propagation.tracecontext import (
    TraceContextTextMapPropagator,
)

PROPAGATOR = TraceContextTextMapPropagator()


def _format_span(span) -> str:
    return span.to_json(indent=None) + "\n"


def _make_exporter(exporter: str, file_descriptor: int) -> SpanExporter | None:
    if exporter == "console":
        return ConsoleSpanExporter(formatter=_format_span)
    if exporter == "file-descriptor":
        out = os.fdopen(file_descriptor, "w", closefd=False)
        return ConsoleSpanExporter(out=out, formatter=_format_span)
    return None


def start_tracing(
    *, service: str, exporter: str, file_descriptor: int, sampled_share: float
) -> trace.Tracer:
    """Make the tracer of a process.

    Args:
        service: Name of the process in the spans.
        exporter: ``none``, ``console`` or ``file-descriptor``.
        file_descriptor: Open descriptor for the last.
        sampled_share: Share of new traces that are recorded, 0 to 1.

    Returns:
        The tracer; it records nothing where no exporter is set, and then a
        caller's context is passed on as it came.
    """
    span_exporter = _make_exporter(exporter, file_descriptor)
    if span_exporter is None:
        return trace.NoOpTracer()
    provider = TracerProvider(
        sampler=ParentBased(TraceIdRatioBased(sampled_share)),
        resource=Resource({"service.name": service}),
        shutdown_on_exit=True,
    )
    provider.add_span_processor(BatchSpanProcessor(span_exporter))
    return provider.get_tracer("citronspan")


def start_span(
    tracer: trace.Tracer, name: str, headers: dict[str, str] | None = None
) -> AbstractContextManager[trace.Span]:
    """Begin a span that lasts as long as the returned context.

    Args:
        tracer: The tracer of the process.
        name: Name of the hop.
        headers: Trace headers of the caller, for the first span of a request.

    Returns:
        The context. Where nothing is recorded it is an empty one, because entering
        and leaving the library's contexts costs processor time on each hop.
    """
    if isinstance(tracer, trace.NoOpTracer):
        return contextlib.nullcontext(trace.INVALID_SPAN)
    context = PROPAGATOR.extract(headers) if headers else None
    return tracer.start_as_current_span(name, context=context)


def inject_context(tracer: trace.Tracer, headers: dict[str, str]) -> None:
    """Put the context of the present span into the headers of the next hop."""
    if not isinstance(tracer, trace.NoOpTracer):
        PROPAGATOR.inject(headers)
