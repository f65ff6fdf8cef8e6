"""What the sequential test counts: marks by target, and latency levels by kind."""

import enum

# Quantile of the latency that divides slow from not slow, and the factor from there
# to very slow.
SLOW_QUANTILE = 0.75
VERY_SLOW_FACTOR = 2.5
QUANTILE_STEP = 0.02

MAX_REQUEST_KINDS = 256


class OutcomeLabel(enum.IntEnum):
    """What an outcome may show against a target."""

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
        """Return the slow latency of a request kind, 0 while it is unknown."""
        return self.seconds_by_kind.get(kind, 0.0)

    def add(self, kind: str, latency_seconds: float) -> float:
        """Add a latency.

        Args:
            kind: Request kind.
            latency_seconds: Latency of a good answer.

        Returns:
            The level before this latency, in seconds.
        """
        level = self.seconds_by_kind.get(kind)
        if level is None:
            level = max(latency_seconds, 1e-6)
            if len(self.seconds_by_kind) < MAX_REQUEST_KINDS:
                self.seconds_by_kind[kind] = level
            return level
        if latency_seconds > level:
            factor = 1 + QUANTILE_STEP * SLOW_QUANTILE
        else:
            factor = 1 - QUANTILE_STEP * (1 - SLOW_QUANTILE)
        self.seconds_by_kind[kind] = max(level * factor, 1e-6)
        return level


class LabelCounts:
    """Counts of outcomes and of those with one mark, since ever and with decay.

    The decay uses weights that grow instead of sums that shrink, so that adding
    touches one target only: Cormode et al., "Forward decay: a practical time decay
    model for streaming systems", ICDE 2009.
    """

    __slots__ = ("outcomes", "labelled", "decayed_outcomes", "decayed_labelled")

    def __init__(self):
        self.outcomes = 0
        self.labelled = 0
        self.decayed_outcomes = 0.0
        self.decayed_labelled = 0.0

    def add(self, labelled: bool, weight: float) -> None:
        """Add an outcome with the present weight."""
        self.outcomes += 1
        self.decayed_outcomes += weight
        if labelled:
            self.labelled += 1
            self.decayed_labelled += weight

    def scale(self, factor: float) -> None:
        """Scale the decayed sums."""
        self.decayed_outcomes *= factor
        self.decayed_labelled *= factor
