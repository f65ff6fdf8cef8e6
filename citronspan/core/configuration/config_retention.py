"""Decides when the log needs a new snapshot and which node appends it.

Only readers of the log append snapshots. The reader with rank 0 appends when a
snapshot is due, and each further rank waits a fixed time longer. Normally one reader
appends, and a failed reader is replaced without consensus. Appending is idempotent:
a second copy of the same snapshot is harmless.
"""

from dataclasses import dataclass

from citronspan.core.configuration.config_record import SnapshotRecord

RANK_STAGGER_SECONDS = 30.0
# A reader that has seen no snapshot since its start waits this long, since the log
# usually holds a recent one.
UNKNOWN_SNAPSHOT_WAIT_SECONDS = 600.0
# Minimum time between two snapshots by one node, regardless of the log's retention.
MINIMUM_SNAPSHOT_INTERVAL_SECONDS = 60.0
MAXIMUM_TRACKED_SNAPSHOTS = 8


@dataclass(frozen=True, kw_only=True, slots=True)
class RetentionStatus:
    """State of the log and its snapshots, as this node knows it.

    Attributes:
        rank: Rank among the nodes that append snapshots, from 0.
        offset: Next offset that this node has not applied.
        first_offset: Oldest offset that the log retains.
        next_offset: Offset of the log's next append.
        snapshot_offset: Offset of the last complete snapshot seen, or None.
        seconds_since_snapshot: Time since that snapshot was seen, or since the start.
        interval_seconds: Configured time between snapshots.
    """

    rank: int
    offset: int
    first_offset: int
    next_offset: int
    snapshot_offset: int | None
    seconds_since_snapshot: float
    interval_seconds: float


def is_snapshot_due(status: RetentionStatus) -> bool:
    """Return whether this node should append a snapshot now.

    A snapshot is due after the interval. It is due earlier if the log has been
    truncated and the last snapshot lies in the older half of the retained offsets.

    Args:
        status: State of the log and its snapshots.

    Returns:
        Whether this node should append one.
    """
    if status.offset == 0:
        return False
    rank_delay_seconds = status.rank * RANK_STAGGER_SECONDS
    if (
        status.seconds_since_snapshot
        < MINIMUM_SNAPSHOT_INTERVAL_SECONDS + rank_delay_seconds
    ):
        return False
    if _is_snapshot_ageing_out(status):
        return True
    interval_seconds = status.interval_seconds
    if status.snapshot_offset is None:
        interval_seconds = min(interval_seconds, UNKNOWN_SNAPSHOT_WAIT_SECONDS)
    return status.seconds_since_snapshot >= interval_seconds + rank_delay_seconds


def _is_snapshot_ageing_out(status):
    """Return whether log truncation may soon remove the last snapshot."""
    if status.first_offset == 0:
        return False
    if status.snapshot_offset is None:
        return True
    retained_offsets = status.next_offset - status.first_offset
    return status.snapshot_offset < status.first_offset + retained_offsets // 2


class SnapshotObserver:
    """Tracks which snapshots were read completely, without storing their data."""

    def __init__(self):
        self._parts_by_identity: dict[tuple[int, str, int], set[int]] = {}

    def record_part(self, record: SnapshotRecord) -> bool:
        """Record that a part was read.

        Args:
            record: A part read from the log.

        Returns:
            Whether the part completes its snapshot for the first time.
        """
        identity = (record.at_offset, record.digest, record.parts)
        parts = self._parts_by_identity.setdefault(identity, set())
        was_complete = len(parts) == record.parts
        parts.add(record.part)
        while len(self._parts_by_identity) > MAXIMUM_TRACKED_SNAPSHOTS:
            del self._parts_by_identity[min(self._parts_by_identity)]
        return len(parts) == record.parts and not was_complete
