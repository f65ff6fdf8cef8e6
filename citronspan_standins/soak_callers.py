"""Callers of a soak: connections that stay open until the host closes them."""

import contextlib
import itertools
import queue
import random
import socket
import threading
import time
from dataclasses import dataclass, replace

from citronspan_standins.promises import History, SentRequest
from citronspan_standins.soak_fleet import REQUEST_ID, SoakHost
from citronspan_standins.soak_keys import KeyBook

CONNECT_SECONDS = 1.0
CALLER_SECONDS = 3.0
"""Time that callers give each request; the routes of the soak allow as much."""

PATIENCE_SECONDS = 2.0
"""Time after a request's own that its caller still waits, to see how it ends."""

IDLE_SECONDS = 8.0
RETRY_SECONDS = 0.1
MAXIMUM_BATCHES = 8
HEAD_BYTES = 64 * 1024


@dataclass(frozen=True, kw_only=True)
class LoadPlan:
    """What callers send.

    Attributes:
        callers: Number of connections at a time.
        work_seconds: Longest work of a target on a request.
        slow_seconds: Longest time between the first and the last byte of a request.
        late_seconds: Time after SIGTERM from which callers send the host nothing more,
            and after which no request has its last byte; less than the grace.
        pause_seconds: Longest pause of a caller between requests.
    """

    callers: int = 24
    work_seconds: float = 0.6
    slow_seconds: float = 1.5
    late_seconds: float = 2.0
    pause_seconds: float = 0.2


class Caller:
    """Sends requests on one connection at a time until it is told to end."""

    def __init__(
        self,
        *,
        number: int,
        seed: int,
        plan: LoadPlan,
        hosts: list[SoakHost],
        history: History,
        is_ended: threading.Event,
        keys: KeyBook,
    ):
        """Create a caller.

        Args:
            number: Number of the caller, a part of its request ids.
            seed: Seed of its choices.
            plan: What it sends.
            hosts: Hosts to choose from, stopping ones too.
            history: Where requests are noted.
            is_ended: Ends the caller after the requests under way.
            keys: Keys of all callers.
        """
        self._draw = random.Random(f"{seed}-{number}")
        self._key_draw = random.Random(f"keys-{seed}-{number}")
        self._keys = keys
        self._ids = (f"r{seed}-{number}-{count}" for count in itertools.count())
        self._plan = plan
        self._hosts = hosts
        self._history = history
        self._is_ended = is_ended

    def run(self) -> None:
        """Open one connection after the other."""
        while not self._is_ended.is_set():
            host = self._draw.choice(self._hosts)
            try:
                connection = socket.create_connection(host.address, CONNECT_SECONDS)
            except OSError:
                # Ignored: the host starts or has left.
                time.sleep(RETRY_SECONDS)
                continue
            with connection:
                self._use(connection, host)

    def _use(self, connection, host):
        reader = connection.makefile("rb")
        process_stop = host.stopped_at
        for _ in range(self._draw.randint(1, MAXIMUM_BATCHES)):
            if self._is_ended.is_set() or not self._may_send(host):
                break
            count = self._draw.choice((1, 1, 1, 1, 2, 3))
            batch = [self._make_request(host) for _ in range(count)]
            if not self._play(connection, reader, batch, host):
                return
            time.sleep(self._draw.random() * self._plan.pause_seconds)
        if host.stopped_at is not None or process_stop is not None:
            # The connection stays open until the host closes it.
            connection.settimeout(IDLE_SECONDS)
            with contextlib.suppress(OSError):
                reader.read(1)

    def _may_send(self, host, seconds=0.0):
        stopped_at = host.stopped_at
        if stopped_at is None:
            return seconds <= self._plan.late_seconds
        return time.monotonic() + seconds <= stopped_at + self._plan.late_seconds

    def _make_request(self, host):
        is_idempotent = self._draw.random() < 0.5
        size = self._draw.choice((0, 2, 300, 20_000, 60_001, 90_000))
        work = round(self._draw.random() ** 2 * self._plan.work_seconds, 3)
        path = "/read/1" if is_idempotent else "/order/1"
        sent_bytes = 0 if is_idempotent else self._draw.choice((0, 2, 500, 40_000))
        request = SentRequest(
            request_id=next(self._ids),
            host=host.name,
            uri=f"{path}?work={work}&size={size}",
            sent_body=b"b" * sent_bytes,
            answer_bytes=size,
            is_idempotent=is_idempotent,
            began_at=0.0,
            last_byte_at=None,
            deadline_at=0.0,
            ended_at=0.0,
        )
        if is_idempotent:
            return request
        return self._keys.add_key(request, self._key_draw)

    def _play(self, connection, reader, batch, host):
        """Send requests and read their answers meanwhile; return whether to go on."""
        connection.settimeout(
            self._plan.slow_seconds + CALLER_SECONDS + PATIENCE_SECONDS
        )
        begun: queue.SimpleQueue[SentRequest | None] = queue.SimpleQueue()
        answers = AnswerReader(reader=reader, begun=begun)
        thread = threading.Thread(target=answers.run)
        thread.start()
        sent = self._send_all(connection, batch, host, begun)
        thread.join()
        answered_at = 0.0
        for request in sent:
            # A host reads a request once it has answered the one before.
            deadline_at = max(request.deadline_at, answered_at + CALLER_SECONDS)
            seen = answers.seen_by_id[request.request_id]
            answered_at = max(seen.ended_at, request.last_byte_at or request.began_at)
            self._history.requests.append(
                replace(
                    seen,
                    began_at=request.began_at,
                    last_byte_at=request.last_byte_at,
                    deadline_at=deadline_at,
                    ended_at=answered_at if seen.follows_close else seen.ended_at,
                )
            )
        return answers.is_open and sent[-1].last_byte_at is not None

    def _send_all(self, connection, batch, host, begun):
        """Send requests until one can't be sent; return those that were begun."""
        sent = []
        for request in batch:
            begun.put(request)
            began_at = time.monotonic()
            head_at, last_byte_at = self._send(connection, request, host)
            sent.append(
                replace(
                    request,
                    began_at=began_at,
                    last_byte_at=last_byte_at,
                    deadline_at=head_at + CALLER_SECONDS,
                )
            )
            if last_byte_at is None:
                break
        begun.put(None)
        return sent

    def _send(self, connection, request, host):
        """Send a request.

        Returns:
            When the last bytes of its head and of all of it were sent, None for the
            latter if they were not.
        """
        is_chunked = bool(request.sent_body) and self._draw.random() < 0.3
        data = make_request_bytes(request, is_chunked=is_chunked)
        seconds = self._draw.random() * self._plan.slow_seconds
        is_slow = self._draw.random() < 0.3 and self._may_send(host, seconds)
        cut = self._draw.randrange(1, len(data))
        head_at = time.monotonic()
        try:
            if is_slow:
                connection.sendall(data[:cut])
                time.sleep(seconds)
                if cut < data.index(b"\r\n\r\n") + 4:
                    head_at = time.monotonic()
                data = data[cut:]
            connection.sendall(data)
        except OSError:
            # Ignored: the host has closed the connection; the request isn't whole.
            return head_at, None
        return head_at, time.monotonic()


class AnswerReader:
    """Reads the answers to the requests of a batch while they are sent.

    Attributes:
        seen_by_id: What was seen of each request's answer.
        is_open: Whether the connection can be used for another request.
    """

    def __init__(self, *, reader, begun: queue.SimpleQueue):
        """Create a reader.

        Args:
            reader: Buffered file of the connection.
            begun: Each request from its first byte on, None after the last.
        """
        self.seen_by_id: dict[str, SentRequest] = {}
        self.is_open = True
        self._reader = reader
        self._begun = begun

    def run(self) -> None:
        """Read until each request has its answer or the connection has ended."""
        closed_at = 0.0
        while (request := self._begun.get()) is not None:
            if self.is_open:
                seen, self.is_open = read_answer(self._reader, request)
                closed_at = seen.ended_at
            else:
                seen = replace(request, follows_close=True, ended_at=closed_at)
            self.seen_by_id[request.request_id] = seen


def make_request_bytes(request: SentRequest, *, is_chunked: bool) -> bytes:
    """Return a request as it is sent."""
    method = "GET" if request.is_idempotent else "POST"
    lines = [
        f"{method} {request.uri} HTTP/1.1",
        "Host: shop.example",
        f"{REQUEST_ID}: {request.request_id}",
        f"X-Citronspan-Deadline-Ms: {int(CALLER_SECONDS * 1000)}",
    ]
    if request.key:
        lines.append(f"Idempotency-Key: {request.key}")
    body = request.sent_body
    if is_chunked:
        lines.append("Transfer-Encoding: chunked")
        body = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
    elif method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


def read_answer(reader, request: SentRequest) -> tuple[SentRequest, bool]:
    """Read one answer.

    Args:
        reader: Buffered file of the connection.
        request: The request that waits for it.

    Returns:
        The request with what was seen of its answer, and whether the connection can be
        used for another one.
    """
    try:
        status, header_by_name = _read_head(reader)
        seen = replace(
            request,
            status=status,
            signature=header_by_name.get("x-citronspan-backend-signature", ""),
            result=int(header_by_name.get("citronspan-result", "0").split()[0]),
        )
    except (OSError, ValueError):
        return replace(request, ended_at=time.monotonic()), False
    try:
        body = _read_body(reader, header_by_name)
    except (OSError, ValueError):
        return replace(seen, ended_at=time.monotonic()), False
    seen = replace(seen, body=body, is_whole=True, ended_at=time.monotonic())
    return seen, header_by_name.get("connection", "").lower() != "close"


def _read_head(reader):
    line = _read_line(reader)
    status = int(line.split(b" ", 2)[1])
    header_by_name = {}
    while line := _read_line(reader):
        name, _, value = line.decode("latin-1").partition(":")
        header_by_name[name.lower()] = value.strip()
    return status, header_by_name


def _read_line(reader):
    line = reader.readline(HEAD_BYTES)
    if not line.endswith(b"\r\n"):
        raise ValueError("the connection ended within a line")
    return line[:-2]


def _read_body(reader, header_by_name):
    if header_by_name.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while size := int(_read_line(reader).partition(b";")[0], 16):
            parts.append(_read_exactly(reader, size))
            _read_line(reader)
        _read_line(reader)
        return b"".join(parts)
    if "content-length" in header_by_name:
        return _read_exactly(reader, int(header_by_name["content-length"]))
    return reader.read()


def _read_exactly(reader, size):
    data = reader.read(size)
    if len(data) < size:
        raise ValueError("the connection ended within a body")
    return data
