"""What the key protocol tells the request path of an entry."""

from collections.abc import Callable
from dataclasses import dataclass

from citronspan.core.key_messages import StoredAnswer
from citronspan.core.key_token import KeyToken
from citronspan.core.message_base import Outgoing
from citronspan.core.result_codes import ResultCode

FindAddress = Callable[[str], str | None]
"""Finds the peer address of the entry of a node by its name, None if not live."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Permission:
    """The attempt may run, and no other attempt at the key does.

    Attributes:
        attempt: Id of the attempt, for the report.
        token: The key.
        run_deadline: Monotonic time after which nobody waits for the run any more;
            report it as not run then. A later run would still be the only one.
    """

    attempt: bytes
    token: KeyToken
    run_deadline: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Replay:
    """The key has run; this was its answer."""

    answer: StoredAnswer


@dataclass(frozen=True, kw_only=True, slots=True)
class Refusal:
    """The attempt does not run.

    Attributes:
        code: The result code.
        detail: What is wrong, for the body of the answer.
        retry_after_seconds: When to send again with the same key, 0 where that
            does not help.
        answer: Status, length and digest of an answer that was not kept.
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
        result: What its worker is told.
    """

    attempt: bytes
    result: ClaimResult


KeyEvent = Outgoing | ClaimCompleted
