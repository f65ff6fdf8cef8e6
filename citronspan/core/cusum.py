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

from citronspan.core.cusum_counts import (
    INITIAL_SHARE_BY_LABEL,
    OUTCOME_LABELS,
    VERY_SLOW_FACTOR,
    LabelCounts,
    LatencyThresholds,
    OutcomeLabel,
)
from citronspan.core.cusum_evidence import (
    StrongestEvidence,
    compute_evidence,
    compute_threshold,
)
from citronspan.core.resources import DetectionCosts

# Evidence that makes a target suspect, in nats: by chance in one of a thousand looks.
SUSPECT_NATS = 7.0
# Share of the convicting evidence from which a target's outcomes no longer count to
# the level of its peers.
POOL_EXCLUSION_SHARE = 0.5
# After so many outcomes without a mark, weaker evidence is measured again.
MEASURE_OUTCOMES = 8

# Time constant of the long-run share of each mark.
BASELINE_SECONDS = 60.0
# Bounds of the long-run share, so that one marked outcome never convicts.
MIN_SHARE = 0.005
# The exponent of the growing weights at which the sums are scaled down again.
RESCALE_EXPONENT = 40.0
# Weights of the charts follow the long-run share this often.
REFRESH_SECONDS = 0.5

# Outcomes that the initial share is worth at the start of a process.
INITIAL_OUTCOMES = 100.0

# A target may be this much slower than its peers without being gray.
LATENCY_MARGIN = 1.25
# Charts of each mark: how much of the remaining share the fault adds.
EXCESSES_BY_LABEL = ((0.05, 0.2, 0.7), (0.3,), (0.1, 0.5))


class _Chart:
    """Height of one chart, and the counts at the time since which it rises."""

    __slots__ = (
        "excess",
        "rise",
        "fall",
        "height",
        "evidence",
        "outcomes",
        "tested",
        "pooled_outcomes",
        "pooled_marked",
    )

    def __init__(self, excess):
        self.excess = excess
        self.reset()

    def reset(self):
        self.height = 0.0
        self.evidence = 0.0

    def set_weights(self, usual):
        gray = usual + self.excess * (1 - usual)
        self.rise = math.log(gray / usual)
        self.fall = math.log((1 - gray) / (1 - usual))


class _MarkTest:
    """Counts and charts of one target for one mark.

    A suspect target adds to its own counts, but not to the level of its peers.
    """

    __slots__ = ("label", "outcomes", "tested", "pooled", "charts", "baseline_share")

    def __init__(self, label):
        self.label = label
        self.outcomes = 0
        self.tested = 0
        self.pooled = LabelCounts()
        self.charts = tuple(_Chart(excess) for excess in EXCESSES_BY_LABEL[label])
        self.baseline_share = INITIAL_SHARE_BY_LABEL[label]


class TargetCharts:
    """Charts and counts of one target.

    Attributes:
        label_tests: Test of each mark.
        evidence: The strongest evidence of all charts in nats.
        refreshed_at: When the weights of the charts were last computed.
    """

    __slots__ = ("label_tests", "evidence", "refreshed_at")

    def __init__(self):
        self.label_tests = tuple(_MarkTest(label) for label in OUTCOME_LABELS)
        self.evidence = 0.0
        self.refreshed_at = -math.inf

    def reset(self) -> None:
        """Forget the evidence, and keep the counts."""
        self.evidence = 0.0
        for mark_test in self.label_tests:
            for chart in mark_test.charts:
                chart.reset()

    def find_strongest(self) -> StrongestEvidence:
        """Return what the strongest evidence rests on."""
        charts = [(chart, test) for test in self.label_tests for chart in test.charts]
        chart, mark_test = max(charts, key=lambda pair: pair[0].evidence)
        if chart.height <= 0:
            return StrongestEvidence(
                label=mark_test.label, outcomes=0, labelled=0, peer_share=0.0
            )
        return StrongestEvidence(
            label=mark_test.label,
            outcomes=mark_test.outcomes - chart.outcomes,
            labelled=mark_test.tested - chart.tested,
            peer_share=mark_test.baseline_share,
        )

    def update_evidence(self) -> None:
        """Set the evidence to that of the strongest chart."""
        self.evidence = max(
            chart.evidence for test in self.label_tests for chart in test.charts
        )


class CusumDetector:
    """The tests of all targets of a service or shard.

    Attributes:
        threshold: Evidence that convicts, in nats.
        suspect_threshold: Evidence that makes a target suspect, in nats.
        latency_thresholds: Latency levels by request kind.
        test_by_target: Test of each target by its name.
    """

    def __init__(self, *, costs: DetectionCosts, now: float):
        self.threshold = compute_threshold(costs)
        self.latency_thresholds = LatencyThresholds()
        self.test_by_target: dict[str, TargetCharts] = {}
        self.suspect_threshold = min(SUSPECT_NATS, self.threshold / 2)
        self._unpooled_threshold = self.threshold * POOL_EXCLUSION_SHARE
        self._pools = tuple(LabelCounts() for _ in OUTCOME_LABELS)
        self._started_at = now

    def set_targets(self, names: frozenset[str]) -> None:
        """Take the names of the targets that exist."""
        for name in [name for name in self.test_by_target if name not in names]:
            del self.test_by_target[name]
        for name in names:
            if name not in self.test_by_target:
                self.test_by_target[name] = TargetCharts()

    def add_failure(self, target: str, now: float) -> float:
        """Add a failed attempt and return the target's evidence in nats."""
        test = self.test_by_target[target]
        weight = self._weigh(test, now)
        self._add(test, OutcomeLabel.FAILED, True, True, weight)
        return test.evidence

    def add_answer(
        self,
        target: str,
        kind: str,
        latency_seconds: float,
        now: float,
        *,
        overdue: bool = False,
    ) -> float:
        """Add a good answer.

        Args:
            target: Name of the target.
            kind: Request kind.
            latency_seconds: From dispatch to the first byte of the answer.
            now: Present time.
            overdue: Whether the wait for it was added already, or tells nothing.

        Returns:
            The target's evidence in nats.
        """
        level = self.latency_thresholds.add(kind, latency_seconds)
        test = self.test_by_target[target]
        weight = self._weigh(test, now)
        self._add(test, OutcomeLabel.FAILED, False, False, weight)
        if not overdue:
            self._add_latency(test, latency_seconds / level, weight)
        return test.evidence

    def compute_overdue_seconds(self, kind: str) -> float:
        """Return from which age an attempt is very slow, whatever comes of it."""
        level = self.latency_thresholds.get_threshold(kind) or math.inf
        return level * LATENCY_MARGIN * VERY_SLOW_FACTOR

    def add_unanswered(self, target: str, now: float) -> float:
        """Add an attempt that had no answer within the very slow latency.

        Args:
            target: Name of the target.
            now: Present time.

        Returns:
            The target's evidence in nats.
        """
        test = self.test_by_target[target]
        weight = self._weigh(test, now)
        self._add_latency(test, math.inf, weight)
        return test.evidence

    def classify_latency(self, kind: str, latency_seconds: float) -> tuple[bool, bool]:
        """Return whether a latency is slow and very slow, the margin applied."""
        very_slow_seconds = self.compute_overdue_seconds(kind)
        slow = latency_seconds > very_slow_seconds / VERY_SLOW_FACTOR
        return slow, latency_seconds > very_slow_seconds

    def get_baseline_share(self, target: str, label: int) -> float:
        """Return the long-run share of a mark at the peers of a target."""
        return self.test_by_target[target].label_tests[label].baseline_share

    def withdraw_failures(self, target: str, count: int) -> float:
        """Take back failed attempts that were not the target's fault.

        Args:
            target: Name of the target.
            count: Number of failures since the charts began to rise.

        Returns:
            The target's evidence in nats without them.
        """
        test = self.test_by_target[target]
        mark_test = test.label_tests[OutcomeLabel.FAILED]
        for chart in mark_test.charts:
            if chart.height == 0:
                continue
            since = mark_test.tested - chart.tested
            taken = min(count, since)
            chart.tested += taken
            chart.outcomes += taken
            chart.height -= taken * chart.rise
            if chart.height <= 0 or taken == since:
                chart.reset()
                continue
            self._measure(mark_test, chart)
        test.update_evidence()
        return test.evidence

    def _weigh(self, test: TargetCharts, now: float) -> float:
        exponent = (now - self._started_at) / BASELINE_SECONDS
        if exponent > RESCALE_EXPONENT:
            self._rescale(exponent, now)
            exponent = 0.0
        if now - test.refreshed_at > REFRESH_SECONDS:
            self._refresh(test, now)
        return math.exp(exponent)

    def _rescale(self, exponent: float, now: float) -> None:
        factor = math.exp(-exponent)
        for pool in self._pools:
            pool.scale(factor)
        for test in self.test_by_target.values():
            for mark_test in test.label_tests:
                mark_test.pooled.scale(factor)
        self._started_at = now

    def _refresh(self, test: TargetCharts, now: float) -> None:
        test.refreshed_at = now
        scale = math.exp((self._started_at - now) / BASELINE_SECONDS)
        for mark_test in test.label_tests:
            mark_test.baseline_share = self._compute_long_run(mark_test, scale)
            for chart in mark_test.charts:
                chart.set_weights(mark_test.baseline_share)

    def _compute_long_run(self, mark_test: _MarkTest, scale: float) -> float:
        pool = self._pools[mark_test.label]
        own = mark_test.pooled
        outcomes = max(pool.decayed_outcomes - own.decayed_outcomes, 0.0) * scale
        labelled = max(pool.decayed_labelled - own.decayed_labelled, 0.0) * scale
        prior = INITIAL_SHARE_BY_LABEL[mark_test.label] * INITIAL_OUTCOMES
        share = (labelled + prior) / (outcomes + INITIAL_OUTCOMES)
        return min(max(share, MIN_SHARE), 1 - MIN_SHARE)

    def _add_latency(self, test: TargetCharts, relative: float, weight: float) -> None:
        """Add a latency relative to the slow latency of its request kind."""
        self._add(test, 1, relative > 1, relative > LATENCY_MARGIN, weight)
        relative /= VERY_SLOW_FACTOR
        self._add(test, 2, relative > 1, relative > LATENCY_MARGIN, weight)

    def _add(
        self,
        test: TargetCharts,
        label: int,
        labelled: bool,
        tested: bool,
        weight: float,
    ) -> None:
        """Add an outcome to the counts and charts of one mark.

        Args:
            test: Test of the target.
            label: Number of the mark.
            labelled: Whether the outcome has the mark, for the level of the peers.
            tested: Whether it has the mark with the margin applied.
            weight: Present weight of the decayed sums.
        """
        mark_test = test.label_tests[label]
        if tested:
            self._start_charts(mark_test)
            mark_test.tested += 1
        mark_test.outcomes += 1
        if test.evidence < self._unpooled_threshold:
            mark_test.pooled.add(labelled, weight)
            self._pools[label].add(labelled, weight)
        if tested:
            self._raise_charts(test, mark_test)
            return
        for chart in mark_test.charts:
            if chart.height == 0:
                continue
            chart.height += chart.fall
            if chart.height <= 0:
                chart.reset()
                test.update_evidence()
        if test.evidence == 0 or mark_test.outcomes % MEASURE_OUTCOMES:
            return
        if test.evidence >= self.suspect_threshold / 2:
            self._measure_charts(test, mark_test)

    def _start_charts(self, mark_test: _MarkTest) -> None:
        pool = self._pools[mark_test.label]
        own = mark_test.pooled
        for chart in mark_test.charts:
            if chart.height > 0:
                continue
            chart.outcomes = mark_test.outcomes
            chart.tested = mark_test.tested
            chart.pooled_outcomes = pool.outcomes - own.outcomes
            chart.pooled_marked = pool.labelled - own.labelled

    def _raise_charts(self, test: TargetCharts, mark_test: _MarkTest) -> None:
        for chart in mark_test.charts:
            chart.height += chart.rise
        self._measure_charts(test, mark_test)

    def _measure_charts(self, test: TargetCharts, mark_test: _MarkTest) -> None:
        for chart in mark_test.charts:
            if chart.height > 0:
                self._measure(mark_test, chart)
        test.update_evidence()

    def _measure(self, mark_test: _MarkTest, chart: _Chart) -> None:
        pool = self._pools[mark_test.label]
        own = mark_test.pooled
        chart.evidence = compute_evidence(
            label=mark_test.label,
            outcomes=mark_test.outcomes - chart.outcomes,
            labelled=mark_test.tested - chart.tested,
            peer_outcomes=pool.outcomes - own.outcomes - chart.pooled_outcomes,
            peer_labelled=pool.labelled - own.labelled - chart.pooled_marked,
            baseline_share=mark_test.baseline_share,
            peers=len(self.test_by_target) - 1,
        )
