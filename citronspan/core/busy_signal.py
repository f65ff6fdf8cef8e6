"""Whether an entry carries so much that callers should be sent to more entries.

The sign answers a burst at the few entries of a place. It is raised early, since
callers keep an address for seconds, and lowered late, since each change is news to
the whole fleet.
"""

import time

RAISE_SHARE = 0.25
"""Share of the worker threads in use that raises the sign."""

LOWER_SHARE = 0.1
MINIMUM_RAISED_SECONDS = 10.0


class BusySignal:
    """The sign of one entry."""

    def __init__(self, *, threads: int):
        self._threads = threads
        self._lower_at: float | None = None

    def update(self, in_flight: int) -> bool:
        """Return whether the sign is up.

        Args:
            in_flight: Requests that the entry carries now.
        """
        now = time.monotonic()
        if in_flight >= RAISE_SHARE * self._threads:
            self._lower_at = now + MINIMUM_RAISED_SECONDS
        if self._lower_at is None:
            return False
        if now >= self._lower_at and in_flight <= LOWER_SHARE * self._threads:
            self._lower_at = None
        return self._lower_at is not None
