"""What one process remembers of keys, as their owner or their witness.

Memory is bounded and yet nothing recorded is forgotten into "not run":

- Records lie in buckets by time of expiry; a bucket is dropped as a whole some
  time after it. ``_forgotten_through`` then says that of keys up to this time of
  expiry nothing is known, so "may have run" is all that can be said of them.
- ``_closed_through`` closes, at no cost in memory, every key that is not recorded
  and expires no later. It rises where an expired key is refused and where the
  table is full: closing keys one by one would need the memory that is lacking.

Both bounds only rise, so a clock that jumps back opens nothing again.
"""

import time
from collections import deque

from citronspan.core.key_messages import StoredAnswer
from citronspan.core.key_token import KEY_LIFETIME_SECONDS, KeyToken
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
        state: State by the chart ``key``.
        fingerprint: Hash of the request that recorded it.
        attempt: Attempt that recorded it; only this one may run or release it.
        generation: Number of the owner's record.
        answer: The kept answer, once done.
    """

    __slots__ = ("state", "fingerprint", "attempt", "generation", "answer")

    def __init__(self, *, fingerprint: int, attempt: bytes, generation: int):
        self.state = KEY_CHART.initial
        self.fingerprint = fingerprint
        self.attempt = attempt
        self.generation = generation
        self.answer: StoredAnswer | None = None

    def step(self, event: str) -> None:
        """Step the state by the chart."""
        self.state = step_chart(KEY_CHART, self.state, event)

    def accepts(self, event: str) -> bool:
        """Return whether the state takes an event."""
        return accepts_event(KEY_CHART, self.state, event)


class KeyTable:
    """The records of one process, with their bounds."""

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
        self._answered: deque[TrackedKey] = deque()
        self._forgotten_through = 0
        self._closed_through = 0

    def find(self, token: KeyToken) -> TrackedKey | None:
        """Return the record of a key, or None."""
        records = self._records_by_bucket.get(_compute_bucket(token))
        return None if records is None else records.get(token.key_id)

    def may_have_been_evicted(self, token: KeyToken) -> bool:
        """Return whether the key may have been recorded and dropped since."""
        return token.expires_at_milliseconds <= self._forgotten_through

    def is_closed(self, token: KeyToken) -> bool:
        """Return whether a key without a record is closed by the bound."""
        return token.expires_at_milliseconds <= self._closed_through

    def is_full(self) -> bool:
        """Return whether no further key can be recorded."""
        return self.count >= self.maximum_keys

    def is_expired(self, token: KeyToken) -> bool:
        """Return whether the key is too old to be taken as new."""
        return token.expires_at_milliseconds <= time.time() * 1000

    def exceeds_maximum_lifetime(self, token: KeyToken) -> bool:
        """Return whether the key would outlive every key that is minted now."""
        longest = self.maximum_lifetime_seconds + CLOCK_SKEW_MARGIN_SECONDS
        return token.expires_at_milliseconds > (time.time() + longest) * 1000

    def record(
        self, token: KeyToken, *, fingerprint: int, attempt: bytes, generation: int
    ) -> TrackedKey:
        """Record a key that has no record.

        The caller has asked ``may_have_been_evicted``, ``is_closed`` and ``is_full``.
        """
        record = self._add(token, fingerprint, attempt, generation)
        record.step("record")
        return record

    def close(self, token: KeyToken) -> bool:
        """Close a key that has no record, for good.

        Args:
            token: The key.

        Returns:
            Whether it is closed; False where the table is full and the key is so
            far ahead that a bound would close all keys for a long time.
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
        """Drop the record of a key that provably did not run."""
        records = self._records_by_bucket[_compute_bucket(token)]
        records.pop(token.key_id).step("release")
        self.count -= 1
        if not records:
            del self._records_by_bucket[_compute_bucket(token)]

    def finish(self, record: TrackedKey, answer: StoredAnswer) -> None:
        """Keep the answer of a key; the oldest bodies go first at the bound."""
        record.step("finish")
        if answer.body is not None and len(answer.body) > MAXIMUM_ANSWER_BYTES:
            answer = _without_body(answer)
        record.answer = answer
        if answer.body is None:
            return
        self._answered.append(record)
        self.answers_bytes += _count_bytes(answer)
        while self.answers_bytes > self.maximum_total_answer_bytes:
            self._drop_oldest_body()

    def evict_expired(self) -> None:
        """Drop the buckets whose time has passed."""
        if not self._records_by_bucket:
            return
        keep = self.keep_after_expiry_seconds
        bound = int((time.time() - keep) * 1000) // EXPIRY_BUCKET_MILLISECONDS
        for bucket in sorted(self._records_by_bucket):
            if bucket >= bound:
                break
            self._forget_bucket(bucket)

    def _forget_bucket(self, bucket):
        for record in self._records_by_bucket.pop(bucket).values():
            self.count -= 1
            if record.answer is None or record.answer.body is None:
                continue
            self.answers_bytes -= _count_bytes(record.answer)
            record.answer = None
        end = (bucket + 1) * EXPIRY_BUCKET_MILLISECONDS - 1
        self._forgotten_through = max(self._forgotten_through, end)
        self._closed_through = max(self._closed_through, end)
        while self._answered and self._answered[0].answer is None:
            self._answered.popleft()

    def _drop_oldest_body(self):
        record = self._answered.popleft()
        if record.answer is None:
            return
        self.answers_bytes -= _count_bytes(record.answer)
        record.answer = _without_body(record.answer)

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


def _without_body(answer: StoredAnswer) -> StoredAnswer:
    return StoredAnswer(
        status=answer.status,
        headers=(),
        length=answer.length,
        digest=answer.digest,
        body=None,
    )
