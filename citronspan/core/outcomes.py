"""Outcomes of attempts; an attempt is one dispatch of a request to one target."""

import enum

import msgspec

from citronspan.core.rate_limits import RateLimit
from citronspan.core.result_codes import Ran


class OutcomeClass(enum.StrEnum):
    """Class of an outcome, by what the connection to the target proves."""

    OK = "ok"
    TARGET_ERROR = "target-error"
    SHED = "shed"
    DRAINING = "draining"
    STARTING = "starting"
    CONNECT_FAILED = "connect-failed"
    ANSWER_LOST = "answer-lost"
    TIMED_OUT = "timed-out"
    CANCELLED = "cancelled"
    NOT_USED = "not-used"


RAN_BY_OUTCOME_CLASS = {
    OutcomeClass.OK: Ran.RAN,
    OutcomeClass.TARGET_ERROR: Ran.RAN,
    OutcomeClass.SHED: Ran.NOT_RUN,
    OutcomeClass.DRAINING: Ran.NOT_RUN,
    OutcomeClass.STARTING: Ran.NOT_RUN,
    OutcomeClass.CONNECT_FAILED: Ran.NOT_RUN,
    OutcomeClass.ANSWER_LOST: Ran.MAY_HAVE_RUN,
    OutcomeClass.TIMED_OUT: Ran.MAY_HAVE_RUN,
    OutcomeClass.CANCELLED: Ran.MAY_HAVE_RUN,
    OutcomeClass.NOT_USED: Ran.NOT_RUN,
}


class Outcome(msgspec.Struct, frozen=True, kw_only=True):
    """Outcome of one attempt.

    Attributes:
        target: Name of the target.
        outcome_class: Class of the outcome.
        latency_seconds: Time from dispatch to the first byte of the answer, or to the
            failure.
        deadline_seconds: Time limit of the attempt.
        request_kind: Request kind of the route.
        fingerprint: Hash of the content of the request, equal for its retries; 0 for
            none.
        load: Number of slots in use as reported by the target, -1 if not reported.
        rate_limit: What the target stated about its request rate, None without an
            answer of the target.
        leaving_incarnation: Incarnation of the target that said that it leaves, None
            if it didn't.
        pause_seconds: Time for which the target takes nothing from the sender of the
            outcome, 0 if it didn't say so.
    """

    target: str
    outcome_class: OutcomeClass
    latency_seconds: float
    deadline_seconds: float
    request_kind: str = ""
    fingerprint: int = 0
    load: int = -1
    rate_limit: RateLimit | None = None
    leaving_incarnation: int | None = None
    pause_seconds: float = 0.0
