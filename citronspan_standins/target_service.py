"""Stand-in for a target: runs requests in slots and fails as its switches say."""

import hashlib
import itertools
import time
from collections.abc import Iterator

import msgspec

from citronspan_standins.http_service import Exchange, answer_control
from citronspan_standins.target_state import (
    Refusal,
    RunRecord,
    RunStatus,
    TargetState,
    TargetSwitches,
)

PART_BYTES = 16 * 1024
MAXIMUM_ANSWER_BYTES = 256 << 20
HANG_SECONDS = 600.0
STEP_SECONDS = 0.25


class TargetAnswer(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    """Body of an answer in JSON.

    Attributes:
        target: Name of the target.
        number: Number of the request at this target.
        method: HTTP method.
        path: Path of the request.
        key: Idempotency key, or empty.
        body_bytes: Bytes of the request's body.
        body_digest: SHA-256 of them in hexadecimal digits.
    """

    target: str
    number: int
    method: str
    path: str
    key: str
    body_bytes: int
    body_digest: str


def make_body(path: str, count: int) -> Iterator[bytes]:
    """Make the body that a target answers for ``PATH?bytes=COUNT``.

    The body depends on the path, so that a crossed answer is noticed.

    Args:
        path: Path of the request.
        count: Length of the body in bytes.

    Yields:
        Parts of the body.
    """
    digest = hashlib.sha256(path.encode()).digest()
    pattern = digest * (PART_BYTES // len(digest))
    left = count
    while left > 0:
        part = pattern[: min(left, PART_BYTES)]
        left -= len(part)
        yield part


class TargetService:
    """A target's answers to requests."""

    def __init__(self, *, name: str, switches: TargetSwitches, seed: int = 0):
        self.state = TargetState(name=name, switches=switches, seed=seed)

    def handle(self, exchange: Exchange) -> None:
        """Answer one request."""
        if exchange.path == "/control":
            answer_control(exchange, self.state.switches, self.state.replace_switches)
            return
        if exchange.path == "/ran":
            start = int(exchange.query_by_name.get("from", "0"))
            exchange.answer_json(200, self.state.list_records(start))
            return
        if exchange.path == "/health":
            self._answer_health(exchange)
            return
        if exchange.path == "/load":
            exchange.answer_json(200, self.state.get_reported_load())
            return
        self._take(exchange)

    def _answer_health(self, exchange):
        sick = self.state.is_sick() and not self.state.switches.health_lies
        exchange.answer(503 if sick else 200)

    def _take(self, exchange):
        refusal = self.state.take_slot()
        if refusal is not None:
            self._refuse(exchange, refusal)
            return
        try:
            self._run(exchange)
        finally:
            self.state.give_slot_back()

    def _refuse(self, exchange, refusal: Refusal):
        # The body is read all the same: a connection that is closed over unread
        # bytes is reset, and the refusal would be lost with it.
        for _ in exchange.read_body():
            pass
        headers = [("Target-Not-Run", refusal.value), *self._make_load_header()]
        exchange.answer(503, headers=headers)

    def _make_load_header(self):
        load = self.state.get_true_load()
        return [("Target-Load", f"{load.in_use}/{load.slots}")]

    def _run(self, exchange):
        arrived_at = time.monotonic()
        record = self.state.begin_record(
            key=exchange.get_header("Idempotency-Key"),
            method=exchange.method,
            path=exchange.path,
        )
        record = self._read_body(exchange, record)
        crash_path = self.state.switches.crash_path
        if crash_path and crash_path in exchange.path:
            self.state.crash()
            exchange.cut(reset=True)
        deadline = self._find_deadline(exchange, arrived_at)
        sick = self.state.is_sick()
        finished = self._work(exchange, deadline, sick=sick)
        if not finished:
            self.state.update_record(record, status=RunStatus.CANCELLED)
            exchange.answer(504, headers=self._make_load_header())
            return
        record = self.state.update_record(record, status=RunStatus.COMPLETED)
        self._answer(exchange, record, sick=sick)

    def _read_body(self, exchange, record: RunRecord) -> RunRecord:
        digest = hashlib.sha256()
        taken = 0
        try:
            for part in exchange.read_body():
                digest.update(part)
                taken += len(part)
        except OSError:
            self.state.update_record(
                record, body_bytes=taken, body_digest=digest.hexdigest()
            )
            raise
        return self.state.update_record(
            record,
            status=RunStatus.RUNNING,
            body_bytes=taken,
            body_digest=digest.hexdigest(),
        )

    def _find_deadline(self, exchange, arrived_at):
        seconds = exchange.get_header("Deadline-Seconds")
        return arrived_at + (float(seconds) if seconds else HANG_SECONDS)

    def _work(self, exchange, deadline, *, sick):
        """Spend the service time; return whether the work came to its end."""
        crashes = self.state.crashes
        hang = sick and self.state.switches.hang
        seconds = HANG_SECONDS if hang else self.state.draw_service_seconds()
        end = time.monotonic() + seconds
        stop = min(end, deadline)
        while (left := stop - time.monotonic()) > 0:
            if not exchange.wait(min(left, STEP_SECONDS)):
                return False
            if self.state.crashes != crashes:
                exchange.cut(reset=True)
        return end <= deadline

    def _answer(self, exchange, record: RunRecord, *, sick):
        switches = self.state.switches
        if sick and self.state.draw(switches.reset_share):
            exchange.cut(reset=True)
        if sick and self.state.draw(switches.error_share):
            exchange.answer(500, b"gray\n", headers=self._make_load_header())
            return
        cut_after = switches.cut_after_bytes if sick else -1
        count = exchange.query_by_name.get("bytes")
        if count is None:
            body = msgspec.json.encode(self._describe(record))
            self._send(exchange, [body], len(body), cut_after)
            return
        length = min(int(count), MAXIMUM_ANSWER_BYTES)
        parts = make_body(exchange.path, length)
        chunked = exchange.query_by_name.get("chunked") == "1"
        self._send(exchange, parts, None if chunked else length, cut_after)

    def _describe(self, record: RunRecord) -> TargetAnswer:
        return TargetAnswer(
            target=self.state.name,
            number=record.number,
            method=record.method,
            path=record.path,
            key=record.key,
            body_bytes=record.body_bytes,
            body_digest=record.body_digest,
        )

    def _send(self, exchange, parts, length, cut_after):
        headers = [("Content-Type", "application/octet-stream")]
        exchange.start_answer(200, [*headers, *self._make_load_header()], length=length)
        if exchange.method == "HEAD":
            return
        if cut_after >= 0:
            self._send_some(exchange, parts, cut_after)
        for part in parts:
            exchange.write(part)

    def _send_some(self, exchange, parts, cut_after):
        joined = itertools.chain.from_iterable(parts)
        some = bytes(itertools.islice(joined, cut_after))
        if some:
            exchange.write(some)
        exchange.cut()
