"""Decides when an agent that starts knows enough to serve.

A node that served an offset before its restart must not serve a lower one after
it. It keeps nothing, so it asks: the log, which has everything, and several peers,
in case the log is away. It serves once it has the highest of what it heard.
"""

import time
from dataclasses import dataclass

PEERS_ASKED = 3
# Peers that are silent this long are not waited for where the log was read.
PEER_WAIT_SECONDS = 1.0
# Without the log, silent peers are waited for longer.
PEER_WAIT_WITHOUT_LOG_SECONDS = 3.0


@dataclass(frozen=True, kw_only=True, slots=True)
class StartupStatus:
    """What is known while starting.

    Attributes:
        offset: Next offset that was not applied here.
        log_offset: Next offset of the log when it last answered, None before.
        log_unavailable: Whether the log was found away.
        peers: Number of peers that are known.
        peer_offsets: Offsets that peers have answered.
    """

    offset: int
    log_offset: int | None
    log_unavailable: bool
    peers: int
    peer_offsets: tuple[int, ...]


class StartupGate:
    """Opens once, and stays open."""

    def __init__(self):
        self._began_at = time.monotonic()
        self._open = False

    @property
    def is_open(self) -> bool:
        """Whether the node may serve what it has."""
        return self._open

    def open(self) -> None:
        """Open the gate for a reason of the caller's."""
        self._open = True

    def update(self, facts: StartupStatus) -> bool:
        """Look at the facts.

        Args:
            facts: What is known now.

        Returns:
            Whether the gate is open.
        """
        if not self._open:
            self._open = self._may_open(facts)
        return self._open

    def _may_open(self, facts):
        if facts.offset < max(facts.peer_offsets, default=0):
            return False
        waited = time.monotonic() - self._began_at
        wanted = min(PEERS_ASKED, facts.peers)
        heard_enough = len(facts.peer_offsets) >= wanted
        if facts.log_offset is not None:
            read_to_end = facts.offset >= facts.log_offset
            return read_to_end and (heard_enough or waited >= PEER_WAIT_SECONDS)
        if not facts.log_unavailable or not facts.peer_offsets or facts.offset == 0:
            return False
        return (heard_enough and wanted >= PEERS_ASKED) or (
            waited >= PEER_WAIT_WITHOUT_LOG_SECONDS
        )
