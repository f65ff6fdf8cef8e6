"""Distribution of the latencies of one request kind.

Kinds differ in shape: some have two peaks, such as reads that a target answers from its
memory and others that it works for. So shares are counted among recent latencies, and
only the latency that hardly any answer exceeds is worked out from a log-normal model.
"""

import math
from collections import deque

from sortedcontainers import SortedList

MINIMUM_SECONDS = 1e-4
MINIMUM_DEVIATION = 0.3
"""Lower bound of the deviation, since few samples may be alike by chance."""

RECENT_SAMPLES = 256


class LatencyDistribution:
    """Recent latencies, and mean and variance of the logarithms of all of them.

    In mean and variance, recent latencies have more weight.
    """

    MINIMUM_SAMPLE_WEIGHT = 1 / 64
    OVERDUE_DEVIATIONS = 3.0
    MINIMUM_SAMPLES = 20

    def __init__(self):
        self._mean = 0.0
        self._variance = 0.0
        self._sample_count = 0
        self._recent: deque[float] = deque()
        self._sorted = SortedList()

    @property
    def is_known(self) -> bool:
        """Whether there are enough samples to judge a latency."""
        return len(self._recent) >= self.MINIMUM_SAMPLES

    def add(self, seconds: float) -> None:
        """Add the latency of an answer in seconds."""
        value = math.log(max(seconds, MINIMUM_SECONDS))
        self._sample_count += 1
        weight = max(self.MINIMUM_SAMPLE_WEIGHT, 1 / self._sample_count)
        self._mean += (value - self._mean) * weight
        self._variance += ((value - self._mean) ** 2 - self._variance) * weight
        self.add_unanswered(seconds)

    def add_unanswered(self, seconds: float) -> None:
        """Add an attempt that was given up, as an answer of at least that latency."""
        if len(self._recent) == RECENT_SAMPLES:
            self._sorted.remove(self._recent.popleft())
        self._recent.append(seconds)
        self._sorted.add(seconds)

    def find_overdue_seconds(self) -> float:
        """Return the latency in seconds above which an answer is overdue.

        Hardly any successful answer takes longer. With too few samples, the result is
        infinity.
        """
        if self._sample_count < self.MINIMUM_SAMPLES:
            return math.inf
        deviation = max(math.sqrt(self._variance), MINIMUM_DEVIATION)
        return math.exp(self._mean + self.OVERDUE_DEVIATIONS * deviation)

    def find_survival(self, seconds: float) -> float:
        """Return the share of the answers that take this long or longer.

        One answer more is counted as longer than any other. With too few samples, the
        result is 1.
        """
        if not self.is_known:
            return 1.0
        longer = len(self._sorted) - self._sorted.bisect_left(seconds)
        return (longer + 1) / (len(self._sorted) + 1)

    def find_seconds(self, survival: float) -> float:
        """Return the latency that no more than a share of the answers exceeds.

        Infinity if the share is too small for the number of samples, or with too few of
        them.
        """
        if not self.is_known:
            return math.inf
        longer = math.floor(survival * (len(self._sorted) + 1)) - 1
        if longer < 0:
            return math.inf
        index = len(self._sorted) - longer - 1
        return self._sorted[index] if index >= 0 else 0.0
