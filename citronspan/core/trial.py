"""How an ejected target returns: trial requests, back-off and slow start.

The trial is Wald's sequential probability ratio test (Wald, "Sequential tests of
statistical hypotheses", Annals of Mathematical Statistics 16, 1945) between "like its
peers" and "as gray as when it was ejected". Each relapse doubles the wait before the
next trial; only a long time in good health resets it.
"""

import math

FIRST_BACK_OFF_SECONDS = 2.0
# Bound after a failed trial, which cost a few requests, and after a relapse under
# full load, which cost many.
MAX_FAILED_TRIAL_SECONDS = 16.0
MAX_RELAPSE_SECONDS = 300.0
# In good health this many times the last back-off, a target's relapses are forgotten.
FORGET_BACK_OFFS = 10.0

# Between trial requests to one target.
TRIAL_SPACING_SECONDS = 0.25
# The same to a suspect, which has not failed yet and is to be judged soon.
SUSPECT_SPACING_SECONDS = 0.1
# At least this many good answers before a target returns.
MIN_GOOD_ANSWERS = 3
# Evidence that ends a trial, in nats: odds of one to twenty.
PASS_NATS = 3.0
FAIL_NATS = 3.0

# A target that says it is starting is asked again after this.
STARTING_SECONDS = 1.0
MAX_STARTING_SECONDS = 8.0
# A target that says it is draining is asked again after this, when no other source
# has shown it as leaving or gone.
DRAINING_SECONDS = 120.0
MAX_DRAINING_SECONDS = 3600.0

# When no idempotent request has come for a trial in this time, any request may be
# used, or a service without idempotent requests would never get a target back.
IDLE_TRIAL_SECONDS = 10.0

RAMP_SECONDS = 10.0
# Share of the slots that a returned target starts with.
RAMP_FIRST_SHARE = 0.2


class TrialTest:
    """One trial of one target.

    Attributes:
        baseline_share: Share of bad answers at the peers.
        gray_share: Share of bad answers that the target is tested against.
        nats: Log-likelihood ratio of gray against usual so far.
        good: Good answers so far.
    """

    __slots__ = ("baseline_share", "gray_share", "nats", "good")

    def __init__(self, *, baseline_share: float, gray_share: float):
        self.baseline_share = min(max(baseline_share, 0.001), 0.6)
        self.gray_share = min(max(gray_share, self.baseline_share + 0.05), 0.9)
        self.nats = 0.0
        self.good = 0

    def add(self, bad: bool) -> None:
        """Add one answer."""
        if bad:
            self.nats += math.log(self.gray_share / self.baseline_share)
            return
        self.good += 1
        self.nats += math.log((1 - self.gray_share) / (1 - self.baseline_share))

    @property
    def passed(self) -> bool:
        """Whether the target may return."""
        return self.nats <= -PASS_NATS and self.good >= MIN_GOOD_ANSWERS

    @property
    def failed(self) -> bool:
        """Whether the target stays ejected."""
        return self.nats >= FAIL_NATS


def compute_relapse_back_off(back_off_seconds: float, healthy_seconds: float) -> float:
    """Return the wait before the first trial after an ejection.

    Args:
        back_off_seconds: The wait after the ejection before, 0 if there was none.
        healthy_seconds: Time in good health since the target last returned.

    Returns:
        The wait in seconds.
    """
    if back_off_seconds <= 0:
        return FIRST_BACK_OFF_SECONDS
    if healthy_seconds > FORGET_BACK_OFFS * back_off_seconds + RAMP_SECONDS:
        return FIRST_BACK_OFF_SECONDS
    return min(back_off_seconds * 2, MAX_RELAPSE_SECONDS)


def compute_failed_trial_back_off(back_off_seconds: float) -> float:
    """Return the wait after a failed trial, given the wait before it in seconds."""
    doubled = min(back_off_seconds * 2, MAX_FAILED_TRIAL_SECONDS)
    return max(doubled, back_off_seconds, FIRST_BACK_OFF_SECONDS)


def compute_ramped_slots(slots: int, ramp_age_seconds: float) -> int:
    """Return the slots in use during slow start.

    Args:
        slots: Slots of the target.
        ramp_age_seconds: Time since slow start began.

    Returns:
        From 1 to all slots, growing linearly.
    """
    progress = min(max(ramp_age_seconds / RAMP_SECONDS, 0.0), 1.0)
    share = RAMP_FIRST_SHARE + (1 - RAMP_FIRST_SHARE) * progress
    return min(max(int(share * slots + 1e-9), 1), slots)
