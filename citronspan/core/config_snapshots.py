"""Snapshots of the configuration, for the log and for peers that start.

The log keeps records for a limited time. A snapshot holds what the records before
an offset came to, so that a reader can begin where the log begins now. It is a
pure function of the state: any node that makes it at an offset makes the same
bytes, and a second copy changes nothing.
"""

import zlib
from types import MappingProxyType

import logbook
import msgspec
import xxhash

from citronspan.core import log_events
from citronspan.core.config_record import (
    LogBatch,
    LogRecord,
    SnapshotRecord,
    decode_record,
)
from citronspan.core.config_state import (
    ChangeOutcome,
    ConfigState,
    ResourceKey,
    StoredResource,
    apply_batch,
)
from citronspan.core.errors import CitronspanError
from citronspan.utils.logs import write_event

# Base64 in JSON makes a record of a third more than this.
SNAPSHOT_PART_BYTES = 96 << 10
# Parts that a collector holds at most, so that odd records cannot fill memory.
MAXIMUM_PARTS = 256
MAXIMUM_SNAPSHOT_BYTES = 64 << 20
COMPRESSION_LEVEL = 6

_logger = logbook.Logger("snapshots")


class SnapshotError(Exception):
    """A snapshot whose bytes are not what its digest says."""


class Snapshot(msgspec.Struct, frozen=True, kw_only=True):
    """A compressed state.

    Attributes:
        at_offset: First offset that it does not contain.
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
    """Return the digest of a state; its offset does not count."""
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
    """Return the state that a snapshot holds.

    Raises:
        SnapshotError: If the contents do not match the digest.
    """
    inflater = zlib.decompressobj()
    try:
        content_bytes = inflater.decompress(snapshot.data, MAXIMUM_SNAPSHOT_BYTES)
    except zlib.error as error:
        raise SnapshotError(str(error)) from error
    if xxhash.xxh3_128_hexdigest(content_bytes) != snapshot.digest:
        raise SnapshotError(f"snapshot at {snapshot.at_offset}: wrong digest")
    try:
        content = _CONTENT_DECODER.decode(content_bytes)
    except msgspec.MsgspecError as error:
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
    """Return the state that a snapshot holds; None, with a log line, if it is bad."""
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
    pieces = [
        snapshot.data[start : start + SNAPSHOT_PART_BYTES]
        for start in range(0, len(snapshot.data), SNAPSHOT_PART_BYTES)
    ]
    return [
        SnapshotRecord(
            at_offset=snapshot.at_offset,
            digest=snapshot.digest,
            part=number,
            parts=len(pieces),
            data=piece,
            at_seconds=at_seconds,
        )
        for number, piece in enumerate(pieces)
    ]


class SnapshotCollector:
    """Puts parts together, whatever their order and however often they come."""

    def __init__(self):
        self._parts_by_identity: dict[tuple, dict[int, bytes]] = {}

    def add(self, record: SnapshotRecord) -> Snapshot | None:
        """Add a part.

        Args:
            record: The part.

        Returns:
            The snapshot once it is whole; the collector then forgets it and
            everything older.
        """
        if not 0 <= record.part < record.parts <= MAXIMUM_PARTS:
            return None
        identity = (record.at_offset, record.digest, record.parts)
        parts = self._parts_by_identity.setdefault(identity, {})
        parts[record.part] = record.data
        self._bound_parts()
        if len(parts) < record.parts:
            return None
        self._parts_by_identity = {
            other: kept
            for other, kept in self._parts_by_identity.items()
            if other[0] > record.at_offset
        }
        return Snapshot(
            at_offset=record.at_offset,
            digest=record.digest,
            data=b"".join(parts[number] for number in range(record.parts)),
        )

    def _bound_parts(self):
        while sum(map(len, self._parts_by_identity.values())) > MAXIMUM_PARTS:
            del self._parts_by_identity[min(self._parts_by_identity)]


class TruncatedLogReader:
    """Replays a log whose beginning has been forgotten.

    Records are held until a snapshot that reaches back far enough is whole; then
    those before it are dropped and the others are replayed on it.
    """

    def __init__(self, *, first_offset: int):
        self._first_offset = first_offset
        self._collector = SnapshotCollector()
        self._records: list[LogRecord] = []
        self._state: ConfigState | None = None
        self.next_offset = first_offset

    @property
    def state(self) -> ConfigState | None:
        """The state after all records so far, None while there is no snapshot."""
        return self._state

    def add(self, batch: LogBatch) -> None:
        """Add the next records of the log."""
        for log_record in batch.records:
            record = _decode_or_none(log_record)
            if not isinstance(record, SnapshotRecord):
                self._records.append(log_record)
                continue
            self._add_part(record)
        self.next_offset = batch.next_offset
        self._replay_held()

    def _add_part(self, record):
        if record.at_offset < self._first_offset or self._state is not None:
            return
        snapshot = self._collector.add(record)
        if snapshot is None:
            return
        self._state = try_load_snapshot(snapshot)

    def _replay_held(self):
        if self._state is None or self.next_offset <= self._state.offset:
            return
        batch = LogBatch(
            from_offset=self._first_offset,
            next_offset=self.next_offset,
            records=tuple(self._records),
        )
        self._state = apply_batch(self._state, batch).state
        self._records.clear()


def _decode_or_none(log_record):
    try:
        return decode_record(log_record.data)
    except CitronspanError:
        # Ignored: replay counts it as void and says so.
        return None


def strip_snapshot_records(batch: LogBatch) -> LogBatch:
    """Return a batch without the snapshot records, which change no state."""
    records = tuple(
        record
        for record in batch.records
        if not isinstance(_decode_or_none(record), SnapshotRecord)
    )
    return LogBatch(
        from_offset=batch.from_offset, next_offset=batch.next_offset, records=records
    )
