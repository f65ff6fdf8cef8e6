"""How long slots are held, by request kind.

Means and mean deviations follow the samples with exponential weights, as the
estimator of round-trip times in TCP does. Source: Jacobson, "Congestion avoidance
and control", SIGCOMM 1988.
"""

from dataclasses import dataclass

SAMPLE_WEIGHT = 1 / 32
"""Weight of a new sample; an estimate follows over about as many samples."""

UPPER_BOUND_DEVIATIONS = 2.0
"""Mean deviations above the mean that a request is taken to need."""


@dataclass(frozen=True, kw_only=True, slots=True)
class SlotHoldTimeEstimate:
    """Estimate of the time from grant to release.

    Attributes:
        mean_seconds: Mean.
        deviation_seconds: Mean absolute deviation from the mean.
    """

    mean_seconds: float
    deviation_seconds: float = 0.0

    def with_sample(self, seconds: float) -> "SlotHoldTimeEstimate":
        """Return the estimate after one more sample."""
        error = seconds - self.mean_seconds
        deviation = self.deviation_seconds
        deviation += (abs(error) - deviation) * SAMPLE_WEIGHT
        return SlotHoldTimeEstimate(
            mean_seconds=self.mean_seconds + error * SAMPLE_WEIGHT,
            deviation_seconds=deviation,
        )


class SlotHoldTimeEstimator:
    """Estimates over all requests and for each request kind."""

    def __init__(self):
        self._overall: SlotHoldTimeEstimate | None = None
        self._time_by_kind: dict[str, SlotHoldTimeEstimate] = {}

    @property
    def mean_seconds(self) -> float:
        """Mean over all requests, 0 before the first sample."""
        return 0.0 if self._overall is None else self._overall.mean_seconds

    def add(self, request_kind: str, seconds: float) -> None:
        """Add one sample."""
        first = SlotHoldTimeEstimate(mean_seconds=seconds)
        self._overall = (self._overall or first).with_sample(seconds)
        before = self._time_by_kind.get(request_kind, first)
        self._time_by_kind[request_kind] = before.with_sample(seconds)

    def estimate_mean(self, request_kind: str) -> float:
        """Return the mean time of a request kind, that of all where it has none."""
        time = self._time_by_kind.get(request_kind, self._overall)
        return 0.0 if time is None else time.mean_seconds

    def estimate_upper_bound(self, request_kind: str) -> float:
        """Return the time that a request of a kind is taken to need.

        A kind without samples is taken to be like all; without any samples the
        need is taken as 0.
        """
        time = self._time_by_kind.get(request_kind, self._overall)
        if time is None:
            return 0.0
        return time.mean_seconds + UPPER_BOUND_DEVIATIONS * time.deviation_seconds

    def export(self) -> dict[str, float]:
        """Return the mean of each kind in seconds, for a handover."""
        return {
            kind: time.mean_seconds for kind, time in sorted(self._time_by_kind.items())
        }

    def import_means(self, mean_seconds_by_kind: dict[str, float]) -> None:
        """Take the means of another broker where there are none yet."""
        for kind, seconds in mean_seconds_by_kind.items():
            time = SlotHoldTimeEstimate(mean_seconds=seconds)
            self._time_by_kind.setdefault(kind, time)
            self._overall = self._overall or time
