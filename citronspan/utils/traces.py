"""OpenTelemetry tracing: one span per hop, context propagation by ``traceparent``."""

import contextlib
from contextlib import AbstractContextManager

from opentelemetry import trace
from opentelemetry.trace.propagation.tracecontext import (
    TraceContextTextMapPropagator,
)

PROPAGATOR = TraceContextTextMapPropagator()
NO_EXPORTER = "none"


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
    if exporter == NO_EXPORTER:
        return trace.NoOpTracer()
    # Imported here, since most processes export no spans and need not hold the library.
    from citronspan.utils.span_exports import make_provider

    provider = make_provider(
        service=service,
        file_descriptor=file_descriptor if exporter == "file-descriptor" else None,
        sampled_share=sampled_share,
    )
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
