"""What a broker remembers of attempts, so that duplicates change nothing."""

from citronspan.core.broker_expiry import ExpiryWheel
from citronspan.core.broker_messages import SlotGrant, SlotRefusal

ATTEMPT_CACHE_SECONDS = 5.0
"""Time after its end for which an attempt is remembered."""


class AttemptCache:
    """Final answers that were given, and attempts that have ended."""

    def __init__(self):
        self._answer_by_id: dict[int, SlotGrant | SlotRefusal] = {}
        self._ended: set[int] = set()
        self._forgets = ExpiryWheel()

    def is_empty(self) -> bool:
        """Return whether nothing is remembered."""
        return not len(self._forgets)

    def find_answer(self, attempt_id: int) -> SlotGrant | SlotRefusal | None:
        """Return the final answer that the attempt got, if it is remembered."""
        return self._answer_by_id.get(attempt_id)

    def has_ended(self, attempt_id: int) -> bool:
        """Return whether the attempt was released or cancelled."""
        return attempt_id in self._ended

    def cache_answer(
        self, answer: SlotGrant | SlotRefusal, seconds: float, now: float
    ) -> None:
        """Remember the final answer to an attempt for a time."""
        self._answer_by_id[answer.attempt_id] = answer
        self._forgets.add(answer.attempt_id, now + seconds)

    def record_attempt_end(self, attempt_id: int, now: float) -> None:
        """Remember that an attempt was released or cancelled."""
        self._ended.add(attempt_id)
        self._forgets.add(attempt_id, now + ATTEMPT_CACHE_SECONDS)

    def discard_expired(self, now: float) -> None:
        """Forget what is old enough."""
        for attempt_id in self._forgets.pop_due(now):
            self._answer_by_id.pop(attempt_id, None)
            self._ended.discard(attempt_id)
