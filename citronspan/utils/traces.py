"""OpenTelemetry tracing: one span per hop, context propagation by ``traceparent``."""

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
    """Create the tracer of a process.

    Args:
        service: Service name of the process in its spans.
        exporter: ``none``, ``console`` or ``file-descriptor``.
        file_descriptor: Open descriptor for ``file-descriptor``.
        sampled_share: Share of new traces that are recorded, 0 to 1.

    Returns:
        The tracer. Without an exporter it records nothing, and the trace context of
        the caller is passed on unchanged.
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
    """Start a span that ends with the returned context manager.

    Args:
        tracer: The tracer of the process.
        name: Name of the hop.
        headers: Trace headers of the caller, for the first span of a request.

    Returns:
        The context manager. It is a null context if the tracer records nothing,
        because entering and leaving the library's contexts costs processor time on
        each hop.
    """
    if isinstance(tracer, trace.NoOpTracer):
        return contextlib.nullcontext(trace.INVALID_SPAN)
    context = PROPAGATOR.extract(headers) if headers else None
    return tracer.start_as_current_span(name, context=context)


def inject_context(tracer: trace.Tracer, headers: dict[str, str]) -> None:
    """Inject the context of the current span into the headers of the next hop."""
    if not isinstance(tracer, trace.NoOpTracer):
        PROPAGATOR.inject(headers)
