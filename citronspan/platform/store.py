"""Client of the platform's store, which is a log of topics over HTTP."""

import base64
import struct
import time
from urllib.parse import urlencode

import msgspec
import urllib3

from citronspan.ops.feed_source import FeedTruncatedError, StoreUnavailableError

CONNECT_TIMEOUT_SECONDS = 0.5
ANSWER_TIMEOUT_SECONDS = 0.8
"""Longest wait for an answer, beside the time that the store is asked to wait."""

PARTITION = 0
MAXIMUM_READ_KB = 1024
_OFFSETS = struct.Struct(">QQ")
_LENGTH = struct.Struct(">I")


class KeyedRecord(msgspec.Struct, frozen=True, kw_only=True):
    """A record of a topic with keys.

    Attributes:
        offset: Offset in the topic.
        key: The key.
        value: The value, None where the key was removed.
    """

    offset: int
    key: str
    value: bytes | None


class KeyedPage(msgspec.Struct, frozen=True, kw_only=True):
    """Records of a topic.

    Attributes:
        next_offset: Offset after the last record that is accounted for.
        records: The records, in order of their offsets.
    """

    next_offset: int
    records: tuple[KeyedRecord, ...]


class _NewestItem(msgspec.Struct, frozen=True):
    key: str
    value: str
    offset: int


class _NewestAnswer(msgspec.Struct, frozen=True):
    items: tuple[_NewestItem, ...]
    hasMore: bool  # noqa: N815 - the platform's name.
    endOffset: int  # noqa: N815 - the platform's name.


class StoreClient:
    """Reads topics with keys; safe for threads.

    A connection on which an answer is late is closed, since the store may never use
    it again.
    """

    def __init__(self, *, address: str):
        self._url = f"http://{address}"
        self._pool = urllib3.PoolManager(maxsize=4, retries=False)
        self.calls = 0

    def read(self, topic: str, from_offset: int, wait_seconds: float) -> KeyedPage:
        """Read records from an offset on.

        Args:
            topic: Name of the topic.
            from_offset: The first offset wanted.
            wait_seconds: How long the store may wait for a first record.

        Returns:
            The records that are there.

        Raises:
            StoreUnavailableError: If there is no answer that can be used.
            FeedTruncatedError: If the store no longer has that offset.
        """
        fields = {
            "topic": topic,
            "part": PARTITION,
            "from": from_offset,
            "maxKb": MAXIMUM_READ_KB,
            "waitMs": int(wait_seconds * 1000),
        }
        answer = self._request("/log-read", fields, wait_seconds)
        if answer.status == 410:
            raise FeedTruncatedError(f"{topic} from {from_offset}")
        if answer.status != 200:
            raise StoreUnavailableError(f"status {answer.status}")
        return _parse_page(answer.data, from_offset)

    def read_newest(self, topic: str) -> KeyedPage:
        """Read the newest record of each key.

        Pages are no snapshot; what changes meanwhile has an offset past the first
        page's end and is read again from there.

        Raises:
            StoreUnavailableError: If there is no answer that can be used.
        """
        records = []
        next_offset = None
        fields = {"topic": topic, "part": PARTITION}
        while True:
            answer = self._request("/log-newest", fields, 0.0)
            if answer.status != 200:
                raise StoreUnavailableError(f"status {answer.status}")
            page = _decode_newest(answer.data)
            if next_offset is None:
                next_offset = page.endOffset
            records.extend(_read_item(item) for item in page.items)
            if not page.hasMore or not page.items:
                break
            fields["after"] = page.items[-1].key
        records.sort(key=lambda record: record.offset)
        return KeyedPage(next_offset=next_offset, records=tuple(records))

    def _request(self, path, fields, wait_seconds):
        timeout = urllib3.Timeout(
            connect=CONNECT_TIMEOUT_SECONDS, read=ANSWER_TIMEOUT_SECONDS + wait_seconds
        )
        query = urlencode(fields)
        began_at = time.monotonic()
        self.calls += 1
        try:
            return self._pool.request(
                "GET", f"{self._url}{path}?{query}", timeout=timeout
            )
        except urllib3.exceptions.HTTPError as error:
            seconds = time.monotonic() - began_at
            raise StoreUnavailableError(f"{error} after {seconds:.3f} s") from error


def _parse_page(data: bytes, from_offset: int) -> KeyedPage:
    if len(data) < _OFFSETS.size:
        raise StoreUnavailableError("an answer without offsets")
    records = []
    position = _OFFSETS.size
    offset = from_offset
    while position < len(data):
        if position + _LENGTH.size > len(data):
            raise StoreUnavailableError("an answer that ends in a record")
        (length,) = _LENGTH.unpack_from(data, position)
        position += _LENGTH.size
        content = data[position : position + length]
        position += length
        if len(content) != length:
            raise StoreUnavailableError("an answer that ends in a record")
        record = _parse_content(offset, content)
        if record is not None:
            records.append(record)
        offset += 1
    return KeyedPage(next_offset=offset, records=tuple(records))


def _parse_content(offset: int, content: bytes) -> KeyedRecord | None:
    if not content or len(content) < 1 + content[0]:
        return None
    end = 1 + content[0]
    key = content[1:end].decode("utf-8", "replace")
    return KeyedRecord(offset=offset, key=key, value=content[end:] or None)


def _decode_newest(data: bytes) -> _NewestAnswer:
    try:
        return msgspec.json.decode(data, type=_NewestAnswer)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise StoreUnavailableError(f"answer: {error}") from error


def _read_item(item: _NewestItem) -> KeyedRecord:
    try:
        value = base64.b64decode(item.value, validate=True)
    except ValueError as error:
        raise StoreUnavailableError(f"answer: {error}") from error
    return KeyedRecord(offset=item.offset, key=item.key, value=value or None)
