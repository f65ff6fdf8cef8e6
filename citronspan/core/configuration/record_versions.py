"""Which of two records of a key its writer wrote later.

A store that was restored from a copy, or a write that was carried out late, puts an
older record at a later offset. So versions decide where records have them, and those
of removed keys are remembered.

A target that starts again on a clock that is behind has lower versions than before. A
copy doesn't grow, though: two records of one earlier start, the second with a later
version, have a writer that is alive.
"""

from collections.abc import Container

from citronspan.core.configuration.feed_records import FeedRecord

MAXIMUM_REMOVED_KEYS = 1000
"""Removed keys whose version is remembered, so that a restored store does not bring
them back."""

VERSIONS_PER_START = 1 << 20
"""A version of a target is its start time times this, and a count of its records."""

MAXIMUM_TOLD_REMOVALS = 100
"""Removed keys in a whole copy for a peer, those that were removed last."""


class RecordVersions:
    """The versions of the removed keys of one feed, and those that count as older."""

    def __init__(self, *, has_starts: bool):
        """Create it.

        Args:
            has_starts: Whether versions contain the time of their writer's start.
        """
        self._has_starts = has_starts
        self._removed_version_by_key: dict[str, int] = {}
        self._passed_version_by_key: dict[str, int] = {}

    def remember_removal(self, key: str, version: int) -> None:
        """Remember the version that a removal removed; 0 if it had none."""
        if not version:
            return
        self._removed_version_by_key.pop(key, None)
        self._removed_version_by_key[key] = version
        _drop_first(self._removed_version_by_key)

    def find_removed_version(self, key: str) -> int:
        """Return the version of a key that was removed last, 0 if none."""
        return self._removed_version_by_key.get(key, 0)

    def pass_over(self, record: FeedRecord, current: FeedRecord | None) -> bool:
        """Return whether a record is older than one that was stored or removed.

        It is remembered, since a later one of the same start shows that it isn't.

        Args:
            record: A record with data.
            current: The stored record of its key, None if there is none.
        """
        key = record.key
        passed_version = self._passed_version_by_key.pop(key, 0)
        if not self._is_older(record, current):
            return False
        known_version = max(
            0 if current is None else current.version, self.find_removed_version(key)
        )
        if self._has_starts and _is_restart(
            record.version, passed_version, known_version
        ):
            self._removed_version_by_key.pop(key, None)
            return False
        if not _has_same_start(passed_version, record.version):
            passed_version = 0
        self._passed_version_by_key[key] = max(passed_version, record.version)
        _drop_first(self._passed_version_by_key)
        return True

    def _is_older(self, record, current):
        """Return whether a record has a lower version than what is known.

        The removal came after the record that it removed, so that the same version
        again is an older copy, too.
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


def _is_restart(version, passed_version, known_version):
    """Return whether a writer goes on from a version that was passed over."""
    if _has_same_start(version, known_version):
        return False
    return _has_same_start(version, passed_version) and version > passed_version


def _has_same_start(version, other_version):
    return version // VERSIONS_PER_START == other_version // VERSIONS_PER_START


def _drop_first(version_by_key):
    """Drop what was remembered first beyond ``MAXIMUM_REMOVED_KEYS``."""
    while len(version_by_key) > MAXIMUM_REMOVED_KEYS:
        del version_by_key[next(iter(version_by_key))]


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
