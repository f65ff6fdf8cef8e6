"""Stand-in for the platform's append-only log service.

Offsets, limited retention, long polls, and faults that can be switched while it
runs: outages, slowness, and appends that take effect though the answer is lost.
"""

import random
import threading
import time
from collections import deque

import msgspec

from citronspan_standins.http_service import Exchange, answer_control

MAXIMUM_WAIT_SECONDS = 60.0
MAXIMUM_READ_RECORDS = 10_000


class LogSwitches(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
    rename="camel",
):
    """What can be changed while the log service runs.

    Attributes:
        down: Whether every connection is cut without an answer.
        delay_seconds: Time before each answer.
        lose_answers: Share of the appends that take effect without an answer.
        retain_records: Number of newest records that are kept.
        retain_seconds: Time for which records are kept.
    """

    down: bool = False
    delay_seconds: float = 0.0
    lose_answers: float = 0.0
    retain_records: int = 100_000
    retain_seconds: float = 86_400.0


class Record(msgspec.Struct, frozen=True, kw_only=True):
    """One record; its data is base64 in JSON."""

    offset: int
    data: bytes


class Appended(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to an append."""

    offset: int


class Records(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to a read.

    Attributes:
        first: Oldest offset that is kept.
        next: Offset of the next append.
        records: The records that were asked for.
    """

    first: int
    next: int
    records: tuple[Record, ...] = ()


class LogStore:
    """The records and the threads that wait for more of them."""

    def __init__(self, *, switches: LogSwitches):
        self._switches = switches
        self._records: deque[Record] = deque()
        self._appended_at: deque[float] = deque()
        self._next = 0
        self._news = threading.Condition()

    @property
    def switches(self) -> LogSwitches:
        """The switches in force."""
        return self._switches

    def replace_switches(self, switches: LogSwitches) -> None:
        """Put other switches in force, retention at once."""
        with self._news:
            self._switches = switches
            self._forget_old()

    def append(self, data: bytes) -> int:
        """Append a record and return its offset."""
        with self._news:
            offset = self._next
            self._next += 1
            self._records.append(Record(offset=offset, data=data))
            self._appended_at.append(time.monotonic())
            self._forget_old()
            self._news.notify_all()
            return offset

    def read(self, start: int, limit: int, wait_seconds: float) -> Records:
        """Read records from an offset on.

        Args:
            start: First offset asked for.
            limit: Largest number of records.
            wait_seconds: Time to wait for a first record.

        Returns:
            The records, none if ``start`` is older than what is kept.
        """
        with self._news:
            self._news.wait_for(lambda: self._next > start, wait_seconds)
            self._forget_old()
            first = self._next - len(self._records)
            skipped = start - first
            if skipped < 0:
                return Records(first=first, next=self._next)
            stop = min(skipped + limit, len(self._records))
            records = tuple(self._records[index] for index in range(skipped, stop))
            return Records(first=first, next=self._next, records=records)

    def _forget_old(self):
        oldest_kept = time.monotonic() - self.switches.retain_seconds
        while self._records:
            too_many = len(self._records) > self.switches.retain_records
            if not too_many and self._appended_at[0] >= oldest_kept:
                return
            self._records.popleft()
            self._appended_at.popleft()


class LogService:
    """The log service's answers to requests."""

    def __init__(self, *, switches: LogSwitches, seed: int = 0):
        self.store = LogStore(switches=switches)
        self._random = random.Random(seed)

    def handle(self, exchange: Exchange) -> None:
        """Answer one request."""
        if exchange.path == "/control":
            replace = self.store.replace_switches
            answer_control(exchange, self.store.switches, replace)
            return
        if exchange.path != "/records":
            exchange.answer(404)
            return
        self._fail_or_delay(exchange)
        if exchange.method == "POST":
            self._append(exchange)
            return
        self._read(exchange)

    def _fail_or_delay(self, exchange):
        if self.store.switches.down:
            exchange.cut()
        if self.store.switches.delay_seconds:
            exchange.wait(self.store.switches.delay_seconds)

    def _append(self, exchange):
        offset = self.store.append(b"".join(exchange.read_body()))
        if self._random.random() < self.store.switches.lose_answers:
            exchange.cut()
        exchange.answer_json(201, Appended(offset=offset))

    def _read(self, exchange):
        query = exchange.query_by_name
        try:
            start = max(int(query.get("from", "0")), 0)
            limit = int(query.get("limit", str(MAXIMUM_READ_RECORDS)))
            wait_seconds = float(query.get("waitSeconds", "0"))
        except ValueError as error:
            exchange.answer(400, f"{error}\n".encode())
            return
        found = self.store.read(
            start,
            min(max(limit, 0), MAXIMUM_READ_RECORDS),
            min(max(wait_seconds, 0.0), MAXIMUM_WAIT_SECONDS),
        )
        if self.store.switches.down:
            exchange.cut()
        exchange.answer_json(410 if start < found.first else 200, found)
