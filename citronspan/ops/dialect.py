"""What requests and answers say in headers, for callers and targets of one kind.

The request path asks a ``Dialect`` for whatever a header says. ``OwnDialect`` speaks
the headers of docs/INTERFACES.md; a platform with names of its own brings another.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from citronspan.core import result_codes
from citronspan.core.errors import CitronspanError
from citronspan.core.outcomes import OutcomeClass

FindHeader = Callable[[str], str | None]
"""Returns the value of a header, or None."""

TIMEOUT_HEADER = "Request-Timeout-Seconds"
NOT_RUN_HEADER = "Target-Not-Run"
LOAD_HEADER = "Target-Load"

_NOT_RUN_CLASS_BY_WORD = {
    "shed": OutcomeClass.SHED,
    "draining": OutcomeClass.DRAINING,
    "starting": OutcomeClass.STARTING,
}


@dataclass(frozen=True, kw_only=True, slots=True)
class TargetAttempt:
    """The target that a request is sent to, and the time it has.

    Attributes:
        target: Name of the target.
        seconds: Time until the attempt is given up.
    """

    target: str
    seconds: float


class Dialect(Protocol):
    """Reads and writes the headers of one kind of callers and targets.

    Attributes:
        timeout_header: Header in which callers state how long they wait.
        id_header: Header that identifies a request, empty if there is none.
        accepts_unframed_answers: Whether an answer may end with its connection.
    """

    timeout_header: str
    id_header: str
    accepts_unframed_answers: bool

    def read_timeout_seconds(self, text: str | None) -> float:
        """Return how long a caller waits, infinity where it does not say.

        Raises:
            CitronspanError: With code 3008 if it is not well formed.
        """

    def make_target_headers(self, addressee: TargetAttempt) -> dict[str, str]:
        """Return the headers for a target, with lower-case names."""

    def classify(self, status: int, find_header: FindHeader) -> OutcomeClass:
        """Return what the head of an answer says of the attempt."""

    def read_load(self, find_header: FindHeader) -> int:
        """Return the slots in use that a target reported, -1 if it did not."""

    def format_retry_after(self, seconds: float) -> str:
        """Return the value of ``Retry-After``."""


class OwnDialect:
    """The headers of docs/INTERFACES.md."""

    timeout_header = TIMEOUT_HEADER
    id_header = ""
    accepts_unframed_answers = False

    def read_timeout_seconds(self, text: str | None) -> float:
        """Read ``Request-Timeout-Seconds``."""
        if text is None:
            return math.inf
        return parse_positive(text, TIMEOUT_HEADER)

    def make_target_headers(self, addressee: TargetAttempt) -> dict[str, str]:
        """Return ``Deadline-Seconds``."""
        return {"deadline-seconds": f"{max(addressee.seconds, 0):.3f}"}

    def classify(self, status: int, find_header: FindHeader) -> OutcomeClass:
        """Believe ``Target-Not-Run`` on a 503, and nothing else."""
        if status == 503:
            word = (find_header(NOT_RUN_HEADER) or "").strip().lower()
            if word in _NOT_RUN_CLASS_BY_WORD:
                return _NOT_RUN_CLASS_BY_WORD[word]
        return OutcomeClass.TARGET_ERROR if status >= 500 else OutcomeClass.OK

    def read_load(self, find_header: FindHeader) -> int:
        """Read ``Target-Load``, slots in use and slots."""
        used, _, _ = (find_header(LOAD_HEADER) or "").partition("/")
        return int(used) if used.isascii() and used.isdigit() else -1

    def format_retry_after(self, seconds: float) -> str:
        """Return whole seconds, as RFC 9110 has them."""
        return str(max(1, math.ceil(seconds)))


def parse_positive(text: str, header: str) -> float:
    """Parse a header that holds a positive number.

    Raises:
        CitronspanError: With code 3008 if it does not.
    """
    try:
        value = float(text)
    except ValueError:
        # Ignored: what is no number is refused below.
        value = math.nan
    if math.isfinite(value) and value > 0:
        return value
    raise CitronspanError(
        code=result_codes.REQUEST_INVALID,
        detail=f"{header}: {text!r} is not a positive number",
    )
