"""The age of a node's copy of the feeds, and whether the store has just come back.

A store that came back may lack the keys of live targets for some time, and so may a
whole copy of it. A node can tell from the age of its copy: while the store answers any
host, updates or own reads keep the copy younger than ``OUTAGE_AGE_SECONDS``.

A read may end before the feed does, since the store cuts long answers. The copy is then
as old as the last read that stated an end which it has reached by now.
"""

import math

from citronspan.core.configuration.feeds import REMOVAL_GRACE_SECONDS
from citronspan.utils.clocks import read_elapsed_seconds

OUTAGE_AGE_SECONDS = 2.0
"""Age of a copy above which the store counts as having been away.

Above the age at which the last node reads the store itself, and below two heartbeats
of a target, the shortest outage in which the key of a live target can expire.
"""


class CopyAge:
    """When a node's copy was last known to be up to date with the store.

    Attributes:
        fresh_at: That time, by ``read_elapsed_seconds``; minus infinity if never.
    """

    def __init__(self):
        self.fresh_at = -math.inf
        self._returned_at = -math.inf

    @property
    def seconds(self) -> float:
        """Time since the copy was known to be up to date; infinite if it never was."""
        return read_elapsed_seconds() - self.fresh_at

    @property
    def is_after_outage(self) -> bool:
        """Whether a key that the store lacks may still come back."""
        if self.seconds > OUTAGE_AGE_SECONDS:
            return True
        return read_elapsed_seconds() < self._returned_at + REMOVAL_GRACE_SECONDS

    def advance(self, fresh_at: float) -> None:
        """Take the copy for up to date at a time, unless it was so later already."""
        if fresh_at <= self.fresh_at:
            return
        if self.seconds > OUTAGE_AGE_SECONDS:
            self._returned_at = read_elapsed_seconds()
        self.fresh_at = fresh_at


class StatedEnd:
    """An end of a feed that the store stated, until what is read has reached it."""

    def __init__(self):
        self._end_offset = 0
        self._stated_at = -math.inf

    def find_fresh_at(
        self, *, next_offset: int, end_offset: int, answered_at: float
    ) -> float:
        """Return when the store had no more than what is read now.

        Args:
            next_offset: Offset after the last record of an answer.
            end_offset: End of the feed in that answer.
            answered_at: Time of the answer, by ``read_elapsed_seconds``.

        Returns:
            The latest such time that is known, by the same clock; minus infinity if
            there is none.
        """
        if next_offset >= end_offset:
            return answered_at
        if next_offset < self._end_offset:
            return -math.inf
        fresh_at = self._stated_at
        self._end_offset = end_offset
        self._stated_at = answered_at
        return fresh_at
