"""Cache of recent attempts, which makes duplicate messages to a broker idempotent."""

from citronspan.core.brokering.broker_expiry import ExpiryWheel
from citronspan.core.brokering.broker_messages import SlotGrant, SlotRefusal

ATTEMPT_CACHE_SECONDS = 5.0
"""Time for which an attempt is cached after its end."""


class AttemptCache:
    """Final answers that were sent, and IDs of attempts that have ended."""

    def __init__(self):
        self._answer_by_id: dict[int, SlotGrant | SlotRefusal] = {}
        self._ended_ids: set[int] = set()
        self._expiries = ExpiryWheel()

    def is_empty(self) -> bool:
        """Return whether the cache is empty."""
        return not len(self._expiries)

    def find_answer(self, attempt_id: int) -> SlotGrant | SlotRefusal | None:
        """Return the cached final answer to an attempt, or None."""
        return self._answer_by_id.get(attempt_id)

    def has_ended(self, attempt_id: int) -> bool:
        """Return whether the attempt was released or cancelled."""
        return attempt_id in self._ended_ids

    def cache_answer(
        self, answer: SlotGrant | SlotRefusal, seconds: float, now: float
    ) -> None:
        """Cache the final answer to an attempt for the given time in seconds."""
        self._answer_by_id[answer.attempt_id] = answer
        self._expiries.add(answer.attempt_id, now + seconds)

    def record_attempt_end(self, attempt_id: int, now: float) -> None:
        """Record that an attempt was released or cancelled."""
        self._ended_ids.add(attempt_id)
        self._expiries.add(attempt_id, now + ATTEMPT_CACHE_SECONDS)

    def discard_expired(self, now: float) -> None:
        """Discard the attempts whose time in the cache has passed."""
        for attempt_id in self._expiries.pop_expired(now):
            self._answer_by_id.pop(attempt_id, None)
            self._ended_ids.discard(attempt_id)
