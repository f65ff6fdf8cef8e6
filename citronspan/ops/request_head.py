"""Reading of a caller's request, strict where a lenient reader can be deceived.

A request that two readers could frame in two ways is refused (RFC 9112, sections
2.2, 3, 5 and 6), as is one whose headers would merge or be lost on their way
through WSGI, where a hyphen and an underscore are the same.
"""

import re
import time

from cheroot import errors
from cheroot.server import HTTPRequest, KnownLengthRFile

from citronspan.core import result_codes
from citronspan.core.result_codes import Ran
from citronspan.ops.chunked_body import ChunkedBody
from citronspan.ops.refusals import RAN_HEADER, RESULT_HEADER, format_status

HEAD_SECONDS = 5.0
MAXIMUM_HEADER_LINES = 200

_CRLF = b"\r\n"
_NAME_PATTERN = re.compile(rb"[!#$%&'*+.^`|~0-9A-Za-z-]+")
_VALUE_PATTERN = re.compile(rb"[\t\x20-\x7e\x80-\xff]*")
_METHOD_PATTERN = re.compile(rb"[A-Z][A-Z0-9-]*")
_TARGET_PATTERN = re.compile(rb"(/[\x21-\x7e]*|\*)")
_LENGTH_PATTERN = re.compile(rb"[0-9]{1,18}")
_SINGLE_NAMES = frozenset(
    {
        b"Content-Length",
        b"Transfer-Encoding",
        b"Host",
        b"Content-Type",
        b"Idempotency-Key",
        b"Citronspan-Account",
        b"Request-Timeout-Seconds",
    }
)
_CODE_BY_STATUS = {
    408: result_codes.CALLER_TOO_SLOW,
    413: result_codes.HEAD_TOO_LARGE,
    414: result_codes.HEAD_TOO_LARGE,
    500: result_codes.ENTRY_FAULT,
}


class StrictHeaderReader:
    """Reads the headers of a request into a dictionary."""

    def __call__(self, rfile, hdict: dict[bytes, bytes] | None = None) -> dict:
        """Read up to the empty line.

        Args:
            rfile: Where the lines come from.
            hdict: Where the headers go, with names in title case.

        Returns:
            The headers; repeated ones are joined.

        Raises:
            ValueError: If a line is not well formed.
            errors.MaxSizeExceeded: If there are too many.
        """
        headers = {} if hdict is None else hdict
        for _ in range(MAXIMUM_HEADER_LINES):
            line = rfile.readline()
            if line == _CRLF:
                return headers
            name, value = _parse_header(line)
            if name in headers:
                value = _join_values(name, headers[name], value)
            headers[name] = value
        raise errors.MaxSizeExceeded


def _parse_header(line):
    if not line.endswith(_CRLF):
        raise ValueError("A header line is cut or does not end in CR LF.")
    name, colon, value = line[:-2].partition(b":")
    if not colon or not _NAME_PATTERN.fullmatch(name):
        raise ValueError("The name of a header is not well formed.")
    value = value.strip(b" \t")
    if not _VALUE_PATTERN.fullmatch(value):
        raise ValueError("The value of a header is not well formed.")
    return name.title(), value


def _join_values(name, first, second):
    if name in _SINGLE_NAMES:
        raise ValueError(f"{name.decode()} is given more than once.")
    separator = b"; " if name == b"Cookie" else b", "
    return first + separator + second


class CheckedRequest(HTTPRequest):
    """One request, refused with a numbered result where it is not well formed."""

    header_reader = StrictHeaderReader()

    def parse_request(self):
        """Read the head in bounded time."""
        self.conn.has_unread = True
        self.conn.bounds.deadline = time.monotonic() + HEAD_SECONDS
        super().parse_request()
        self.conn.bounds.deadline = None

    def read_request_line(self):
        """Read the first line; return whether it is well formed."""
        if not super().read_request_line():
            return False
        if not _METHOD_PATTERN.fullmatch(self.method):
            return self._refuse("The method is not well formed.")
        if not _TARGET_PATTERN.fullmatch(self.uri):
            return self._refuse("The path is not well formed.")
        return True

    def read_request_headers(self):
        """Read the headers; return whether they frame the body in one way."""
        if not super().read_request_headers():
            return False
        fault = self._find_framing_fault()
        return True if fault is None else self._refuse(fault)

    def _refuse(self, message):
        self.simple_response("400 Bad Request", message)
        return False

    def _find_framing_fault(self):
        is_current = self.request_protocol == b"HTTP/1.1"
        if is_current and b"Host" not in self.inheaders:
            return "Host is missing."
        length = self.inheaders.get(b"Content-Length")
        if length is not None and not _LENGTH_PATTERN.fullmatch(length):
            return "Content-Length is not a length."
        encoding = self.inheaders.get(b"Transfer-Encoding")
        if encoding is None:
            return None
        if length is not None:
            return "Content-Length and Transfer-Encoding are both given."
        if not is_current or encoding.lower() != b"chunked":
            return "Transfer-Encoding is not one that is taken."
        return None

    def respond(self):
        """Call the application, which reads the body and answers."""
        if self.chunked_read:
            self.rfile = ChunkedBody(rfile=self.conn.rfile)
        else:
            length = int(self.inheaders.get(b"Content-Length", 0))
            self.rfile = KnownLengthRFile(self.conn.rfile, length)
        self.server.gateway(self).respond()
        self.ensure_headers_sent()
        if self.chunked_write:
            self.conn.wfile.write(b"0\r\n\r\n")
        self.conn.has_unread = self._has_unread_body()

    def send_headers(self):
        """Send the head of the answer; a body that is left ends the connection."""
        if self._has_unread_body():
            self.close_connection = True
        super().send_headers()

    def _has_unread_body(self):
        if self.chunked_read:
            return not self.rfile.is_ended
        return self.rfile.remaining > 0

    def simple_response(self, status, msg=""):
        """Answer with a numbered result instead of the server's bare status."""
        number = int(str(status)[:3])
        code = _CODE_BY_STATUS.get(number, result_codes.REQUEST_INVALID)
        ran = Ran.MAY_HAVE_RUN if code is result_codes.ENTRY_FAULT else Ran.NOT_RUN
        self.close_connection = True
        body = f"{code.number} {code.name}: {msg or code.meaning}\n".encode()
        head = (
            f"HTTP/1.1 {format_status(code.http_status)}\r\n"
            "Content-Type: text/plain; charset=utf-8\r\n"
            f"Content-Length: {len(body)}\r\n"
            f"{RESULT_HEADER}: {code.number} {code.name}\r\n"
            f"{RAN_HEADER}: {ran}\r\n"
            "Connection: close\r\n\r\n"
        )
        is_head = getattr(self, "method", b"") == b"HEAD"
        try:
            self.conn.wfile.write(head.encode() + (b"" if is_head else body))
        except OSError as error:
            if error.args[0] not in errors.socket_errors_to_ignore:
                raise
