"""Waits for conditions that nothing signals."""

import time
from collections.abc import Callable

POLL_SECONDS = 0.05
"""Time between two looks at a condition."""


def wait_until(condition: Callable[[], bool], deadline: float) -> bool:
    """Wait until a condition holds or a time has come.

    Args:
        condition: Returns whether to wait no longer.
        deadline: Time of ``time.monotonic()``.

    Returns:
        Whether the condition holds.
    """
    while not condition():
        if time.monotonic() >= deadline:
            return False
        time.sleep(POLL_SECONDS)
    return True
