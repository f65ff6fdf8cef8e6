"""Sequential test of each target against the present level of its peers.

Each answered attempt gives up to three yes-or-no marks: it failed, it was slow, it
was very slow. A target is gray when its share of a mark exceeds that of its peers by
more than chance and a margin explain. Shares, not values, are compared, so one extreme
latency weighs no more than any other slow answer and no distribution is assumed.

The test is a bank of CUSUM charts (Page, "Continuous inspection schemes",
Biometrika 41, 1954), one for each size of fault, after Lorden, "Procedures for
reacting to a change in distribution", Annals of Mathematical Statistics 42, 1971.
A chart's rise only marks the time since which the target may be gray. The evidence is
then the log-likelihood ratio over exactly that time between the target's own share
and the share of its peers in the same time, so that a fault that is common to all
targets is no evidence against any of them, however sudden it is.
"""

import math
from dataclasses import dataclass

from citronspan.core.cusum_counts import (
    INITIAL_SHARE_BY_MARK,
    MARKS,
    VERY_SLOW_FACTOR,
    Counts,
    LatencyLevels,
    Mark,
)
from citronspan.core.resources import DetectionCosts

FAULTS_PER_TARGET_SECOND = 1 / (7 * 24 * 3600)
OUTCOMES_PER_TARGET_SECOND = 10.0

# Half of the convicting evidence makes a target suspect.
SUSPECT_SHARE = 0.5

# Time constant of the long-run share of each mark.
LONG_RUN_SECONDS = 60.0
# Bounds of the long-run share, so that one marked outcome never convicts.
MIN_SHARE = 0.005
# The exponent of the growing weights at which the sums are scaled down again.
RESCALE_EXPONENT = 40.0
# Weights of the charts follow the long-run share this often.
REFRESH_SECONDS = 0.5

# Outcomes that the long-run share is worth per peer beside what was seen since the
# chart began to rise.
PRIOR_OUTCOMES_PER_PEER = 3.0
# Outcomes that the initial share is worth at the start of a process.
INITIAL_OUTCOMES = 100.0

# A target may be this much slower than its peers without being gray.
LATENCY_MARGIN = 1.25
# And its odds of failing may be about this much above theirs, plus this share.
FAILED_MARGIN = 0.25
FAILED_MARGIN_SHARE = 0.001

# Charts: the mark, and how much of the remaining share the fault adds.
CHARTS = (
    (Mark.FAILED, 0.05),
    (Mark.FAILED, 0.2),
    (Mark.FAILED, 0.7),
    (Mark.SLOW, 0.3),
    (Mark.VERY_SLOW, 0.1),
    (Mark.VERY_SLOW, 0.5),
)
_CHART_INDEXES_BY_MARK = tuple(
    tuple(index for index, chart in enumerate(CHARTS) if chart[0] == mark)
    for mark in MARKS
)


def compute_threshold(costs: DetectionCosts) -> float:
    """Return the evidence at which ejecting a target costs least.

    A threshold ``h`` lets a chart raise a false alarm about every ``exp(h)`` outcomes
    and delays detection by about ``h`` outcomes that tell one nat each. With ``r``
    outcomes a second and ``f`` faults a second, the expected cost per second,
    ``falseEjection * r * exp(-h) + lateSecond * f * h / r``, is least at
    ``h = ln(falseEjection * r ** 2 / (lateSecond * f))``.

    Args:
        costs: Costs from the resource of the service.

    Returns:
        The threshold, in nats.
    """
    ratio = costs.false_ejection / costs.late_second
    constant = OUTCOMES_PER_TARGET_SECOND**2 / FAULTS_PER_TARGET_SECOND
    return max(math.log(ratio * constant), 6.0)


def compute_evidence(
    *,
    mark: int,
    outcomes: float,
    marked: float,
    peer_outcomes: float,
    peer_marked: float,
    long_run: float,
    peers: int,
) -> float:
    """Return the evidence that a target's share of a mark is not that of its peers.

    Args:
        mark: The mark.
        outcomes: Outcomes of the target since its chart began to rise.
        marked: Those of them with the mark, the margin applied.
        peer_outcomes: Outcomes of the peers in the same time.
        peer_marked: Those of them with the mark, without a margin.
        long_run: Long-run share of the mark at the peers.
        peers: Number of peers.

    Returns:
        The log-likelihood ratio in nats, 0 where the share is not above the peers'.
    """
    if marked <= 0 or peers <= 0:
        return 0.0
    prior = PRIOR_OUTCOMES_PER_PEER * peers
    known = peer_outcomes + prior
    level = max(long_run, (peer_marked + prior * long_run) / known)
    if mark == Mark.FAILED:
        level += FAILED_MARGIN * level * (1 - level) + FAILED_MARGIN_SHARE
    share = marked / outcomes
    if level >= share:
        return 0.0
    evidence = marked * math.log(share / level)
    if marked < outcomes:
        evidence += (outcomes - marked) * math.log((1 - share) / (1 - level))
    return max(evidence, 0.0) * known / (known + outcomes)


@dataclass(frozen=True, kw_only=True, slots=True)
class StrongestEvidence:
    """What the strongest evidence against a target rests on.

    Attributes:
        mark: The mark.
        outcomes: Outcomes since the target may be gray.
        marked: Those of them with the mark.
        peer_share: Long-run share of the mark at the peers.
    """

    mark: Mark
    outcomes: int
    marked: int
    peer_share: float

    @property
    def share(self) -> float:
        """Share of the outcomes with the mark."""
        return self.marked / max(self.outcomes, 1)

    def describe(self) -> str:
        """Return the evidence as a short sentence."""
        verb = ("failed", "were slow", "were very slow")[self.mark]
        usual = f"{100 * self.peer_share:.1f} %"
        return f"{self.marked} of {self.outcomes} {verb}, usual at its peers: {usual}"


class _Chart:
    """Height of one chart, and the counts at the time since which it rises."""

    __slots__ = ("height", "outcomes", "marked", "pooled_outcomes", "pooled_marked")

    def __init__(self):
        self.height = 0.0


class TargetTest:
    """Charts and counts of one target.

    Attributes:
        outcomes: Outcomes by mark.
        tested: Marked outcomes by mark, the margin applied.
        counts: What the target adds to the level of its peers, without a margin. A
            suspect target adds nothing.
        charts: One chart for each of ``CHARTS``.
        evidence: Evidence by chart in nats.
        weights: Rise for a marked and for an unmarked outcome, by chart.
        long_run: Long-run share at the peers, by mark.
        refreshed_at: When the weights were last computed.
    """

    __slots__ = (
        "outcomes",
        "tested",
        "counts",
        "charts",
        "evidence",
        "weights",
        "long_run",
        "refreshed_at",
    )

    def __init__(self):
        self.outcomes = [0, 0, 0]
        self.tested = [0, 0, 0]
        self.counts = Counts()
        self.refreshed_at = -math.inf
        self.weights = []
        self.long_run = list(INITIAL_SHARE_BY_MARK)
        self.reset()

    def reset(self) -> None:
        """Forget the evidence, and keep the counts."""
        self.charts = [_Chart() for _ in CHARTS]
        self.evidence = [0.0] * len(CHARTS)


class ServiceTest:
    """The tests of all targets of a service or shard.

    Attributes:
        threshold: Evidence that convicts, in nats.
        levels: Latency levels by request kind.
        test_by_target: Test of each target by its name.
    """

    def __init__(self, *, costs: DetectionCosts, now: float):
        self.threshold = compute_threshold(costs)
        self._suspect_threshold = self.threshold * SUSPECT_SHARE
        self.levels = LatencyLevels()
        self.test_by_target: dict[str, TargetTest] = {}
        self._all = Counts()
        self._started_at = now

    def set_targets(self, names: frozenset[str]) -> None:
        """Take the names of the targets that exist."""
        for name in [name for name in self.test_by_target if name not in names]:
            del self.test_by_target[name]
        for name in names:
            if name not in self.test_by_target:
                self.test_by_target[name] = TargetTest()

    def add_failure(self, target: str, now: float) -> float:
        """Add a failed attempt and return the target's evidence in nats."""
        test = self.test_by_target[target]
        weight = self._weigh(test, now)
        self._add(test, Mark.FAILED, True, True, weight)
        return max(test.evidence)

    def add_answer(
        self, target: str, kind: str, latency_seconds: float, now: float
    ) -> float:
        """Add a good answer.

        Args:
            target: Name of the target.
            kind: Request kind.
            latency_seconds: From dispatch to the first byte of the answer.
            now: Present time.

        Returns:
            The target's evidence in nats.
        """
        level = self.levels.add(kind, latency_seconds)
        test = self.test_by_target[target]
        weight = self._weigh(test, now)
        self._add(test, Mark.FAILED, False, False, weight)
        self._add_latency(test, level, latency_seconds, weight)
        return max(test.evidence)

    def add_unanswered(self, target: str, level: float, now: float) -> float:
        """Add an attempt that was given up after more than the very slow latency.

        Args:
            target: Name of the target.
            level: Slow latency of the request kind in seconds.
            now: Present time.

        Returns:
            The target's evidence in nats.
        """
        test = self.test_by_target[target]
        weight = self._weigh(test, now)
        self._add_latency(test, level, math.inf, weight)
        return max(test.evidence)

    def judge_answer(self, kind: str, latency_seconds: float) -> tuple[bool, bool]:
        """Return whether a latency is slow and very slow, the margin applied."""
        level = self.levels.get_level(kind) or math.inf
        slow = latency_seconds > level * LATENCY_MARGIN
        very_slow = latency_seconds > level * LATENCY_MARGIN * VERY_SLOW_FACTOR
        return slow, very_slow

    def get_long_run(self, target: str, mark: int) -> float:
        """Return the long-run share of a mark at the peers of a target."""
        return self.test_by_target[target].long_run[mark]

    def find_strongest(self, target: str) -> StrongestEvidence:
        """Return what the strongest evidence against a target rests on."""
        test = self.test_by_target[target]
        index = max(range(len(CHARTS)), key=test.evidence.__getitem__)
        mark = CHARTS[index][0]
        chart = test.charts[index]
        if chart.height <= 0:
            return StrongestEvidence(mark=mark, outcomes=0, marked=0, peer_share=0.0)
        return StrongestEvidence(
            mark=mark,
            outcomes=test.outcomes[mark] - chart.outcomes,
            marked=test.tested[mark] - chart.marked,
            peer_share=test.long_run[mark],
        )

    def withdraw_failures(self, target: str, count: int) -> float:
        """Take back failed attempts that were not the target's fault.

        Args:
            target: Name of the target.
            count: Number of failures since the charts began to rise.

        Returns:
            The target's evidence in nats without them.
        """
        test = self.test_by_target[target]
        for index in _CHART_INDEXES_BY_MARK[Mark.FAILED]:
            chart = test.charts[index]
            if chart.height == 0:
                continue
            since = test.tested[Mark.FAILED] - chart.marked
            taken = min(count, since)
            chart.marked += taken
            chart.outcomes += taken
            chart.height -= taken * test.weights[index][0]
            if chart.height <= 0 or taken == since:
                chart.height = 0.0
                test.evidence[index] = 0.0
                continue
            self._measure(test, index, Mark.FAILED)
        return max(test.evidence)

    def _weigh(self, test: TargetTest, now: float) -> float:
        exponent = (now - self._started_at) / LONG_RUN_SECONDS
        if exponent > RESCALE_EXPONENT:
            self._rescale(exponent, now)
            exponent = 0.0
        if now - test.refreshed_at > REFRESH_SECONDS:
            self._refresh(test, now)
        return math.exp(exponent)

    def _rescale(self, exponent: float, now: float) -> None:
        factor = math.exp(-exponent)
        self._all.scale(factor)
        for test in self.test_by_target.values():
            test.counts.scale(factor)
        self._started_at = now

    def _refresh(self, test: TargetTest, now: float) -> None:
        test.refreshed_at = now
        for mark in MARKS:
            test.long_run[mark] = self._compute_long_run(test, mark, now)
        test.weights = []
        for mark, excess in CHARTS:
            usual = test.long_run[mark]
            gray = usual + excess * (1 - usual)
            rise = math.log(gray / usual)
            fall = math.log((1 - gray) / (1 - usual))
            test.weights.append((rise, fall))

    def _compute_long_run(self, test: TargetTest, mark: int, now: float) -> float:
        scale = math.exp((self._started_at - now) / LONG_RUN_SECONDS)
        own = test.counts
        outcomes = self._all.decayed_outcomes[mark] - own.decayed_outcomes[mark]
        marked = self._all.decayed_marked[mark] - own.decayed_marked[mark]
        prior = INITIAL_SHARE_BY_MARK[mark] * INITIAL_OUTCOMES
        share = (max(marked, 0.0) * scale + prior) / (
            max(outcomes, 0.0) * scale + INITIAL_OUTCOMES
        )
        return min(max(share, MIN_SHARE), 1 - MIN_SHARE)

    def _add_latency(
        self, test: TargetTest, level: float, latency_seconds: float, weight: float
    ) -> None:
        with_margin = level * LATENCY_MARGIN
        self._add(
            test,
            Mark.SLOW,
            latency_seconds > level,
            latency_seconds > with_margin,
            weight,
        )
        self._add(
            test,
            Mark.VERY_SLOW,
            latency_seconds > level * VERY_SLOW_FACTOR,
            latency_seconds > with_margin * VERY_SLOW_FACTOR,
            weight,
        )

    def _add(
        self, test: TargetTest, mark: int, marked: bool, tested: bool, weight: float
    ) -> None:
        for index in _CHART_INDEXES_BY_MARK[mark]:
            chart = test.charts[index]
            if chart.height > 0:
                continue
            if tested:
                self._start(chart, test, mark)
        test.outcomes[mark] += 1
        if tested:
            test.tested[mark] += 1
        if max(test.evidence) < self._suspect_threshold:
            test.counts.add(mark, marked, weight)
            self._all.add(mark, marked, weight)
        for index in _CHART_INDEXES_BY_MARK[mark]:
            chart = test.charts[index]
            if chart.height == 0 and not tested:
                continue
            rise, fall = test.weights[index]
            chart.height += rise if tested else fall
            if chart.height <= 0:
                chart.height = 0.0
                test.evidence[index] = 0.0
                continue
            if tested:
                self._measure(test, index, mark)

    def _start(self, chart: _Chart, test: TargetTest, mark: int) -> None:
        own = test.counts
        chart.outcomes = test.outcomes[mark]
        chart.marked = test.tested[mark]
        chart.pooled_outcomes = self._all.outcomes[mark] - own.outcomes[mark]
        chart.pooled_marked = self._all.marked[mark] - own.marked[mark]

    def _measure(self, test: TargetTest, index: int, mark: int) -> None:
        chart = test.charts[index]
        own = test.counts
        pooled_outcomes = self._all.outcomes[mark] - own.outcomes[mark]
        pooled_marked = self._all.marked[mark] - own.marked[mark]
        test.evidence[index] = compute_evidence(
            mark=mark,
            outcomes=test.outcomes[mark] - chart.outcomes,
            marked=test.tested[mark] - chart.marked,
            peer_outcomes=pooled_outcomes - chart.pooled_outcomes,
            peer_marked=pooled_marked - chart.pooled_marked,
            long_run=test.long_run[mark],
            peers=len(self.test_by_target) - 1,
        )
