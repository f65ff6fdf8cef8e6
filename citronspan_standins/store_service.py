"""Stand-in for the platform's store of keyed topics.

A topic is read by offset or as the newest record of each key. The stand-in implements
the reads of ``citronspan/platform/store.py`` and the appends of operators and targets.
It simulates the platform's faults: outages, delays, requests refused as busy, and
truncated history, and a restore from a copy.
"""

import base64
import copy
import struct
import threading
import time

import msgspec

from citronspan_standins.http_service import Exchange, handle_control

MAXIMUM_WAIT_SECONDS = 30.0
PAGE_ITEMS = 500
MAXIMUM_PAGE_KB = 1024
_PAGE_HEADER = struct.Struct(">QQ")
_RECORD_LENGTH = struct.Struct(">I")


class StoreSwitches(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
    rename="camel",
):
    """Settings and faults that can be changed while the store runs.

    Attributes:
        down: Whether every connection is closed without an answer.
        busy: Whether every request is refused with 503.
        delay_seconds: Delay before each answer, in seconds.
        page_items: Maximum number of keys in one page of newest records.
    """

    down: bool = False
    busy: bool = False
    delay_seconds: float = 0.0
    page_items: int = PAGE_ITEMS


class Topic:
    """The records of one topic; truncation keeps the newest record of each key.

    Attributes:
        first: Offset of the first record in the history.
        records: The history: one length byte, the key and the value of each record.
        newest_by_key: Offset and value of the newest record of each key.
    """

    def __init__(self):
        self.first = 0
        self.records: list[bytes] = []
        self.newest_by_key: dict[str, tuple[int, bytes]] = {}

    @property
    def end(self) -> int:
        """Offset of the next record."""
        return self.first + len(self.records)

    def append(self, content: bytes) -> None:
        """Append a record; one with an empty value is a tombstone of its key."""
        end = 1 + content[0]
        key, value = content[1:end].decode(), content[end:]
        if value:
            self.newest_by_key[key] = (self.end, value)
        else:
            self.newest_by_key.pop(key, None)
        self.records.append(content)


class StoreService:
    """Answers requests to the store.

    Attributes:
        switches: The current switches.
        request_count: Number of requests, without those to ``/control``.
        era: Number of restores, which each answer names.
    """

    def __init__(self, *, switches: StoreSwitches | None = None):
        self.switches = switches or StoreSwitches()
        self.request_count = 0
        self.era = 0
        self._topic_by_name: dict[str, Topic] = {}
        self._copied_topic_by_name: dict[str, Topic] = {}
        self._changed = threading.Condition()

    def replace_switches(self, switches: StoreSwitches) -> None:
        """Replace the switches and wake waiting reads."""
        with self._changed:
            self.switches = switches
            self._changed.notify_all()

    def put(self, topic: str, key: str, value: bytes) -> int:
        """Write a record as an operator or a target does and return its offset."""
        name = key.encode()
        with self._changed:
            keyed_topic = self._get_or_create_topic(topic)
            keyed_topic.append(bytes([len(name)]) + name + value)
            self._changed.notify_all()
            return keyed_topic.end - 1

    def truncate_history(self) -> None:
        """Truncate the history of every topic; the newest record of each key stays."""
        with self._changed:
            for topic in self._topic_by_name.values():
                topic.first = topic.end
                topic.records = []

    def save_copy(self) -> None:
        """Save a copy of all topics."""
        with self._changed:
            self._copied_topic_by_name = copy.deepcopy(self._topic_by_name)

    def restore_copy(self) -> None:
        """Go back to the saved copy; later records are lost and offsets reused."""
        with self._changed:
            self._topic_by_name = copy.deepcopy(self._copied_topic_by_name)
            self.era += 1
            self._changed.notify_all()

    def handle(self, exchange: Exchange) -> None:
        """Answer one request."""
        if exchange.path == "/control":
            handle_control(exchange, self.switches, self.replace_switches)
            return
        self.request_count += 1
        if self.switches.delay_seconds:
            exchange.wait(self.switches.delay_seconds)
        if self.switches.down:
            exchange.abort()
        if self.switches.busy:
            exchange.answer(503)
            return
        topic = exchange.query_by_name.get("topic", "")
        if exchange.path == "/log-read":
            self._read(exchange, topic)
            return
        if exchange.path == "/log-newest":
            self._list_newest(exchange, topic)
            return
        if exchange.path == "/log-append":
            self._append(exchange, topic)
            return
        exchange.answer(404)

    def _get_or_create_topic(self, name) -> Topic:
        return self._topic_by_name.setdefault(name, Topic())

    def _read(self, exchange, name):
        query = exchange.query_by_name
        start = int(query["from"])
        wait_seconds = min(int(query.get("waitMs", "0")) / 1000, MAXIMUM_WAIT_SECONDS)
        with self._changed:
            topic = self._get_or_create_topic(name)
            self._changed.wait_for(
                lambda: topic.end > start or self.switches.down, wait_seconds
            )
            topic = self._get_or_create_topic(name)
            first, end = topic.first, topic.end
            records = topic.records[max(start - first, 0) :]
        if self.switches.down:
            exchange.abort()
        if not first <= start <= end:
            exchange.answer_json(410, {"firstOffset": first}, self._make_headers())
            return
        parts = [_PAGE_HEADER.pack(end, first)]
        room_bytes = int(query.get("maxKb", MAXIMUM_PAGE_KB)) * 1024
        for number, content in enumerate(records):
            room_bytes -= _RECORD_LENGTH.size + len(content)
            if number and room_bytes < 0:
                break
            parts += [_RECORD_LENGTH.pack(len(content)), content]
        exchange.answer(200, b"".join(parts), self._make_headers())

    def _list_newest(self, exchange, name):
        after = exchange.query_by_name.get("after", "")
        with self._changed:
            topic = self._get_or_create_topic(name)
            keys = sorted(key for key in topic.newest_by_key if key > after)
            page = keys[: self.switches.page_items]
            items = [
                {
                    "key": key,
                    "value": base64.b64encode(topic.newest_by_key[key][1]).decode(),
                    "offset": topic.newest_by_key[key][0],
                }
                for key in page
            ]
            end = topic.end
        answer = {"items": items, "hasMore": len(keys) > len(page), "endOffset": end}
        exchange.answer_json(200, answer, self._make_headers())

    def _make_headers(self):
        return [("Store-Era", str(self.era))]

    def _append(self, exchange, name):
        body = b"".join(exchange.read_body())
        position = 0
        with self._changed:
            topic = self._get_or_create_topic(name)
            if exchange.query_by_name.get("at") not in (None, str(topic.end)):
                exchange.answer_json(
                    412, {"endOffset": topic.end}, self._make_headers()
                )
                return
            offset = topic.end
            while position < len(body):
                (length,) = _RECORD_LENGTH.unpack_from(body, position)
                position += _RECORD_LENGTH.size
                topic.append(body[position : position + length])
                position += length
            self._changed.notify_all()
        exchange.answer_json(
            200, {"offset": offset, "endOffset": topic.end}, self._make_headers()
        )


def wait_until(condition, seconds: float = 10.0) -> bool:
    """Wait at most ``seconds`` for a condition to hold; return whether it holds."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        if condition():
            return True
        time.sleep(0.02)
    return condition()
