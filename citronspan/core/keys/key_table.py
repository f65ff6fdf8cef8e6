"""The table of keys that one process has recorded as their owner or witness.

Memory is bounded, and yet a key that was recorded is never reported as "not run":

- Records are grouped in buckets by expiry time; a whole bucket is evicted some time
  after its expiry. ``_evicted_through`` is then the latest expiry time for which
  records may have been evicted. Keys that expire no later can only be reported as
  "may have run".
- ``_closed_through`` closes every unrecorded key that expires no later than it, at no
  cost in memory. It rises when an expired key is refused and when the table is full,
  because closing keys one by one would need memory that is not available.

Both bounds only rise, so a clock that jumps back reopens no key.
"""

import time
from collections import deque

from citronspan.core.keys.key_messages import StoredAnswer
from citronspan.core.keys.key_token import KEY_LIFETIME_SECONDS, KeyToken
from citronspan.utils.statecharts import accepts_event, load_chart, step_chart

KEY_CHART = load_chart("key")
KEEP_AFTER_EXPIRY_SECONDS = 1200.0
CLOCK_SKEW_MARGIN_SECONDS = 120.0
MAXIMUM_KEYS = 65_536
MAXIMUM_ANSWER_BYTES = 16 << 10
MAXIMUM_TOTAL_ANSWER_BYTES = 8 << 20
EXPIRY_BUCKET_MILLISECONDS = 10_000


class TrackedKey:
    """The state of one key at one process.

    Attributes:
        state: State of the statechart ``key``.
        fingerprint: Hash of the request that the key was recorded for.
        attempt: Id of the attempt that the key was recorded for; only this attempt may
            run or release the key.
        generation: Generation number of the owner's record.
        answer: The stored answer, set in state "done".
    """

    __slots__ = ("state", "fingerprint", "attempt", "generation", "answer")

    def __init__(self, *, fingerprint: int, attempt: bytes, generation: int):
        self.state = KEY_CHART.initial
        self.fingerprint = fingerprint
        self.attempt = attempt
        self.generation = generation
        self.answer: StoredAnswer | None = None

    def step(self, event: str) -> None:
        """Apply an event to the state."""
        self.state = step_chart(KEY_CHART, self.state, event)

    def accepts(self, event: str) -> bool:
        """Return whether the statechart accepts an event in the current state."""
        return accepts_event(KEY_CHART, self.state, event)


class KeyTable:
    """The bounded table of key records of one process.

    Attributes:
        maximum_keys: Maximum number of records.
        maximum_total_answer_bytes: Maximum size of all stored headers and bodies.
        keep_after_expiry_seconds: Time for which records are kept after expiry.
        maximum_lifetime_seconds: Longest lifetime of a key that is minted now.
        count: Number of records.
        answers_bytes: Size of all stored headers and bodies.
    """

    def __init__(
        self,
        *,
        maximum_keys: int = MAXIMUM_KEYS,
        maximum_total_answer_bytes: int = MAXIMUM_TOTAL_ANSWER_BYTES,
        keep_after_expiry_seconds: float = KEEP_AFTER_EXPIRY_SECONDS,
        maximum_lifetime_seconds: float = KEY_LIFETIME_SECONDS,
    ):
        self.maximum_keys = maximum_keys
        self.maximum_total_answer_bytes = maximum_total_answer_bytes
        self.keep_after_expiry_seconds = keep_after_expiry_seconds
        self.maximum_lifetime_seconds = maximum_lifetime_seconds
        self.count = 0
        self.answers_bytes = 0
        self._records_by_bucket: dict[int, dict[bytes, TrackedKey]] = {}
        self._records_with_body: deque[TrackedKey] = deque()
        self._evicted_through = 0
        self._closed_through = 0

    def find(self, token: KeyToken) -> TrackedKey | None:
        """Return the record of a key, None if it has none."""
        records = self._records_by_bucket.get(_compute_bucket(token))
        return None if records is None else records.get(token.key_id)

    def may_have_been_evicted(self, token: KeyToken) -> bool:
        """Return whether the key may have been recorded and evicted since."""
        return token.expires_at_milliseconds <= self._evicted_through

    def is_closed(self, token: KeyToken) -> bool:
        """Return whether ``_closed_through`` closes a key that has no record."""
        return token.expires_at_milliseconds <= self._closed_through

    def is_full(self) -> bool:
        """Return whether the table has no room for another record."""
        return self.count >= self.maximum_keys

    def is_expired(self, token: KeyToken) -> bool:
        """Return whether the key is too old to be accepted as new."""
        return token.expires_at_milliseconds <= time.time() * 1000

    def exceeds_maximum_lifetime(self, token: KeyToken) -> bool:
        """Return whether the key outlives any key minted now, beyond clock skew."""
        maximum_seconds = self.maximum_lifetime_seconds + CLOCK_SKEW_MARGIN_SECONDS
        return token.expires_at_milliseconds > (time.time() + maximum_seconds) * 1000

    def record(
        self, token: KeyToken, *, fingerprint: int, attempt: bytes, generation: int
    ) -> TrackedKey:
        """Record a key that has no record.

        The caller must have checked ``may_have_been_evicted``, ``is_closed`` and
        ``is_full``.
        """
        record = self._add(token, fingerprint, attempt, generation)
        record.step("record")
        return record

    def close(self, token: KeyToken) -> bool:
        """Close a key that has no record permanently.

        Args:
            token: The key.

        Returns:
            Whether the key is closed; False if the table is full and the key expires
            so late that raising the bound would close all keys for a long time.
        """
        if self.is_closed(token):
            return True
        if not self.is_full():
            self._add(token, 0, b"", 0).step("close")
            return True
        if self.exceeds_maximum_lifetime(token):
            return False
        self.close_through_expiry(token)
        return True

    def close_through_expiry(self, token: KeyToken) -> None:
        """Close every key without a record that expires no later than this one."""
        self._closed_through = max(self._closed_through, token.expires_at_milliseconds)

    def release(self, token: KeyToken) -> None:
        """Drop the record of a key whose attempt is known not to have run."""
        records = self._records_by_bucket[_compute_bucket(token)]
        records.pop(token.key_id).step("release")
        self.count -= 1
        if not records:
            del self._records_by_bucket[_compute_bucket(token)]

    def finish(self, record: TrackedKey, answer: StoredAnswer) -> None:
        """Store the answer of a key; drop the oldest bodies above the size limit."""
        record.step("finish")
        if answer.body is not None and len(answer.body) > MAXIMUM_ANSWER_BYTES:
            answer = _strip_body(answer)
        record.answer = answer
        if answer.body is None:
            return
        self._records_with_body.append(record)
        self.answers_bytes += _count_bytes(answer)
        while self.answers_bytes > self.maximum_total_answer_bytes:
            self._drop_oldest_body()

    def evict_expired(self) -> None:
        """Evict the buckets whose retention time has passed."""
        if not self._records_by_bucket:
            return
        retention_seconds = self.keep_after_expiry_seconds
        bound = (
            int((time.time() - retention_seconds) * 1000) // EXPIRY_BUCKET_MILLISECONDS
        )
        for bucket in sorted(self._records_by_bucket):
            if bucket >= bound:
                break
            self._evict_bucket(bucket)

    def _evict_bucket(self, bucket):
        for record in self._records_by_bucket.pop(bucket).values():
            self.count -= 1
            if record.answer is None or record.answer.body is None:
                continue
            self.answers_bytes -= _count_bytes(record.answer)
            record.answer = None
        end = (bucket + 1) * EXPIRY_BUCKET_MILLISECONDS - 1
        self._evicted_through = max(self._evicted_through, end)
        self._closed_through = max(self._closed_through, end)
        while self._records_with_body and self._records_with_body[0].answer is None:
            self._records_with_body.popleft()

    def _drop_oldest_body(self):
        record = self._records_with_body.popleft()
        if record.answer is None:
            return
        self.answers_bytes -= _count_bytes(record.answer)
        record.answer = _strip_body(record.answer)

    def _add(self, token, fingerprint, attempt, generation):
        record = TrackedKey(
            fingerprint=fingerprint, attempt=attempt, generation=generation
        )
        bucket = _compute_bucket(token)
        self._records_by_bucket.setdefault(bucket, {})[token.key_id] = record
        self.count += 1
        return record


def _compute_bucket(token: KeyToken) -> int:
    return token.expires_at_milliseconds // EXPIRY_BUCKET_MILLISECONDS


def _count_bytes(answer: StoredAnswer) -> int:
    headers = sum(len(name) + len(value) for name, value in answer.headers)
    return len(answer.body) + headers


def _strip_body(answer: StoredAnswer) -> StoredAnswer:
    return StoredAnswer(
        status=answer.status,
        headers=(),
        length=answer.length,
        digest=answer.digest,
        body=None,
    )
