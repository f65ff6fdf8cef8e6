"""Forgetting by time: which keys are due, at constant cost per key.

A heap with lazy deletion would hold every released grant until its deadline. A
wheel of buckets lets a key be taken out at once; keys fall due up to one bucket
late, which is small against the times it is used for.
"""

BUCKET_SECONDS = 0.25


class ExpiryWheel:
    """Keys with the time when each falls due."""

    def __init__(self):
        self._keys_by_bucket: dict[int, set[int]] = {}
        self._bucket_by_key: dict[int, int] = {}
        self._first_bucket: int | None = None

    def __len__(self):
        """Return the number of keys."""
        return len(self._bucket_by_key)

    def add(self, key: int, due_at: float) -> None:
        """Add a key or move it to another time."""
        self.discard(key)
        bucket = int(due_at / BUCKET_SECONDS) + 1
        self._bucket_by_key[key] = bucket
        self._keys_by_bucket.setdefault(bucket, set()).add(key)
        if self._first_bucket is None or bucket < self._first_bucket:
            self._first_bucket = bucket

    def discard(self, key: int) -> None:
        """Take a key out, if it is there."""
        bucket = self._bucket_by_key.pop(key, None)
        if bucket is None:
            return
        keys = self._keys_by_bucket[bucket]
        keys.discard(key)
        if not keys:
            del self._keys_by_bucket[bucket]

    def pop_due(self, now: float) -> list[int]:
        """Take out the keys that are due, in the order of their buckets."""
        bucket_now = int(now / BUCKET_SECONDS)
        if self._first_bucket is None or self._first_bucket > bucket_now:
            return []
        due = []
        for bucket in sorted(self._keys_by_bucket):
            if bucket > bucket_now:
                break
            keys = sorted(self._keys_by_bucket.pop(bucket))
            for key in keys:
                del self._bucket_by_key[key]
            due += keys
        self._first_bucket = min(self._keys_by_bucket, default=None)
        return due
