"""Signal that an entry is about to refuse requests, so that callers are told others.

Load pattern: an entry at its limit that stays among the told addresses. A part of its
callers would be refused for as long as they keep the answer. The signal is raised
before the limit, and stays for the time for which callers keep an answer, so that they
don't come back at once.
"""

import time

RAISE_THREAD_SHARE = 0.75
"""Share of the worker threads in use at which the signal is raised."""

LOWER_THREAD_SHARE = 0.25
MINIMUM_RAISED_SECONDS = 15.0


class FullSignal:
    """Signal of one entry, with hysteresis."""

    def __init__(self, *, threads: int):
        """Create a signal that is not raised.

        Args:
            threads: Number of requests that the entry runs at most.
        """
        self._threads = threads
        self._lower_at: float | None = None

    def update(self, in_flight: int, *, is_link_full: bool = False) -> bool:
        """Update the signal and return whether it is raised.

        Args:
            in_flight: Number of requests that the entry is running.
            is_link_full: Whether the link of its host has no room.
        """
        now = time.monotonic()
        share = in_flight / self._threads
        if share >= RAISE_THREAD_SHARE or is_link_full:
            self._lower_at = now + MINIMUM_RAISED_SECONDS
        if self._lower_at is None:
            return False
        if now >= self._lower_at and share <= LOWER_THREAD_SHARE:
            self._lower_at = None
        return self._lower_at is not None
