"""Decides whether the end of a connection completes an answer.

An answer (RFC 9112, section 6.3) is complete

- with its head, if it has no body: to HEAD, or with 204 or 304;
- with its last chunk and the empty line after the trailer, if it is chunked;
- with the last byte of its ``Content-Length``;
- else, as it shows its end by nothing but that of its connection, with a plain end, if
  no write to the target failed and the target either took the whole request or said
  that it closes (``Connection: close``, or HTTP/1.0 without ``keep-alive``).

The first three hold whatever becomes of the connection; ``CheckedResponse`` reads them.
The last one is decided here:

- The system reports a reset once, to a write or a read. After a write that failed, what
  has arrived can still be read, and then an end, as if the target had ended its answer.
  So a failed write makes each such end void. Without one, a reset fails the read, and
  an end is the target's own, even if a reset follows it.
- A target that ends before it took the whole request, and didn't say so, may have been
  broken off just as well: the system of a process that dies ends its connections, with
  a reset only if there are unread bytes. What the target's system has acknowledged
  counts as taken, as nothing tells whether the target has read it.

Where an end is void, the answer is lost: the request may have run. A caller that got
nothing of it yet gets a refusal that says so, another one a connection that is reset.
"""

import socket
from dataclasses import dataclass

from citronspan.utils.sockets import has_unsent_bytes


@dataclass(kw_only=True, slots=True)
class SentRequest:
    """Holds how far a request was sent, for the reader of its answer.

    Attributes:
        is_whole: Whether the whole request was written.
        error: Error of the write that failed, None if none did.
    """

    is_whole: bool = False
    error: OSError | None = None


def find_flaw_of_end(
    sent_request: SentRequest, sock: socket.socket, *, says_close: bool
) -> str:
    """Return why a plain end doesn't complete an answer, empty if it does.

    Args:
        sent_request: The request, as far as it was sent.
        sock: Connection to the target, at whose end a read has arrived.
        says_close: Whether the answer says that the target closes the connection.
    """
    if sent_request.error is not None:
        return f"the connection broke while the request was sent: {sent_request.error}"
    if says_close:
        return ""
    if not sent_request.is_whole or has_unsent_bytes(sock):
        return "the connection ended before the target took the whole request"
    return ""
