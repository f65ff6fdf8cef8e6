"""Evidence of the sequential test: how much there is, and how much convicts."""

import math
from dataclasses import dataclass

from citronspan.core.cusum_counts import OutcomeLabel
from citronspan.core.resources import DetectionCosts

FAULTS_PER_TARGET_SECOND = 1 / (7 * 24 * 3600)
OUTCOMES_PER_TARGET_SECOND = 10.0

# Outcomes that the long-run share is worth per peer beside what was seen since the
# chart began to rise.
PRIOR_OUTCOMES_PER_PEER = 3.0
# The odds that a target fails may be about this much above its peers', plus this
# share, without its being gray.
FAILED_MARGIN = 0.25
FAILED_MARGIN_SHARE = 0.001


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
    label: int,
    outcomes: float,
    labelled: float,
    peer_outcomes: float,
    peer_labelled: float,
    baseline_share: float,
    peers: int,
) -> float:
    """Return the evidence that a target's share of a mark is not that of its peers.

    Args:
        label: The mark.
        outcomes: Outcomes of the target since its chart began to rise.
        labelled: Those of them with the mark, the margin applied.
        peer_outcomes: Outcomes of the peers in the same time.
        peer_labelled: Those of them with the mark, without a margin.
        baseline_share: Long-run share of the mark at the peers.
        peers: Number of peers.

    Returns:
        The log-likelihood ratio in nats, 0 where the share is not above the peers'.
    """
    if labelled <= 0 or peers <= 0:
        return 0.0
    prior = PRIOR_OUTCOMES_PER_PEER * peers
    known = peer_outcomes + prior
    level = max(baseline_share, (peer_labelled + prior * baseline_share) / known)
    if label == OutcomeLabel.FAILED:
        level += FAILED_MARGIN * level * (1 - level) + FAILED_MARGIN_SHARE
    share = labelled / outcomes
    if level >= share:
        return 0.0
    evidence = labelled * math.log(share / level)
    if labelled < outcomes:
        evidence += (outcomes - labelled) * math.log((1 - share) / (1 - level))
    return max(evidence, 0.0) * known / (known + outcomes)


@dataclass(frozen=True, kw_only=True, slots=True)
class StrongestEvidence:
    """What the strongest evidence against a target rests on.

    Attributes:
        label: The mark.
        outcomes: Outcomes since the target may be gray.
        labelled: Those of them with the mark.
        peer_share: Long-run share of the mark at the peers.
    """

    label: OutcomeLabel
    outcomes: int
    labelled: int
    peer_share: float

    @property
    def share(self) -> float:
        """Share of the outcomes with the mark."""
        return self.labelled / max(self.outcomes, 1)

    def describe(self) -> str:
        """Return the evidence as a short sentence."""
        verb = ("failed", "were slow", "were very slow")[self.label]
        usual = f"{100 * self.peer_share:.1f} %"
        return f"{self.labelled} of {self.outcomes} {verb}, usual at its peers: {usual}"
