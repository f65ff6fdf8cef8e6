"""Stand-in for the platform's store: topics with keys, read by offset or newest.

It speaks what ``citronspan/platform/store.py`` reads and what operators and targets
write, and it has the outages that the platform has: down, slow, turning some callers
away, history gone.
"""

import base64
import struct
import threading
import time

import msgspec

from citronspan_standins.http_service import Exchange, answer_control

MAXIMUM_WAIT_SECONDS = 30.0
PAGE_ITEMS = 500
_OFFSETS = struct.Struct(">QQ")
_LENGTH = struct.Struct(">I")


class StoreSwitches(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
    rename="camel",
):
    """What can be changed while the store runs.

    Attributes:
        down: Whether every connection is cut without an answer.
        busy: Whether every call is refused with 503.
        delay_seconds: Time before each answer.
        page_items: Number of keys in one page of newest records.
    """

    down: bool = False
    busy: bool = False
    delay_seconds: float = 0.0
    page_items: int = PAGE_ITEMS


class Topic:
    """The records of one topic; the newest of each key is kept for good."""

    def __init__(self):
        self.first = 0
        self.records: list[bytes] = []
        self.newest_by_key: dict[str, tuple[int, bytes]] = {}

    @property
    def end(self) -> int:
        """Offset of the next record."""
        return self.first + len(self.records)

    def append(self, content: bytes) -> None:
        """Append a record with a key; without a value the key is dropped."""
        end = 1 + content[0]
        key, value = content[1:end].decode(), content[end:]
        if value:
            self.newest_by_key[key] = (self.end, value)
        else:
            self.newest_by_key.pop(key, None)
        self.records.append(content)


class StoreService:
    """The store's answers to requests."""

    def __init__(self, *, switches: StoreSwitches | None = None):
        self.switches = switches or StoreSwitches()
        self.calls = 0
        self._topic_by_name: dict[str, Topic] = {}
        self._news = threading.Condition()

    def replace_switches(self, switches: StoreSwitches) -> None:
        """Put other switches in force."""
        with self._news:
            self.switches = switches
            self._news.notify_all()

    def put(self, topic: str, key: str, value: bytes) -> int:
        """Write a record as an operator or a target does; return its offset."""
        name = key.encode()
        with self._news:
            found = self._find(topic)
            found.append(bytes([len(name)]) + name + value)
            self._news.notify_all()
            return found.end - 1

    def forget_history(self) -> None:
        """Drop all records but the newest of each key."""
        with self._news:
            for topic in self._topic_by_name.values():
                topic.first = topic.end
                topic.records = []

    def handle(self, exchange: Exchange) -> None:
        """Answer one request."""
        if exchange.path == "/control":
            answer_control(exchange, self.switches, self.replace_switches)
            return
        self.calls += 1
        if self.switches.delay_seconds:
            exchange.wait(self.switches.delay_seconds)
        if self.switches.down:
            exchange.cut()
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

    def _find(self, name) -> Topic:
        return self._topic_by_name.setdefault(name, Topic())

    def _read(self, exchange, name):
        query = exchange.query_by_name
        start = int(query["from"])
        wait_seconds = min(int(query.get("waitMs", "0")) / 1000, MAXIMUM_WAIT_SECONDS)
        with self._news:
            topic = self._find(name)
            self._news.wait_for(
                lambda: topic.end > start or self.switches.down, wait_seconds
            )
            first, end = topic.first, topic.end
            records = topic.records[max(start - first, 0) :]
        if self.switches.down:
            exchange.cut()
        if start < first:
            exchange.answer_json(410, {"firstOffset": first})
            return
        parts = [_OFFSETS.pack(end, first)]
        for content in records:
            parts += [_LENGTH.pack(len(content)), content]
        exchange.answer(200, b"".join(parts))

    def _list_newest(self, exchange, name):
        after = exchange.query_by_name.get("after", "")
        with self._news:
            topic = self._find(name)
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
        exchange.answer_json(200, answer)

    def _append(self, exchange, name):
        body = b"".join(exchange.read_body())
        position = 0
        with self._news:
            topic = self._find(name)
            if exchange.query_by_name.get("at") not in (None, str(topic.end)):
                exchange.answer_json(412, {"endOffset": topic.end})
                return
            offset = topic.end
            while position < len(body):
                (length,) = _LENGTH.unpack_from(body, position)
                position += _LENGTH.size
                topic.append(body[position : position + length])
                position += length
            self._news.notify_all()
        exchange.answer_json(200, {"offset": offset, "endOffset": topic.end})


def wait_until(condition, seconds: float = 10.0) -> bool:
    """Wait until a condition holds; return whether it does."""
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        if condition():
            return True
        time.sleep(0.02)
    return condition()
