"""Reads a caller's chunked body incrementally and enforces the protocol.

The HTTP server's own reader holds a whole chunk in memory, accepts chunk sizes that are
not hexadecimal digits, and accepts the size in a truncated line as complete.
"""

import re

MAXIMUM_LINE_BYTES = 8 * 1024
MAXIMUM_TRAILER_LINES = 100
MAXIMUM_SIZE_DIGITS = 15

_CRLF = b"\r\n"
_SIZE_PATTERN = re.compile(rb"[0-9A-Fa-f]+")


class ChunkedBody:
    """Reads a chunked body (RFC 9112, section 7.1)."""

    def __init__(self, *, rfile):
        self._rfile = rfile
        self._chunk_remaining = 0
        self._is_ended = False

    @property
    def is_ended(self) -> bool:
        """Whether the last chunk and the trailers have been read."""
        return self._is_ended

    def read(self, size: int) -> bytes:
        """Read a part of the body.

        Args:
            size: Maximum number of bytes.

        Returns:
            The bytes, empty only after the last chunk and the trailers.

        Raises:
            EOFError: If the body is truncated.
            ValueError: If it violates the protocol.
            OSError: If the connection fails or a read times out.
        """
        if self._is_ended:
            return b""
        if self._chunk_remaining == 0:
            self._chunk_remaining = self._read_chunk_size()
        if self._chunk_remaining == 0:
            self._read_trailers()
            self._is_ended = True
            return b""
        data = self._rfile.read(min(size, self._chunk_remaining))
        if not data:
            raise EOFError("the body ended within a chunk")
        self._chunk_remaining -= len(data)
        if self._chunk_remaining == 0 and self._rfile.read(2) != _CRLF:
            raise ValueError("a chunk does not end where its size says")
        return data

    def _read_chunk_size(self):
        size_text = self._read_line().partition(b";")[0].strip(b" \t")
        if not _SIZE_PATTERN.fullmatch(size_text):
            raise ValueError(f"invalid chunk size: {size_text[:20]!r}")
        if len(size_text.lstrip(b"0")) > MAXIMUM_SIZE_DIGITS:
            raise ValueError("a chunk size has too many digits")
        return int(size_text, 16)

    def _read_trailers(self):
        for _ in range(MAXIMUM_TRAILER_LINES):
            if not self._read_line():
                return
        raise ValueError("too many trailers")

    def _read_line(self):
        line = self._rfile.readline(MAXIMUM_LINE_BYTES)
        if line.endswith(_CRLF):
            return line[:-2]
        if len(line) >= MAXIMUM_LINE_BYTES or line.endswith(b"\n"):
            raise ValueError("a line is too long or does not end in CR LF")
        raise EOFError("the body ended within a line")
