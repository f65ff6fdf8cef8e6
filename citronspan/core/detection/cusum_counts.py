"""Counts of labelled outcomes by target, and latency thresholds by request kind."""

import enum

# The slow latency of a request kind is this quantile of its latencies. The very slow
# latency is this factor times the slow one.
SLOW_QUANTILE = 0.75
VERY_SLOW_FACTOR = 2.5
QUANTILE_STEP = 0.02

MAX_REQUEST_KINDS = 256


class OutcomeLabel(enum.IntEnum):
    """Label of an outcome that counts against a target."""

    FAILED = 0
    SLOW = 1
    VERY_SLOW = 2


OUTCOME_LABELS = tuple(OutcomeLabel)
INITIAL_SHARE_BY_LABEL = (0.01, 1 - SLOW_QUANTILE, 0.01)


class LatencyThresholds:
    """Running quantile of the latency of each request kind.

    The update is multiplicative: Yazidi and Hammer, "Multiplicative update methods
    for incremental quantile estimation", IEEE Transactions on Cybernetics 49(3),
    2019.
    """

    __slots__ = ("seconds_by_kind",)

    def __init__(self):
        self.seconds_by_kind: dict[str, float] = {}

    def get_threshold(self, kind: str) -> float:
        """Return the slow latency of a kind in seconds, 0 while it is unknown."""
        return self.seconds_by_kind.get(kind, 0.0)

    def add(self, kind: str, latency_seconds: float) -> float:
        """Add a latency to the running quantile of its request kind.

        Kinds beyond the first ``MAX_REQUEST_KINDS`` are not stored.

        Args:
            kind: Request kind.
            latency_seconds: Latency of a successful answer.

        Returns:
            The slow latency in seconds before this answer. For the first answer of a
            kind it is the latency of that answer.
        """
        slow_seconds = self.seconds_by_kind.get(kind)
        if slow_seconds is None:
            slow_seconds = max(latency_seconds, 1e-6)
            if len(self.seconds_by_kind) < MAX_REQUEST_KINDS:
                self.seconds_by_kind[kind] = slow_seconds
            return slow_seconds
        if latency_seconds > slow_seconds:
            factor = 1 + QUANTILE_STEP * SLOW_QUANTILE
        else:
            factor = 1 - QUANTILE_STEP * (1 - SLOW_QUANTILE)
        self.seconds_by_kind[kind] = max(slow_seconds * factor, 1e-6)
        return slow_seconds


class LabelCounts:
    """Counts of outcomes and of those with one label, in total and with decay.

    The weights of new outcomes grow, and the sums do not shrink, so that adding an
    outcome updates one target only: Cormode et al., "Forward decay: a practical time
    decay model for streaming systems", ICDE 2009.
    """

    __slots__ = ("outcomes", "labelled", "decayed_outcomes", "decayed_labelled")

    def __init__(self):
        self.outcomes = 0
        self.labelled = 0
        self.decayed_outcomes = 0.0
        self.decayed_labelled = 0.0

    def add(self, labelled: bool, weight: float) -> None:
        """Add an outcome with the present weight of the decayed sums."""
        self.outcomes += 1
        self.decayed_outcomes += weight
        if labelled:
            self.labelled += 1
            self.decayed_labelled += weight

    def scale(self, factor: float) -> None:
        """Multiply the decayed sums by a factor."""
        self.decayed_outcomes *= factor
        self.decayed_labelled *= factor
