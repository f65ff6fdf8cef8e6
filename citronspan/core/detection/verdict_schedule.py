"""Decides which entries get a broker's verdicts next, and which verdicts.

Load pattern: hundreds of entries in a region, and targets whose state changes all the
time. A broker that sent its verdicts to every entry at once, each second, would not
answer slot requests meanwhile, and entries would take it for lost. So the sends are
spread over the interval in which a verdict has to be renewed; only the entries that
would replace the broker get the verdicts each second.
"""

from collections.abc import Iterable, Set

from citronspan.core.detection.verdicts import VERDICT_TTL_SECONDS, Verdict

MINIMUM_INTERVAL_SECONDS = 1.0
MAXIMUM_INTERVAL_SECONDS = VERDICT_TTL_SECONDS / 2
"""Leaves time for a second push before a verdict expires."""

SENDS_PER_SECOND = 30.0
"""Sends per second above which the interval grows, as long as it may."""


class VerdictSchedule:
    """The time of the next push to each entry."""

    def __init__(self):
        self._due_at_by_address: dict[str, float] = {}

    def list_due(
        self, receivers: Iterable[str], successors: Set[str], now: float
    ) -> list[str]:
        """Return the entries that get the verdicts now, and plan their next push.

        Args:
            receivers: Peer addresses of the entries that get verdicts.
            successors: Those among them that would replace the broker.
            now: Present time.

        Returns:
            Their addresses. An entry that is new gets its first push within one
            interval, at a time that follows from its place among the receivers.
        """
        receivers = list(receivers)
        interval = compute_interval_seconds(len(receivers))
        due_at_by_address = {}
        due = []
        for place, address in enumerate(receivers):
            due_at = self._due_at_by_address.get(address)
            if due_at is None:
                due_at = now + interval * place / len(receivers)
            if address in successors:
                due_at = min(due_at, now + MINIMUM_INTERVAL_SECONDS)
            if due_at <= now:
                due.append(address)
                # Added to the planned time, so that the sends stay spread out.
                due_at = max(due_at + interval, now)
            due_at_by_address[address] = due_at
        self._due_at_by_address = due_at_by_address
        return due


def compute_interval_seconds(receiver_count: int) -> float:
    """Return the time between two pushes to an entry that is no successor."""
    interval = receiver_count / SENDS_PER_SECOND
    return min(max(interval, MINIMUM_INTERVAL_SECONDS), MAXIMUM_INTERVAL_SECONDS)


def select_verdicts(
    verdicts: Iterable[Verdict], interval_seconds: float
) -> tuple[Verdict, ...]:
    """Return the verdicts that have to be pushed.

    Verdicts on healthy targets need no renewal; they are sent for as long as an entry
    may still hold an earlier one that says otherwise.

    Args:
        verdicts: One verdict for each target.
        interval_seconds: Time between two pushes to an entry.
    """
    return tuple(
        verdict
        for verdict in verdicts
        if verdict.state != "healthy" or verdict.age_seconds <= 2 * interval_seconds
    )
