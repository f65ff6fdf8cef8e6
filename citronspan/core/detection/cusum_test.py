import math
import random
import time

import pytest
from freezegun import freeze_time
from hypothesis import given, settings, strategies as st

from citronspan.core.detection import cusum, cusum_evidence
from citronspan.core.detection.cusum_counts import (
    INITIAL_SHARE_BY_LABEL,
    OUTCOME_LABELS,
    QUANTILE_STEP,
    SLOW_QUANTILE,
    VERY_SLOW_FACTOR,
)
from citronspan.core.detection.health import TargetInfo
from citronspan.core.detection.service_health import ServiceHealth
from citronspan.core.outcomes import Outcome, OutcomeClass
from citronspan.core.resources import DetectionCosts, ServiceSpec


class ReferenceDetector:
    """Reference detector that recounts one list of all outcomes for each result.

    A row of the list: time, target, label, labelled, over margin, pooled.
    """

    def __init__(self, *, count, threshold):
        self.count = count
        self.threshold = threshold
        self.rows = []
        self.slow_seconds = None
        self.refreshed_at = [-math.inf] * count
        self.baseline_share = [list(INITIAL_SHARE_BY_LABEL) for _ in range(count)]
        self.charts = [
            [
                [(0.0, None, 0.0) for _ in excesses]
                for excesses in cusum.EXCESSES_BY_LABEL
            ]
            for _ in range(count)
        ]

    def get_evidence(self, target):
        return max(chart[2] for label in self.charts[target] for chart in label)

    def add(self, now, target, failed, latency):
        if not failed:
            slow_seconds = self.slow_seconds or latency
            up = QUANTILE_STEP * SLOW_QUANTILE
            down = QUANTILE_STEP * (1 - SLOW_QUANTILE)
            if self.slow_seconds is not None:
                self.slow_seconds = slow_seconds * (
                    1 + up if latency > slow_seconds else 1 - down
                )
            self.slow_seconds = self.slow_seconds or latency
        if now - self.refreshed_at[target] > cusum.REFRESH_SECONDS:
            self.refreshed_at[target] = now
            self.baseline_share[target] = [
                self.compute_baseline_share(now, target, label)
                for label in OUTCOME_LABELS
            ]
        self.add_label(now, target, 0, failed, failed)
        if failed:
            return
        for label, factor in ((1, 1.0), (2, VERY_SLOW_FACTOR)):
            relative = latency / slow_seconds / factor
            over_margin = relative > cusum.LATENCY_MARGIN
            self.add_label(now, target, label, relative > 1, over_margin)

    def compute_baseline_share(self, now, target, label):
        outcomes = cusum.INITIAL_OUTCOMES
        labelled = INITIAL_SHARE_BY_LABEL[label] * outcomes
        for at, other, other_label, is_labelled, _, pooled in self.rows:
            if other == target or other_label != label or not pooled:
                continue
            weight = math.exp((at - now) / cusum.BASELINE_SECONDS)
            outcomes += weight
            labelled += weight * is_labelled
        return min(
            max(labelled / outcomes, cusum.MIN_BASELINE_SHARE),
            1 - cusum.MIN_BASELINE_SHARE,
        )

    def add_label(self, now, target, label, labelled, over_margin):
        pooled = self.get_evidence(target) < cusum.POOL_EXCLUSION_SHARE * self.threshold
        self.rows.append((now, target, label, labelled, over_margin, pooled))
        charts = self.charts[target][label]
        baseline_share = self.baseline_share[target][label]
        for index, excess in enumerate(cusum.EXCESSES_BY_LABEL[label]):
            height, start, evidence = charts[index]
            gray_share = baseline_share + excess * (1 - baseline_share)
            if height == 0:
                start = len(self.rows) - 1
            if over_margin:
                height += math.log(gray_share / baseline_share)
            elif height > 0:
                height += math.log((1 - gray_share) / (1 - baseline_share))
            if height <= 0:
                charts[index] = (0.0, None, 0.0)
                continue
            charts[index] = (height, start, evidence)
        own = sum(row[1] == target and row[2] == label for row in self.rows)
        refresh_threshold = min(cusum.SUSPECT_NATS, self.threshold / 2) / 2
        is_refresh_due = own % cusum.EVIDENCE_REFRESH_OUTCOMES == 0
        if over_margin or (
            is_refresh_due and self.get_evidence(target) >= refresh_threshold
        ):
            for index, (height, start, _) in enumerate(charts):
                if height > 0:
                    evidence = self.compute_evidence(target, label, start)
                    charts[index] = (height, start, evidence)

    def compute_evidence(self, target, label, start):
        rows = [row for row in self.rows[start:] if row[2] == label]
        own = [row for row in rows if row[1] == target]
        peers = [row for row in rows if row[1] != target and row[5]]
        prior = cusum_evidence.PRIOR_OUTCOMES_PER_PEER * (self.count - 1)
        baseline_share = self.baseline_share[target][label]
        peer_labelled = sum(row[3] for row in peers)
        peer_share = max(
            baseline_share,
            (peer_labelled + prior * baseline_share) / (len(peers) + prior),
        )
        if label == 0:
            peer_share += (
                cusum_evidence.FAILED_ODDS_MARGIN * peer_share * (1 - peer_share)
            )
            peer_share += cusum_evidence.FAILED_MARGIN_SHARE
        labelled = sum(row[4] for row in own)
        share = labelled / len(own)
        if share <= peer_share:
            return 0.0
        nats = labelled * math.log(share / peer_share)
        if share < 1:
            nats += (len(own) - labelled) * math.log((1 - share) / (1 - peer_share))
        peer_weight = len(peers) + prior
        return max(nats, 0.0) * peer_weight / (peer_weight + len(own))


@settings(max_examples=60)
@given(
    st.integers(2, 6),
    st.sampled_from([0.0, 0.3, 1.0]),
    st.sampled_from([1, 2, 20]),
    st.sampled_from([1.0, 1000.0]),
    st.sampled_from([40.0, 0.1]),
    st.integers(0, 2**32),
)
def test_health_matches_reference_detector(
    count, share, slowness, cost, rescale_exponent, seed
):
    rng = random.Random(seed)
    costs = DetectionCosts(late_second=1.0, false_ejection=cost)
    names = [f"t{index}" for index in range(count)]
    with freeze_time("2026-01-01") as frozen, pytest.MonkeyPatch.context() as patch:
        patch.setattr(cusum, "RESCALE_EXPONENT", rescale_exponent)
        health = ServiceHealth(name="a", spec=ServiceSpec(floor=0.0, costs=costs))
        health.set_targets(
            tuple(
                TargetInfo(
                    name=name,
                    address=f"127.0.2.{index}:9000",
                    region="north",
                    data_centre="north-1",
                    slots=2,
                )
                for index, name in enumerate(names)
            )
        )
        reference = ReferenceDetector(
            count=count, threshold=cusum_evidence.compute_threshold(costs)
        )
        for number in range(250):
            frozen.tick(rng.choice([0.01, 0.1, 0.5]))
            now = time.monotonic()
            target = rng.randrange(count)
            gray = target == 0 and number > 100
            failed = rng.random() < (share if gray else 0.03)
            latency = 0.04 * rng.lognormvariate(0, 0.5) * (slowness if gray else 1)
            reference.add(now, target, failed, latency)
            outcome_class = OutcomeClass.TARGET_ERROR if failed else OutcomeClass.OK
            health.observe(
                Outcome(
                    target=names[target],
                    outcome_class=outcome_class,
                    latency_seconds=latency,
                    deadline_seconds=5.0,
                )
            )
            status = health.describe().targets[target]
            expected = reference.get_evidence(target)
            assert status.evidence == pytest.approx(expected, abs=1e-6)
            assert (status.state == "ejected") == (expected >= reference.threshold)
            if status.state == "ejected":
                return


def test_threshold_grows_with_relative_cost_of_false_ejection():
    thresholds = [
        cusum_evidence.compute_threshold(
            DetectionCosts(late_second=late, false_ejection=cost)
        )
        for late, cost in [(10.0, 100.0), (1.0, 100.0), (1.0, 1000.0)]
    ]
    assert thresholds == sorted(thresholds)
    assert thresholds[1] - thresholds[0] == pytest.approx(math.log(10))
