"""What a caller receives on one connection, read without an HTTP library."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class CallerResponse:
    """Holds what a caller received on one connection.

    Attributes:
        data: All received bytes.
        reset: Whether the connection was reset.
    """

    data: bytes
    reset: bool

    @property
    def status(self) -> int:
        """Status of the answer, 0 if its headers are incomplete."""
        if b"\r\n\r\n" not in self.data:
            return 0
        return int(self.data.split(b" ", 2)[1])

    @property
    def header_by_name(self) -> dict[str, str]:
        """Headers of the answer with lower-case names."""
        head = self.data.partition(b"\r\n\r\n")[0].decode("latin-1")
        pairs = (line.partition(":") for line in head.split("\r\n")[1:])
        return {name.lower(): value.strip() for name, _, value in pairs}

    @property
    def ran(self) -> str:
        """The entry's statement on whether the request was run, or empty."""
        return self.header_by_name.get("citronspan-ran", "")

    @property
    def result(self) -> int:
        """Number of the result code, 0 if there is none."""
        return int(self.header_by_name.get("citronspan-result", "0").split()[0])

    def find_complete_body(self) -> bytes | None:
        """Return the body if the answer looks complete, else None.

        This follows RFC 9112, sections 6.3 and 8: a body without a length or chunks is
        complete if the connection closes without a reset.
        """
        if not self.status:
            return None
        body = self.data.partition(b"\r\n\r\n")[2]
        headers = self.header_by_name
        if headers.get("transfer-encoding") == "chunked":
            return _join_chunks(body)
        if "content-length" in headers:
            return body if len(body) == int(headers["content-length"]) else None
        return None if self.reset else body


def _join_chunks(data):
    parts = []
    while True:
        line, separator, data = data.partition(b"\r\n")
        if not separator:
            return None
        size = int(line, 16)
        if size == 0:
            return b"".join(parts) if data == b"\r\n" else None
        parts.append(data[:size])
        if data[size : size + 2] != b"\r\n":
            return None
        data = data[size + 2 :]


def read_to_end(caller) -> CallerResponse:
    """Read until the connection is closed or reset."""
    parts = []
    reset = False
    try:
        while part := caller.recv(65536):
            parts.append(part)
    except ConnectionResetError:
        reset = True
    return CallerResponse(data=b"".join(parts), reset=reset)
