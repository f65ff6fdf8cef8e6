"""Belief that a target is in a bad spell, from the outcomes of its requests.

Where many targets fail most of their requests for some seconds at a time, a single
failure says a lot and soon grows old. A target is taken as a Markov chain with two
states, sound and bad, that is seen only through outcomes; the belief is the
probability of the bad state. Source: Rabiner, "A tutorial on hidden Markov models",
Proceedings of the IEEE 77(2), 1989, section III (the forward procedure).
"""

import math
import time
from dataclasses import dataclass

MEAN_EPISODE_SECONDS = 10.0
"""Mean length of a bad spell."""

INITIAL_EPISODE_SHARE = 0.1
"""Share of the time that targets are bad, before anything was seen."""

MIN_EPISODE_SHARE = 0.03
MAX_EPISODE_SHARE = 0.3
EPISODE_SHARE_SECONDS = 30.0
"""Time over which the share of bad time is learned."""

EPISODE_FAILURE_SHARE = 0.75
"""Share of its requests that a target fails in a bad spell."""

FIRST_FAILURE_SHARE = 0.015
"""Share of its requests that a sound target fails, before anything was seen."""

FAILURE_WEIGHT = 100.0
"""Outcomes that the first failure share counts as much as."""

REMEMBERED_OUTCOMES = 2000.0
LEAST_FAILURE_SHARE = 0.005
LARGEST_FAILURE_SHARE = 0.3

UNREACHABLE_RATIO = 8.0
"""How much likelier a failed connection is at a bad target: paths fail, too."""

SHED_RATIO = 4.0
"""How much likelier it is that a bad target sheds although slots are free."""

OVERDUE_RATIO = 6.0
"""How much likelier a missing answer is at a bad target: some requests are long."""


@dataclass(frozen=True, kw_only=True, slots=True)
class FailureEstimate:
    """Belief on one target.

    Attributes:
        failure_probability: Probability that it is in a bad spell.
        at: Time of ``time.monotonic()`` for which that holds.
    """

    failure_probability: float
    at: float


class FailureEpisodeModel:
    """What the targets of one service have in common; it is learned from all."""

    def __init__(self):
        now = time.monotonic()
        self._share = INITIAL_EPISODE_SHARE
        self._share_at = now
        self._outcomes = FAILURE_WEIGHT
        self._failures = FAILURE_WEIGHT * FIRST_FAILURE_SHARE

    @property
    def episode_share(self) -> float:
        """Share of the time that a target is bad."""
        return min(max(self._share, MIN_EPISODE_SHARE), MAX_EPISODE_SHARE)

    @property
    def failure_share(self) -> float:
        """Share of its requests that a sound target fails."""
        share = self._failures / self._outcomes
        return min(max(share, LEAST_FAILURE_SHARE), LARGEST_FAILURE_SHARE)

    def make_initial_estimate(self) -> FailureEstimate:
        """Return the belief on a target of which nothing is known."""
        return FailureEstimate(
            failure_probability=self.episode_share, at=time.monotonic()
        )

    def decay_to_prior(self, estimate: FailureEstimate, now: float) -> FailureEstimate:
        """Return the belief at a later time without further outcomes."""
        seconds = max(now - estimate.at, 0.0)
        share = self.episode_share
        # The chain comes to its stationary share with the sum of both its rates.
        left = math.exp(-seconds / (MEAN_EPISODE_SECONDS * (1 - share)))
        return FailureEstimate(
            failure_probability=share + (estimate.failure_probability - share) * left,
            at=now,
        )

    def update_on_failure(self, estimate: FailureEstimate) -> FailureEstimate:
        """Return the belief after a failed request."""
        self._count(estimate, failed=True)
        return apply_likelihood_ratio(
            estimate, EPISODE_FAILURE_SHARE / self.failure_share
        )

    def update_on_success(self, estimate: FailureEstimate) -> FailureEstimate:
        """Return the belief after a request that went well."""
        self._count(estimate, failed=False)
        return apply_likelihood_ratio(
            estimate, (1 - EPISODE_FAILURE_SHARE) / (1 - self.failure_share)
        )

    def update_episode_share(
        self, estimates: list[FailureEstimate], now: float
    ) -> None:
        """Learn the share of bad time from the beliefs on all targets."""
        if not estimates or now <= self._share_at:
            return
        mean = sum(estimate.failure_probability for estimate in estimates) / len(
            estimates
        )
        weight = 1 - math.exp((self._share_at - now) / EPISODE_SHARE_SECONDS)
        self._share += (mean - self._share) * weight
        self._share_at = now

    def _count(self, estimate, *, failed):
        """Count an outcome, as far as it is one of a sound target."""
        ratio = EPISODE_FAILURE_SHARE if failed else 1 - EPISODE_FAILURE_SHARE
        sound_ratio = self.failure_share if failed else 1 - self.failure_share
        sound = (1 - estimate.failure_probability) * sound_ratio
        weight = sound / (sound + estimate.failure_probability * ratio)
        fade = 1 - weight / REMEMBERED_OUTCOMES
        self._outcomes = self._outcomes * fade + weight
        self._failures = self._failures * fade + (weight if failed else 0.0)


def apply_likelihood_ratio(estimate: FailureEstimate, ratio: float) -> FailureEstimate:
    """Return the belief after evidence.

    Args:
        estimate: The belief before.
        ratio: How much likelier the evidence is at a bad target than at a sound one.
    """
    failure_probability = estimate.failure_probability * ratio
    return FailureEstimate(
        failure_probability=failure_probability
        / (failure_probability + 1 - estimate.failure_probability),
        at=estimate.at,
    )


class LogNormalLatency:
    """Usual latencies of one request kind: mean and deviation of their logarithms."""

    WEIGHT = 1 / 64
    DEVIATIONS = 3.0
    SAMPLES = 20

    def __init__(self):
        self._mean = 0.0
        self._square = 0.0
        self._samples = 0

    def add(self, seconds: float) -> None:
        """Add the latency of an answer."""
        value = math.log(max(seconds, 1e-4))
        self._samples += 1
        weight = max(self.WEIGHT, 1 / self._samples)
        self._mean += (value - self._mean) * weight
        self._square += ((value - self._mean) ** 2 - self._square) * weight

    def find_overdue_seconds(self) -> float:
        """Return the latency that hardly any good answer has, else infinity."""
        if self._samples < self.SAMPLES:
            return math.inf
        deviation = max(math.sqrt(self._square), 0.3)
        return math.exp(self._mean + self.DEVIATIONS * deviation)
