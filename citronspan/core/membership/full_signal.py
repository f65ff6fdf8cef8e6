"""Signal that an entry is about to refuse requests, so that callers are told others.

Load pattern: an entry at its limit that stays among the told addresses. A part of its
callers would be refused for as long as they keep the answer. The signal is raised
before the limit, and stays for the time for which callers keep an answer, so that they
don't come back at once.
"""

import time
from typing import Protocol

RAISE_THREAD_SHARE = 0.75
"""Share of the worker threads in use at which the signal is raised."""

LOWER_THREAD_SHARE = 0.25
MINIMUM_RAISED_SECONDS = 15.0


class Room(Protocol):
    """Room that the requests of an entry share, as on the link of its host."""

    @property
    def is_full(self) -> bool:
        """Whether there is room for no further request."""


class FullSignal:
    """Signal of one entry, with hysteresis."""

    def __init__(self, *, threads: int, room: Room):
        """Create a signal that is not raised.

        Args:
            threads: Number of requests that the entry runs at most.
            room: Room on the link of its host.
        """
        self._threads = threads
        self._room = room
        self._lower_at: float | None = None

    def update(self, in_flight: int) -> bool:
        """Update the signal and return whether it is raised.

        Args:
            in_flight: Number of requests that the entry is running.
        """
        now = time.monotonic()
        share = in_flight / self._threads
        if share >= RAISE_THREAD_SHARE or self._room.is_full:
            self._lower_at = now + MINIMUM_RAISED_SECONDS
        if self._lower_at is None:
            return False
        if now >= self._lower_at and share <= LOWER_THREAD_SHARE:
            self._lower_at = None
        return self._lower_at is not None
