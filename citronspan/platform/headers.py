"""The platform's headers; a ``Dialect``."""

import math

from citronspan.core.outcomes import OutcomeClass
from citronspan.ops.dialect import FindHeader, TargetAttempt, parse_positive

_DEADLINE = "X-Citronspan-Deadline-Ms"
_EXPECTED_INSTANCE = "x-citronspan-expected-instance"
_NOT_EXECUTED = "X-Citronspan-Not-Executed"
_SIGNATURE = "X-Citronspan-Backend-Signature"
# Requests that run, requests that wait, and slots, parted by commas.
_LOAD = "X-Citronspan-Backend-Load"


class PlatformDialect:
    """Headers of the platform's callers and targets."""

    timeout_header = _DEADLINE
    id_header = "X-Citronspan-Request-Id"
    accepts_unframed_answers = True

    def read_timeout_seconds(self, text: str | None) -> float:
        """Read the caller's deadline, a number of milliseconds."""
        if text is None:
            return math.inf
        return parse_positive(text, _DEADLINE) / 1000

    def make_target_headers(self, addressee: TargetAttempt) -> dict[str, str]:
        """Return what is left of the deadline, and who is meant."""
        return {
            _DEADLINE.lower(): str(max(int(addressee.seconds * 1000), 1)),
            _EXPECTED_INSTANCE: addressee.target,
        }

    def classify(self, status: int, find_header: FindHeader) -> OutcomeClass:
        """Believe the target's word that it did not run the request."""
        if status == 421:
            # Another target has the address now, so that the one meant is gone.
            return OutcomeClass.DRAINING
        if find_header(_NOT_EXECUTED) is not None:
            return OutcomeClass.SHED
        if status >= 500 or find_header(_SIGNATURE) is None:
            return OutcomeClass.TARGET_ERROR
        return OutcomeClass.OK

    def read_load(self, find_header: FindHeader) -> int:
        """Return the requests that run at the target."""
        running, _, _ = (find_header(_LOAD) or "").partition(",")
        return int(running) if running.isascii() and running.isdigit() else -1

    def format_retry_after(self, seconds: float) -> str:
        """Return seconds with a fraction, which these callers take."""
        return f"{max(seconds, 0.05):.2f}"
