"""Results that the key protocol returns to the request path of an entry."""

from collections.abc import Callable
from dataclasses import dataclass

from citronspan.core.keys.key_messages import StoredAnswer
from citronspan.core.keys.key_token import KeyToken
from citronspan.core.message_base import Outgoing
from citronspan.core.result_codes import ResultCode

FindAddress = Callable[[str], str | None]
"""Returns the peer address of a node's entry by node name, None if it is not live."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Permission:
    """The attempt may run, and no other attempt at the key may.

    Attributes:
        attempt: Id of the attempt, to be named in its report.
        token: The key.
        run_deadline: Monotonic time after which nothing waits for the run any more; the
            attempt is to be reported as not run then. A later run would still be
            the only one.
    """

    attempt: bytes
    token: KeyToken
    run_deadline: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Replay:
    """The key has already run and its answer is replayed.

    Attributes:
        answer: The stored answer.
    """

    answer: StoredAnswer


@dataclass(frozen=True, kw_only=True, slots=True)
class Refusal:
    """The attempt must not run.

    Attributes:
        code: The result code.
        detail: Cause of the refusal, for the body of the answer.
        retry_after_seconds: Delay before a retry with the same key, 0 if a retry does
            not help.
        answer: Status, length and digest of an answer whose body was not stored.
    """

    code: ResultCode
    detail: str = ""
    retry_after_seconds: float = 0.0
    answer: StoredAnswer | None = None


ClaimResult = Permission | Replay | Refusal


@dataclass(frozen=True, kw_only=True, slots=True)
class ClaimCompleted:
    """The result of one attempt's claim.

    Attributes:
        attempt: Id of the attempt.
        result: Result for the worker of the attempt.
    """

    attempt: bytes
    result: ClaimResult


KeyEvent = Outgoing | ClaimCompleted
