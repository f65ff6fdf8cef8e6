"""Evidence of the sequential test, and the evidence at which a target is ejected."""

import math
from dataclasses import dataclass

from citronspan.core.detection.cusum_counts import OutcomeLabel
from citronspan.core.resources import DetectionCosts

FAULTS_PER_TARGET_SECOND = 1 / (7 * 24 * 3600)
OUTCOMES_PER_TARGET_SECOND = 10.0

# Weight of the baseline share per peer, in outcomes, when it is averaged with the share
# of the peers since the chart began to rise.
PRIOR_OUTCOMES_PER_PEER = 3.0
# Margin between the failure shares of a target and of its peers: a target's share is
# evidence only if it exceeds the share that results when the odds of the peers' share
# are raised by about this fraction and this share is added.
FAILED_ODDS_MARGIN = 0.25
FAILED_MARGIN_SHARE = 0.001


def compute_threshold(costs: DetectionCosts) -> float:
    """Return the evidence threshold of ejection with the least expected cost.

    With a threshold ``h``, a chart raises a false alarm about every ``exp(h)`` outcomes
    and detects a fault after about ``h`` outcomes of one nat each. With ``r``
    outcomes a second and ``f`` faults a second, the expected cost per second,
    ``falseEjection * r * exp(-h) + lateSecond * f * h / r``, is least at
    ``h = ln(falseEjection * r ** 2 / (lateSecond * f))``.

    Args:
        costs: Detection costs from the resource of the service.

    Returns:
        The threshold, in nats.
    """
    ratio = costs.false_ejection / costs.late_second
    constant = OUTCOMES_PER_TARGET_SECOND**2 / FAULTS_PER_TARGET_SECOND
    return max(math.log(ratio * constant), 6.0)


def compute_evidence(
    *,
    label: int,
    outcomes: float,
    labelled: float,
    peer_outcomes: float,
    peer_labelled: float,
    baseline_share: float,
    peers: int,
) -> float:
    """Return the evidence that a target's share of a label is above that of its peers.

    Args:
        label: Number of the label.
        outcomes: Outcomes of the target since its chart began to rise.
        labelled: Those of them with the label, the margin applied.
        peer_outcomes: Outcomes of the peers in the same period.
        peer_labelled: Those of them with the label, without a margin.
        baseline_share: Baseline share of the label at the peers.
        peers: Number of peers.

    Returns:
        The log-likelihood ratio in nats, 0 where the share is not above the peers'.
    """
    if labelled <= 0 or peers <= 0:
        return 0.0
    prior = PRIOR_OUTCOMES_PER_PEER * peers
    peer_weight = peer_outcomes + prior
    peer_share = max(
        baseline_share, (peer_labelled + prior * baseline_share) / peer_weight
    )
    if label == OutcomeLabel.FAILED:
        peer_share += (
            FAILED_ODDS_MARGIN * peer_share * (1 - peer_share) + FAILED_MARGIN_SHARE
        )
    share = labelled / outcomes
    if peer_share >= share:
        return 0.0
    evidence = labelled * math.log(share / peer_share)
    if labelled < outcomes:
        evidence += (outcomes - labelled) * math.log((1 - share) / (1 - peer_share))
    return max(evidence, 0.0) * peer_weight / (peer_weight + outcomes)


@dataclass(frozen=True, kw_only=True, slots=True)
class StrongestEvidence:
    """Counts behind the strongest evidence against a target.

    Attributes:
        label: The label.
        outcomes: Outcomes of the target since its chart began to rise.
        labelled: Those of them with the label, the margin applied.
        peer_share: Baseline share of the label at the peers.
    """

    label: OutcomeLabel
    outcomes: int
    labelled: int
    peer_share: float

    @property
    def share(self) -> float:
        """Share of the outcomes with the label."""
        return self.labelled / max(self.outcomes, 1)

    def describe(self) -> str:
        """Return the evidence as a short sentence."""
        verb = ("failed", "were slow", "were very slow")[self.label]
        usual = f"{100 * self.peer_share:.1f} %"
        return f"{self.labelled} of {self.outcomes} {verb}, usual at its peers: {usual}"
