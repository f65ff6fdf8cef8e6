"""HTTP/1.1 over asyncio streams, as little of it as the stand-ins and clients need."""

import asyncio
from dataclasses import dataclass, field
from http import HTTPStatus

CONNECT_SECONDS = 1.0
MAXIMUM_HEAD_BYTES = 1 << 20


@dataclass(frozen=True, kw_only=True)
class Request:
    """A request that a stand-in has read."""

    method: str
    path: str
    header_by_name: dict[str, str]
    body: bytes


@dataclass(frozen=True, kw_only=True)
class Answer:
    """What a client got for one request.

    Attributes:
        status: Status of the answer, 0 if there is none.
        header_by_name: Headers, with lower-case names.
        body: The body, as far as it came.
        is_whole: Whether the answer is complete by its framing.
        error: What went wrong, empty if nothing did.
    """

    status: int = 0
    header_by_name: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    is_whole: bool = False
    error: str = ""


async def _read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head[:-4].decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return first, {name.strip().lower(): value.strip() for name, _, value in pairs}


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Read one request; return None if the connection has ended before it."""
    try:
        first, header_by_name = await _read_head(reader)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    method, path, _ = first.split(" ", 2)
    length = int(header_by_name.get("content-length", "0"))
    body = await reader.readexactly(length)
    return Request(method=method, path=path, header_by_name=header_by_name, body=body)


def make_answer(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Return the bytes of an answer with a length."""
    lines = [f"HTTP/1.1 {status} {HTTPStatus(status).phrase}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


async def send_request(
    address: str,
    *,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b"",
    seconds: float,
) -> Answer:
    """Send a request on a new connection and read its answer.

    Args:
        address: ``IP:PORT`` of the server.
        method: The method.
        path: Path and query.
        headers: Headers besides the one of the length.
        body: The body.
        seconds: Longest time to wait for the whole answer.
    """
    ip, _, port = address.rpartition(":")
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(ip, int(port), limit=MAXIMUM_HEAD_BYTES),
            CONNECT_SECONDS,
        )
    except (OSError, TimeoutError) as error:
        return Answer(error=f"connect: {type(error).__name__}")
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    lines += ["Connection: close", "", ""]
    try:
        writer.write("\r\n".join(lines).encode("latin-1") + body)
        return await asyncio.wait_for(_read_answer(reader), seconds)
    except TimeoutError:
        return Answer(error=f"no answer within {seconds} s")
    except (OSError, asyncio.IncompleteReadError) as error:
        return Answer(error=f"connection ended: {type(error).__name__}")
    finally:
        writer.transport.abort()


async def _read_answer(reader):
    first, header_by_name = await _read_head(reader)
    status = int(first.split(" ", 2)[1])
    length = int(header_by_name.get("content-length", "0"))
    body = await reader.readexactly(length)
    return Answer(
        status=status, header_by_name=header_by_name, body=body, is_whole=True
    )
