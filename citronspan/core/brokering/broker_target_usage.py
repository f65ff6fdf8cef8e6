"""The slots in use at one target, as far as a broker knows them.

Usage has two parts: the broker's own grants, which it counts exactly, and external
usage, which it infers. External usage occurs after a broker has failed, while two
entries both act as the broker, or while entries choose targets without a broker.
"""

import math

from citronspan.core.detection.health import TargetInfo, TargetLimit
from citronspan.core.outcomes import Outcome, OutcomeClass

USAGE_RAMP_SECONDS = 0.25
"""Time over which a broker ramps up to all slots of a target of unknown usage."""

EXTERNAL_USAGE_TTL_SECONDS = 0.5
"""Time for which external usage inferred from a load report is valid."""

SHED_BACKOFF_SECONDS = 0.1
"""Time for which a target that shed a request counts as full."""

DRAINING_BACKOFF_SECONDS = 5.0
"""Time for which a target that answered ``draining`` gets no grants."""

STARTING_BACKOFF_SECONDS = 0.5
"""Time for which a target that answered ``starting`` gets no grants."""

PEAK_HALF_WINDOW_SECONDS = 0.25
"""Half of the window over which the peak of own grants is kept."""

_OWN_FAILURE_CLASSES = {OutcomeClass.TARGET_ERROR, OutcomeClass.ANSWER_LOST}


class TargetUsage:
    """The own and external usage of one target.

    Attributes:
        target_info: The target as configured.
        granted: Number of own grants that are open.
        granted_at: Time of the last grant, or of creation before the first.
        reached_at: Time of the last grant whose request is known to have arrived at the
            target, or of creation before the first.
        failed_at: Time of the last outcome if it was the target's own failure, else
            -inf.
    """

    def __init__(self, *, target_info: TargetInfo, now: float):
        self.target_info = target_info
        self.granted = 0
        self.granted_at = now
        self.reached_at = now
        self._is_last_grant_lost = False
        self.failed_at = -math.inf
        self.leaving_incarnation: int | None = None
        self._external_usage = 0
        self._external_usage_until = now
        self._backoff_until = now
        self._usage_unknown_since = now
        self._peak_window_started_at = now
        self._previous_peak = 0
        self._peak = 0

    @property
    def is_said_to_leave(self) -> bool:
        """Whether the target told an entry that it leaves, and didn't restart since."""
        return self.leaving_incarnation == self.target_info.incarnation

    def compute_usable_slots(self, limit: TargetLimit, now: float) -> int:
        """Return how many slots of the target all brokers together may use.

        Args:
            limit: The limit that detection sets.
            now: Present time.
        """
        if self.target_info.leaving or now < self._backoff_until:
            return 0
        return min(1, limit.slots) if limit.trial else limit.slots

    def compute_free_slots(self, limit: TargetLimit, now: float) -> int:
        """Return how many more slots of the target may be granted.

        Args:
            limit: The limit that detection sets.
            now: Present time.

        Returns:
            Free slots, 0 or less if there are none; at most the limit less the own
            grants.
        """
        usable = self.compute_usable_slots(limit, now)
        if now - self._usage_unknown_since < USAGE_RAMP_SECONDS:
            ramp_share = (now - self._usage_unknown_since) / USAGE_RAMP_SECONDS
            usable = min(usable, max(1, math.ceil(ramp_share * usable)))
        if now < self._external_usage_until:
            usable -= self._external_usage
        return usable - self.granted

    def compute_idle_seconds(self, now: float) -> float:
        """Return the time since the last grant, 0 while a grant is open."""
        return 0.0 if self.granted else now - self.granted_at

    def compute_unreached_seconds(self, now: float, trusted_seconds: float) -> float:
        """Return the time since the last request that has, or may have, arrived.

        Args:
            now: Present time.
            trusted_seconds: Age up to which the last grant counts while nothing is
                known of its request. An older one may hang on its way to the target.
        """
        granted_seconds = now - self.granted_at
        if granted_seconds <= trusted_seconds and not self._is_last_grant_lost:
            return granted_seconds
        return now - self.reached_at

    def count_grant(self, now: float) -> None:
        """Count a grant."""
        self.granted += 1
        self.granted_at = now
        self._is_last_grant_lost = False
        self._roll_peak_window(now)
        self._peak = max(self._peak, self.granted)

    def count_release(self, now: float) -> None:
        """Count the end of a grant."""
        self._roll_peak_window(now)
        self.granted -= 1

    def reset_external_usage(self, now: float) -> None:
        """Mark the external usage as unknown, which restarts the ramp."""
        self._usage_unknown_since = now

    def confirm_external_usage(self) -> None:
        """Mark the external usage as known after a handover, which ends the ramp."""
        self._usage_unknown_since = -math.inf

    def record_arrival(self, granted_at: float, *, has_arrived: bool) -> None:
        """Record whether the request of a grant is known to have arrived."""
        if has_arrived:
            self.reached_at = max(self.reached_at, granted_at)
        elif granted_at == self.granted_at:
            self._is_last_grant_lost = True

    def apply_outcome(
        self, outcome: Outcome, load_age_seconds: float, now: float
    ) -> None:
        """Update backoffs and external usage from an outcome.

        The attempt's own grant must be counted as ended before.

        Args:
            outcome: Outcome of the attempt.
            load_age_seconds: Time since the target answered and reported its load.
            now: Present time.
        """
        has_failed = outcome.outcome_class in _OWN_FAILURE_CLASSES
        self.failed_at = now if has_failed else -math.inf
        if outcome.outcome_class is OutcomeClass.DRAINING:
            self._backoff_until = now + DRAINING_BACKOFF_SECONDS
            return
        if outcome.outcome_class is OutcomeClass.STARTING:
            self._backoff_until = max(
                self._backoff_until, now + STARTING_BACKOFF_SECONDS
            )
            return
        if outcome.outcome_class is OutcomeClass.SHED:
            # The target refused while it had only the other own grants, so the rest
            # of its slots is in external use.
            self._set_external_usage(
                self.target_info.slots - self.granted, SHED_BACKOFF_SECONDS, now
            )
            return
        if outcome.load < 0 or load_age_seconds > PEAK_HALF_WINDOW_SECONDS:
            return
        # The load was measured at some time during the attempt. The own grants at that
        # time were at most the peak, so the difference is a lower bound of the
        # external usage.
        self._roll_peak_window(now)
        peak = max(self._peak, self._previous_peak)
        self._usage_unknown_since = -math.inf
        self._set_external_usage(outcome.load - peak, EXTERNAL_USAGE_TTL_SECONDS, now)

    def _set_external_usage(self, slots, seconds, now):
        self._external_usage = max(0, slots)
        self._external_usage_until = now + seconds

    def _roll_peak_window(self, now):
        if now - self._peak_window_started_at < PEAK_HALF_WINDOW_SECONDS:
            return
        is_recent = now - self._peak_window_started_at < 2 * PEAK_HALF_WINDOW_SECONDS
        self._previous_peak = self._peak if is_recent else self.granted
        self._peak = self.granted
        self._peak_window_started_at = now
