"""Decides until when an attempt waits for its target.

Load pattern: long requests at targets that work on them, while what could follow the
attempt changes. An attempt is given up early only so that another one can follow. When
none can, as at a host that was told to stop meanwhile, the work of the target would be
lost for nothing.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class AttemptDeadline:
    """When one attempt is given up, by ``time.monotonic()``.

    Attributes:
        request_deadline: Time at which the request is given up.
        limit: Time at which the attempt is given up if another one may follow it.
        may_be_retried: Returns whether another attempt may follow. It is asked again
            while the attempt runs.
    """

    request_deadline: float
    limit: float = math.inf
    may_be_retried: Callable[[], bool] = lambda: True

    def find(self) -> float:
        """Return the time at which the attempt is given up, as of now."""
        if self.limit < self.request_deadline and self.may_be_retried():
            return self.limit
        return self.request_deadline
