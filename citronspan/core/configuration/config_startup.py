"""Decides when a starting agent has recovered enough configuration to serve.

A node must not serve a lower offset after a restart than before it. It stores no
state, so it recovers from the log, which is complete, and queries several peers in
case the log is unavailable. It serves once it has applied the highest offset received.
"""

import time
from dataclasses import dataclass

STARTUP_QUERY_PEERS = 3
# Maximum wait for unresponsive peers after the log was read.
PEER_WAIT_SECONDS = 1.0
# Maximum wait for unresponsive peers while the log is unavailable, which is longer.
PEER_WAIT_WITHOUT_LOG_SECONDS = 3.0


@dataclass(frozen=True, kw_only=True, slots=True)
class StartupStatus:
    """Progress of the recovery of an agent that starts.

    Attributes:
        offset: Next offset that this node has not applied.
        log_offset: Offset of the log's next append when it last answered, None before.
        log_unavailable: Whether reads of the log found it unavailable.
        peers: Number of known peers.
        peer_offsets: Offsets that peers have reported, one per peer that answered.
    """

    offset: int
    log_offset: int | None
    log_unavailable: bool
    peers: int
    peer_offsets: tuple[int, ...]


class StartupGate:
    """Blocks serving until the configuration is recovered; once open, it stays open."""

    def __init__(self):
        self._started_at = time.monotonic()
        self._open = False

    @property
    def is_open(self) -> bool:
        """Whether the node may serve its configuration."""
        return self._open

    def open(self) -> None:
        """Open the gate regardless of the recovery's progress."""
        self._open = True

    def update(self, status: StartupStatus) -> bool:
        """Open the gate if the recovery has progressed far enough.

        Args:
            status: Current progress of the recovery.

        Returns:
            Whether the gate is open.
        """
        if not self._open:
            self._open = self._can_open(status)
        return self._open

    def _can_open(self, status):
        if status.offset < max(status.peer_offsets, default=0):
            return False
        waited_seconds = time.monotonic() - self._started_at
        required_peers = min(STARTUP_QUERY_PEERS, status.peers)
        has_enough_peers = len(status.peer_offsets) >= required_peers
        if status.log_offset is not None:
            is_caught_up = status.offset >= status.log_offset
            return is_caught_up and (
                has_enough_peers or waited_seconds >= PEER_WAIT_SECONDS
            )
        if not status.log_unavailable or not status.peer_offsets or status.offset == 0:
            return False
        return (has_enough_peers and required_peers >= STARTUP_QUERY_PEERS) or (
            waited_seconds >= PEER_WAIT_WITHOUT_LOG_SECONDS
        )
