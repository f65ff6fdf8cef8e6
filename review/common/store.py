"""Stand-in for the platform's store: the reads of keyed topics, as PROTOCOL.md says.

Each host has a listener of its own, so that the store can turn single hosts away.
"""

import asyncio
import base64
import json
import struct
import time
from collections.abc import Callable
from urllib.parse import parse_qs, urlsplit

from review.common.wire import make_answer, read_request

ANSWER_SECONDS = 0.004
PAGE_ITEMS = 500
_OFFSETS = struct.Struct(">QQ")
_LENGTH = struct.Struct(">I")


class Topic:
    """A keyed topic with one partition."""

    def __init__(self):
        self.first = 0
        self.records: list[tuple[float, bytes]] = []
        self.newest_by_key: dict[str, tuple[int, bytes]] = {}
        self.changed = asyncio.Event()

    @property
    def end(self) -> int:
        """Offset of the next record."""
        return self.first + len(self.records)

    def append(self, key: str, value: bytes) -> None:
        """Append a record; one without a value drops its key."""
        name = key.encode()
        if value:
            self.newest_by_key[key] = (self.end, value)
        else:
            self.newest_by_key.pop(key, None)
        content = bytes([len(name)]) + name + value
        self.records.append((time.monotonic(), content))
        self.changed.set()
        self.changed = asyncio.Event()

    def expire(self, keep_seconds: float) -> None:
        """Drop records older than that; the newest of each key stays readable."""
        oldest = time.monotonic() - keep_seconds
        while self.records and self.records[0][0] < oldest:
            self.records.pop(0)
            self.first += 1


class Store:
    """The store; all of it runs in one event loop.

    Attributes:
        turned_away: Names of the hosts that get 503 for every call.
        on_call: Called with the name of the host at each call.
    """

    def __init__(self, *, keep_seconds: float = 20.0):
        self.turned_away: set[str] = set()
        self.on_call: Callable[[str], None] = lambda host: None
        self._keep_seconds = keep_seconds
        self._topic_by_name: dict[str, Topic] = {}

    def put(self, topic: str, key: str, value: bytes) -> float:
        """Write a record; return the time of the acknowledgement."""
        self._find_topic(topic).append(key, value)
        return time.monotonic()

    async def serve(self, address: str, host: str) -> asyncio.Server:
        """Serve one host at an address."""
        ip, _, port = address.rpartition(":")

        async def handle(reader, writer):
            try:
                while (request := await read_request(reader)) is not None:
                    await asyncio.sleep(ANSWER_SECONDS)
                    writer.write(await self._answer(host, request))
            except (OSError, asyncio.IncompleteReadError):
                # Ignored: the host ended or left.
                return
            finally:
                writer.close()

        return await asyncio.start_server(handle, ip, int(port))

    def _find_topic(self, name) -> Topic:
        topic = self._topic_by_name.setdefault(name, Topic())
        topic.expire(self._keep_seconds)
        return topic

    async def _answer(self, host, request):
        self.on_call(host)
        if host in self.turned_away:
            return make_answer(503, {}, b"")
        url = urlsplit(request.path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path == "/log-read":
            return await self._read(query)
        if url.path == "/log-newest":
            return self._list_newest(query)
        return make_answer(404, {}, b"")

    async def _read(self, query):
        name, start = query["topic"], int(query["from"])
        ends_at = time.monotonic() + int(query.get("waitMs", "0")) / 1000
        topic = self._find_topic(name)
        while topic.end <= start and (left := ends_at - time.monotonic()) > 0:
            try:
                await asyncio.wait_for(topic.changed.wait(), left)
            except TimeoutError:
                break
        if not topic.first <= start <= topic.end:
            body = json.dumps({"firstOffset": topic.first}).encode()
            return make_answer(410, {"Content-Type": "application/json"}, body)
        records = [content for _, content in topic.records[start - topic.first :]]
        parts = [_OFFSETS.pack(topic.end, topic.first)]
        for content in records:
            parts += [_LENGTH.pack(len(content)), content]
        return make_answer(200, {}, b"".join(parts))

    def _list_newest(self, query):
        topic = self._find_topic(query["topic"])
        after = query.get("after", "")
        keys = sorted(key for key in topic.newest_by_key if key > after)
        items = [
            {
                "key": key,
                "value": base64.b64encode(topic.newest_by_key[key][1]).decode(),
                "offset": topic.newest_by_key[key][0],
            }
            for key in keys[:PAGE_ITEMS]
        ]
        page = {
            "items": items,
            "hasMore": len(keys) > PAGE_ITEMS,
            "endOffset": topic.end,
        }
        return make_answer(
            200, {"Content-Type": "application/json"}, json.dumps(page).encode()
        )
