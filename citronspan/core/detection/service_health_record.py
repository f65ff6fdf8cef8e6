"""State that a broker keeps for each target."""

import math
from collections import deque

from citronspan.core.detection.cusum_counts import OutcomeLabel
from citronspan.core.detection.health import TargetInfo
from citronspan.utils.statecharts import load_chart

CHART = load_chart("target")

# Latest failures of each target that can be withdrawn if their request turns out to
# crash targets.
MAX_WITHDRAWABLE_FAILURES = 16


class TargetRecord:
    """State of one target at one broker.

    Attributes:
        info: The target as listed in the configuration and the host list.
        state: State in the statechart ``target``.
        since: When the state was entered.
        reason: Reason for the state in a short sentence.
        evidence: Evidence against the target in nats.
        label: Label with the strongest evidence when it was ejected.
        gray_share: Share of outcomes with this label when it was ejected.
        back_off_seconds: Wait before the next trial, 0 before the first ejection.
        starting_seconds: Last wait after it reported that it is starting, 0 if none.
        draining_seconds: Last wait after it reported that it is draining, 0 if none.
        idempotent_trial_at: When an idempotent request was last sent as a trial.
        trial_at: When the next trial request may be sent.
        trial: Sequential test of the trial in progress, or None.
        ramp_started_at: When slow start began.
        returned_at: When it last returned from a trial.
        reported_starting: Whether it reported that it is starting, since it last
            returned from a trial.
        cold_until: End of the cold start, during which its latencies do not count.
        reported_draining: Whether it reported that it is draining.
        failures: Request fingerprints of its latest failures.
        overdue_attempts: Unanswered attempts that were added to the evidence before
            their outcome.
    """

    __slots__ = (
        "info",
        "state",
        "since",
        "reason",
        "evidence",
        "label",
        "gray_share",
        "back_off_seconds",
        "starting_seconds",
        "draining_seconds",
        "idempotent_trial_at",
        "trial_at",
        "trial",
        "ramp_started_at",
        "returned_at",
        "reported_starting",
        "cold_until",
        "reported_draining",
        "failures",
        "overdue_attempts",
    )

    def __init__(self, *, info: TargetInfo, now: float):
        self.info = info
        self.state = CHART.initial
        self.since = now
        self.reason = "there is no evidence against it"
        self.evidence = 0.0
        self.label = OutcomeLabel.FAILED
        self.gray_share = 0.9
        self.back_off_seconds = 0.0
        self.starting_seconds = 0.0
        self.draining_seconds = 0.0
        self.trial_at = math.inf
        self.idempotent_trial_at = -math.inf
        self.trial = None
        self.ramp_started_at = -math.inf
        self.returned_at = -math.inf
        self.reported_starting = False
        self.cold_until = -math.inf
        self.reported_draining = False
        self.overdue_attempts = 0
        self.failures = deque(maxlen=MAX_WITHDRAWABLE_FAILURES)
