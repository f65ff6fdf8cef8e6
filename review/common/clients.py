"""Clients that send a steady stream of requests to the addresses of the directory."""

import asyncio
import random
import time
from collections import Counter
from dataclasses import dataclass

from review.common.fleet import Fleet
from review.common.wire import Answer

LOOK_UP_SECONDS = 2.0


@dataclass(frozen=True, kw_only=True)
class Sent:
    """One request of a client, with its answer.

    Attributes:
        at: Monotonic time at which it was sent.
        ended_at: Monotonic time at which the answer was there, or none was to come.
        request_id: Its id.
        address: Address of the host that it was sent to.
        answer: The answer.
    """

    at: float
    ended_at: float
    request_id: str
    address: str
    answer: Answer

    def describe(self) -> str:
        """Return status or error, as a word for counts."""
        return str(self.answer.status or self.answer.error)


class Clients:
    """Sends requests of one kind at a steady rate, each once.

    Attributes:
        sent: All requests that have ended.
    """

    def __init__(
        self,
        *,
        fleet: Fleet,
        place: tuple[str, str],
        method: str,
        path: str,
        per_second: float,
        body: bytes = b"",
    ):
        self.sent: list[Sent] = []
        self._fleet = fleet
        self._place = place
        self._method = method
        self._path = path
        self._body = body
        self._per_second = per_second
        self._addresses: list[str] = []
        self._tasks: set[asyncio.Task] = set()
        self._main: asyncio.Task | None = None

    def start(self) -> None:
        """Start to send."""
        self._main = asyncio.ensure_future(self._send_forever())

    async def stop(self) -> None:
        """Send no more, and wait for the answers that are due."""
        self._main.cancel()
        await asyncio.gather(*self._tasks)

    def count(self, *, since: float = 0.0) -> Counter:
        """Count the outcomes of the requests that were sent since a time."""
        return Counter(item.describe() for item in self.sent if item.at >= since)

    async def _send_forever(self):
        looked_up_at = float("-inf")
        while True:
            if time.monotonic() >= looked_up_at + LOOK_UP_SECONDS:
                addresses = await self._fleet.look_up(self._place)
                self._addresses = addresses or self._addresses
                looked_up_at = time.monotonic()
            if self._addresses:
                task = asyncio.ensure_future(self._send_one())
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(random.expovariate(self._per_second))

    async def _send_one(self):
        address = random.choice(self._addresses)
        at = time.monotonic()
        request_id, answer = await self._fleet.send(
            address, method=self._method, path=self._path, body=self._body
        )
        self.sent.append(
            Sent(
                at=at,
                ended_at=time.monotonic(),
                request_id=request_id,
                address=address,
                answer=answer,
            )
        )
