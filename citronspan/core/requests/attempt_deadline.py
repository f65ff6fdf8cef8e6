"""Decides until when an attempt waits for its target.

Load pattern: long requests at targets that work on them, while what could follow the
attempt changes. An attempt is given up early only so that another one can follow. When
none can, as at a host that was told to stop meanwhile, the work of the target would be
lost for nothing. So it is at a service without room, where one request in two waits for
a slot: an attempt goes on until its successor has one.
"""

import math
import time
from collections.abc import Callable


class AttemptDeadline:
    """When one attempt is given up, by ``time.monotonic()``."""

    def __init__(
        self,
        *,
        request_deadline: float,
        limit: float = math.inf,
        may_be_retried: Callable[[], bool] = lambda: True,
        find_end: Callable[[], float] = lambda: math.inf,
        prepare_next: Callable[[Callable[[], bool]], bool] = lambda has_answer: True,
    ):
        """Create the deadline of an attempt that begins.

        Args:
            request_deadline: Time at which the request is given up.
            limit: Time at which the attempt is given up if another one may follow it.
            may_be_retried: Returns whether another attempt may follow. It is asked
                again while the attempt runs.
            find_end: Returns when the process gives up what is open; likewise.
            prepare_next: Gets another attempt all that it needs, which may take time,
                and returns whether it did. It stops once its argument returns that
                this attempt is answered.
        """
        self._request_deadline = request_deadline
        self._limit = limit
        self._may_be_retried = may_be_retried
        self._find_end = find_end
        self._prepare_next = prepare_next

    def find(self) -> float:
        """Return the time at which the attempt is given up, as of now."""
        return min(self._find_own(), self._find_end())

    def find_last(self) -> float:
        """Return the time at which an attempt is given up that none may follow."""
        return min(self._request_deadline, self._find_end())

    def extend(self, has_answer: Callable[[], bool]) -> bool:
        """Return whether an attempt goes on at the time that ``find`` returned.

        If it does not and the request has time left, the next attempt is prepared.

        Args:
            has_answer: Returns whether bytes of the target's answer wait to be read.
        """
        if self._limit == math.inf:
            return False
        if time.monotonic() >= self.find_last():
            return False
        if self._may_be_retried() and self._prepare_next(has_answer):
            return False
        self.lift_limit()
        return True

    def _find_own(self):
        if self._limit >= self._request_deadline:
            return self._request_deadline
        if self._may_be_retried():
            return self._limit
        if time.monotonic() >= self._limit:
            # A target that starts after this must not end attempts in mid-course.
            self.lift_limit()
        return self._request_deadline

    def lift_limit(self) -> None:
        """Leave the attempt all of the request's time, whatever may follow."""
        self._limit = math.inf
