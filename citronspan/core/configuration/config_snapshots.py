"""Snapshots of the configuration, for the log and for peers that start.

The log retains records for a limited time. A snapshot holds the state after all
records before an offset, so that a reader can start from a truncated log. A snapshot
is a pure function of the state: every node that makes one at an offset produces the
same bytes, and a second copy has no effect.
"""

import zlib
from types import MappingProxyType

import logbook
import msgspec
import xxhash

from citronspan.core import log_events
from citronspan.core.configuration.config_record import (
    LogBatch,
    LogRecord,
    SnapshotRecord,
    decode_record,
)
from citronspan.core.configuration.config_state import (
    ChangeOutcome,
    ConfigState,
    ResourceKey,
    StoredResource,
    apply_batch,
)
from citronspan.core.errors import CitronspanError
from citronspan.utils.logs import write_event
from citronspan.utils.validation import DECODING_ERRORS

# Base64 in JSON makes the record a third larger than this.
SNAPSHOT_PART_BYTES = 96 << 10
# Limit on the parts that a collector holds, so that malformed records cannot exhaust
# the memory.
MAXIMUM_PARTS = 256
MAXIMUM_SNAPSHOT_BYTES = 64 << 20
COMPRESSION_LEVEL = 6

_logger = logbook.Logger("snapshots")


class SnapshotError(Exception):
    """A snapshot is corrupt or does not match its digest."""


class Snapshot(msgspec.Struct, frozen=True, kw_only=True):
    """A compressed state.

    Attributes:
        at_offset: First offset that the state does not contain.
        digest: Digest of the contents before compression, in hexadecimal.
        data: Compressed contents.
    """

    at_offset: int
    digest: str
    data: bytes


class _Content(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    resources: list[tuple[str, str, int, bytes]]
    outcomes: list[tuple[str, ChangeOutcome]]


_CONTENT_DECODER = msgspec.msgpack.Decoder(_Content)


def _encode_content(state: ConfigState) -> bytes:
    resources = [
        (key.kind, key.name, stored.version, stored.data)
        for key, stored in sorted(state.resource_by_key.items())
    ]
    content = _Content(
        resources=resources, outcomes=list(state.outcome_by_change_id.items())
    )
    return msgspec.msgpack.encode(content)


def compute_digest(state: ConfigState) -> str:
    """Return the digest of a state in hexadecimal; it does not cover the offset."""
    return xxhash.xxh3_128_hexdigest(_encode_content(state))


def make_snapshot(state: ConfigState) -> Snapshot:
    """Return the snapshot of a state."""
    content = _encode_content(state)
    return Snapshot(
        at_offset=state.offset,
        digest=xxhash.xxh3_128_hexdigest(content),
        data=zlib.compress(content, COMPRESSION_LEVEL),
    )


def load_snapshot(snapshot: Snapshot) -> ConfigState:
    """Decode the state that a snapshot holds.

    Raises:
        SnapshotError: If the contents cannot be decompressed or decoded, or do not
            match the digest.
    """
    decompressor = zlib.decompressobj()
    try:
        content_bytes = decompressor.decompress(snapshot.data, MAXIMUM_SNAPSHOT_BYTES)
    except zlib.error as error:
        raise SnapshotError(str(error)) from error
    if xxhash.xxh3_128_hexdigest(content_bytes) != snapshot.digest:
        raise SnapshotError(
            f"snapshot at offset {snapshot.at_offset}: contents do not match the digest"
        )
    try:
        content = _CONTENT_DECODER.decode(content_bytes)
    except DECODING_ERRORS as error:
        raise SnapshotError(str(error)) from error
    resource_by_key = {
        ResourceKey(kind, name): StoredResource(version, data)
        for kind, name, version, data in content.resources
    }
    return ConfigState(
        offset=snapshot.at_offset,
        resource_by_key=MappingProxyType(resource_by_key),
        outcome_by_change_id=MappingProxyType(dict(content.outcomes)),
    )


def try_load_snapshot(snapshot: SnapshotRecord) -> ConfigState | None:
    """Decode the state that a snapshot holds; log a corrupt one and return None."""
    try:
        return load_snapshot(snapshot)
    except SnapshotError as error:
        write_event(
            _logger,
            log_events.RECORD_VOID,
            offset=snapshot.at_offset,
            reason=str(error),
        )
        return None


def split_snapshot(snapshot: Snapshot, *, at_seconds: int) -> list[SnapshotRecord]:
    """Split a snapshot into records of bounded size."""
    part_data = [
        snapshot.data[start : start + SNAPSHOT_PART_BYTES]
        for start in range(0, len(snapshot.data), SNAPSHOT_PART_BYTES)
    ]
    return [
        SnapshotRecord(
            at_offset=snapshot.at_offset,
            digest=snapshot.digest,
            part=number,
            parts=len(part_data),
            data=data,
            at_seconds=at_seconds,
        )
        for number, data in enumerate(part_data)
    ]


class SnapshotCollector:
    """Assembles snapshots from parts that arrive in any order, possibly repeated."""

    def __init__(self):
        self._parts_by_identity: dict[tuple, dict[int, bytes]] = {}

    def add(self, record: SnapshotRecord) -> Snapshot | None:
        """Add a part.

        Args:
            record: The part; one with an invalid number is ignored.

        Returns:
            The snapshot if the part completes it, else None. The collector then
            discards the parts of this snapshot and of all that are not newer.
        """
        if not 0 <= record.part < record.parts <= MAXIMUM_PARTS:
            return None
        identity = (record.at_offset, record.digest, record.parts)
        parts = self._parts_by_identity.setdefault(identity, {})
        parts[record.part] = record.data
        self._evict_oldest_snapshots()
        if len(parts) < record.parts:
            return None
        self._parts_by_identity = {
            other_identity: other_parts
            for other_identity, other_parts in self._parts_by_identity.items()
            if other_identity[0] > record.at_offset
        }
        return Snapshot(
            at_offset=record.at_offset,
            digest=record.digest,
            data=b"".join(parts[number] for number in range(record.parts)),
        )

    def _evict_oldest_snapshots(self):
        while sum(map(len, self._parts_by_identity.values())) > MAXIMUM_PARTS:
            del self._parts_by_identity[min(self._parts_by_identity)]


class TruncatedLogReader:
    """Replays a log whose oldest records are no longer retained.

    The reader buffers records until a snapshot taken at or after the log's first
    offset is complete. It then drops the records before the snapshot and replays the
    others on top of it.
    """

    def __init__(self, *, first_offset: int):
        self._first_offset = first_offset
        self._collector = SnapshotCollector()
        self._buffered_records: list[LogRecord] = []
        self._state: ConfigState | None = None
        self.next_offset = first_offset

    @property
    def state(self) -> ConfigState | None:
        """The state after all records so far, None without a complete snapshot."""
        return self._state

    def add(self, batch: LogBatch) -> None:
        """Add the next records of the log."""
        for log_record in batch.records:
            record = _decode_or_none(log_record)
            if not isinstance(record, SnapshotRecord):
                self._buffered_records.append(log_record)
                continue
            self._add_snapshot_part(record)
        self.next_offset = batch.next_offset
        self._replay_buffered_records()

    def _add_snapshot_part(self, record):
        if record.at_offset < self._first_offset or self._state is not None:
            return
        snapshot = self._collector.add(record)
        if snapshot is None:
            return
        self._state = try_load_snapshot(snapshot)

    def _replay_buffered_records(self):
        if self._state is None or self.next_offset <= self._state.offset:
            return
        batch = LogBatch(
            from_offset=self._first_offset,
            next_offset=self.next_offset,
            records=tuple(self._buffered_records),
        )
        self._state = apply_batch(self._state, batch).state
        self._buffered_records.clear()


def _decode_or_none(log_record):
    try:
        return decode_record(log_record.data)
    except CitronspanError:
        # Ignored: the replay rejects the record and reports it.
        return None


def strip_snapshot_records(batch: LogBatch) -> LogBatch:
    """Return a batch without its snapshot records, which do not change the state."""
    records = tuple(
        record
        for record in batch.records
        if not isinstance(_decode_or_none(record), SnapshotRecord)
    )
    return LogBatch(
        from_offset=batch.from_offset, next_offset=batch.next_offset, records=records
    )
