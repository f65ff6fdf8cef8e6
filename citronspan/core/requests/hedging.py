"""Decides whether a request may be hedged, and which of its two attempts counts.

Load pattern: a request that is late at a target, and whose answer and that of a second
target may come in any order, also both at once. The first good answer counts. An answer
that is not good, or the failure of an attempt, decides nothing while the other runs.
"""

import enum
import threading

from citronspan.core.outcomes import OutcomeClass


class AttemptRole(enum.StrEnum):
    """Which of the two attempts of a hedged request is meant."""

    FIRST = "first"
    HEDGE = "hedge"


class HedgeRace:
    """Which attempt has the first good answer; safe for threads."""

    def __init__(self):
        self._lock = threading.Lock()
        self._winner: AttemptRole | None = None

    @property
    def winner(self) -> AttemptRole | None:
        """The attempt whose answer counts, None until there is one."""
        return self._winner

    def claim(self, role: AttemptRole) -> bool:
        """Let an attempt with a good answer win, unless the other one has won.

        Returns:
            Whether the answer of the attempt counts.
        """
        with self._lock:
            if self._winner is None:
                self._winner = role
            return self._winner is role


def may_hedge(
    *,
    hedge_seconds: float,
    idempotent: bool,
    is_buffered: bool,
    tried_targets: int,
    maximum_attempts: int,
) -> bool:
    """Return whether an attempt may be followed by a hedge while it runs.

    Args:
        hedge_seconds: What the broker said of the attempt, 0 for no hedge.
        idempotent: Whether the request may run more than once.
        is_buffered: Whether the whole body of the request is held.
        tried_targets: Number of targets of the request, with that of the attempt.
        maximum_attempts: Number of targets that the request may reach.
    """
    return (
        hedge_seconds > 0
        and idempotent
        and is_buffered
        and tried_targets == 1
        and maximum_attempts > 1
    )


def judge_ended(outcome_class: OutcomeClass, *, was_ended: bool) -> OutcomeClass:
    """Return the outcome of an attempt that failed.

    Args:
        outcome_class: Outcome that the failure would prove.
        was_ended: Whether this host ended the attempt because the other one has won.
    """
    if was_ended and outcome_class in (
        OutcomeClass.ANSWER_LOST,
        OutcomeClass.TIMED_OUT,
    ):
        return OutcomeClass.CANCELLED
    return outcome_class
