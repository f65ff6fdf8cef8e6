"""Export of finished spans by the OpenTelemetry library."""

import os

from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.export import BatchSpanProcessor, ConsoleSpanExporter
from opentelemetry.sdk.trace.sampling import ParentBased, TraceIdRatioBased


def make_provider(
    *, service: str, file_descriptor: int | None, sampled_share: float
) -> TracerProvider:
    """Create a provider of tracers whose spans are written as lines of JSON.

    Args:
        service: Service name of the process in its spans.
        file_descriptor: Open descriptor to write to, None for the standard output.
        sampled_share: Share of new traces that are recorded, 0 to 1.
    """
    provider = TracerProvider(
        sampler=ParentBased(TraceIdRatioBased(sampled_share)),
        resource=Resource({"service.name": service}),
        shutdown_on_exit=True,
    )
    provider.add_span_processor(BatchSpanProcessor(_make_exporter(file_descriptor)))
    return provider


def _make_exporter(file_descriptor):
    if file_descriptor is None:
        return ConsoleSpanExporter(formatter=_format_span)
    out = os.fdopen(file_descriptor, "w", closefd=False)
    return ConsoleSpanExporter(out=out, formatter=_format_span)


def _format_span(span) -> str:
    return span.to_json(indent=None) + "\n"
