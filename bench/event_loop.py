"""Events of a simulation, in order of their times, on a clock of their own."""

import heapq
import itertools
import time
from collections.abc import Callable


class EventLoop:
    """Calls functions at simulated times.

    Attributes:
        now: The simulated time in seconds.
    """

    def __init__(self):
        self.now = 0.0
        self._events = []
        self._order = itertools.count()

    def at(self, seconds: float, call: Callable, *args) -> None:
        """Call a function after a time."""
        event = (self.now + seconds, next(self._order), call, args)
        heapq.heappush(self._events, event)

    def run_events(self, begin: Callable[[], None]) -> None:
        """Run until no event is left; ``time.monotonic`` is the simulated time.

        Args:
            begin: Makes the first events.
        """
        real_clock = time.monotonic
        time.monotonic = lambda: self.now
        try:
            begin()
            while self._events:
                self.now, _, call, args = heapq.heappop(self._events)
                call(*args)
        finally:
            time.monotonic = real_clock
