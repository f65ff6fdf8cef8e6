"""Makes the incarnation numbers that tell the starts of a process apart."""

import random
import time

INCARNATION_RANDOM_BITS = 8


def make_incarnation() -> int:
    """Return an incarnation number that increases with each start on a host."""
    milliseconds = time.time_ns() // 1_000_000
    return (milliseconds << INCARNATION_RANDOM_BITS) + random.getrandbits(
        INCARNATION_RANDOM_BITS
    )
