"""HTTP client of the platform's store, which keeps a log of records per topic.

After a restore from a copy the store gives out offsets again, and counts the restores
in its answers. Offsets here contain that count, so that they only grow.
"""

import base64
import re
import struct
import time
from typing import Annotated
from urllib.parse import urlencode

import logbook
import msgspec
import urllib3

from citronspan.core import log_events
from citronspan.ops.store.feed_source import (
    FeedTruncatedError,
    StoreRestoredError,
    StoreUnavailableError,
)
from citronspan.utils.bounded_http import AnswerBounds, BoundedHttpClient
from citronspan.utils.logs import write_event
from citronspan.utils.validation import DECODING_ERRORS

CONNECT_TIMEOUT_SECONDS = 0.5
ANSWER_TIMEOUT_SECONDS = 0.8
"""Longest wait for an answer, added to the wait requested from the store."""

PARTITION = 0
MAXIMUM_READ_KB = 1024
ANSWER_BOUNDS = AnswerBounds(body_bytes=4 << 20, seconds=5.0)
"""A page has 1 MB of records at most, in base64 where they are the newest."""

MAXIMUM_NEWEST_PAGES = 200
"""Most pages of the newest records of a topic that are read."""

MAXIMUM_NEWEST_BYTES = 48 << 20
"""Most bytes of the answers with the newest records of a topic that are read."""

ERA_OFFSETS = 1 << 40
"""Offsets for each restore of the store, more than a topic ever has."""

_logger = logbook.Logger("platform")

_ERA = "Store-Era"
# With more restores, offsets would no longer fit into what hosts send each other.
_ERA_PATTERN = re.compile(r"[0-9]{1,6}")
_PAGE_HEADER = struct.Struct(">QQ")
_RECORD_LENGTH = struct.Struct(">I")


_StoreOffset = Annotated[int, msgspec.Meta(ge=0, lt=ERA_OFFSETS)]


class KeyedRecord(msgspec.Struct, frozen=True, kw_only=True):
    """A record of a keyed topic.

    Attributes:
        offset: Offset in the topic.
        key: The key.
        value: The value, None if the key was removed.
    """

    offset: int
    key: str
    value: bytes | None


class KeyedPage(msgspec.Struct, frozen=True, kw_only=True):
    """A range of records of a topic.

    Attributes:
        next_offset: Offset after the last record that was read; malformed records
            count, too, but are left out of ``records``.
        records: The records, in order of their offsets.
        end_offset: End of the topic when the store answered, after ``next_offset`` if
            the store cut the page. 0 for the newest records, which are whole.
    """

    next_offset: int
    records: tuple[KeyedRecord, ...]
    end_offset: int = 0


class _NewestItem(msgspec.Struct, frozen=True):
    key: str
    value: str
    offset: _StoreOffset


class _NewestPage(msgspec.Struct, frozen=True):
    items: tuple[msgspec.Raw, ...]
    hasMore: bool  # noqa: N815 - the platform's name.
    endOffset: _StoreOffset  # noqa: N815 - the platform's name.


class StoreClient:
    """Reads keyed topics; thread-safe.

    A connection whose answer is overdue is closed, because the store may never
    answer on it again.

    Attributes:
        request_count: Number of requests sent, since the start.
    """

    def __init__(self, *, address: str):
        self._url = f"http://{address}"
        self._client = BoundedHttpClient(bounds=ANSWER_BOUNDS, connections=4)
        self.request_count = 0

    def read(self, topic: str, from_offset: int, wait_seconds: float) -> KeyedPage:
        """Read records from an offset on.

        Args:
            topic: Name of the topic.
            from_offset: First offset to read.
            wait_seconds: Longest time that the store waits for a first record.

        Returns:
            The records from that offset on that the store returned.

        Raises:
            StoreUnavailableError: If there is no usable answer.
            FeedTruncatedError: If the store no longer holds that offset.
            StoreRestoredError: If the store was restored from a copy since then.
        """
        era, store_offset = divmod(from_offset, ERA_OFFSETS)
        fields = {
            "topic": topic,
            "part": PARTITION,
            "from": store_offset,
            "maxKb": MAXIMUM_READ_KB,
            "waitMs": int(wait_seconds * 1000),
        }
        answer = self._request("/log-read", fields, wait_seconds)
        if answer.status == 410:
            raise FeedTruncatedError(f"{topic} from {from_offset}")
        if answer.status != 200:
            raise StoreUnavailableError(f"status {answer.status}")
        if _read_era(answer) != era:
            raise StoreRestoredError(f"{topic}: the store was restored from a copy")
        return _parse_page(answer.data, from_offset, era * ERA_OFFSETS)

    def read_newest(self, topic: str) -> KeyedPage:
        """Read the newest record of each key.

        The pages are not a consistent snapshot. A change made during the read has an
        offset at or after ``next_offset``, the end offset in the first page, and is
        read again from there.

        Raises:
            StoreUnavailableError: If there is no usable answer, or no end of them.
        """
        records = []
        next_offset = None
        first_offset = None
        read_bytes = 0
        fields = {"topic": topic, "part": PARTITION}
        for _ in range(MAXIMUM_NEWEST_PAGES):
            answer = self._request("/log-newest", fields, 0.0)
            if answer.status != 200:
                raise StoreUnavailableError(f"status {answer.status}")
            read_bytes += len(answer.data)
            if read_bytes > MAXIMUM_NEWEST_BYTES:
                raise StoreUnavailableError("the newest records are too large")
            page = _decode_newest(answer.data)
            if first_offset is None:
                first_offset = _read_era(answer) * ERA_OFFSETS
                next_offset = first_offset + page.endOffset
            if _read_era(answer) * ERA_OFFSETS != first_offset:
                raise StoreUnavailableError("the store was restored during the read")
            page_records = _decode_items(page, first_offset)
            records.extend(page_records)
            if not page.hasMore or not page.items:
                break
            if not page_records:
                raise StoreUnavailableError("no item of the answer can be decoded")
            last_key = page_records[-1].key
            if fields.get("after") == last_key:
                raise StoreUnavailableError("the store repeats a page")
            fields["after"] = last_key
        else:
            raise StoreUnavailableError("the newest records have too many pages")
        records.sort(key=lambda record: record.offset)
        return KeyedPage(next_offset=next_offset, records=tuple(records))

    def _request(self, path, fields, wait_seconds):
        timeout = urllib3.Timeout(
            connect=CONNECT_TIMEOUT_SECONDS, read=ANSWER_TIMEOUT_SECONDS + wait_seconds
        )
        query = urlencode(fields)
        began_at = time.monotonic()
        self.request_count += 1
        try:
            return self._client.request(
                "GET", f"{self._url}{path}?{query}", timeout=timeout
            )
        except urllib3.exceptions.HTTPError as error:
            seconds = time.monotonic() - began_at
            raise StoreUnavailableError(f"{error} after {seconds:.3f} s") from error


def _read_era(answer) -> int:
    """Return how often the store was restored from a copy, 0 if it does not say."""
    text = answer.headers.get(_ERA, "0")
    if not _ERA_PATTERN.fullmatch(text):
        raise StoreUnavailableError(f"{_ERA}: {text[:20]!r} is no possible number")
    return int(text)


def _parse_page(data: bytes, from_offset: int, first_offset: int) -> KeyedPage:
    if len(data) < _PAGE_HEADER.size:
        raise StoreUnavailableError("answer is shorter than its header of offsets")
    end, _ = _PAGE_HEADER.unpack_from(data)
    records = []
    position = _PAGE_HEADER.size
    offset = from_offset
    while position < len(data):
        if position + _RECORD_LENGTH.size > len(data):
            raise StoreUnavailableError("answer ends within a record")
        (length,) = _RECORD_LENGTH.unpack_from(data, position)
        position += _RECORD_LENGTH.size
        content = data[position : position + length]
        position += length
        if len(content) != length:
            raise StoreUnavailableError("answer ends within a record")
        record = _parse_record(offset, content)
        if record is not None:
            records.append(record)
        offset += 1
    return KeyedPage(
        next_offset=offset, records=tuple(records), end_offset=first_offset + end
    )


def _parse_record(offset: int, content: bytes) -> KeyedRecord | None:
    if not content or len(content) < 1 + content[0]:
        return None
    end = 1 + content[0]
    key = content[1:end].decode("utf-8", "replace")
    return KeyedRecord(offset=offset, key=key, value=content[end:] or None)


def _decode_newest(data: bytes) -> _NewestPage:
    try:
        return msgspec.json.decode(data, type=_NewestPage)
    except DECODING_ERRORS as error:
        raise StoreUnavailableError(f"answer cannot be decoded: {error}") from error


def _decode_items(page: _NewestPage, first_offset: int) -> list[KeyedRecord]:
    """Decode the items of a page; one that cannot be decoded is left out."""
    records = []
    for raw_item in page.items:
        try:
            item = msgspec.json.decode(raw_item, type=_NewestItem)
            value = base64.b64decode(item.value, validate=True)
        except DECODING_ERRORS as error:
            write_event(_logger, log_events.RECORD_VOID, reason=str(error))
            continue
        records.append(
            KeyedRecord(
                offset=first_offset + item.offset, key=item.key, value=value or None
            )
        )
    return records
