"""Sequential test of each target against the current shares of its peers.

Each answered attempt gets up to three labels: failed, slow and very slow. A target is
gray when its share of a label exceeds that of its peers by more than chance and a
margin explain. The test compares shares, not values, so one extreme latency weighs no
more than any other slow answer, and no distribution is assumed.

The test is a bank of CUSUM charts (Page, "Continuous inspection schemes",
Biometrika 41, 1954), one for each size of fault, after Lorden, "Procedures for
reacting to a change in distribution", Annals of Mathematical Statistics 42, 1971.
A chart only determines the start of the period in which the target may be gray. The
evidence is the log-likelihood ratio over that period between the target's own share
and the share of its peers in the same period. A fault that is common to all targets
is therefore no evidence against any of them, however sudden it is.
"""

import math

from citronspan.core.detection.cusum_counts import (
    INITIAL_SHARE_BY_LABEL,
    OUTCOME_LABELS,
    VERY_SLOW_FACTOR,
    LabelCounts,
    LatencyThresholds,
    OutcomeLabel,
)
from citronspan.core.detection.cusum_evidence import (
    StrongestEvidence,
    compute_evidence,
    compute_threshold,
)
from citronspan.core.resources import DetectionCosts

# Evidence that makes a target suspect, in nats; chance alone reaches it in about one
# of a thousand evaluations.
SUSPECT_NATS = 7.0
# From this share of the ejection threshold on, a target's outcomes are no longer added
# to the pool that its peers are compared with.
POOL_EXCLUSION_SHARE = 0.5
# Outcomes without a label may weaken the evidence of a chart. It is computed anew at
# each multiple of this number of outcomes.
EVIDENCE_REFRESH_OUTCOMES = 8

# Time constant of the decay of the baseline share of each label.
BASELINE_SECONDS = 60.0
# The baseline share stays between this and 1 minus this, so that one labelled outcome
# never ejects a target.
MIN_BASELINE_SHARE = 0.005
# Exponent of the growing weights at which the decayed sums are scaled down.
RESCALE_EXPONENT = 40.0
# Minimum interval between updates of a target's chart weights from the baseline share.
REFRESH_SECONDS = 0.5

# Weight of the initial share in the baseline share, in outcomes.
INITIAL_OUTCOMES = 100.0

# A target may be slower than its peers by this factor without being gray.
LATENCY_MARGIN = 1.25
# For each label, the sizes of fault that have a chart: the fraction of the unlabelled
# share that the fault adds to the baseline share.
EXCESSES_BY_LABEL = ((0.05, 0.2, 0.7), (0.3,), (0.1, 0.5))


class _Chart:
    """Chart of one label and one size of fault.

    Attributes:
        excess: Fraction of the unlabelled share that the fault adds to the baseline
            share.
        rise: Increment of the height for a labelled outcome, in nats.
        fall: Increment (negative) of the height for any other outcome, in nats.
        height: Height of the chart in nats, 0 while the chart is at rest.
        evidence: Evidence since the chart began to rise, in nats.
        outcomes: The target's outcomes when the chart began to rise.
        over_margin: The target's outcomes over the margin at that time.
        pooled_outcomes: Pooled outcomes of the peers at that time.
        pooled_labelled: Pooled labelled outcomes of the peers at that time.
    """

    __slots__ = (
        "excess",
        "rise",
        "fall",
        "height",
        "evidence",
        "outcomes",
        "over_margin",
        "pooled_outcomes",
        "pooled_labelled",
    )

    def __init__(self, excess):
        self.excess = excess
        self.reset()

    def reset(self):
        self.height = 0.0
        self.evidence = 0.0

    def set_weights(self, baseline_share):
        gray_share = baseline_share + self.excess * (1 - baseline_share)
        self.rise = math.log(gray_share / baseline_share)
        self.fall = math.log((1 - gray_share) / (1 - baseline_share))


class _LabelCharts:
    """Counts and charts of one target for one label.

    Attributes:
        label: The label.
        outcomes: All outcomes of the target.
        over_margin: Those of them that have the label with the margin applied.
        pooled: Counts that the target contributed to the pool. Outcomes of a target
            with strong evidence against it are left out of the pool.
        charts: One chart for each size of fault.
        baseline_share: Decayed share of the label at the peers.
    """

    __slots__ = (
        "label",
        "outcomes",
        "over_margin",
        "pooled",
        "charts",
        "baseline_share",
    )

    def __init__(self, label):
        self.label = label
        self.outcomes = 0
        self.over_margin = 0
        self.pooled = LabelCounts()
        self.charts = tuple(_Chart(excess) for excess in EXCESSES_BY_LABEL[label])
        self.baseline_share = INITIAL_SHARE_BY_LABEL[label]


class TargetCharts:
    """Charts and counts of one target.

    Attributes:
        charts_by_label: Charts and counts of each label.
        evidence: The strongest evidence of all charts in nats.
        refreshed_at: When the weights of the charts were last computed.
    """

    __slots__ = ("charts_by_label", "evidence", "refreshed_at")

    def __init__(self):
        self.charts_by_label = tuple(_LabelCharts(label) for label in OUTCOME_LABELS)
        self.evidence = 0.0
        self.refreshed_at = -math.inf

    def reset(self) -> None:
        """Reset the evidence of all charts and keep the counts."""
        self.evidence = 0.0
        for label_charts in self.charts_by_label:
            for chart in label_charts.charts:
                chart.reset()

    def find_strongest(self) -> StrongestEvidence:
        """Return the counts behind the chart with the strongest evidence."""
        charts = [
            (chart, label_charts)
            for label_charts in self.charts_by_label
            for chart in label_charts.charts
        ]
        chart, label_charts = max(charts, key=lambda pair: pair[0].evidence)
        if chart.height <= 0:
            return StrongestEvidence(
                label=label_charts.label, outcomes=0, labelled=0, peer_share=0.0
            )
        return StrongestEvidence(
            label=label_charts.label,
            outcomes=label_charts.outcomes - chart.outcomes,
            labelled=label_charts.over_margin - chart.over_margin,
            peer_share=label_charts.baseline_share,
        )

    def update_evidence(self) -> None:
        """Set the evidence to the maximum over all charts."""
        self.evidence = max(
            chart.evidence
            for label_charts in self.charts_by_label
            for chart in label_charts.charts
        )


class CusumDetector:
    """CUSUM charts of all targets of a service or shard.

    Attributes:
        threshold: Evidence that ejects a target, in nats.
        suspect_threshold: Evidence that makes a target suspect, in nats.
        latency_thresholds: Latency of a slow answer by request kind.
        charts_by_target: Charts of each target by its name.
    """

    def __init__(self, *, costs: DetectionCosts, now: float):
        self.threshold = compute_threshold(costs)
        self.latency_thresholds = LatencyThresholds()
        self.charts_by_target: dict[str, TargetCharts] = {}
        self.suspect_threshold = min(SUSPECT_NATS, self.threshold / 2)
        self._pool_exclusion_nats = self.threshold * POOL_EXCLUSION_SHARE
        self._pools = tuple(LabelCounts() for _ in OUTCOME_LABELS)
        self._started_at = now

    def set_targets(self, names: frozenset[str]) -> None:
        """Add charts for new targets and drop those of targets that no longer exist.

        Args:
            names: Names of all targets.
        """
        for name in [name for name in self.charts_by_target if name not in names]:
            del self.charts_by_target[name]
        for name in names:
            if name not in self.charts_by_target:
                self.charts_by_target[name] = TargetCharts()

    def add_failure(self, target: str, now: float) -> float:
        """Add a failed attempt and return the target's evidence in nats."""
        target_charts = self.charts_by_target[target]
        weight = self._refresh_and_compute_weight(target_charts, now)
        self._add(target_charts, OutcomeLabel.FAILED, True, True, weight)
        return target_charts.evidence

    def add_answer(
        self,
        target: str,
        kind: str,
        latency_seconds: float,
        now: float,
        *,
        ignore_latency: bool = False,
    ) -> float:
        """Add a successful answer.

        Args:
            target: Name of the target.
            kind: Request kind.
            latency_seconds: Time from dispatch to the first byte of the answer.
            now: Present time.
            ignore_latency: Whether its latency does not count, because the attempt was
                already added as unanswered or the target is cold.

        Returns:
            The target's evidence in nats.
        """
        slow_seconds = self.latency_thresholds.add(kind, latency_seconds)
        target_charts = self.charts_by_target[target]
        weight = self._refresh_and_compute_weight(target_charts, now)
        self._add(target_charts, OutcomeLabel.FAILED, False, False, weight)
        if not ignore_latency:
            self._add_latency(target_charts, latency_seconds / slow_seconds, weight)
        return target_charts.evidence

    def compute_overdue_seconds(self, kind: str) -> float:
        """Return the age in seconds at which an unanswered attempt is very slow.

        The age is infinite until the kind has had an answer.
        """
        slow_seconds = self.latency_thresholds.get_threshold(kind) or math.inf
        return slow_seconds * LATENCY_MARGIN * VERY_SLOW_FACTOR

    def add_unanswered(self, target: str, now: float) -> float:
        """Add an attempt without an answer within the very slow latency.

        Args:
            target: Name of the target.
            now: Present time.

        Returns:
            The target's evidence in nats.
        """
        target_charts = self.charts_by_target[target]
        weight = self._refresh_and_compute_weight(target_charts, now)
        self._add_latency(target_charts, math.inf, weight)
        return target_charts.evidence

    def classify_latency(self, kind: str, latency_seconds: float) -> tuple[bool, bool]:
        """Return whether a latency is slow and whether it is very slow.

        Both limits include the margin.
        """
        very_slow_seconds = self.compute_overdue_seconds(kind)
        slow = latency_seconds > very_slow_seconds / VERY_SLOW_FACTOR
        return slow, latency_seconds > very_slow_seconds

    def get_baseline_share(self, target: str, label: int) -> float:
        """Return the baseline share of a label at the peers of a target."""
        return self.charts_by_target[target].charts_by_label[label].baseline_share

    def withdraw_failures(self, target: str, count: int) -> float:
        """Remove failed attempts that were not the target's fault from the evidence.

        Args:
            target: Name of the target.
            count: Number of failures to remove; a chart removes at most those since it
                began to rise.

        Returns:
            The remaining evidence against the target in nats.
        """
        target_charts = self.charts_by_target[target]
        label_charts = target_charts.charts_by_label[OutcomeLabel.FAILED]
        for chart in label_charts.charts:
            if chart.height == 0:
                continue
            failures = label_charts.over_margin - chart.over_margin
            removed = min(count, failures)
            chart.over_margin += removed
            chart.outcomes += removed
            chart.height -= removed * chart.rise
            if chart.height <= 0 or removed == failures:
                chart.reset()
                continue
            self._update_chart_evidence(label_charts, chart)
        target_charts.update_evidence()
        return target_charts.evidence

    def _refresh_and_compute_weight(
        self, target_charts: TargetCharts, now: float
    ) -> float:
        """Return the weight of an outcome now, after the updates that are due.

        The updates rescale the decayed sums and refresh the charts of the target.
        """
        exponent = (now - self._started_at) / BASELINE_SECONDS
        if exponent > RESCALE_EXPONENT:
            self._rescale(exponent, now)
            exponent = 0.0
        if now - target_charts.refreshed_at > REFRESH_SECONDS:
            self._refresh_charts(target_charts, now)
        return math.exp(exponent)

    def _rescale(self, exponent: float, now: float) -> None:
        """Scale all decayed sums down, so that the weights start again at 1."""
        factor = math.exp(-exponent)
        for pool in self._pools:
            pool.scale(factor)
        for target_charts in self.charts_by_target.values():
            for label_charts in target_charts.charts_by_label:
                label_charts.pooled.scale(factor)
        self._started_at = now

    def _refresh_charts(self, target_charts: TargetCharts, now: float) -> None:
        target_charts.refreshed_at = now
        scale = math.exp((self._started_at - now) / BASELINE_SECONDS)
        for label_charts in target_charts.charts_by_label:
            label_charts.baseline_share = self._compute_baseline_share(
                label_charts, scale
            )
            for chart in label_charts.charts:
                chart.set_weights(label_charts.baseline_share)

    def _compute_baseline_share(
        self, label_charts: _LabelCharts, scale: float
    ) -> float:
        pool = self._pools[label_charts.label]
        own = label_charts.pooled
        outcomes = max(pool.decayed_outcomes - own.decayed_outcomes, 0.0) * scale
        labelled = max(pool.decayed_labelled - own.decayed_labelled, 0.0) * scale
        prior = INITIAL_SHARE_BY_LABEL[label_charts.label] * INITIAL_OUTCOMES
        share = (labelled + prior) / (outcomes + INITIAL_OUTCOMES)
        return min(max(share, MIN_BASELINE_SHARE), 1 - MIN_BASELINE_SHARE)

    def _add_latency(
        self, target_charts: TargetCharts, relative_latency: float, weight: float
    ) -> None:
        """Add a latency to the labels slow and very slow.

        Args:
            target_charts: Charts of the target.
            relative_latency: Latency divided by the slow latency of its request kind.
            weight: Present weight of the decayed sums.
        """
        self._add(
            target_charts,
            1,
            relative_latency > 1,
            relative_latency > LATENCY_MARGIN,
            weight,
        )
        relative_latency /= VERY_SLOW_FACTOR
        self._add(
            target_charts,
            2,
            relative_latency > 1,
            relative_latency > LATENCY_MARGIN,
            weight,
        )

    def _add(
        self,
        target_charts: TargetCharts,
        label: int,
        labelled: bool,
        over_margin: bool,
        weight: float,
    ) -> None:
        """Add an outcome to the counts and charts of one label.

        Args:
            target_charts: Charts of the target.
            label: Number of the label.
            labelled: Whether the outcome has the label, for the pool.
            over_margin: Whether it has the label with the margin applied, for the
                charts of the target.
            weight: Present weight of the decayed sums.
        """
        label_charts = target_charts.charts_by_label[label]
        if over_margin:
            self._start_charts(label_charts)
            label_charts.over_margin += 1
        label_charts.outcomes += 1
        if target_charts.evidence < self._pool_exclusion_nats:
            label_charts.pooled.add(labelled, weight)
            self._pools[label].add(labelled, weight)
        if over_margin:
            self._raise_charts(target_charts, label_charts)
            return
        for chart in label_charts.charts:
            if chart.height == 0:
                continue
            chart.height += chart.fall
            if chart.height <= 0:
                chart.reset()
                target_charts.update_evidence()
        if (
            target_charts.evidence == 0
            or label_charts.outcomes % EVIDENCE_REFRESH_OUTCOMES
        ):
            return
        if target_charts.evidence >= self.suspect_threshold / 2:
            self._update_evidence(target_charts, label_charts)

    def _start_charts(self, label_charts: _LabelCharts) -> None:
        """Store the present counts in each chart that is at rest."""
        pool = self._pools[label_charts.label]
        own = label_charts.pooled
        for chart in label_charts.charts:
            if chart.height > 0:
                continue
            chart.outcomes = label_charts.outcomes
            chart.over_margin = label_charts.over_margin
            chart.pooled_outcomes = pool.outcomes - own.outcomes
            chart.pooled_labelled = pool.labelled - own.labelled

    def _raise_charts(
        self, target_charts: TargetCharts, label_charts: _LabelCharts
    ) -> None:
        for chart in label_charts.charts:
            chart.height += chart.rise
        self._update_evidence(target_charts, label_charts)

    def _update_evidence(
        self, target_charts: TargetCharts, label_charts: _LabelCharts
    ) -> None:
        for chart in label_charts.charts:
            if chart.height > 0:
                self._update_chart_evidence(label_charts, chart)
        target_charts.update_evidence()

    def _update_chart_evidence(self, label_charts: _LabelCharts, chart: _Chart) -> None:
        pool = self._pools[label_charts.label]
        own = label_charts.pooled
        chart.evidence = compute_evidence(
            label=label_charts.label,
            outcomes=label_charts.outcomes - chart.outcomes,
            labelled=label_charts.over_margin - chart.over_margin,
            peer_outcomes=pool.outcomes - own.outcomes - chart.pooled_outcomes,
            peer_labelled=pool.labelled - own.labelled - chart.pooled_labelled,
            baseline_share=label_charts.baseline_share,
            peers=len(self.charts_by_target) - 1,
        )
