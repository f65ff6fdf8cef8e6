"""A host that stops takes requests so late that a long one is broken off unexcused."""

import itertools
import signal
import sys
import threading
import time
from pathlib import Path

from lab import (
    REQUEST_ID,
    SIGNATURE,
    Backend,
    CannotRunError,
    Connection,
    Exchange,
    Lab,
    Record,
    make_configuration,
    make_route,
    run_case,
)

GRACE_SECONDS = 10
EARLY_SECONDS = 3.0
"""A request sent later than that after SIGTERM is not excused by its backend's work."""

DEADLINE_SECONDS = 8.0
USUAL_SECONDS = 0.7
LONG_SECONDS = 3.6
"""Work of a long upload at a warm backend; the site file's largest is 4.3 s."""

COLD_SECONDS = 3.0
COLD_FACTOR = 2.0
WARM_BACKENDS = 7
NEW_BACKENDS = 2
SLOTS = 2
USUAL_CLIENTS = 8
LONG_UPLOADS = 10
WARM_UP_SECONDS = 8.0
NEW_BACKENDS_AFTER_SECONDS = 1.5
LONG_UPLOADS_AFTER_SECONDS = 3.1
LONG_UPLOADS_GAP_SECONDS = 0.06


class ColdBackend(Backend):
    """A backend that is slow for some seconds after its start, and says so."""

    def __init__(self, **options):
        """Listen at once."""
        super().__init__(**options)
        self.cold_until = 0.0

    def make_entry(self, state: str = "ready") -> dict:
        """Return the entry that it writes next, with the time for which it is slow."""
        entry = super().make_entry(state)
        entry["status"]["warmUpSeconds"] = max(self.cold_until - time.monotonic(), 0)
        return entry

    def handle(self, exchange) -> None:
        """Run an upload, which takes longer while the backend is cold."""
        request_id = exchange.get_header(REQUEST_ID)
        b"".join(exchange.read_body())
        started_at = time.monotonic()
        seconds = float(exchange.query_by_name["work"])
        if started_at < self.cold_until:
            seconds *= COLD_FACTOR
        run = {"id": request_id, "at": started_at, "backend": self.name}
        with self._lock:
            self.ran.append(run)
        self._record.add(f"{self.name} runs {request_id} for {seconds:.1f} s")
        if not exchange.wait(seconds):
            run["broken_off_at"] = time.monotonic()
            self._record.add(f"{self.name} loses the connection of {request_id}")
            exchange.abort()
        headers = ((REQUEST_ID, request_id), (SIGNATURE, f"{self.name}.{request_id}"))
        exchange.answer(200, b"taken in\n", headers)


def play(record: Record, has_trouble: bool) -> bool:
    """Play the case; return whether no upload was lost."""
    lab = Lab(
        record=record,
        region_by_zone={"sthlm-a": "svealand"},
        stopSeconds=GRACE_SECONDS,
    )
    try:
        return _play(lab, has_trouble)
    finally:
        lab.close()


def _play(lab, has_trouble):
    route = make_route("art", "upload", "atelje", timeoutSeconds=DEADLINE_SECONDS)
    lab.write_configuration(make_configuration(7, [route]))
    for _ in range(WARM_BACKENDS):
        _add_backend(lab, cold_seconds=0.0)
    hosts = [lab.add_host("sthlm-a", seeds=[1, 2]) for _ in range(2)]
    lab.start_hosts()
    host = hosts[0]
    exchanges: list[Exchange] = []
    is_over = threading.Event()
    threads = [
        threading.Thread(target=_send_usual, args=(lab, host, n, exchanges, is_over))
        for n in range(USUAL_CLIENTS)
    ]
    for thread in threads:
        thread.start()
    time.sleep(WARM_UP_SECONDS)
    stopped_at = time.monotonic()
    if has_trouble:
        host.send(signal.SIGTERM)
    time.sleep(NEW_BACKENDS_AFTER_SECONDS)
    for _ in range(NEW_BACKENDS):
        _add_backend(lab, cold_seconds=COLD_SECONDS)
    time.sleep(stopped_at + LONG_UPLOADS_AFTER_SECONDS - time.monotonic())
    for number in range(LONG_UPLOADS):
        thread = threading.Thread(
            target=_send_long, args=(lab, host, number, exchanges)
        )
        thread.start()
        threads.append(thread)
        time.sleep(LONG_UPLOADS_GAP_SECONDS)
    if host.wait(max(stopped_at + GRACE_SECONDS - time.monotonic(), 0.0)) is None:
        if has_trouble:
            host.kill()
        else:
            time.sleep(DEADLINE_SECONDS)
    lab.record.add("the grace is over")
    is_over.set()
    for thread in threads:
        thread.join()
    return _judge(lab, exchanges, stopped_at)


def _add_backend(lab, cold_seconds):
    number = len(lab.backends)
    backend = ColdBackend(
        name=f"i-atelje-{number}",
        service="atelje",
        address=f"{lab.network}.252:{8200 + number}",
        zone="sthlm-a",
        record=lab.record,
        slots=SLOTS,
    )
    backend.cold_until = time.monotonic() + cold_seconds
    lab.backends.append(backend)
    lab.write_entry(backend.name, backend.make_entry())


def _send_usual(lab, host, number, exchanges, is_over):
    """Send one usual upload after the other until the host takes no more."""
    for count in itertools.count():
        if is_over.is_set():
            return
        exchange = _upload(lab, host, f"u{number}-{count}", USUAL_SECONDS)
        if exchange is None:
            return
        exchanges.append(exchange)


def _send_long(lab, host, number, exchanges):
    exchange = _upload(lab, host, f"long-{number}", LONG_SECONDS)
    if exchange is not None:
        exchanges.append(exchange)


def _upload(lab, host, request_id, seconds):
    """Send an upload on a connection of its own; return None if there is none."""
    try:
        connection = Connection(host.front, lab.record)
    except OSError:
        # Ignored: the host takes no more connections.
        return None
    exchange = connection.request(
        request_id=request_id,
        path=f"/art/1?work={seconds}",
        method="POST",
        body=b"p" * 60_000,
        seconds=DEADLINE_SECONDS,
    )
    connection.close()
    return exchange


def _judge(lab, exchanges, stopped_at):
    run_by_id = {run["id"]: run for backend in lab.backends for run in backend.ran}
    if not any(exchange.status == 200 for exchange in exchanges):
        raise CannotRunError("no upload was served")
    lost = []
    for exchange in exchanges:
        run = run_by_id.get(exchange.id)
        has_answer = exchange.status and SIGNATURE.lower() in exchange.headers
        if has_answer or run is None or "broken_off_at" not in run:
            continue
        if exchange.ended_at >= exchange.sent_at + DEADLINE_SECONDS:
            continue
        after = exchange.sent_at - stopped_at
        is_excused = after <= EARLY_SECONDS
        verdict = "excused" if is_excused else "LOST"
        worked_seconds = run["broken_off_at"] - run["at"]
        lab.record.add(
            f"{verdict}: {exchange.id} sent {after:.2f} s after SIGTERM, passed on to "
            f"{run['backend']}, which worked for {worked_seconds:.2f} s: "
            f"{exchange.status}, {exchange.end}"
        )
        if not is_excused:
            lost.append(exchange.id)
    return not lost


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, play))
