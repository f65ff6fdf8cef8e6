"""Feeds of resources that the platform publishes, and the state they add up to.

A feed is a log of records by key; the newest record of a key counts. A record holds
resources of the product, already translated, so that only the reader of a feed knows
how the platform writes them. Records merge by offset: a copy that is older than what
is held changes nothing, whatever way it came.
"""

import time
import zlib
from collections.abc import Iterable
from types import MappingProxyType

import logbook
import msgspec

from citronspan.core import log_events
from citronspan.core.config_state import ConfigState, ResourceKey, StoredResource
from citronspan.core.errors import CitronspanError
from citronspan.core.resources import Resource, decode_resource, encode_resource
from citronspan.utils.logs import write_event

CONFIGURATION_FEED = "configuration"
TARGETS_FEED = "targets"
FEEDS = (CONFIGURATION_FEED, TARGETS_FEED)

COMPRESSION_THRESHOLD_BYTES = 1024
"""Least length of a list of resources that is compressed."""

COMPRESSION_LEVEL = 1
# No JSON begins with this.
_COMPRESSED = b"z"

REMOVAL_GRACE_SECONDS = 2.0
"""Time after the store's return in which an entry that lapsed may come back."""

_logger = logbook.Logger("feeds")


class FeedRecord(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The newest word of a feed on one key.

    Attributes:
        offset: Offset in the feed.
        key: The key.
        data: List of resources by ``encode_resources``, None where the key was
            removed.
        lapsed: Whether it was removed while the store was away. What it held then
            stays in force for ``REMOVAL_GRACE_SECONDS``, in case the key comes back.
    """

    offset: int
    key: str
    data: bytes | None = None
    lapsed: bool = False


class FeedBatch(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Records of one feed.

    Attributes:
        feed: Name of the feed.
        from_offset: First offset that was read.
        next_offset: Offset after the last one that was read.
        records: The records, in order of their offsets.
        whole: Whether these are the newest records of all keys there are.
    """

    feed: str
    from_offset: int
    next_offset: int
    records: tuple[FeedRecord, ...] = ()
    whole: bool = False


class Feed:
    """What one node holds of a feed."""

    def __init__(self, *, name: str):
        self.name = name
        self.next_offset = 0
        self.lapses = 0
        self.record_by_key: dict[str, FeedRecord] = {}
        self._lapse_at_by_key: dict[str, float] = {}

    def apply(self, batch: FeedBatch) -> bool:
        """Take a batch.

        Args:
            batch: The batch; a part with a gap before it is passed over.

        Returns:
            Whether it told anything new.
        """
        if batch.next_offset <= self.next_offset:
            return False
        if not batch.whole and batch.from_offset > self.next_offset:
            return False
        if batch.whole:
            self._lapse_missing(batch)
        for record in batch.records:
            self._take(record)
        self.next_offset = batch.next_offset
        return True

    def export(self) -> FeedBatch:
        """Return everything that is held, as one batch."""
        records = [
            msgspec.structs.replace(record, lapsed=key in self._lapse_at_by_key)
            for key, record in self.record_by_key.items()
        ]
        records.sort(key=lambda record: record.offset)
        return FeedBatch(
            feed=self.name,
            from_offset=0,
            next_offset=self.next_offset,
            records=tuple(records),
            whole=True,
        )

    def expire(self) -> bool:
        """Remove what lapsed and did not come back; return whether there was any."""
        now = time.monotonic()
        due = [key for key, at in self._lapse_at_by_key.items() if now >= at]
        for key in due:
            del self._lapse_at_by_key[key]
            del self.record_by_key[key]
        self.lapses += len(due)
        return bool(due)

    def _lapse_missing(self, batch):
        """Let keys lapse that a whole batch, read at once, no longer has."""
        present = {record.key for record in batch.records}
        for key in self.record_by_key.keys() - present:
            self._begin_lapse(key)

    def _begin_lapse(self, key):
        due_at = time.monotonic() + REMOVAL_GRACE_SECONDS
        self._lapse_at_by_key.setdefault(key, due_at)

    def _take(self, record):
        held = self.record_by_key.get(record.key)
        if held is not None and record.offset < held.offset:
            return
        if record.data is None and not record.lapsed:
            self.record_by_key.pop(record.key, None)
            self._lapse_at_by_key.pop(record.key, None)
            return
        if record.data is not None:
            self.record_by_key[record.key] = record
        if not record.lapsed:
            self._lapse_at_by_key.pop(record.key, None)
            return
        if record.key in self.record_by_key:
            self._begin_lapse(record.key)


class FeedMerger:
    """Folds feeds into the configuration that is in force.

    A resource whose specification did not change keeps its version, so that watches
    and pushes to the entry carry changes only.

    Attributes:
        invalid_resources: Resources that were left out since they are not valid.
    """

    def __init__(self):
        self.invalid_resources = 0
        self._resources_by_key: dict[
            tuple[str, str], tuple[bytes, tuple[Resource, ...]]
        ] = {}
        self._spec_by_key: dict[ResourceKey, bytes] = {}
        self._stored_by_key: dict[ResourceKey, StoredResource] = {}

    def merge_feeds(self, feeds: Iterable[Feed], *, before: ConfigState) -> ConfigState:
        """Return the state after a change of some feeds.

        Args:
            feeds: All feeds.
            before: The state before; its offset is passed in any case.

        Returns:
            The new state.
        """
        feeds = tuple(feeds)
        offset = sum(feed.next_offset + feed.lapses for feed in feeds)
        offset = max(offset, before.offset + 1)
        stored_by_key: dict[ResourceKey, StoredResource] = {}
        for feed in feeds:
            for record in feed.record_by_key.values():
                for resource in self._decode(feed.name, record):
                    key = ResourceKey(resource.kind.value, resource.name)
                    stored_by_key[key] = self._store(key, resource, offset)
        self._stored_by_key = stored_by_key
        self._forget_removed(feeds)
        self._spec_by_key = {key: self._spec_by_key[key] for key in stored_by_key}
        return ConfigState(
            offset=offset, resource_by_key=MappingProxyType(stored_by_key)
        )

    def _decode(self, feed, record) -> tuple[Resource, ...]:
        known = self._resources_by_key.get((feed, record.key))
        if known is not None and known[0] == record.data:
            return known[1]
        raws = _read_list(record.data)
        resources = []
        for raw in raws:
            try:
                resources.append(decode_resource(bytes(raw)))
            except CitronspanError as error:
                # The reader has checked it; another version of this program may
                # know a field that this one does not.
                self.invalid_resources += 1
                write_event(
                    _logger,
                    log_events.RECORD_VOID,
                    key=record.key,
                    offset=record.offset,
                    reason=str(error),
                )
        self._resources_by_key[feed, record.key] = (record.data, tuple(resources))
        return tuple(resources)

    def _forget_removed(self, feeds):
        held = {(feed.name, key) for feed in feeds for key in feed.record_by_key}
        for key in self._resources_by_key.keys() - held:
            del self._resources_by_key[key]

    def _store(self, key, resource, offset) -> StoredResource:
        spec = msgspec.json.encode(resource.spec)
        held = self._stored_by_key.get(key)
        if held is not None and self._spec_by_key.get(key) == spec:
            return held
        self._spec_by_key[key] = spec
        version = offset - 1
        data = encode_resource(msgspec.structs.replace(resource, version=version))
        return StoredResource(version, data)


_RAW_LIST_DECODER = msgspec.json.Decoder(tuple[msgspec.Raw, ...])


def encode_resources(resources: Iterable[Resource]) -> bytes:
    """Encode resources as the data of a feed record.

    A long list is compressed: a whole configuration goes to every host at each change.
    """
    data = msgspec.json.encode([msgspec.Raw(encode_resource(r)) for r in resources])
    if len(data) < COMPRESSION_THRESHOLD_BYTES:
        return data
    return _COMPRESSED + zlib.compress(data, COMPRESSION_LEVEL)


def _read_list(data: bytes) -> tuple[msgspec.Raw, ...]:
    if data.startswith(_COMPRESSED):
        data = zlib.decompress(data[len(_COMPRESSED) :])
    return _RAW_LIST_DECODER.decode(data)


def drop_superseded_records(batch: FeedBatch) -> FeedBatch:
    """Return a batch without the records that a later one of it replaces."""
    newest_by_key = {record.key: record for record in batch.records}
    if len(newest_by_key) == len(batch.records):
        return batch
    records = sorted(newest_by_key.values(), key=lambda record: record.offset)
    return msgspec.structs.replace(batch, records=tuple(records))


_RAW_LIST_DECODER = msgspec.json.Decoder(tuple[msgspec.Raw, ...])
