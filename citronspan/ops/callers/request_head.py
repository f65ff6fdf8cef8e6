"""Reads a caller's request strictly, to prevent request smuggling.

A request that two readers could frame differently is refused (RFC 9112, sections 2.2,
3, 5 and 6). So is one with a header that differs from one of those that frame or name
a request only by an underscore, which many readers take for a hyphen.
"""

import re
import time

from cheroot import errors
from cheroot.server import HTTPRequest, KnownLengthRFile

from citronspan.core import result_codes
from citronspan.core.result_codes import Ran
from citronspan.ops.callers.chunked_body import ChunkedBody
from citronspan.ops.callers.refusals import RAN_HEADER, RESULT_HEADER, format_status

HEAD_TIMEOUT_SECONDS = 5.0
MAXIMUM_HEADER_LINES = 200

_CRLF = b"\r\n"
_NAME_PATTERN = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_VALUE_PATTERN = re.compile(rb"[\t\x20-\x7e\x80-\xff]*")
_METHOD_PATTERN = re.compile(rb"[A-Z][A-Z0-9-]*")
_URI_PATTERN = re.compile(rb"(/[\x21-\x7e]*|\*)")
_LENGTH_PATTERN = re.compile(rb"[0-9]{1,18}")
_SINGLETON_HEADERS = frozenset(
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
        """Read header lines up to the empty line.

        Args:
            rfile: File to read the lines from.
            hdict: Dictionary to add the headers to, or None for a new one.

        Returns:
            The headers, with names in title case; the values of a repeated header are
            joined.

        Raises:
            ValueError: If a line is malformed.
            errors.MaxSizeExceeded: If there are too many lines.
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
        raise ValueError("A header line is truncated or does not end in CR LF.")
    name, colon, value = line[:-2].partition(b":")
    if not colon or not _NAME_PATTERN.fullmatch(name):
        raise ValueError("A header has a malformed name.")
    if b"_" in name and name.replace(b"_", b"-").title() in _SINGLETON_HEADERS:
        raise ValueError("A header has an underscore in place of a hyphen.")
    value = value.strip(b" \t")
    if not _VALUE_PATTERN.fullmatch(value):
        raise ValueError("A header has a malformed value.")
    return name.title(), value


def _join_values(name, first, second):
    if name in _SINGLETON_HEADERS:
        raise ValueError(f"{name.decode()} is given more than once.")
    separator = b"; " if name == b"Cookie" else b", "
    return first + separator + second


class CheckedRequest(HTTPRequest):
    """Reads one request and refuses a malformed one with a numbered result."""

    header_reader = StrictHeaderReader()

    def parse_request(self):
        """Read the request line and the headers within ``HEAD_TIMEOUT_SECONDS``."""
        self.conn.has_unread_data = True
        self.conn.may_send_more = False
        self.conn.limits.deadline = time.monotonic() + HEAD_TIMEOUT_SECONDS
        self.conn.limits.refusable_deadline = None
        super().parse_request()
        self.conn.limits.deadline = None

    def read_request_line(self):
        """Read the request line; return whether it is well formed."""
        if not super().read_request_line():
            return False
        if not _METHOD_PATTERN.fullmatch(self.method):
            return self._refuse("The method is malformed.")
        if not _URI_PATTERN.fullmatch(self.uri):
            return self._refuse("The path is malformed.")
        return True

    def read_request_headers(self):
        """Read the headers; return whether they frame the body unambiguously."""
        if not super().read_request_headers():
            return False
        framing_error = self._find_framing_error()
        return True if framing_error is None else self._refuse(framing_error)

    def _refuse(self, message):
        self.simple_response("400 Bad Request", message)
        return False

    def _find_framing_error(self):
        is_http_1_1 = self.request_protocol == b"HTTP/1.1"
        if is_http_1_1 and b"Host" not in self.inheaders:
            return "Host is missing."
        length = self.inheaders.get(b"Content-Length")
        if length is not None and not _LENGTH_PATTERN.fullmatch(length):
            return "Content-Length is not a valid length."
        encoding = self.inheaders.get(b"Transfer-Encoding")
        if encoding is None:
            return None
        if length is not None:
            return "Content-Length and Transfer-Encoding are both present."
        if not is_http_1_1 or encoding.lower() != b"chunked":
            return "This Transfer-Encoding is not supported."
        return None

    def respond(self):
        """Call the application, which reads the body and sends the answer."""
        caller_closes = self.close_connection
        if self.chunked_read:
            self.rfile = ChunkedBody(rfile=self.conn.rfile)
        else:
            length = int(self.inheaders.get(b"Content-Length", 0))
            self.rfile = KnownLengthRFile(self.conn.rfile, length)
        self.server.gateway(self).respond()
        self.ensure_headers_sent()
        if self.chunked_write:
            self.conn.wfile.write(b"0\r\n\r\n")
        self.conn.has_unread_data = self._has_unread_body()
        self.conn.may_send_more = self.close_connection and not caller_closes

    def send_headers(self):
        """Send the status and headers; close the connection if body data is unread."""
        if self._has_unread_body():
            self.close_connection = True
        super().send_headers()

    def write(self, chunk: bytes) -> None:
        """Send a part of the body; the answer to HEAD has none."""
        if self.method != b"HEAD":
            super().write(chunk)

    def _has_unread_body(self):
        if self.chunked_read:
            return not self.rfile.is_ended
        return self.rfile.remaining > 0

    def simple_response(self, status, msg=""):
        """Answer with a numbered result instead of the server's plain status.

        Args:
            status: HTTP status that the server chose.
            msg: Detail for the caller, empty for the meaning of the result.
        """
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
