"""Mean times for which slots are held, by request kind."""

SAMPLE_WEIGHT = 1 / 32
"""Weight of a new sample in a mean; the mean follows over about as many samples."""


class HoldTimes:
    """Exponentially weighted means of the time from grant to release."""

    def __init__(self):
        self.mean_seconds_by_kind: dict[str, float] = {}
        self.mean_seconds = 0.0

    def add(self, request_kind: str, seconds: float) -> None:
        """Add one sample."""
        before = self.mean_seconds_by_kind.get(request_kind, seconds)
        self.mean_seconds_by_kind[request_kind] = _blend(before, seconds)
        self.mean_seconds = _blend(self.mean_seconds or seconds, seconds)

    def estimate(self, request_kind: str) -> float:
        """Return the mean of a kind, or of all kinds before its first sample."""
        return self.mean_seconds_by_kind.get(request_kind, self.mean_seconds)

    def take_over(self, mean_seconds_by_kind: dict[str, float]) -> None:
        """Take the means of another broker where there are none yet."""
        for kind, seconds in mean_seconds_by_kind.items():
            self.mean_seconds_by_kind.setdefault(kind, seconds)
        if self.mean_seconds or not mean_seconds_by_kind:
            return
        total = sum(mean_seconds_by_kind.values())
        self.mean_seconds = total / len(mean_seconds_by_kind)


def _blend(before, sample):
    return before + (sample - before) * SAMPLE_WEIGHT
