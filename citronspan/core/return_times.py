"""Times after which refused callers may come back, spread over what they wait."""

CALLER_WAIT_SHARE = 1 / 3
"""Share of their remaining time for which callers wait as they are told."""

GOLDEN_FRACTION = 0.6180339887498949
"""Step whose multiples, modulo 1, lie evenly between 0 and 1 however many there are."""


def spread_evenly(number: int, least: float, most: float) -> float:
    """Return the value of a number in a sequence that covers a span evenly."""
    return least + (most - least) * (number * GOLDEN_FRACTION % 1)
