"""Decides when the log needs a new snapshot, and who appends it.

Only the readers of the log append, by rank: the first when a snapshot is due, each
further one a little later, so that normally one does and a dead one is replaced
without any agreement. Two that append the same snapshot do no harm.
"""

from dataclasses import dataclass

from citronspan.core.config_record import SnapshotRecord

RANK_STAGGER_SECONDS = 30.0
# A reader that has seen no snapshot since it started waits this long, since most
# often there is one that is not old.
UNKNOWN_SNAPSHOT_WAIT_SECONDS = 600.0
# Least time between two snapshots of one node, whatever the log says.
MINIMUM_SNAPSHOT_INTERVAL_SECONDS = 60.0
MAXIMUM_TRACKED_SNAPSHOTS = 8


@dataclass(frozen=True, kw_only=True, slots=True)
class RetentionFacts:
    """What is known of the log's retention.

    Attributes:
        rank: Place among the nodes that append snapshots, from 0.
        offset: Next offset that was not applied here.
        first_offset: Oldest offset that the log keeps.
        next_offset: Offset of the log's next append.
        snapshot_offset: Offset of the last whole snapshot that was seen, or None.
        seconds_since_snapshot: Time since it was seen, or since the start.
        interval_seconds: Time between snapshots.
    """

    rank: int
    offset: int
    first_offset: int
    next_offset: int
    snapshot_offset: int | None
    seconds_since_snapshot: float
    interval_seconds: float


def is_snapshot_due(facts: RetentionFacts) -> bool:
    """Return whether this node should append a snapshot now.

    A snapshot is due after the interval, or earlier where the log has begun to
    forget and the last snapshot lies in the older half of what it keeps.

    Args:
        facts: What is known.

    Returns:
        Whether to append.
    """
    if facts.offset == 0:
        return False
    patience = facts.rank * RANK_STAGGER_SECONDS
    if facts.seconds_since_snapshot < MINIMUM_SNAPSHOT_INTERVAL_SECONDS + patience:
        return False
    if _is_ageing(facts):
        return True
    interval = facts.interval_seconds
    if facts.snapshot_offset is None:
        interval = min(interval, UNKNOWN_SNAPSHOT_WAIT_SECONDS)
    return facts.seconds_since_snapshot >= interval + patience


def _is_ageing(facts):
    if facts.first_offset == 0:
        return False
    if facts.snapshot_offset is None:
        return True
    kept = facts.next_offset - facts.first_offset
    return facts.snapshot_offset < facts.first_offset + kept // 2


class SnapshotObserver:
    """Notes which snapshots have passed by whole, without holding their data."""

    def __init__(self):
        self._parts_by_identity: dict[tuple[int, str, int], set[int]] = {}

    def record_part(self, record: SnapshotRecord) -> bool:
        """Note a part.

        Args:
            record: A part that was read from the log.

        Returns:
            Whether its snapshot is now whole for the first time.
        """
        identity = (record.at_offset, record.digest, record.parts)
        parts = self._parts_by_identity.setdefault(identity, set())
        was_whole = len(parts) == record.parts
        parts.add(record.part)
        while len(self._parts_by_identity) > MAXIMUM_TRACKED_SNAPSHOTS:
            del self._parts_by_identity[min(self._parts_by_identity)]
        return len(parts) == record.parts and not was_whole
