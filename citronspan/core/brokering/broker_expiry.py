"""Expiry of keys by time, at constant cost per key.

A heap with lazy deletion would hold every released grant until its deadline. A
wheel of buckets removes a key at once. Keys expire up to one bucket late, which is
small against the times that the wheel is used for.
"""

BUCKET_SECONDS = 0.25


class ExpiryWheel:
    """Keys with their expiry times, rounded up to buckets."""

    def __init__(self):
        self._keys_by_bucket: dict[int, set[int]] = {}
        self._bucket_by_key: dict[int, int] = {}
        self._first_bucket: int | None = None

    def __len__(self):
        """Return the number of keys."""
        return len(self._bucket_by_key)

    def add(self, key: int, expires_at: float) -> None:
        """Add a key, or change the expiry time of a present key."""
        self.discard(key)
        bucket = int(expires_at / BUCKET_SECONDS) + 1
        self._bucket_by_key[key] = bucket
        self._keys_by_bucket.setdefault(bucket, set()).add(key)
        if self._first_bucket is None or bucket < self._first_bucket:
            self._first_bucket = bucket

    def discard(self, key: int) -> None:
        """Remove a key if it is present."""
        bucket = self._bucket_by_key.pop(key, None)
        if bucket is None:
            return
        keys = self._keys_by_bucket[bucket]
        keys.discard(key)
        if not keys:
            del self._keys_by_bucket[bucket]

    def pop_expired(self, now: float) -> list[int]:
        """Remove and return the expired keys, in the order of their buckets."""
        current_bucket = int(now / BUCKET_SECONDS)
        if self._first_bucket is None or self._first_bucket > current_bucket:
            return []
        expired = []
        for bucket in sorted(self._keys_by_bucket):
            if bucket > current_bucket:
                break
            keys = sorted(self._keys_by_bucket.pop(bucket))
            for key in keys:
                del self._bucket_by_key[key]
            expired += keys
        self._first_bucket = min(self._keys_by_bucket, default=None)
        return expired
