"""Reading of a target's answer so that a cut or garbled one is always noticed.

The standard library's reader takes the end of a connection in a head, in the line
of a chunk's length or after the last chunk for the end of that part, waits anew
after each byte, and hands on interim answers as if they were final. An answer
that it would pass as whole could then be short, late or another's. This module
bounds all reading by one deadline and holds answers to RFC 9112, sections 2 to 7.

What HTTP/1.1 cannot show: an answer that a target sends unasked, after a kept
connection has been given to the next request, is taken for the answer to that.
"""

import contextlib
import http.client
import io
import re
import socket
import time

MAXIMUM_LINE_BYTES = 64 * 1024
MAXIMUM_HEADER_LINES = 100
MAXIMUM_CHUNK_SIZE_DIGITS = 15
MAXIMUM_STALE_RESPONSES = 2
"""Answers to earlier requests that are passed over on one connection."""


_CRLF = b"\r\n"
_CHUNK_SIZE_PATTERN = re.compile(rb"[0-9A-Fa-f]+")
_LENGTH_PATTERN = re.compile(r"[0-9]{1,18}")


class AnswerInvalidError(http.client.HTTPException):
    """An answer that was cut or does not follow the protocol."""


class _DeadlineReader(io.RawIOBase):
    """Reads from a socket until a deadline, however slowly bytes arrive."""

    def __init__(self, *, raw: io.RawIOBase, sock: socket.socket, deadline: float):
        super().__init__()
        self._raw = raw
        self._sock = sock
        self._deadline: float | None = deadline

    def readable(self) -> bool:
        return True

    def readinto(self, buffer) -> int | None:
        if self._deadline is None:
            return None
        left = self._deadline - time.monotonic()
        if left <= 0:
            raise TimeoutError("the deadline has passed")
        self._sock.settimeout(left)
        return self._raw.readinto(buffer)

    def stop_reading(self) -> None:
        """Give nothing more, so that a look into a buffer does not wait."""
        self._deadline = None

    def close(self) -> None:
        self._raw.close()
        super().close()


class _LineReader(io.BufferedReader):
    """Takes no line that does not end as a line."""

    def readline(self, limit=-1) -> bytes:
        line = super().readline(limit)
        if line.endswith(_CRLF) or 0 <= limit <= len(line):
            return line
        raise AnswerInvalidError("a line was cut or does not end in CR LF")


class CheckedResponse(http.client.HTTPResponse):
    """The head and body of one answer, held to the protocol."""

    def __init__(
        self,
        sock,
        debuglevel=0,
        method=None,
        url=None,
        *,
        deadline,
        id_header="",
        expected_id="",
    ):
        self._id_header = id_header
        self._expected_id = expected_id
        super().__init__(sock, debuglevel, method, url)
        reader = _DeadlineReader(raw=self.fp.detach(), sock=sock, deadline=deadline)
        self.fp = _LineReader(reader)
        self._reader = reader
        self._sock = sock

    def begin(self):
        """Read the head of the final answer and check what frames the body."""
        if self.headers is not None:
            return
        for _ in range(1 + MAXIMUM_STALE_RESPONSES):
            super().begin()
            self._check_headers()
            if not self._is_stray():
                return
            self._skip_answer()
        raise AnswerInvalidError("the answers are to other requests")

    def _is_stray(self):
        """Return whether this is a late answer to an earlier request."""
        if not self._expected_id:
            return False
        answered_id = self.headers.get(self._id_header)
        return answered_id is not None and answered_id != self._expected_id

    def _skip_answer(self):
        if self.chunked or self.length is None:
            raise AnswerInvalidError("an answer to another request without a length")
        if self.length:
            self._safe_read(self.length)
        self.headers = self.msg = None

    def _read_status(self):
        for _ in range(MAXIMUM_HEADER_LINES):
            version, status, reason = super()._read_status()
            if status >= http.client.OK:
                return version, status, reason
            if status == http.client.SWITCHING_PROTOCOLS:
                raise AnswerInvalidError("the target switches to another protocol")
            self._skip_head()
        raise AnswerInvalidError("too many interim answers")

    def _skip_head(self):
        for _ in range(MAXIMUM_HEADER_LINES):
            if self.fp.readline(MAXIMUM_LINE_BYTES) == _CRLF:
                return
        raise AnswerInvalidError("too many headers in an interim answer")

    def _check_headers(self):
        if self.headers.defects:
            raise AnswerInvalidError(f"malformed headers: {self.headers.defects}")
        for name, value in self.headers.items():
            if "\r" in value or "\n" in value:
                raise AnswerInvalidError(f"folded header {name!r}")
        lengths = set(self.headers.get_all("Content-Length", ()))
        encodings = self.headers.get_all("Transfer-Encoding", ())
        if encodings and (lengths or [e.lower() for e in encodings] != ["chunked"]):
            raise AnswerInvalidError(f"body framed by {encodings} and {lengths}")
        if len(lengths) > 1:
            raise AnswerInvalidError(f"several lengths: {lengths}")
        if not all(_LENGTH_PATTERN.fullmatch(length) for length in lengths):
            raise AnswerInvalidError(f"not a length: {lengths}")

    def _get_chunk_left(self):
        if self.chunk_left:
            return self.chunk_left
        if self.chunk_left is not None and self._safe_read(2) != _CRLF:
            raise AnswerInvalidError("a chunk is longer than its length")
        size = self._read_next_chunk_size()
        if size:
            self.chunk_left = size
            return size
        self._skip_head()
        self._close_conn()
        self.chunk_left = None
        return None

    def _read_next_chunk_size(self):
        line = self.fp.readline(MAXIMUM_LINE_BYTES)
        text = line.partition(b";")[0].strip()
        if not _CHUNK_SIZE_PATTERN.fullmatch(text):
            raise AnswerInvalidError(f"not the length of a chunk: {text[:20]!r}")
        if len(text.lstrip(b"0")) > MAXIMUM_CHUNK_SIZE_DIGITS:
            raise AnswerInvalidError("a chunk is too long")
        return int(text, 16)

    def _close_conn(self):
        # A target that sends more than its answer gets no second request on the
        # connection; shut down, it is not taken for a live one.
        self._reader.stop_reading()
        if self.fp.peek(1):
            with contextlib.suppress(OSError):
                self._sock.shutdown(socket.SHUT_RDWR)
        super()._close_conn()
