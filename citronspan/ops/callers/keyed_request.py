"""Claims the idempotency key of a request before it runs and reports the result.

Exactly one report follows each permission, even after an error. If the result is not
known, the report says that the request may have run.
"""

import hashlib

import xxhash

from citronspan.core import result_codes
from citronspan.core.keys.key_protocol_results import (
    Permission,
    Refusal as KeyRefusal,
    Replay,
)
from citronspan.core.keys.key_token import compute_fingerprint, is_fleet_key
from citronspan.core.resources import RouteSpec
from citronspan.core.result_codes import Ran, ResultCode
from citronspan.ops.callers.caller_request import CallerBody, CallerRequest
from citronspan.ops.callers.key_service import ANSWER_DIGEST_BYTES, KeyService
from citronspan.ops.callers.refusals import Refusal
from citronspan.ops.targets.attempt_context import RequestContext

_OWN_CODES = frozenset(
    {
        result_codes.ENTRY_STOPPING,
        result_codes.ACCOUNT_KEY_UNKNOWN,
        result_codes.ACCOUNT_CHANGED,
    }
)
"""What is true of one entry or one account key, and not of others that wait for the
same idempotency key; an entry of an earlier version does not know the codes either."""


class KeyedRequest:
    """Reports the result of a request whose key was granted permission to run."""

    def __init__(self, *, keys: KeyService, permission: Permission):
        self._keys = keys
        self._permission = permission
        self._is_reported = False
        self._digest = hashlib.blake2b(digest_size=ANSWER_DIGEST_BYTES)
        self._length = 0

    def record_body(self, data: bytes) -> None:
        """Add a part of a streamed answer to the digest and the length."""
        self._digest.update(data)
        self._length += len(data)

    def report_whole(
        self, status: int, headers: tuple[tuple[str, str], ...], body: bytes
    ) -> None:
        """Report a buffered answer with its body."""
        if self._mark_reported():
            self._keys.report_answer(self._permission, status, headers, body)

    def report_streamed(self, status: int) -> None:
        """Report a streamed answer of which each part was passed to ``record_body``."""
        if self._mark_reported():
            self._keys.report_large_answer(
                self._permission, status, self._length, self._digest.digest()
            )

    def report_refused(self, code: ResultCode, ran: Ran | None) -> None:
        """Report that no target answered the request.

        Args:
            code: Result that the caller gets.
            ran: Whether the request was run, None to use the ``ran`` of the code.
        """
        if not self._mark_reported():
            return
        if code.ran is Ran.NOT_RUN and (ran or code.ran) is Ran.NOT_RUN:
            if code in _OWN_CODES:
                code = result_codes.NO_CAPACITY
            self._keys.report_not_run(self._permission, code)
            return
        self._keys.report_lost(self._permission)

    def report_lost(self) -> None:
        """Report that the request may have run, unless a report was already made."""
        if self._mark_reported():
            self._keys.report_lost(self._permission)

    def _mark_reported(self):
        if self._is_reported:
            return False
        self._is_reported = True
        return True


def claim_key(
    keys: KeyService, request_context: RequestContext
) -> KeyedRequest | Replay:
    """Claim the key of a request.

    Args:
        keys: Service of the key protocol.
        request_context: The request.

    Returns:
        The request, which may now run, or the stored answer of an earlier run.

    Raises:
        Refusal: If the request must not run.
    """
    body = request_context.body.buffer
    body_identifier = (
        hashlib.blake2b(body).digest()
        if body
        else str(request_context.body.length).encode()
    )
    request = request_context.request
    # The account is part of the fingerprint, so that another account that obtained the
    # key does not get the stored answer. Where accounts have keys, it is that of the
    # request's key, whatever the caller states.
    account = request.account
    if request_context.is_screened:
        account = request_context.account
    path = f"{account}\0{request.uri}"
    fingerprint = compute_fingerprint(request.method, path, body_identifier)
    result = keys.claim(
        request_context.request.key, fingerprint, request_context.deadline
    )
    if isinstance(result, Permission):
        return KeyedRequest(keys=keys, permission=result)
    if isinstance(result, Replay):
        return result
    raise _make_refusal(result)


def _make_refusal(result: KeyRefusal) -> Refusal:
    detail = result.detail or result.code.meaning
    if result.answer is not None and result.code is result_codes.KEY_REPLAY_TOO_LARGE:
        detail += (
            f" status={result.answer.status} bytes={result.answer.length}"
            f" blake2b={result.answer.digest.hex()}"
        )
    return Refusal(
        code=result.code,
        detail=detail,
        retry_after_seconds=result.retry_after_seconds or None,
    )


def compute_request_fingerprint(request: CallerRequest, body: CallerBody) -> int:
    """Return the fingerprint by which a key's later requests are known as the same."""
    digest = xxhash.xxh3_64()
    digest.update(f"{request.method}\0{request.host}\0{request.uri}\0".encode())
    digest.update(body.buffer or str(body.length).encode())
    return digest.intdigest() >> 1


def needs_claim(spec: RouteSpec, key: str) -> bool:
    """Return whether a request's idempotency key has to be claimed before it runs.

    A key that the caller made up cannot be claimed. It is forwarded to the target, and
    the request is sent in at most one attempt.

    Args:
        spec: Specification of the route.
        key: Idempotency key of the request, or empty.
    """
    if spec.idempotent or not key:
        return False
    return spec.require_key or is_fleet_key(key)
