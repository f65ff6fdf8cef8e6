"""A caller's body in chunks, read piece by piece and held to the protocol.

The server's own reader holds a whole chunk in memory, takes lengths that are not
hexadecimal digits, and takes a length whose line was cut for the length meant.
"""

import re

MAXIMUM_LINE_BYTES = 8 * 1024
MAXIMUM_TRAILER_LINES = 100
MAXIMUM_SIZE_DIGITS = 15

_CRLF = b"\r\n"
_SIZE_PATTERN = re.compile(rb"[0-9A-Fa-f]+")


class ChunkedBody:
    """Reader of a body in chunks (RFC 9112, section 7.1)."""

    def __init__(self, *, rfile):
        self._rfile = rfile
        self._left = 0
        self._is_ended = False

    @property
    def is_ended(self) -> bool:
        """Whether the last chunk and the trailers were read."""
        return self._is_ended

    def read(self, size: int) -> bytes:
        """Read some of the body.

        Args:
            size: Bytes at most.

        Returns:
            The bytes, empty only after the last chunk and the trailers.

        Raises:
            EOFError: If the body is cut short.
            ValueError: If it does not follow the protocol.
            OSError: If the connection fails or is too slow.
        """
        if self._is_ended:
            return b""
        if self._left == 0:
            self._left = self._read_size()
        if self._left == 0:
            self._read_trailers()
            self._is_ended = True
            return b""
        data = self._rfile.read(min(size, self._left))
        if not data:
            raise EOFError("the body ended in a chunk")
        self._left -= len(data)
        if self._left == 0 and self._rfile.read(2) != _CRLF:
            raise ValueError("a chunk does not end where its length says")
        return data

    def _read_size(self):
        text = self._read_line().partition(b";")[0].strip(b" \t")
        if not _SIZE_PATTERN.fullmatch(text):
            raise ValueError(f"not the length of a chunk: {text[:20]!r}")
        if len(text.lstrip(b"0")) > MAXIMUM_SIZE_DIGITS:
            raise ValueError("a chunk is too long")
        return int(text, 16)

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
        raise EOFError("the body ended in a line")
