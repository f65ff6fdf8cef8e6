"""What a broker keeps of one target."""

import math
from collections import deque

from citronspan.core.cusum_counts import OutcomeLabel
from citronspan.core.health import TargetInfo
from citronspan.utils.statecharts import load_chart

CHART = load_chart("target")

# Failures of each target that can be taken back when their request turns out to
# crash targets.
REMEMBERED_FAILURES = 16


class TargetRecord:
    """State of one target at one broker.

    Attributes:
        known: The target as configuration and host list show it.
        state: State by the chart ``target``.
        since: When the state was entered.
        reason: Reason for the state in a short sentence.
        evidence: Evidence against the target in nats.
        label: Mark that the strongest evidence rests on.
        gray_share: Share of marked outcomes when it was ejected.
        back_off_seconds: Wait before the next trial.
        starting_seconds: Last wait after it said that it is starting, 0 if it did not.
        draining_seconds: Last wait after it said that it is draining.
        trial_at: When the next trial request may be sent.
        trial: Test under way, or None.
        ramp_started_at: When slow start began.
        returned_at: When it last returned from a trial.
        reported_starting: Whether it said that it starts, since it last returned.
        cold_until: Until when its latencies are those of a cold start.
        reported_draining: Whether it said itself that it is draining.
        failures: Fingerprints of its last failures.
        overdue: Unanswered attempts that were counted before their outcome.
    """

    __slots__ = (
        "known",
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
        "overdue",
    )

    def __init__(self, *, known: TargetInfo, now: float):
        self.known = known
        self.state = CHART.initial
        self.since = now
        self.reason = "nothing is held against it"
        self.evidence = 0.0
        self.label = OutcomeLabel.FAILED
        self.gray_share = 0.9
        self.back_off_seconds = 0.0
        self.starting_seconds = 0.0
        self.draining_seconds = 0.0
        self.trial_at = math.inf
        # When an idempotent request last came for a trial.
        self.idempotent_trial_at = -math.inf
        self.trial = None
        self.ramp_started_at = -math.inf
        self.returned_at = -math.inf
        self.reported_starting = False
        self.cold_until = -math.inf
        self.reported_draining = False
        self.overdue = 0
        self.failures = deque(maxlen=REMEMBERED_FAILURES)
