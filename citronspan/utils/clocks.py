"""The time that goes on while a machine is suspended.

``time.monotonic`` stands still then, so that it hides how old things are afterwards.
"""

import time


def read_elapsed_seconds() -> float:
    """Return a steady time in seconds that includes the time of suspensions."""
    return time.monotonic() + read_suspended_seconds()


def read_suspended_seconds() -> float:
    """Return for how many seconds the machine was suspended since its start."""
    boot_seconds = time.clock_gettime(time.CLOCK_BOOTTIME)
    return max(boot_seconds - time.clock_gettime(time.CLOCK_MONOTONIC), 0.0)
