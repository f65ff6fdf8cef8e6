"""The metrics that an agent exports at ``/metrics``."""

from collections.abc import Callable

from prometheus_client import CollectorRegistry, Gauge


def register_agent(agent, registry: CollectorRegistry) -> CollectorRegistry:
    """Register the metrics of an agent; each scrape reads the current values.

    Args:
        agent: The agent.
        registry: The registry to which they are added.

    Returns:
        The registry.
    """
    active_config, link = agent.active_config, agent.link
    reader_by_name: dict[str, Callable[[], float]] = {
        "configuration_offset": lambda: active_config.state.offset,
        "configuration_resources": lambda: len(active_config.state.resource_by_key),
        "configuration_ready": lambda: int(active_config.ready),
        "configuration_reader": lambda: int(active_config.plan.is_reader),
        "configuration_unreadable": lambda: int(
            bool(agent.source.configuration_problem)
        ),
        "void_records": lambda: agent.source.void_records,
        "log_away": lambda: int(agent.source.read_status.is_unavailable),
        "live_nodes": lambda: len(agent.view.live_nodes()),
        "peer_sent_bytes": lambda: link.sent_bytes,
        "peer_sent_messages": lambda: link.sent_messages,
        "peer_received_bytes": lambda: link.received_bytes,
        "peer_received_messages": lambda: link.received_messages,
    }
    for name, read in reader_by_name.items():
        gauge = Gauge(
            f"citronspan_agent_{name}",
            name.replace("_", " ").capitalize() + ".",
            registry=registry,
        )
        gauge.set_function(read)
    return registry
