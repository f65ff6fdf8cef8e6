"""Failure probability of a target, estimated from the outcomes of its requests.

Some services have targets that fail most of their requests for some seconds at a time.
There a single failure is strong evidence, but only for a short time. The model is a
hidden Markov chain with two states, healthy and failing, which are observed through
outcomes only; the failure probability is the probability of the failing state. Source:
Rabiner, "A tutorial on hidden Markov models", Proceedings of the IEEE 77(2), 1989,
section III (the forward procedure).
"""

import math
import time
from dataclasses import dataclass

MEAN_EPISODE_SECONDS = 10.0
"""Mean duration of a failure episode."""

INITIAL_EPISODE_SHARE = 0.1
"""Share of the time that targets spend in failure episodes, before any outcome."""

MIN_EPISODE_SHARE = 0.03
MAX_EPISODE_SHARE = 0.3
EPISODE_SHARE_SECONDS = 30.0
"""Time constant of the moving average of the episode share."""

EPISODE_FAILURE_SHARE = 0.75
"""Share of its requests that a target fails during a failure episode."""

INITIAL_FAILURE_SHARE = 0.015
"""Share of its requests that a healthy target fails, before any outcome."""

INITIAL_FAILURE_SHARE_OUTCOMES = 100.0
"""Weight of the initial failure share, as a number of outcomes."""

FAILURE_SHARE_OUTCOMES = 2000.0
"""Outcomes over which the failure share is averaged, with exponential weights."""

MIN_FAILURE_SHARE = 0.005
MAX_FAILURE_SHARE = 0.3

UNREACHABLE_LIKELIHOOD_RATIO = 8.0
"""Likelihood ratio of a failed connection, which may also be due to the network."""

SHED_LIKELIHOOD_RATIO = 4.0
"""Likelihood ratio of a request that is shed although slots are free."""

OVERDUE_LIKELIHOOD_RATIO = 6.0
"""Likelihood ratio of an overdue answer; some requests of healthy targets are long."""


@dataclass(frozen=True, kw_only=True, slots=True)
class FailureEstimate:
    """Failure probability of one target at one time.

    Attributes:
        failure_probability: Probability that the target is in a failure episode.
        at: Time of ``time.monotonic()`` to which the probability applies.
    """

    failure_probability: float
    at: float


class FailureEpisodeModel:
    """Parameters that the targets of one service share, estimated from all of them."""

    def __init__(self):
        now = time.monotonic()
        self._episode_share = INITIAL_EPISODE_SHARE
        self._episode_share_updated_at = now
        self._outcomes = INITIAL_FAILURE_SHARE_OUTCOMES
        self._failures = INITIAL_FAILURE_SHARE_OUTCOMES * INITIAL_FAILURE_SHARE

    @property
    def episode_share(self) -> float:
        """Share of the time that a target spends in failure episodes."""
        return min(max(self._episode_share, MIN_EPISODE_SHARE), MAX_EPISODE_SHARE)

    @property
    def failure_share(self) -> float:
        """Share of its requests that a healthy target fails."""
        share = self._failures / self._outcomes
        return min(max(share, MIN_FAILURE_SHARE), MAX_FAILURE_SHARE)

    def make_initial_estimate(self) -> FailureEstimate:
        """Return the estimate for a target without outcomes."""
        return FailureEstimate(
            failure_probability=self.episode_share, at=time.monotonic()
        )

    def decay_to_prior(self, estimate: FailureEstimate, now: float) -> FailureEstimate:
        """Return the estimate at a later time, without further outcomes.

        Args:
            estimate: The earlier estimate.
            now: Time of ``time.monotonic()`` for the new estimate.
        """
        seconds = max(now - estimate.at, 0.0)
        share = self.episode_share
        # The chain approaches its stationary state at the sum of both transition rates.
        remainder = math.exp(-seconds / (MEAN_EPISODE_SECONDS * (1 - share)))
        return FailureEstimate(
            failure_probability=share
            + (estimate.failure_probability - share) * remainder,
            at=now,
        )

    def update_on_failure(self, estimate: FailureEstimate) -> FailureEstimate:
        """Return the estimate after a failed request."""
        self._update_failure_share(estimate, failed=True)
        return apply_likelihood_ratio(
            estimate, EPISODE_FAILURE_SHARE / self.failure_share
        )

    def update_on_success(self, estimate: FailureEstimate) -> FailureEstimate:
        """Return the estimate after a successful request."""
        self._update_failure_share(estimate, failed=False)
        return apply_likelihood_ratio(
            estimate, (1 - EPISODE_FAILURE_SHARE) / (1 - self.failure_share)
        )

    def update_episode_share(
        self, estimates: list[FailureEstimate], now: float
    ) -> None:
        """Update the episode share from the estimates for all targets.

        Args:
            estimates: One estimate for each target.
            now: Present time of ``time.monotonic()``.
        """
        if not estimates or now <= self._episode_share_updated_at:
            return
        mean = sum(estimate.failure_probability for estimate in estimates) / len(
            estimates
        )
        weight = 1 - math.exp(
            (self._episode_share_updated_at - now) / EPISODE_SHARE_SECONDS
        )
        self._episode_share += (mean - self._episode_share) * weight
        self._episode_share_updated_at = now

    def _update_failure_share(self, estimate, *, failed):
        """Count an outcome, weighted by the probability that its target is healthy."""
        failing_outcome_share = (
            EPISODE_FAILURE_SHARE if failed else 1 - EPISODE_FAILURE_SHARE
        )
        healthy_outcome_share = self.failure_share if failed else 1 - self.failure_share
        healthy_likelihood = (1 - estimate.failure_probability) * healthy_outcome_share
        weight = healthy_likelihood / (
            healthy_likelihood + estimate.failure_probability * failing_outcome_share
        )
        decay = 1 - weight / FAILURE_SHARE_OUTCOMES
        self._outcomes = self._outcomes * decay + weight
        self._failures = self._failures * decay + (weight if failed else 0.0)


def apply_likelihood_ratio(estimate: FailureEstimate, ratio: float) -> FailureEstimate:
    """Return the estimate after an observation.

    Args:
        estimate: The estimate before the observation.
        ratio: Probability of the observation at a failing target, divided by its
            probability at a healthy one.

    Returns:
        The estimate for the same time.
    """
    failing_weight = estimate.failure_probability * ratio
    return FailureEstimate(
        failure_probability=failing_weight
        / (failing_weight + 1 - estimate.failure_probability),
        at=estimate.at,
    )
