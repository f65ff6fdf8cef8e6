"""Which of two records of a key its writer wrote later.

A store that was restored from a copy, or a write that was carried out late, puts an
older record at a later offset. So versions decide where records have them, and those
of removed keys are remembered.
"""

from collections.abc import Container

from citronspan.core.configuration.feed_records import FeedRecord

MAXIMUM_REMOVED_KEYS = 1000
"""Removed keys whose version is remembered, so that a restored store does not bring
them back."""

MAXIMUM_TOLD_REMOVALS = 100
"""Removed keys in a whole copy for a peer, those that were removed last."""


class RecordVersions:
    """The versions of the removed keys of one feed."""

    def __init__(self):
        self._removed_version_by_key: dict[str, int] = {}

    def remember_removal(self, key: str, version: int) -> None:
        """Remember the version that a removal removed; 0 if it had none."""
        if not version:
            return
        self._removed_version_by_key.pop(key, None)
        self._removed_version_by_key[key] = version
        while len(self._removed_version_by_key) > MAXIMUM_REMOVED_KEYS:
            del self._removed_version_by_key[next(iter(self._removed_version_by_key))]

    def find_removed_version(self, key: str) -> int:
        """Return the version of a key that was removed last, 0 if none."""
        return self._removed_version_by_key.get(key, 0)

    def is_older(self, record: FeedRecord, current: FeedRecord | None) -> bool:
        """Return whether a record is older than one that was stored or removed.

        The removal came after the record that it removed, so that the same version
        again is an older copy, too.

        Args:
            record: A record with data.
            current: The stored record of its key, None if there is none.
        """
        if not record.version:
            return False
        if current is not None:
            return record.version < current.version
        return record.version <= self.find_removed_version(record.key)

    def list_removals(
        self, present_keys: Container[str], next_offset: int
    ) -> list[FeedRecord]:
        """Return the last removals as records for a whole copy.

        Args:
            present_keys: The keys that came back, or were never removed.
            next_offset: The end of the copy. The removals get the last offset before
                it, so that they count as later than any record of the receiver.
        """
        removals = [
            FeedRecord(offset=next_offset - 1, key=key, version=version)
            for key, version in self._removed_version_by_key.items()
            if key not in present_keys
        ]
        return removals[-MAXIMUM_TOLD_REMOVALS:]


def is_known_older(current: FeedRecord, other: FeedRecord, next_offset: int) -> bool:
    """Return whether a peer has read the current record and kept a newer one.

    Args:
        current: The own record.
        other: The peer's record of the same key, or its removal.
        next_offset: The end of the peer's copy.
    """
    if not current.version or current.offset >= next_offset:
        return False
    if other.data is None:
        return other.version >= current.version
    return other.offset < current.offset and other.version > current.version
