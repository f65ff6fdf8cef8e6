"""Return of an ejected target: trial requests, back-off and slow start.

A trial is Wald's sequential probability ratio test (Wald, "Sequential tests of
statistical hypotheses", Annals of Mathematical Statistics 16, 1945) between "like its
peers" and "as gray as when it was ejected". Each relapse doubles the wait before the
next trial. Only a long healthy period resets it.
"""

import math

INITIAL_BACK_OFF_SECONDS = 2.0
# Upper bounds of the wait. A failed trial costs a few requests, a relapse under full
# load costs many.
MAX_FAILED_TRIAL_BACK_OFF_SECONDS = 16.0
MAX_RELAPSE_BACK_OFF_SECONDS = 300.0
# After a healthy period of this many times its last back-off, plus slow start, a target
# starts again with the initial back-off.
RELAPSE_RESET_BACK_OFFS = 10.0

# Interval between trial requests to one target.
TRIAL_SPACING_SECONDS = 0.25
# Interval for a suspect target. It is shorter, because the target is not known to be
# faulty and the test should be decided soon.
SUSPECT_SPACING_SECONDS = 0.1
# Minimum number of good answers before a target returns.
MIN_GOOD_ANSWERS = 3
# Evidence that ends a trial, in nats (odds of about 20 to 1).
PASS_NATS = 3.0
FAIL_NATS = 3.0

# Wait before the next request to a target that reported that it is starting. It doubles
# with each such report up to the maximum.
STARTING_RETRY_SECONDS = 1.0
MAX_STARTING_RETRY_SECONDS = 8.0
# Wait before the next request to a target that reported that it is draining, if no
# other source shows it as leaving or gone. It doubles with each such report up to the
# maximum.
DRAINING_RETRY_SECONDS = 120.0
MAX_DRAINING_RETRY_SECONDS = 3600.0

# If no idempotent request was available for a trial in this time, any request may be
# used. Otherwise a service without idempotent requests would never regain a target.
IDLE_TRIAL_SECONDS = 10.0

RAMP_SECONDS = 10.0
# Share of its slots that a target may use at the beginning of slow start.
RAMP_INITIAL_SHARE = 0.2


class TrialTest:
    """Sequential test of the answers in one trial of one target.

    Attributes:
        baseline_share: Share of bad answers at the peers, bounded to 0.001 to 0.6.
        gray_share: Share of bad answers of a gray target, at least 0.05 above
            ``baseline_share`` and at most 0.9.
        nats: Log-likelihood ratio of the gray share against the baseline share.
        good_answers: Number of good answers.
    """

    __slots__ = ("baseline_share", "gray_share", "nats", "good_answers")

    def __init__(self, *, baseline_share: float, gray_share: float):
        self.baseline_share = min(max(baseline_share, 0.001), 0.6)
        self.gray_share = min(max(gray_share, self.baseline_share + 0.05), 0.9)
        self.nats = 0.0
        self.good_answers = 0

    def add(self, bad: bool) -> None:
        """Add one answer.

        Args:
            bad: Whether the attempt failed or its answer was too slow.
        """
        if bad:
            self.nats += math.log(self.gray_share / self.baseline_share)
            return
        self.good_answers += 1
        self.nats += math.log((1 - self.gray_share) / (1 - self.baseline_share))

    @property
    def passed(self) -> bool:
        """Whether the target may return."""
        return self.nats <= -PASS_NATS and self.good_answers >= MIN_GOOD_ANSWERS

    @property
    def failed(self) -> bool:
        """Whether the target stays ejected."""
        return self.nats >= FAIL_NATS


def compute_relapse_back_off(back_off_seconds: float, healthy_seconds: float) -> float:
    """Return the wait before the first trial after an ejection.

    Args:
        back_off_seconds: Present wait of the target, 0 before its first ejection.
        healthy_seconds: Time since the target last returned from a trial.

    Returns:
        The wait in seconds.
    """
    if back_off_seconds <= 0:
        return INITIAL_BACK_OFF_SECONDS
    if healthy_seconds > RELAPSE_RESET_BACK_OFFS * back_off_seconds + RAMP_SECONDS:
        return INITIAL_BACK_OFF_SECONDS
    return min(back_off_seconds * 2, MAX_RELAPSE_BACK_OFF_SECONDS)


def compute_failed_trial_back_off(back_off_seconds: float) -> float:
    """Return the wait in seconds after a failed trial, given the wait before it."""
    doubled = min(back_off_seconds * 2, MAX_FAILED_TRIAL_BACK_OFF_SECONDS)
    return max(doubled, back_off_seconds, INITIAL_BACK_OFF_SECONDS)


def compute_ramped_slots(slots: int, ramp_age_seconds: float) -> int:
    """Return the slots that may be used during slow start.

    Args:
        slots: Slots of the target.
        ramp_age_seconds: Time since slow start began.

    Returns:
        The slots, at least 1. They grow linearly to all slots of the target.
    """
    progress = min(max(ramp_age_seconds / RAMP_SECONDS, 0.0), 1.0)
    share = RAMP_INITIAL_SHARE + (1 - RAMP_INITIAL_SHARE) * progress
    return min(max(int(share * slots + 1e-9), 1), slots)
