"""Stand-in for a backend: runs requests, registers itself and drains.

It runs at most ``slots`` requests at the same time and turns further ones away with
503 and ``X-Citronspan-Not-Executed``, and answers 421 to a request that expects another
instance.
"""

import asyncio
import json
import socket
import struct
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from review.common.store import Store
from review.common.wire import Request, make_answer, read_request

HEARTBEAT_SECONDS = 1.5
MISSED_HEARTBEATS = 3
REQUEST_ID = "x-citronspan-request-id"


@dataclass(frozen=True, kw_only=True)
class Arrival:
    """A request that reached a target and was not turned away.

    Attributes:
        at: Monotonic time at which it began to run.
        target: Name of the target.
        service: Service of the target.
        request_id: Id of the client's attempt.
        path: Path of the request.
    """

    at: float
    target: str
    service: str
    request_id: str
    path: str


class Target:
    """A target of one service.

    Attributes:
        name: Its id in the store.
        arrivals: The requests that it has run.
        cut_ids: Requests that its end or crash has cut off.
        spoil: Returns the bytes to send in place of those of a sound answer.
    """

    def __init__(
        self,
        *,
        name: str,
        service: str,
        data_centre: str,
        address: str,
        store: Store,
        slots: int,
        work: Callable[["Target", Request], Awaitable[None]],
        spoil: Callable[[bytes], bytes] = lambda answer: answer,
    ):
        """Create a target that is not running yet.

        Args:
            name: Its id.
            service: Name of its service.
            data_centre: Its zone.
            address: ``IP:PORT``.
            store: Where it registers itself.
            slots: Number of requests that it runs at the same time.
            work: Runs one request; may call ``crash``.
            spoil: Returns the bytes to send in place of those of a sound answer; with
                none the connection is reset.
        """
        self.name = name
        self.service = service
        self.arrivals: list[Arrival] = []
        self.cut_ids: list[str] = []
        self._data_centre = data_centre
        self._address = address
        self._store = store
        self._slots = slots
        self._work = work
        self.spoil = spoil
        self._state = "ready"
        self._sequence = 0
        self._born = 0
        self._running: set[str] = set()
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Listen and register as ready."""
        ip, _, port = self._address.rpartition(":")
        self._server = await asyncio.start_server(
            self._handle, ip, int(port), reuse_address=True
        )
        self._state = "ready"
        self._sequence = 0
        self._born = time.time_ns() // 1_000_000
        self._register()
        self._start_task(self._beat())

    def drain(self) -> float:
        """Report that this target is leaving; return the acknowledgement's time."""
        self._state = "draining"
        return self._register()

    def end(self) -> None:
        """End the process of the target after a drain: its entry is removed, too."""
        self._close()
        self._store.put("keyed.servers", self.name, b"")

    def crash(self, down_seconds: float) -> None:
        """Crash; the target is back after some seconds, under the id that it had."""
        self._close()
        self._start_task(self._come_back(down_seconds))

    def close(self) -> None:
        """Close everything at the end of a test."""
        self._close()
        for task in self._tasks:
            task.cancel()

    async def _come_back(self, seconds):
        await asyncio.sleep(seconds)
        await self.start()

    def _close(self):
        if self._server is None:
            return
        self._server.close()
        self._server = None
        self.cut_ids += self._running
        self._running.clear()
        for writer in self._writers:
            writer.transport.abort()
        self._writers.clear()

    def _start_task(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _register(self) -> float:
        self._sequence += 1
        value = {
            "address": self._address,
            "born": self._born,
            "info": {
                "service": self.service,
                "version": "v1",
                "dataCentre": self._data_centre,
                "slots": self._slots,
            },
            "status": {
                "state": self._state,
                "sequence": self._sequence,
                "warmUpSeconds": 0,
            },
        }
        return self._store.put("keyed.servers", self.name, json.dumps(value).encode())

    async def _beat(self):
        server = self._server
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            if self._server is not server:
                return
            self._register()

    async def _handle(self, reader, writer):
        self._writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                answer = await self._run(request)
                if writer not in self._writers:
                    return
                if not answer:
                    _reset(writer)
                    return
                writer.write(answer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            # Ignored: the host closed the connection.
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _run(self, request):
        request_id = request.header_by_name.get(REQUEST_ID, "")
        headers = {"X-Citronspan-Request-Id": request_id}
        if request.path == "/healthz":
            is_ready = self._state == "ready"
            headers["X-Citronspan-Instance-Id"] = self.name
            return make_answer(200 if is_ready else 503, headers, b"")
        expected = request.header_by_name.get("x-citronspan-expected-instance")
        if expected is not None and expected != self.name:
            return make_answer(421, headers, b"")
        if len(self._running) >= self._slots:
            headers["X-Citronspan-Not-Executed"] = "1"
            return make_answer(503, headers, b"")
        self.arrivals.append(
            Arrival(
                at=time.monotonic(),
                target=self.name,
                service=self.service,
                request_id=request_id,
                path=request.path,
            )
        )
        self._running.add(request_id)
        await self._work(self, request)
        self._running.discard(request_id)
        headers["X-Citronspan-Backend-Signature"] = f"{self.name}.{request_id}"
        load = f"{len(self._running)},0,{self._slots}"
        headers["X-Citronspan-Backend-Load"] = load
        return self.spoil(make_answer(200, headers, b"done at " + self.name.encode()))


def _reset(writer):
    linger = struct.pack("ii", 1, 0)
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()
