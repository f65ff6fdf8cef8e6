"""Reads and writes the HTTP headers of one kind of callers and targets.

Request handling uses a ``Dialect`` for all headers whose names depend on the platform.
``DefaultDialect`` implements the headers of docs/INTERFACES.md; a platform with other
header names provides its own implementation.
"""

import math
import re
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from citronspan.core import result_codes
from citronspan.core.detection.target_notices import TargetNotice
from citronspan.core.errors import CitronspanError
from citronspan.core.outcomes import OutcomeClass

FindHeader = Callable[[str], str | None]
"""Returns the value of a header, or None."""

TIMEOUT_HEADER = "Request-Timeout-Seconds"
NOT_RUN_HEADER = "Target-Not-Run"
LOAD_HEADER = "Target-Load"
RATE_LIMIT_HEADER = "Target-Rate-Limit"
LEAVING_HEADER = "Target-Leaving"
PAUSE_HEADER = "Target-Pause-Seconds"
ACCOUNT_HEADER = "Client-Account"

MAXIMUM_PAUSE_SECONDS = 3600.0
"""Longest pause that a target can ask for; a longer one is cut to it."""

MAXIMUM_SHOWN_TEXT = 40
"""Characters of an unreadable header that a log line shows."""

_COUNT_PATTERN = re.compile(r"[0-9]{1,9}")

_CLASS_BY_NOT_RUN_REASON = {
    "shed": OutcomeClass.SHED,
    "draining": OutcomeClass.DRAINING,
    "starting": OutcomeClass.STARTING,
}


@dataclass(frozen=True, kw_only=True, slots=True)
class TargetAttempt:
    """Holds the target of an attempt and its time limit.

    Attributes:
        target: Name of the target.
        seconds: Seconds until the attempt is given up.
        account: Name of the client account whose key the request has, or empty.
    """

    target: str
    seconds: float
    account: str = ""


class Dialect(Protocol):
    """Reads and writes the headers of one kind of callers and targets.

    Attributes:
        timeout_header: Header with the caller's timeout.
        id_header: Header with the request id, empty if there is none.
        account_header: Header that tells targets the client account.
        accepts_unframed_answers: Whether the end of the connection may mark the end of
            an answer.
    """

    timeout_header: str
    id_header: str
    account_header: str
    accepts_unframed_answers: bool

    def read_timeout_seconds(self, text: str | None) -> float:
        """Return the caller's timeout in seconds.

        Args:
            text: Value of the timeout header, or None.

        Returns:
            The timeout, infinity if the header is missing.

        Raises:
            CitronspanError: With code 3008 if the value is malformed.
        """

    def make_target_headers(self, target_attempt: TargetAttempt) -> dict[str, str]:
        """Return the headers to add to an attempt, with lower-case names."""

    def classify(self, status: int, find_header: FindHeader) -> OutcomeClass:
        """Return the outcome of an attempt by the status and headers of its answer."""

    def may_forward(self, status: int, find_header: FindHeader) -> bool:
        """Return whether the caller may get an answer of a target as it is.

        Only asked for answers that don't prove that the request was not run.
        """

    def read_load(self, find_header: FindHeader) -> int:
        """Return the number of slots in use that a target reported, -1 if none."""

    def read_rate_limit(self, find_header: FindHeader) -> float | None:
        """Return the requests per second that a target takes, None for no limit."""

    def read_notice(self, status: int, find_header: FindHeader) -> TargetNotice:
        """Return what a target said of itself in an answer."""

    def format_retry_after(self, seconds: float) -> str:
        """Return the value of ``Retry-After``."""


class DefaultDialect:
    """Implements the headers of docs/INTERFACES.md."""

    timeout_header = TIMEOUT_HEADER
    id_header = ""
    account_header = ACCOUNT_HEADER
    accepts_unframed_answers = False

    def read_timeout_seconds(self, text: str | None) -> float:
        """Read ``Request-Timeout-Seconds``."""
        if text is None:
            return math.inf
        return parse_positive(text, TIMEOUT_HEADER)

    def make_target_headers(self, target_attempt: TargetAttempt) -> dict[str, str]:
        """Return ``Deadline-Seconds`` and ``Client-Account``."""
        headers = {"deadline-seconds": f"{max(target_attempt.seconds, 0):.3f}"}
        if target_attempt.account:
            headers[ACCOUNT_HEADER.lower()] = encode_text(target_attempt.account)
        return headers

    def classify(self, status: int, find_header: FindHeader) -> OutcomeClass:
        """Classify an answer; ``Target-Not-Run`` counts only with status 503."""
        if status == 503:
            reason = (find_header(NOT_RUN_HEADER) or "").strip().lower()
            if reason in _CLASS_BY_NOT_RUN_REASON:
                return _CLASS_BY_NOT_RUN_REASON[reason]
        return OutcomeClass.TARGET_ERROR if status >= 500 else OutcomeClass.OK

    def may_forward(self, status: int, find_header: FindHeader) -> bool:
        """Return True: these targets sign no answers."""
        return True

    def read_load(self, find_header: FindHeader) -> int:
        """Read the slots in use from ``Target-Load`` (``USED/SLOTS``)."""
        used, _, _ = (find_header(LOAD_HEADER) or "").partition("/")
        return parse_count(used)

    def read_rate_limit(self, find_header: FindHeader) -> float | None:
        """Read ``Target-Rate-Limit``."""
        return parse_rate(find_header(RATE_LIMIT_HEADER))

    def read_notice(self, status: int, find_header: FindHeader) -> TargetNotice:
        """Read ``Target-Leaving``, and ``Target-Pause-Seconds`` with status 503."""
        return make_notice(
            leaving=find_header(LEAVING_HEADER),
            pause=find_header(PAUSE_HEADER) if status == 503 else None,
        )

    def format_retry_after(self, seconds: float) -> str:
        """Return whole seconds, as RFC 9110 requires, and at least 1."""
        return str(max(1, math.ceil(seconds)))


def encode_text(text: str) -> str:
    """Return text as the value of a header, which is sent as UTF-8."""
    return text.encode(errors="surrogatepass").decode("latin-1")


def parse_positive(text: str, header: str) -> float:
    """Parse the value of a header as a positive finite number.

    Args:
        text: Value of the header.
        header: Name of the header, for the error message.

    Raises:
        CitronspanError: With code 3008 if the value is not a positive finite number.
    """
    try:
        value = float(text)
    except ValueError:
        # Ignored: NaN is rejected below.
        value = math.nan
    if math.isfinite(value) and value > 0:
        return value
    raise CitronspanError(
        code=result_codes.REQUEST_INVALID,
        detail=f"{header}: {text!r} is not a positive number",
    )


def parse_count(text: str) -> int:
    """Parse a part of a header as a number of at most nine digits.

    Returns:
        The number, -1 if the text is not one.
    """
    return int(text) if _COUNT_PATTERN.fullmatch(text) else -1


def parse_flag(text: str | None) -> bool:
    """Return whether the value of a header is ``1``."""
    return text is not None and text.strip() == "1"


def make_notice(*, leaving: str | None, pause: str | None) -> TargetNotice:
    """Make the notice of a target from the values of two headers.

    Args:
        leaving: ``1`` if the target leaves, None if it doesn't say.
        pause: Seconds for which it takes nothing from this host, None if it doesn't
            say. What isn't a number of at least 0, such as a date, is no pause; more
            than ``MAXIMUM_PAUSE_SECONDS`` is cut.
    """
    is_leaving = parse_flag(leaving)
    if pause is None:
        return TargetNotice(is_leaving=is_leaving)
    problem = ""
    try:
        seconds = float(pause)
    except ValueError:
        # Ignored: the notice says that it isn't a number.
        seconds = math.nan
    if math.isnan(seconds):
        problem = "no number"
    elif seconds < 0:
        problem = "negative"
    elif seconds > MAXIMUM_PAUSE_SECONDS:
        problem = "too long"
    if problem in ("no number", "negative"):
        seconds = 0.0
    return TargetNotice(
        is_leaving=is_leaving,
        pause_seconds=min(seconds, MAXIMUM_PAUSE_SECONDS),
        problem=f"{problem}: {pause[:MAXIMUM_SHOWN_TEXT]!r}" if problem else "",
    )


def parse_rate(text: str | None) -> float | None:
    """Parse the value of a header as a rate of requests per second.

    Args:
        text: Value of the header, or None.

    Returns:
        The rate, None if it is missing or not a finite number of at least 0.
    """
    try:
        value = float(text or "nan")
    except ValueError:
        # Ignored: NaN is rejected below.
        value = math.nan
    return value if math.isfinite(value) and value >= 0 else None
