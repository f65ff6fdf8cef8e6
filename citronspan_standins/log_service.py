"""Stand-in for the platform's append-only log service.

It provides offsets, limited retention and long polls. Its faults can be switched while
it runs: outages, delays, and appends that take effect although the answer is lost.
"""

import random
import threading
import time
from collections import deque

import msgspec

from citronspan_standins.http_service import Exchange, handle_control

MAXIMUM_WAIT_SECONDS = 60.0
MAXIMUM_READ_RECORDS = 10_000


class LogSwitches(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
    rename="camel",
):
    """Settings and faults that can be changed while the log service runs.

    Attributes:
        down: Whether every connection is closed without an answer.
        delay_seconds: Delay before each answer, in seconds.
        lose_answers: Share of the appends that take effect without an answer.
        retain_records: Maximum number of retained records.
        retain_seconds: Retention time of a record, in seconds.
    """

    down: bool = False
    delay_seconds: float = 0.0
    lose_answers: float = 0.0
    retain_records: int = 100_000
    retain_seconds: float = 86_400.0


class Record(msgspec.Struct, frozen=True, kw_only=True):
    """One record of the log; its data is base64 in JSON."""

    offset: int
    data: bytes


class AppendAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Body of the answer to an append; the offset is that of the new record."""

    offset: int


class ReadAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Body of the answer to a read.

    Attributes:
        first: Oldest retained offset.
        next: Offset of the next append.
        records: The requested records.
    """

    first: int
    next: int
    records: tuple[Record, ...] = ()


class LogStore:
    """Thread-safe record storage with retention and blocking reads."""

    def __init__(self, *, switches: LogSwitches):
        self._switches = switches
        self._records: deque[Record] = deque()
        self._appended_at: deque[float] = deque()
        self._next_offset = 0
        self._record_added = threading.Condition()

    @property
    def switches(self) -> LogSwitches:
        """The current switches."""
        return self._switches

    def replace_switches(self, switches: LogSwitches) -> None:
        """Replace the switches and apply the new retention at once."""
        with self._record_added:
            self._switches = switches
            self._apply_retention()

    def append(self, data: bytes) -> int:
        """Append a record and return its offset."""
        with self._record_added:
            offset = self._next_offset
            self._next_offset += 1
            self._records.append(Record(offset=offset, data=data))
            self._appended_at.append(time.monotonic())
            self._apply_retention()
            self._record_added.notify_all()
            return offset

    def read(self, start: int, limit: int, wait_seconds: float) -> ReadAnswer:
        """Read records starting at an offset.

        Args:
            start: First requested offset.
            limit: Maximum number of records.
            wait_seconds: Maximum wait for the record at ``start``, in seconds.

        Returns:
            The records; none if ``start`` is older than the oldest retained record.
        """
        with self._record_added:
            self._record_added.wait_for(lambda: self._next_offset > start, wait_seconds)
            self._apply_retention()
            first = self._next_offset - len(self._records)
            first_index = start - first
            if first_index < 0:
                return ReadAnswer(first=first, next=self._next_offset)
            end_index = min(first_index + limit, len(self._records))
            records = tuple(
                self._records[index] for index in range(first_index, end_index)
            )
            return ReadAnswer(first=first, next=self._next_offset, records=records)

    def _apply_retention(self):
        oldest_retained_at = time.monotonic() - self.switches.retain_seconds
        while self._records:
            too_many = len(self._records) > self.switches.retain_records
            if not too_many and self._appended_at[0] >= oldest_retained_at:
                return
            self._records.popleft()
            self._appended_at.popleft()


class LogService:
    """Answers requests to the log."""

    def __init__(self, *, switches: LogSwitches, seed: int = 0):
        self.store = LogStore(switches=switches)
        self._random = random.Random(seed)

    def handle(self, exchange: Exchange) -> None:
        """Answer one request."""
        if exchange.path == "/control":
            replace = self.store.replace_switches
            handle_control(exchange, self.store.switches, replace)
            return
        if exchange.path != "/records":
            exchange.answer(404)
            return
        self._apply_faults(exchange)
        if exchange.method == "POST":
            self._append(exchange)
            return
        self._read(exchange)

    def _apply_faults(self, exchange):
        if self.store.switches.down:
            exchange.abort()
        if self.store.switches.delay_seconds:
            exchange.wait(self.store.switches.delay_seconds)

    def _append(self, exchange):
        offset = self.store.append(b"".join(exchange.read_body()))
        if self._random.random() < self.store.switches.lose_answers:
            exchange.abort()
        exchange.answer_json(201, AppendAnswer(offset=offset))

    def _read(self, exchange):
        query = exchange.query_by_name
        try:
            start = max(int(query.get("from", "0")), 0)
            limit = int(query.get("limit", str(MAXIMUM_READ_RECORDS)))
            wait_seconds = float(query.get("waitSeconds", "0"))
        except ValueError as error:
            exchange.answer(400, f"{error}\n".encode())
            return
        answer = self.store.read(
            start,
            min(max(limit, 0), MAXIMUM_READ_RECORDS),
            min(max(wait_seconds, 0.0), MAXIMUM_WAIT_SECONDS),
        )
        if self.store.switches.down:
            exchange.abort()
        exchange.answer_json(410 if start < answer.first else 200, answer)
