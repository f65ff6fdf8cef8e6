"""Estimates of the time for which slots are held, by request kind.

The mean and the mean deviation are exponentially weighted moving averages, as in TCP's
round-trip time estimator. Source: Jacobson, "Congestion avoidance and control", SIGCOMM
1988.
"""

from dataclasses import dataclass

SAMPLE_WEIGHT = 1 / 32
"""Weight of a new sample; an estimate adapts over about 32 samples."""

UPPER_BOUND_DEVIATIONS = 2.0
"""Mean deviations that the upper bound adds to the mean."""


@dataclass(frozen=True, kw_only=True, slots=True)
class SlotHoldTimeEstimate:
    """Estimate of the time from grant to release.

    Attributes:
        mean_seconds: Mean time.
        deviation_seconds: Mean absolute deviation from the mean.
    """

    mean_seconds: float
    deviation_seconds: float = 0.0

    def with_sample(self, seconds: float) -> "SlotHoldTimeEstimate":
        """Return the estimate updated with a sample."""
        error = seconds - self.mean_seconds
        deviation = self.deviation_seconds
        deviation += (abs(error) - deviation) * SAMPLE_WEIGHT
        return SlotHoldTimeEstimate(
            mean_seconds=self.mean_seconds + error * SAMPLE_WEIGHT,
            deviation_seconds=deviation,
        )


class SlotHoldTimeEstimator:
    """Estimates for each request kind and for all requests together."""

    def __init__(self):
        self._overall: SlotHoldTimeEstimate | None = None
        self._estimate_by_kind: dict[str, SlotHoldTimeEstimate] = {}

    @property
    def mean_seconds(self) -> float:
        """Mean over all requests, 0 before the first sample."""
        return 0.0 if self._overall is None else self._overall.mean_seconds

    def add(self, request_kind: str, seconds: float) -> None:
        """Add a sample."""
        first = SlotHoldTimeEstimate(mean_seconds=seconds)
        self._overall = (self._overall or first).with_sample(seconds)
        previous = self._estimate_by_kind.get(request_kind, first)
        self._estimate_by_kind[request_kind] = previous.with_sample(seconds)

    def estimate_mean(self, request_kind: str) -> float:
        """Return the mean time of a request kind in seconds.

        A kind without samples has the mean over all requests, which is 0 before the
        first sample.
        """
        estimate = self._estimate_by_kind.get(request_kind, self._overall)
        return 0.0 if estimate is None else estimate.mean_seconds

    def estimate_upper_bound(self, request_kind: str) -> float:
        """Return an upper bound of the time that a request kind needs, in seconds.

        A kind without samples has the bound over all requests, which is 0 before the
        first sample.
        """
        estimate = self._estimate_by_kind.get(request_kind, self._overall)
        if estimate is None:
            return 0.0
        return (
            estimate.mean_seconds + UPPER_BOUND_DEVIATIONS * estimate.deviation_seconds
        )

    def export(self) -> dict[str, float]:
        """Return the mean time of each kind in seconds, for a handover."""
        return {
            kind: estimate.mean_seconds
            for kind, estimate in sorted(self._estimate_by_kind.items())
        }

    def import_means(self, mean_seconds_by_kind: dict[str, float]) -> None:
        """Use the means of another broker for kinds without an estimate."""
        for kind, seconds in mean_seconds_by_kind.items():
            estimate = SlotHoldTimeEstimate(mean_seconds=seconds)
            self._estimate_by_kind.setdefault(kind, estimate)
            self._overall = self._overall or estimate
