"""The interface of an agent's configuration source."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from citronspan.core.configuration.config_messages import (
    ConfigOffset,
    ConfigPull,
    ConfigRecords,
    ConfigStatePart,
)
from citronspan.core.node_messages import NodeInfo


@dataclass(frozen=True, kw_only=True, slots=True)
class LogReadStatus:
    """Result of the last read of the log.

    Attributes:
        is_unavailable: Whether the last read failed.
        next_offset: Offset of the next append as of the last answer, None if unknown.
    """

    is_unavailable: bool = False
    next_offset: int | None = None


class ConfigSource(Protocol):
    """Provides the configuration of one agent and the tasks that update it.

    Attributes:
        active_config: The agent's ``ActiveConfig``.
        message_types: Types of the peer messages that it handles.
        leaving_targets: Addresses of targets that the platform lists as leaving.
        configuration_problem: Why the newest configuration is invalid, or empty.
    """

    message_types: tuple[type, ...]
    configuration_problem: str

    @property
    def read_status(self) -> LogReadStatus:
        """Result of the last read of the log."""

    @property
    def leaving_targets(self) -> tuple[str, ...]:
        """Addresses of targets that the platform lists as leaving."""

    def list_tasks(self) -> list[tuple[str, Callable[[], None]]]:
        """Return the name and the function of each thread that the source needs."""

    def check_startup_gate(self, nodes: tuple[NodeInfo, ...]) -> None:
        """Open the startup gate if the configuration is known to be current.

        Args:
            nodes: The live nodes.
        """

    def stop(self) -> None:
        """Ask the threads to end."""


CONFIG_MESSAGE_TYPES = (ConfigOffset, ConfigPull, ConfigRecords, ConfigStatePart)
"""Types of the messages by which agents replicate the project's own log."""
