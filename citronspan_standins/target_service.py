"""Stand-in for a target, which runs requests in slots and has switchable faults."""

import hashlib
import itertools
import time
from collections.abc import Iterator

import msgspec

from citronspan_standins.http_service import Exchange, handle_control
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
WORK_STEP_SECONDS = 0.25


class TargetAnswer(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    """Body of a JSON answer of a target.

    Attributes:
        target: Name of the target.
        number: Sequence number of the request at this target.
        method: HTTP method.
        path: Path of the request.
        key: Idempotency key, or an empty string.
        body_bytes: Size of the request's body in bytes.
        body_digest: SHA-256 of the request's body in hexadecimal digits.
    """

    target: str
    number: int
    method: str
    path: str
    key: str
    body_bytes: int
    body_digest: str


def make_body(path: str, count: int) -> Iterator[bytes]:
    """Generate the body of a target's answer to ``PATH?bytes=COUNT``.

    The body depends on the path, so that an answer to another request is detected.

    Args:
        path: Path of the request.
        count: Length of the body in bytes.

    Yields:
        Parts of the body.
    """
    digest = hashlib.sha256(path.encode()).digest()
    pattern = digest * (PART_BYTES // len(digest))
    remaining = count
    while remaining > 0:
        part = pattern[: min(remaining, PART_BYTES)]
        remaining -= len(part)
        yield part


class TargetService:
    """Answers the requests to a target."""

    def __init__(self, *, name: str, switches: TargetSwitches, seed: int = 0):
        self.state = TargetState(name=name, switches=switches, seed=seed)

    def handle(self, exchange: Exchange) -> None:
        """Answer one request."""
        if exchange.path == "/control":
            handle_control(exchange, self.state.switches, self.state.replace_switches)
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
        self._handle_work(exchange)

    def _answer_health(self, exchange):
        faulty = self.state.is_faulty() and not self.state.switches.health_lies
        exchange.answer(503 if faulty else 200)

    def _handle_work(self, exchange):
        refusal = self.state.acquire_slot()
        if refusal is not None:
            self._send_refusal(exchange, refusal)
            return
        try:
            self._run(exchange)
        finally:
            self.state.release_slot()

    def _send_refusal(self, exchange, refusal: Refusal):
        # The body is read although it is not used: closing a connection with unread
        # bytes resets it, and the caller would not receive the refusal.
        for _ in exchange.read_body():
            pass
        headers = [("Target-Not-Run", refusal.value), *self._make_load_header()]
        exchange.answer(503, headers=headers)

    def _make_load_header(self):
        load = self.state.get_actual_load()
        return [("Target-Load", f"{load.in_use}/{load.slots}")]

    def _run(self, exchange):
        arrived_at = time.monotonic()
        record = self.state.add_record(
            key=exchange.get_header("Idempotency-Key"),
            method=exchange.method,
            path=exchange.path,
        )
        record = self._read_body(exchange, record)
        crash_path = self.state.switches.crash_path
        if crash_path and crash_path in exchange.path:
            self.state.crash()
            exchange.abort(reset=True)
        deadline = self._compute_deadline(exchange, arrived_at)
        faulty = self.state.is_faulty()
        completed = self._simulate_work(exchange, deadline, faulty=faulty)
        if not completed:
            self.state.update_record(record, status=RunStatus.CANCELLED)
            exchange.answer(504, headers=self._make_load_header())
            return
        record = self.state.update_record(record, status=RunStatus.COMPLETED)
        self._send_answer(exchange, record, faulty=faulty)

    def _read_body(self, exchange, record: RunRecord) -> RunRecord:
        digest = hashlib.sha256()
        received_bytes = 0
        try:
            for part in exchange.read_body():
                digest.update(part)
                received_bytes += len(part)
        except OSError:
            self.state.update_record(
                record, body_bytes=received_bytes, body_digest=digest.hexdigest()
            )
            raise
        return self.state.update_record(
            record,
            status=RunStatus.RUNNING,
            body_bytes=received_bytes,
            body_digest=digest.hexdigest(),
        )

    def _compute_deadline(self, exchange, arrived_at):
        seconds = exchange.get_header("Deadline-Seconds")
        return arrived_at + (float(seconds) if seconds else HANG_SECONDS)

    def _simulate_work(self, exchange, deadline, *, faulty):
        """Wait for the service time; return whether it ended within the deadline.

        The wait ends early if the caller disconnects or at the deadline. A crash of
        the target resets the connection.
        """
        crash_count = self.state.crash_count
        hang = faulty and self.state.switches.hang
        seconds = HANG_SECONDS if hang else self.state.draw_service_seconds()
        end_at = time.monotonic() + seconds
        stop_at = min(end_at, deadline)
        while (remaining := stop_at - time.monotonic()) > 0:
            if not exchange.wait(min(remaining, WORK_STEP_SECONDS)):
                return False
            if self.state.crash_count != crash_count:
                exchange.abort(reset=True)
        return end_at <= deadline

    def _send_answer(self, exchange, record: RunRecord, *, faulty):
        switches = self.state.switches
        if faulty and self.state.draw_event(switches.reset_share):
            exchange.abort(reset=True)
        if faulty and self.state.draw_event(switches.error_share):
            exchange.answer(500, b"gray\n", headers=self._make_load_header())
            return
        cut_after = switches.cut_after_bytes if faulty else -1
        count = exchange.query_by_name.get("bytes")
        if count is None:
            body = msgspec.json.encode(self._make_answer(record))
            self._write_answer(exchange, [body], len(body), cut_after)
            return
        length = min(int(count), MAXIMUM_ANSWER_BYTES)
        parts = make_body(exchange.path, length)
        chunked = exchange.query_by_name.get("chunked") == "1"
        self._write_answer(exchange, parts, None if chunked else length, cut_after)

    def _make_answer(self, record: RunRecord) -> TargetAnswer:
        return TargetAnswer(
            target=self.state.name,
            number=record.number,
            method=record.method,
            path=record.path,
            key=record.key,
            body_bytes=record.body_bytes,
            body_digest=record.body_digest,
        )

    def _write_answer(self, exchange, parts, length, cut_after):
        headers = [("Content-Type", "application/octet-stream")]
        exchange.start_answer(200, [*headers, *self._make_load_header()], length=length)
        if exchange.method == "HEAD":
            return
        if cut_after >= 0:
            self._send_truncated(exchange, parts, cut_after)
        for part in parts:
            exchange.write(part)

    def _send_truncated(self, exchange, parts, cut_after):
        all_bytes = itertools.chain.from_iterable(parts)
        head = bytes(itertools.islice(all_bytes, cut_after))
        if head:
            exchange.write(head)
        exchange.abort()
