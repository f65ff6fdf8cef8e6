"""Checks what callers and targets saw against what a fleet promises.

The oracle knows nothing of the hosts but when they were told to stop, frozen or
started. All times are seconds of ``time.monotonic()`` of one process. Source: the
platform's rules on lost requests, refusals, repeats, mixed answers and targets that
leave.
"""

import hashlib
from collections import defaultdict
from dataclasses import dataclass, field

KEY_NEVER_RUNS_RESULTS = frozenset({4003, 4004, 4007, 4010})
KEY_HAS_RUN_RESULT = 4006
KEY_REUSED_RESULT = 4008
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
FAILURE_STATUSES = frozenset({500, 502, 504})
LOSS_SLACK_SECONDS = 0.2
CONTACT_SECONDS = 4.0
AFTER_GRACE_SECONDS = 1.0
DRAIN_SECONDS = 2.5
EARLY_IN_STOP_SECONDS = 3.0
LAST_SHARE_OF_GRACE = 1 / 6
LATE_ANSWER_SECONDS = 0.5

ANSWERED = "answered"
DIED = "died"
BROKEN_OFF = "broken off"
AT_WORK = "at work"


@dataclass(frozen=True, kw_only=True)
class SentRequest:
    """A request as its caller saw it.

    Attributes:
        request_id: Id of the request.
        host: Name of the host that took it.
        uri: Path and query.
        sent_body: Body of the request.
        answer_bytes: Length of the body that the target answers with.
        is_idempotent: Whether it may run more than once.
        began_at: When its first byte was sent.
        last_byte_at: When its last byte was sent, None if it never was whole.
        deadline_at: Earlier of the caller's deadline and the route's timeout.
        ended_at: When its answer or its connection ended.
        status: Status of the answer, 0 without one.
        signature: Signature of the target in the answer.
        body: Body of the answer.
        is_whole: Whether the answer looks complete.
        follows_close: Whether an earlier answer had announced the connection's end.
        key: Idempotency key, or empty; others may have sent the same request with it.
        result: Number of the host's own result, 0 in an answer of a target.
    """

    request_id: str
    host: str
    uri: str
    sent_body: bytes
    answer_bytes: int
    is_idempotent: bool
    began_at: float
    last_byte_at: float | None
    deadline_at: float
    ended_at: float
    status: int = 0
    signature: str = ""
    body: bytes = b""
    is_whole: bool = False
    follows_close: bool = False
    key: str = ""
    result: int = 0


@dataclass(kw_only=True)
class Arrival:
    """A request that a target has begun to run.

    Attributes:
        request_id: Id of the request.
        target: Name of the target.
        digest: ``digest_request`` of what the target read.
        at: When the work began.
        ended_at: When the work ended, infinity while it goes on.
        outcome: How it ended.
    """

    request_id: str
    target: str
    digest: str
    at: float
    ended_at: float = float("inf")
    outcome: str = AT_WORK


@dataclass(frozen=True, kw_only=True)
class Span:
    """A time in which something is the matter with a host or target.

    Attributes:
        name: Name of the host or target.
        start: When it began.
        end: When it was over.
    """

    name: str
    start: float
    end: float


@dataclass(frozen=True, kw_only=True)
class Violation:
    """A broken promise.

    Attributes:
        promise: Name of the promise.
        request_id: Request that shows it.
        detail: What was seen.
    """

    promise: str
    request_id: str
    detail: str


@dataclass(kw_only=True)
class History:
    """What callers and targets saw, and what was done to the fleet.

    Attributes:
        grace_seconds: Time from SIGTERM to SIGKILL.
        requests: All requests.
        arrivals: All requests that targets began to run.
        stops: For each SIGTERM of a host the time until the process was gone.
        disruptions: Times in which a host did not run through no plan.
        leaving_at_by_target: When the store acknowledged that a target drains.
    """

    grace_seconds: float
    requests: list[SentRequest] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    stops: list[Span] = field(default_factory=list)
    disruptions: list[Span] = field(default_factory=list)
    leaving_at_by_target: dict[str, float] = field(default_factory=dict)


def digest_request(method: str, uri: str, body: bytes) -> str:
    """Return what tells a request from a changed one."""
    return hashlib.sha256(f"{method} {uri}\n".encode() + body).hexdigest()[:16]


def make_answer_body(request_id: str, size: int) -> bytes:
    """Return the only body that the targets' answer to a request has."""
    line = f"{request_id} ".encode()
    return (line * (size // len(line) + 1))[:size]


def find_violations(history: History) -> list[Violation]:
    """Return the promises that were broken, in the order of the requests."""
    arrivals_by_id = defaultdict(list)
    for arrival in history.arrivals:
        arrivals_by_id[arrival.request_id].append(arrival)
    violations = _find_unasked(history, arrivals_by_id)
    arrivals_by_key = _group_by_key(history, arrivals_by_id)
    for request in history.requests:
        arrivals = arrivals_by_id.get(request.request_id, [])
        same_key_arrivals = arrivals_by_key.get(request.key, arrivals)
        checks = (
            _check_answer(request, same_key_arrivals),
            _check_key(request, same_key_arrivals),
            _check_refusal(request, arrivals),
            _check_repeat(request, arrivals),
            _check_loss(history, request, arrivals),
            _check_time(history, request),
            *(_check_drain(history, request, arrival) for arrival in arrivals),
        )
        violations += [
            Violation(promise=check[0], request_id=request.request_id, detail=check[1])
            for check in checks
            if check is not None
        ]
    return violations


def _group_by_key(history, arrivals_by_id):
    """Return what reached targets under each key, by any of its requests."""
    arrivals_by_key = defaultdict(list)
    for request in history.requests:
        if request.key:
            arrivals = arrivals_by_id.get(request.request_id, [])
            arrivals_by_key[request.key] += arrivals
    return arrivals_by_key


def _find_unasked(history, arrivals_by_id):
    """A target runs only what a caller sent, unchanged."""
    digest_by_id = {
        request.request_id: digest_request(
            "GET" if request.is_idempotent else "POST", request.uri, request.sent_body
        )
        for request in history.requests
    }
    return [
        Violation(promise="UNASKED", request_id=request_id, detail=str(arrival))
        for request_id, arrivals in arrivals_by_id.items()
        for arrival in arrivals
        if digest_by_id.get(request_id) != arrival.digest
    ]


def _check_answer(request, arrivals):
    """A success is whole, signed, and that of this request, or of its key's only run.

    Several callers may get the answer to a key: with one run, they get the same one.
    """
    if not 200 <= request.status < 300 or not request.is_whole:
        return None
    id_by_signature = {
        f"{arrival.target}.{arrival.request_id}": arrival.request_id
        for arrival in arrivals
    }
    answered_id = id_by_signature.get(request.signature)
    if answered_id is None:
        return "MIXED", f"{request.status} with signature {request.signature!r}"
    if request.body != make_answer_body(answered_id, request.answer_bytes):
        return "MIXED", f"a body of {len(request.body)} bytes that is not the target's"
    return None


def _check_refusal(request, arrivals):
    """What is refused as not run has not run."""
    if request.status in NOT_RUN_STATUSES and arrivals:
        return "REFUSED", f"{request.status}, but it reached {arrivals}"
    return None


def _check_key(request, same_key_arrivals):
    """A key runs at most once, and what a host says of it is true."""
    if not request.key:
        return None
    runs = len(same_key_arrivals)
    is_true = {
        KEY_HAS_RUN_RESULT: runs > 0,
        KEY_REUSED_RESULT: False,
        **dict.fromkeys(KEY_NEVER_RUNS_RESULTS, runs == 0),
    }
    if runs > 1 or not is_true.get(request.result, True):
        return "KEYED", f"result {request.result}, ran at {same_key_arrivals}"
    return None


def _check_repeat(request, arrivals):
    if not request.is_idempotent and len(arrivals) > 1:
        return "TWICE", f"ran at {arrivals}"
    return None


def _check_loss(history, request, arrivals):
    """No request that was read whole ends without a complete answer."""
    if request.last_byte_at is None or _is_excused(history, request, arrivals):
        return None
    if request.is_whole:
        return _check_own_answer(history, request, arrivals)
    if request.follows_close and not arrivals:
        return None
    is_planned = _find_stop(history, request) is not None
    waited_seconds = request.ended_at - request.last_byte_at
    if arrivals or (is_planned and waited_seconds > LOSS_SLACK_SECONDS):
        return "LOST", (
            f"no answer {waited_seconds:.2f} s after its last byte, planned: "
            f"{is_planned}, {_describe_stop(history, request)}, reached {arrivals}"
        )
    return None


def _check_own_answer(history, request, arrivals):
    """A stopping host doesn't answer in place of a target that is at work."""
    if request.status not in FAILURE_STATUSES or request.signature:
        return None
    if _find_stop(history, request) is None:
        return None
    if any(arrival.outcome in (BROKEN_OFF, AT_WORK) for arrival in arrivals):
        return "LOST", f"{request.status} in place of the answer of {arrivals}"
    return None


def _is_excused(history, request, arrivals):
    if any(arrival.outcome == DIED for arrival in arrivals):
        return True
    if request.ended_at >= request.deadline_at:
        return True
    if _is_disrupted(history, request.host, request.began_at, request.ended_at):
        return True
    stop = _find_stop(history, request)
    if stop is None or request.began_at > stop.start + EARLY_IN_STOP_SECONDS:
        return False
    last_part_at = stop.start + history.grace_seconds * (1 - LAST_SHARE_OF_GRACE)
    return any(
        arrival.at < request.ended_at and arrival.ended_at > last_part_at
        for arrival in arrivals
    )


def _check_time(history, request):
    """A request that was read has an end soon after its time."""
    if request.last_byte_at is None:
        return None
    late_seconds = request.ended_at - request.deadline_at
    if late_seconds <= LATE_ANSWER_SECONDS:
        return None
    if _is_disrupted(history, request.host, request.began_at, request.ended_at):
        return None
    return "HELD", f"ended {late_seconds:.2f} s after its time with {request.status}"


def _check_drain(history, request, arrival):
    leaving_at = history.leaving_at_by_target.get(arrival.target)
    if leaving_at is None or arrival.at <= leaving_at + DRAIN_SECONDS:
        return None
    # A host that was frozen, told to stop or started lately is not in touch.
    spans = history.disruptions + history.stops
    if _is_touched(spans, request.host, leaving_at, arrival.at):
        return None
    late_seconds = arrival.at - leaving_at - DRAIN_SECONDS
    return "DRAIN", f"{late_seconds:.2f} s too late at {arrival.target}"


def _is_disrupted(history, host, start, end):
    return _is_touched(history.disruptions, host, start, end)


def _is_touched(spans, host, start, end):
    return any(
        span.name == host and span.start <= end and span.end + CONTACT_SECONDS >= start
        for span in spans
    )


def _find_stop(history, request):
    """Return the stop of its host in or after which a request ended, or None."""
    for stop in history.stops:
        until = stop.start + history.grace_seconds + AFTER_GRACE_SECONDS
        if stop.name == request.host and stop.start <= request.ended_at <= until:
            return stop
    return None


def _describe_stop(history, request):
    stop = _find_stop(history, request)
    if stop is None:
        return "no stop"
    times = (request.began_at, request.last_byte_at, request.ended_at)
    began, last_byte, ended = (time - stop.start for time in times)
    return (
        f"after SIGTERM: began {began:.2f}, last byte {last_byte:.2f}, "
        f"ended {ended:.2f} s"
    )
