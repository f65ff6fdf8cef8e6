"""Answers that the entry itself makes, with a numbered result."""

import http.client
from collections.abc import Callable

from citronspan.core.result_codes import Ran, ResultCode

RESULT_HEADER = "Citronspan-Result"
RAN_HEADER = "Citronspan-Ran"
TARGET_HEADER = "Citronspan-Target"
ENTRY_HEADER = "Citronspan-Entry"
KEY_PREFIX_HEADER = "Citronspan-Key-Prefix"
REPLAYED_HEADER = "Citronspan-Replayed"


class Refusal(Exception):  # noqa: N818 - it is an answer, not an error.
    """Signals that the caller is to be answered with a numbered result.

    Attributes:
        code: The result.
        detail: Description of the specific problem.
        ran: Whether the request was run, None to use the ``ran`` of the code.
        retry_after_seconds: Delay after which the caller may retry, or None.
    """

    def __init__(self, *, code, detail, ran=None, retry_after_seconds=None):
        super().__init__(detail)
        self.code = code
        self.detail = detail
        self.ran = ran
        self.retry_after_seconds = retry_after_seconds


def format_status(status: int) -> str:
    """Return the WSGI status string for a status code."""
    return f"{status} {http.client.responses.get(status, 'Unknown')}"


def answer_refusal(
    start_response: Callable,
    *,
    code: ResultCode,
    detail: str,
    ran: Ran | None = None,
    retry_after: str = "",
    entry: str = "",
    key_prefix: str = "",
) -> list[bytes]:
    """Answer a caller with a numbered result.

    Args:
        start_response: The WSGI callable.
        code: The result.
        detail: Description of the specific problem.
        ran: Whether the request was run, if that is less than the code says; None to
            use the ``ran`` of the code.
        retry_after: Value of ``Retry-After``, empty if a retry would not help.
        entry: Name of this entry.
        key_prefix: Prefix for a new key, empty if the caller needs none.

    Returns:
        The body of the answer.
    """
    body = f"{code.number} {code.name}: {detail}\n".encode()
    headers = [
        ("Content-Type", "text/plain; charset=utf-8"),
        ("Content-Length", str(len(body))),
        (RESULT_HEADER, f"{code.number} {code.name}"),
        (RAN_HEADER, str(ran or code.ran)),
        (ENTRY_HEADER, entry),
    ]
    if retry_after:
        headers.append(("Retry-After", retry_after))
    if code.http_status == http.client.UNAUTHORIZED:
        # RFC 9110, section 11.6.1.
        headers.append(("WWW-Authenticate", "Bearer"))
    if key_prefix:
        headers.append((KEY_PREFIX_HEADER, key_prefix))
    start_response(format_status(code.http_status), headers)
    return [body]
