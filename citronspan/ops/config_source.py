"""Where an agent's configuration comes from."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from citronspan.core.config_messages import (
    ConfigOffset,
    ConfigPull,
    ConfigRecords,
    ConfigStateChunk,
)
from citronspan.core.node_messages import NodeInfo


@dataclass(frozen=True, kw_only=True, slots=True)
class LogReadStatus:
    """What the last read of the log showed.

    Attributes:
        is_unavailable: Whether the log did not answer.
        next_offset: Offset of its next append when it last answered, or None.
    """

    is_unavailable: bool = False
    next_offset: int | None = None


class ConfigSource(Protocol):
    """The configuration of one agent and the threads that keep it current.

    Attributes:
        active_config: The ``ActiveConfig`` in force.
        messages: Types of the peers' messages that it takes.
        leaving_targets: Addresses of targets that are shown as leaving.
    """

    messages: tuple[type, ...]

    @property
    def read_status(self) -> LogReadStatus:
        """What was last seen of the log."""

    @property
    def leaving_targets(self) -> tuple[str, ...]:
        """Addresses of targets that are shown as leaving."""

    def list_tasks(self) -> list[tuple[str, Callable[[], None]]]:
        """Return name and body of the threads that the source needs."""

    def check_start_gate(self, nodes: tuple[NodeInfo, ...]) -> None:
        """Let the agent serve once what is held is known to be current."""

    def stop(self) -> None:
        """Let the threads end."""


CONFIG_MESSAGES = (ConfigOffset, ConfigPull, ConfigRecords, ConfigStateChunk)
"""Messages that spread the project's own log."""
