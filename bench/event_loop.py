"""Event loop of a discrete-event simulation, with its own clock."""

import heapq
import itertools
import time
from collections.abc import Callable


class EventLoop:
    """Calls functions in the order of their simulated times.

    Calls at the same time run in the order in which they were scheduled.

    Attributes:
        now: The simulated time in seconds.
    """

    def __init__(self):
        self.now = 0.0
        self._events = []
        self._sequence_numbers = itertools.count()

    def call_later(self, delay: float, call: Callable, *args) -> None:
        """Schedule a function call after a simulated delay in seconds."""
        event = (self.now + delay, next(self._sequence_numbers), call, args)
        heapq.heappush(self._events, event)

    def run_events(self, schedule_first: Callable[[], None]) -> None:
        """Run until no event is left.

        ``time.monotonic`` returns the simulated time during the run.

        Args:
            schedule_first: Schedules the first events.
        """
        real_clock = time.monotonic
        time.monotonic = lambda: self.now
        try:
            schedule_first()
            while self._events:
                self.now, _, call, args = heapq.heappop(self._events)
                call(*args)
        finally:
            time.monotonic = real_clock
