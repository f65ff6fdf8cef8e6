"""What a broker knows of the use of one target.

Use has two parts: the broker's own grants, which it counts exactly, and the use by
others, which it infers. Others use a target after a broker has died, while two
entries both think that they are the broker, or while entries choose by themselves.
"""

import math

from citronspan.core.health import TargetInfo, TargetLimit
from citronspan.core.outcomes import Outcome, OutcomeClass

USAGE_RAMP_SECONDS = 0.25
"""Time in which a new broker comes to use all slots of a target unasked."""

EXTERNAL_USAGE_TTL_SECONDS = 0.5
"""Time for which use by others is believed after a load report."""

SHED_BACKOFF_SECONDS = 0.1
"""Time for which a target that shed is taken as full."""

DRAINING_BACKOFF_SECONDS = 5.0
"""Time for which a target that answered ``draining`` gets no work."""

STARTING_BACKOFF_SECONDS = 0.5
"""Time for which a target that answered ``starting`` gets no work."""

PEAK_HALF_WINDOW_SECONDS = 0.25
"""Half the time over which the peak of own grants is kept."""


class TargetUsage:
    """The use of one target."""

    def __init__(self, *, known: TargetInfo, now: float):
        self.known = known
        self.granted = 0
        self.granted_at = now
        self._foreign = 0
        self._foreign_until = now
        self._held_until = now
        self._unknown_since = now
        self._peak_began_at = now
        self._peak_before = 0
        self._peak = 0

    def compute_usable_slots(self, limit: TargetLimit, now: float) -> int:
        """Return how many slots the target lends to all brokers together.

        Args:
            limit: What detection allows.
            now: Present time.
        """
        if self.known.leaving or now < self._held_until:
            return 0
        return min(1, limit.slots) if limit.trial else limit.slots

    def compute_free_slots(self, limit: TargetLimit, now: float) -> int:
        """Return how many more requests may be sent to the target.

        Args:
            limit: What detection allows.
            now: Present time.

        Returns:
            Free slots, 0 or less for none; never more than the limit leaves.
        """
        usable = self.compute_usable_slots(limit, now)
        if now - self._unknown_since < USAGE_RAMP_SECONDS:
            share = (now - self._unknown_since) / USAGE_RAMP_SECONDS
            usable = min(usable, max(1, math.ceil(share * usable)))
        if now < self._foreign_until:
            usable -= self._foreign
        return usable - self.granted

    def count_grant(self, now: float) -> None:
        """Count a slot as granted."""
        self.granted += 1
        self.granted_at = now
        self._roll_peak(now)
        self._peak = max(self._peak, self.granted)

    def count_release(self, now: float) -> None:
        """Count a granted slot as free again."""
        self._roll_peak(now)
        self.granted -= 1

    def reset_external_usage(self, now: float) -> None:
        """Take the use by others as unknown from now on."""
        self._unknown_since = now

    def confirm_external_usage(self) -> None:
        """Take the use by others as known, after a handover."""
        self._unknown_since = -math.inf

    def apply_outcome(
        self, outcome: Outcome, load_age_seconds: float, now: float
    ) -> None:
        """Learn of use by others from an outcome whose slot is counted as ended.

        Args:
            outcome: The outcome.
            load_age_seconds: Time since the target answered.
            now: Present time.
        """
        if outcome.outcome_class is OutcomeClass.DRAINING:
            self._held_until = now + DRAINING_BACKOFF_SECONDS
            return
        if outcome.outcome_class is OutcomeClass.STARTING:
            self._held_until = max(self._held_until, now + STARTING_BACKOFF_SECONDS)
            return
        if outcome.outcome_class is OutcomeClass.SHED:
            # The target refused with only our other grants at it, so that others
            # use the rest of its slots.
            self._take_foreign(
                self.known.slots - self.granted, SHED_BACKOFF_SECONDS, now
            )
            return
        if outcome.load < 0 or load_age_seconds > PEAK_HALF_WINDOW_SECONDS:
            return
        # The load was true at some moment of the attempt. Own grants at that moment
        # were at most the peak, so that the difference is surely use by others.
        self._roll_peak(now)
        peak = max(self._peak, self._peak_before)
        self._unknown_since = -math.inf
        self._take_foreign(outcome.load - peak, EXTERNAL_USAGE_TTL_SECONDS, now)

    def _take_foreign(self, slots, seconds, now):
        self._foreign = max(0, slots)
        self._foreign_until = now + seconds

    def _roll_peak(self, now):
        if now - self._peak_began_at < PEAK_HALF_WINDOW_SECONDS:
            return
        is_recent = now - self._peak_began_at < 2 * PEAK_HALF_WINDOW_SECONDS
        self._peak_before = self._peak if is_recent else self.granted
        self._peak = self.granted
        self._peak_began_at = now
