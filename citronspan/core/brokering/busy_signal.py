"""Signal that an entry is loaded and the directory should hand out more entries.

The signal spreads a burst that reaches the few entries of one data centre or region.
It is raised early, because callers keep an address for seconds, and lowered late,
because each change is gossiped to the whole fleet.
"""

import time

RAISE_THREAD_SHARE = 0.25
"""Share of the worker threads in use at which the signal is raised."""

LOWER_THREAD_SHARE = 0.1
MINIMUM_RAISED_SECONDS = 10.0


class BusySignal:
    """Busy signal of one entry, with hysteresis."""

    def __init__(self, *, threads: int):
        self._threads = threads
        self._lower_at: float | None = None

    def update(self, in_flight: int) -> bool:
        """Update the signal and return whether it is raised.

        Args:
            in_flight: Number of requests that the entry is running.
        """
        now = time.monotonic()
        if in_flight >= RAISE_THREAD_SHARE * self._threads:
            self._lower_at = now + MINIMUM_RAISED_SECONDS
        if self._lower_at is None:
            return False
        if now >= self._lower_at and in_flight <= LOWER_THREAD_SHARE * self._threads:
            self._lower_at = None
        return self._lower_at is not None
