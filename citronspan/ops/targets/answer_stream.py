"""Reads a target's answer strictly, so that truncation and corruption are detected.

The reader of the standard library accepts the close of a connection within the headers,
within a chunk size line or after the last chunk as the end of that part. It restarts
its timeout with each byte and returns interim (1xx) answers as final. It could
therefore accept a truncated or late answer, or the answer to another request, as
complete. This module applies one deadline to all reads of an answer, bounds the size
of its head and of its body, and enforces RFC 9112, sections 2 to 7. ``answer_end``
states when an answer is complete.

A status line has the version HTTP/1.x and a status of three digits from 100 to 599; the
reason may be missing, with the space before it. RFC 9110, section 15, lets a client
take 600 to 999 for a failure of the server; such an answer is lost here, as is any
other, since no caller could tell what it says.

A target may write an answer on a kept connection that no request asked for. Where
targets echo the id of the request, such an answer has another id or, on a connection
that was used before, none. Without ids HTTP/1.1 cannot reveal it.
"""

import contextlib
import http.client
import io
import re
import select
import socket
import time
from collections.abc import Callable

from citronspan.core.requests.attempt_deadline import AttemptDeadline
from citronspan.ops.targets.answer_end import SentRequest, find_flaw_of_end

MAXIMUM_LINE_BYTES = 64 * 1024
MAXIMUM_HEAD_BYTES = 256 * 1024
"""Longest head of an answer, with the interim answers before it."""

MAXIMUM_BODY_BYTES = 64 << 20
SKIP_BYTES = 64 * 1024
DEADLINE_CHECK_SECONDS = 0.25
MAXIMUM_HEADER_LINES = 100
MAXIMUM_CHUNK_SIZE_DIGITS = 15
MAXIMUM_STALE_RESPONSES = 2
"""Maximum number of answers to earlier requests that are skipped per request."""

_CRLF = b"\r\n"
_CHUNK_SIZE_PATTERN = re.compile(rb"[0-9A-Fa-f]+")
_STATUS_LINE_PATTERN = re.compile(
    rb"(HTTP/1\.[0-9]) ([1-5][0-9]{2})(?: ([\t\x20-\x7e\x80-\xff]*))?\r\n"
)
_LENGTH_PATTERN = re.compile(r"[0-9]{1,18}")


class AnswerInvalidError(http.client.HTTPException):
    """Signals an answer that is truncated or violates the protocol."""


class _BoundedReader(io.RawIOBase):
    """Reads from a socket with one deadline and one byte limit for many reads."""

    def __init__(
        self,
        *,
        raw: io.RawIOBase,
        sock: socket.socket,
        deadline: AttemptDeadline,
        check_end: Callable[[], None],
    ):
        super().__init__()
        self._raw = raw
        self._check_end = check_end
        self._sock = sock
        self._deadline: AttemptDeadline | None = deadline
        self._remaining_bytes = 0

    def readable(self) -> bool:
        return True

    def readinto(self, buffer) -> int | None:
        if self._deadline is None:
            return None
        if self._remaining_bytes <= 0:
            raise AnswerInvalidError("the answer is longer than allowed")
        self._wait_until_readable()
        count = self._raw.readinto(buffer)
        if count == 0:
            self._check_end()
        self._remaining_bytes -= count or 0
        return count

    def _wait_until_readable(self):
        poll = select.poll()
        poll.register(self._sock, select.POLLIN)
        while True:
            remaining_seconds = self._deadline.find() - time.monotonic()
            if remaining_seconds <= 0:
                if self._deadline.extend(lambda: bool(poll.poll(0))):
                    continue
                raise TimeoutError("the deadline passed while the answer was read")
            wait_seconds = min(remaining_seconds, DEADLINE_CHECK_SECONDS)
            if poll.poll(wait_seconds * 1000):
                return

    def set_byte_limit(self, limit: int) -> None:
        """Set the number of bytes from here on after which reads fail."""
        self._remaining_bytes = limit

    def disable_reads(self) -> None:
        """Return no more data, so that peeking into the buffer does not block."""
        self._deadline = None

    def close(self) -> None:
        self._raw.close()
        super().close()


class _StrictLineReader(io.BufferedReader):
    """Rejects lines that do not end in CR LF."""

    def readline(self, limit=-1) -> bytes:
        line = super().readline(limit)
        if line.endswith(_CRLF) or 0 <= limit <= len(line):
            return line
        raise AnswerInvalidError("a line is truncated or does not end in CR LF")


class CheckedResponse(http.client.HTTPResponse):
    """Reads one answer and enforces the protocol."""

    def __init__(
        self,
        sock,
        debuglevel=0,
        method=None,
        url=None,
        *,
        deadline,
        sent_request: SentRequest | None = None,
        id_header="",
        expected_id="",
        is_reused=False,
    ):
        self._sent_request = sent_request or SentRequest()
        self._id_header = id_header
        self._expected_id = expected_id
        self._is_reused = is_reused
        super().__init__(sock, debuglevel, method, url)
        reader = _BoundedReader(
            raw=self.fp.detach(),
            sock=sock,
            deadline=deadline,
            check_end=self._check_end,
        )
        self.fp = _StrictLineReader(reader)
        self._reader = reader
        self._sock = sock

    def begin(self):
        """Read the head of the final answer and check the framing of its body."""
        if self.headers is not None:
            return
        for _ in range(1 + MAXIMUM_STALE_RESPONSES):
            self._reader.set_byte_limit(MAXIMUM_HEAD_BYTES)
            super().begin()
            self._check_headers()
            self._reader.set_byte_limit(MAXIMUM_BODY_BYTES)
            if not self._is_stale_response():
                self._check_length()
                return
            self._skip_stale_response()
        raise AnswerInvalidError("the answers carry the ids of other requests")

    def _check_length(self):
        """Refuse a body that is too long before the caller gets a part of it."""
        if self.length is not None and self.length > MAXIMUM_BODY_BYTES:
            raise AnswerInvalidError("the answer is longer than allowed")

    def _is_stale_response(self):
        """Return whether this is a late answer to an earlier request.

        The first answer on a connection may have no request id: none precedes it.

        Raises:
            AnswerInvalidError: If it cannot be told which request it answers.
        """
        if not self._expected_id:
            return False
        response_id = self.headers.get(self._id_header)
        if response_id is None and self._is_reused:
            raise AnswerInvalidError("an answer on a kept connection has no request id")
        return response_id is not None and response_id != self._expected_id

    def _skip_stale_response(self):
        if self.chunked or self.length is None:
            raise AnswerInvalidError("an answer to another request has no length")
        while self.length:
            # Read in parts, since the declared length may exceed the memory.
            self.length -= len(self._safe_read(min(self.length, SKIP_BYTES)))
        self.headers = self.msg = None

    def _read_status(self):
        for _ in range(MAXIMUM_HEADER_LINES):
            line = self.fp.readline(MAXIMUM_LINE_BYTES)
            match = _STATUS_LINE_PATTERN.fullmatch(line)
            if not match:
                raise AnswerInvalidError(f"invalid status line: {line[:40]!r}")
            version, status_text, reason = match.groups(default=b"")
            status = int(status_text)
            if status >= http.client.OK:
                return version.decode(), status, reason.decode("latin-1")
            if status == http.client.SWITCHING_PROTOCOLS:
                raise AnswerInvalidError("the target switched to another protocol")
            self._skip_header_lines()
        raise AnswerInvalidError("too many interim answers")

    def _skip_header_lines(self):
        for _ in range(MAXIMUM_HEADER_LINES):
            if self.fp.readline(MAXIMUM_LINE_BYTES) == _CRLF:
                return
        raise AnswerInvalidError("too many headers in an interim answer")

    def _check_end(self):
        """Fail at an end of the connection that doesn't complete the answer.

        The readers of heads, chunks and lengths find an end before theirs themselves.
        """
        if self.headers is None or self.chunked or self.length is not None:
            return
        flaw = find_flaw_of_end(
            self._sent_request, self._sock, says_close=self._check_close()
        )
        if flaw:
            raise AnswerInvalidError(flaw)

    def _check_headers(self):
        if self.headers.defects:
            raise AnswerInvalidError(f"malformed headers: {self.headers.defects}")
        for name, value in self.headers.items():
            if "\r" in value or "\n" in value:
                raise AnswerInvalidError(
                    f"header {name!r} is folded over several lines"
                )
        lengths = set(self.headers.get_all("Content-Length", ()))
        encodings = self.headers.get_all("Transfer-Encoding", ())
        if encodings and (lengths or [e.lower() for e in encodings] != ["chunked"]):
            raise AnswerInvalidError(
                f"body framed by Transfer-Encoding {encodings} and length {lengths}"
            )
        if len(lengths) > 1:
            raise AnswerInvalidError(f"conflicting Content-Length values: {lengths}")
        if not all(_LENGTH_PATTERN.fullmatch(length) for length in lengths):
            raise AnswerInvalidError(f"invalid Content-Length: {lengths}")

    def _get_chunk_left(self):
        if self.chunk_left:
            return self.chunk_left
        if self.chunk_left is not None and self._safe_read(2) != _CRLF:
            raise AnswerInvalidError("a chunk does not end where its size says")
        size = self._read_next_chunk_size()
        if size:
            self.chunk_left = size
            return size
        self._skip_header_lines()
        self._close_conn()
        self.chunk_left = None
        return None

    def _read_next_chunk_size(self):
        line = self.fp.readline(MAXIMUM_LINE_BYTES)
        text = line.partition(b";")[0].strip()
        if not _CHUNK_SIZE_PATTERN.fullmatch(text):
            raise AnswerInvalidError(f"invalid chunk size: {text[:20]!r}")
        if len(text.lstrip(b"0")) > MAXIMUM_CHUNK_SIZE_DIGITS:
            raise AnswerInvalidError("a chunk size has too many digits")
        return int(text, 16)

    def _close_conn(self):
        # The connection is not reused if the target sent bytes after its answer: the
        # shutdown makes the pool see it as disconnected.
        self._reader.disable_reads()
        if self.fp.peek(1):
            with contextlib.suppress(OSError):
                self._sock.shutdown(socket.SHUT_RDWR)
        super()._close_conn()
