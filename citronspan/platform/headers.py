"""Implements ``Dialect`` for the platform's headers."""

import math

from citronspan.core.detection.target_notices import TargetNotice
from citronspan.core.outcomes import OutcomeClass
from citronspan.ops.targets.dialect import (
    FindHeader,
    TargetAttempt,
    encode_text,
    make_notice,
    parse_count,
    parse_positive,
    parse_rate,
)

_DEADLINE = "X-Citronspan-Deadline-Ms"
_EXPECTED_INSTANCE = "x-citronspan-expected-instance"
_NOT_EXECUTED = "X-Citronspan-Not-Executed"
_SIGNATURE = "X-Citronspan-Backend-Signature"
# Running requests, queued requests and slots, separated by commas.
_LOAD = "X-Citronspan-Backend-Load"
_RATE_LIMIT = "Server-Limit"
_LEAVING = "Server-Leaving"
_PAUSE = "Retry-After"
_ACCOUNT = "X-Citronspan-Tenant-Id"


class PlatformDialect:
    """Reads and writes the headers of the platform's callers and targets."""

    timeout_header = _DEADLINE
    id_header = "X-Citronspan-Request-Id"
    account_header = _ACCOUNT
    accepts_unframed_answers = True

    def read_timeout_seconds(self, text: str | None) -> float:
        """Read the caller's deadline in milliseconds; return infinity without one."""
        if text is None:
            return math.inf
        return parse_positive(text, _DEADLINE) / 1000

    def make_target_headers(self, target_attempt: TargetAttempt) -> dict[str, str]:
        """Return the remaining milliseconds, the intended target and the account."""
        headers = {
            _DEADLINE.lower(): str(max(int(target_attempt.seconds * 1000), 1)),
            _EXPECTED_INSTANCE: target_attempt.target,
        }
        if target_attempt.account:
            headers[_ACCOUNT.lower()] = encode_text(target_attempt.account)
        return headers

    def classify(self, status: int, find_header: FindHeader) -> OutcomeClass:
        """Classify an answer by its status and the target's headers.

        The header that says that the target did not execute the request is accepted
        with any status except 421. Other answers with a status of 500 or more, or
        without the target's signature, are errors.
        """
        if status == 421:
            # Another target uses the address now: the intended target is gone.
            return OutcomeClass.DRAINING
        if find_header(_NOT_EXECUTED) is not None:
            return OutcomeClass.SHED
        if status >= 500 or find_header(_SIGNATURE) is None:
            return OutcomeClass.TARGET_ERROR
        return OutcomeClass.OK

    def may_forward(self, status: int, find_header: FindHeader) -> bool:
        """Return whether an answer has the target's signature or promises nothing.

        A caller takes a status below 500 or 503 as final or as "not run", which only
        the target itself can say.
        """
        promises_nothing = status >= 500 and status != 503
        return promises_nothing or find_header(_SIGNATURE) is not None

    def read_load(self, find_header: FindHeader) -> int:
        """Return the number of requests running at the target, -1 if unknown."""
        running, _, _ = (find_header(_LOAD) or "").partition(",")
        return parse_count(running)

    def read_rate_limit(self, find_header: FindHeader) -> float | None:
        """Return the requests per second that a target takes, None for no limit."""
        return parse_rate(find_header(_RATE_LIMIT))

    def read_notice(self, status: int, find_header: FindHeader) -> TargetNotice:
        """Return what a target said of itself.

        An answer with status 421 is that of another target at the address. The header
        for a pause counts with status 503 only.
        """
        if status == 421:
            return TargetNotice()
        return make_notice(
            leaving=find_header(_LEAVING),
            pause=find_header(_PAUSE) if status == 503 else None,
        )

    def format_retry_after(self, seconds: float) -> str:
        """Format seconds with a fraction, which the platform's callers accept."""
        return f"{max(seconds, 0.05):.2f}"
