"""Estimates for how long a message was on its way, without synchronised clocks.

A sender states its own steady time in each message. The difference to the receiver's
time is the offset of the two clocks plus the transit time, so that a message whose
difference is larger than the least one so far was held up by at least the excess. It
may have waited in the network, in a buffer, or in a process that was paused.
"""

from collections.abc import Iterable
from dataclasses import dataclass

ASSUMED_TRANSIT_SECONDS = 0.1
"""Transit time of a message that was not held up."""

MAXIMUM_CLOCK_DRIFT = 2e-4
"""Largest relative difference in the rates of two clocks."""


@dataclass(frozen=True, kw_only=True, slots=True)
class SendTime:
    """Time at which a message was sent.

    Attributes:
        clock: Number of the sender's clock, another one after each start.
        seconds: Time of that clock.
    """

    clock: int
    seconds: float


@dataclass(frozen=True, kw_only=True, slots=True)
class _LeastDifference:
    clock: int
    seconds: float
    seen_at: float

    def find_seconds(self, now):
        """Return the difference, allowing for the drift of the clocks since then."""
        return self.seconds + MAXIMUM_CLOCK_DRIFT * (now - self.seen_at)


class TransitTimes:
    """Transit times of the messages of all senders to one node."""

    def __init__(self):
        self._least_by_sender: dict[str, _LeastDifference] = {}

    def estimate_seconds(self, sender: str, sent: SendTime | None, now: float) -> float:
        """Estimate for how long a message was on its way.

        Args:
            sender: Address of the sender.
            sent: Time of its sending, None if the sender states none.
            now: Present time of the receiver's clock, which counts suspensions.

        Returns:
            The time in seconds. The first message of a clock counts as not held up.
        """
        if sent is None:
            return ASSUMED_TRANSIT_SECONDS
        difference = now - sent.seconds
        least = self._least_by_sender.get(sender)
        if least is not None and least.clock == sent.clock:
            excess_seconds = difference - least.find_seconds(now)
            if excess_seconds > 0:
                return ASSUMED_TRANSIT_SECONDS + excess_seconds
        self._least_by_sender[sender] = _LeastDifference(
            clock=sent.clock, seconds=difference, seen_at=now
        )
        return ASSUMED_TRANSIT_SECONDS

    def retain(self, senders: Iterable[str]) -> None:
        """Forget all senders but these."""
        kept = set(senders)
        for sender in self._least_by_sender.keys() - kept:
            del self._least_by_sender[sender]
