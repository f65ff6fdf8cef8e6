"""The path of one request through an entry, from its receipt to its answer."""

import time
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass

import logbook
import xxhash
from opentelemetry import trace

from citronspan.core import log_events, result_codes
from citronspan.core.account_limits import AccountLimits
from citronspan.core.entry_configuration import EntryConfiguration
from citronspan.core.errors import CitronspanError
from citronspan.core.outcomes import (
    RAN_BY_OUTCOME_CLASS,
    Outcome,
    OutcomeClass,
)
from citronspan.core.resources import Kind, RouteSpec
from citronspan.core.result_codes import Ran
from citronspan.core.route_table import Route, find_route
from citronspan.ops.caller_request import (
    DROPPED_HEADERS,
    READ_BYTES,
    CallerBody,
    CallerRequest,
    read_caller_request,
)
from citronspan.ops.entry_metrics import EntryMetrics
from citronspan.ops.refusals import (
    ENTRY_HEADER,
    RAN_HEADER,
    RESULT_HEADER,
    TARGET_HEADER,
    answer_refusal,
    format_status,
)
from citronspan.ops.slot_source import Slot, SlotAsk, SlotSource
from citronspan.ops.target_connection import (
    AttemptFailedError,
    TargetAnswer,
    TargetConnections,
    TargetRequest,
    classify_answer,
)
from citronspan.utils.logs import write_event
from citronspan.utils.traces import PROPAGATOR

MAXIMUM_ATTEMPTS = 3
# An idempotent attempt may use this share of the time left, so that another one
# still fits in after a slow target.
ATTEMPT_SHARE = 0.5
BUFFERED_ANSWER_BYTES = 64 * 1024

_logger = logbook.Logger("request")
_FLEET_HEADERS = frozenset(
    name.lower() for name in (RESULT_HEADER, RAN_HEADER, TARGET_HEADER, ENTRY_HEADER)
)
_RETRIED_CLASSES = frozenset(OutcomeClass) - {OutcomeClass.OK, OutcomeClass.CANCELLED}


class Refusal(Exception):  # noqa: N818 - it is an answer, not a fault.
    """A refusal on its way to the caller."""

    def __init__(self, *, code, detail, ran=None, retry_after_seconds=None):
        super().__init__(detail)
        self.code = code
        self.detail = detail
        self.ran = ran
        self.retry_after_seconds = retry_after_seconds


@dataclass(frozen=True, kw_only=True, slots=True)
class _Work:
    """One request with what was found out about it."""

    request: CallerRequest
    body: CallerBody
    route: Route
    deadline: float
    fingerprint: int

    @property
    def spec(self) -> RouteSpec:
        return self.route.spec


@dataclass(frozen=True, kw_only=True, slots=True)
class _Answered:
    """An attempt that brought the head of an answer.

    Attributes:
        slot: The slot that is still held.
        answer: The answer.
        head: Bytes of the body that were read ahead.
        is_whole: Whether the head is the whole body.
        outcome_class: What the head of the answer says.
        started: When the attempt began.
        first_byte: When the head of the answer was here.
    """

    slot: Slot
    answer: TargetAnswer
    head: bytes
    is_whole: bool
    outcome_class: OutcomeClass
    started: float
    first_byte: float


class RequestHandler:
    """The WSGI application of an entry."""

    def __init__(
        self,
        *,
        name: str,
        find_configuration: Callable[[], EntryConfiguration],
        count_entries: Callable[[], int],
        slots: SlotSource,
        connections: TargetConnections,
        metrics: EntryMetrics,
        tracer: trace.Tracer,
        is_stopping: Callable[[], bool],
    ):
        self._name = name
        self._find_configuration = find_configuration
        self._count_entries = count_entries
        self._slots = slots
        self._connections = connections
        self._metrics = metrics
        self._tracer = tracer
        self._is_stopping = is_stopping
        self._accounts = AccountLimits()

    def __call__(self, environ: dict, start_response: Callable) -> Iterable[bytes]:
        """Answer one request, as WSGI asks."""
        received = time.monotonic()
        connection = environ["citronspan.connection"]
        if self._is_stopping():
            connection.close_after_answer()
        self._metrics.begin_request()
        body: Iterable[bytes] = []
        try:
            body = self._handle(environ, start_response, received)
        except Refusal as refusal:
            body = self._refuse(start_response, connection, refusal)
        except CitronspanError as error:
            refusal = Refusal(code=error.code, detail=error.detail)
            body = self._refuse(start_response, connection, refusal)
        finally:
            if isinstance(body, list):
                self._metrics.end_request()
        return body

    def _handle(self, environ, start_response, received):
        request = read_caller_request(environ)
        context = PROPAGATOR.extract(request.trace_headers)
        with self._tracer.start_as_current_span("entry", context=context) as span:
            work = self._prepare(request, received)
            span.set_attribute("citronspan.route", work.route.name)
            answered = self._run(work)
            return self._pass_on(work, answered, start_response, received)

    def _prepare(self, request: CallerRequest, received: float) -> _Work:
        configuration = self._find_configuration()
        if configuration.offset == 0:
            raise Refusal(
                code=result_codes.CONFIGURATION_MISSING,
                detail="no configuration yet",
                retry_after_seconds=1,
            )
        route = find_route(configuration.routes, request.host, request.path)
        if route is None:
            raise Refusal(
                code=result_codes.NO_ROUTE, detail=f"{request.host} {request.path}"
            )
        if route.spec.require_key and not request.key:
            raise Refusal(
                code=result_codes.KEY_REQUIRED, detail=f"route {route.name!r}"
            )
        self._check_account(configuration, request)
        body = CallerBody(request=request)
        seconds = min(route.spec.deadline_seconds, request.timeout_seconds)
        return _Work(
            request=request,
            body=body,
            route=route,
            deadline=received + seconds,
            fingerprint=_compute_fingerprint(request, body),
        )

    def _check_account(self, configuration, request):
        if not request.account:
            return
        spec = configuration.find(Kind.ACCOUNT, request.account)
        if spec is None:
            return
        wait = self._accounts.admit(request.account, spec, self._count_entries())
        if wait > 0:
            raise Refusal(
                code=result_codes.ACCOUNT_LIMITED,
                detail=f"account {request.account!r}",
                retry_after_seconds=wait,
            )

    def _run(self, work: _Work) -> _Answered:
        """Try targets until one answers or trying again is not allowed."""
        tried: tuple[str, ...] = ()
        last_class = OutcomeClass.NOT_USED
        has_run = False
        while True:
            slot = self._acquire(work, tried, last_class, has_run)
            tried = (*tried, slot.target)
            try:
                answered = self._attempt(work, slot)
            except AttemptFailedError as error:
                last_class = error.outcome_class
            else:
                last_class = answered.outcome_class
                if not self._may_retry(work, last_class, tried):
                    return self._accept(work, answered)
                answered.answer.abandon()
                self._release(work, answered)
            has_run = has_run or RAN_BY_OUTCOME_CLASS[last_class] is not Ran.NOT_RUN
            if not self._may_retry(work, last_class, tried):
                raise _make_refusal(last_class, has_run)
            self._metrics.count_retry(work.spec.service)

    def _accept(self, work, answered):
        """Return an answer that is passed on, unless it says "not run"."""
        if RAN_BY_OUTCOME_CLASS[answered.outcome_class] is not Ran.NOT_RUN:
            return answered
        answered.answer.abandon()
        self._release(work, answered)
        raise _make_refusal(answered.outcome_class, False)

    def _acquire(self, work, tried, last_class, has_run) -> Slot:
        ask = SlotAsk(
            service=work.spec.service,
            request_kind=work.spec.request_kind,
            worth=work.spec.worth,
            deadline=work.deadline,
            idempotent=work.spec.idempotent,
            excluded=tried,
            fingerprint=work.fingerprint,
            body_bytes=work.body.length or 0,
        )
        with self._tracer.start_as_current_span("broker-wait"):
            slot = self._slots.acquire(ask)
        if isinstance(slot, Slot):
            return slot
        if tried and last_class is not OutcomeClass.NOT_USED and has_run:
            raise _make_refusal(last_class, has_run)
        raise Refusal(
            code=slot.code,
            detail=f"service {work.spec.service!r}",
            retry_after_seconds=slot.retry_after_seconds,
        )

    def _attempt(self, work: _Work, slot: Slot) -> _Answered:
        started = time.monotonic()
        try:
            with self._tracer.start_as_current_span("dispatch") as span:
                span.set_attribute("citronspan.target", slot.target)
                answer = self._send(work, slot, started)
                first_byte = time.monotonic()
                head, is_whole = _read_ahead(answer)
                outcome_class = classify_answer(answer)
        except AttemptFailedError as error:
            self._release_failed(work, slot, started, error.outcome_class)
            raise
        except BaseException:
            self._release_failed(work, slot, started, OutcomeClass.CANCELLED)
            raise
        return _Answered(
            slot=slot,
            answer=answer,
            head=head,
            is_whole=is_whole,
            outcome_class=outcome_class,
            started=started,
            first_byte=first_byte,
        )

    def _send(self, work, slot, started):
        deadline = work.deadline
        if work.spec.idempotent and work.body.is_repeatable:
            deadline = started + (work.deadline - started) * ATTEMPT_SHARE
        headers = dict(work.request.headers)
        headers["deadline-seconds"] = f"{max(deadline - started, 0):.3f}"
        if work.request.key:
            headers["idempotency-key"] = work.request.key
        headers.update(work.request.trace_headers)
        PROPAGATOR.inject(headers)
        request = TargetRequest(
            method=work.request.method,
            uri=work.request.uri,
            headers=headers,
            body=work.body,
            fresh=not work.spec.idempotent,
            deadline=deadline,
        )
        answer = self._connections.send(slot.address, request, work.request.connection)
        if not answer.is_checkable:
            answer.abandon()
            raise AttemptFailedError(
                outcome_class=OutcomeClass.ANSWER_LOST,
                detail="the answer has neither length nor chunks",
            )
        return answer

    def _may_retry(self, work, outcome_class, tried) -> bool:
        if outcome_class not in _RETRIED_CLASSES:
            return False
        if len(tried) >= MAXIMUM_ATTEMPTS or time.monotonic() >= work.deadline:
            return False
        if not work.body.is_repeatable:
            return False
        if RAN_BY_OUTCOME_CLASS[outcome_class] is Ran.NOT_RUN:
            return True
        return work.spec.idempotent

    def _pass_on(self, work, answered: _Answered, start_response, received):
        headers = [
            (name, value)
            for name, value in answered.answer.headers
            if name.lower() not in DROPPED_HEADERS
            and name.lower() not in _FLEET_HEADERS
        ]
        if answered.answer.is_bodyless:
            length = answered.answer.find_header("Content-Length")
            if length is not None and work.request.method == "HEAD":
                headers.append(("Content-Length", length))
        elif answered.is_whole:
            headers.append(("Content-Length", str(len(answered.head))))
        elif answered.answer.length is not None:
            whole = len(answered.head) + answered.answer.length
            headers.append(("Content-Length", str(whole)))
        headers.append((TARGET_HEADER, answered.slot.target))
        headers.append((ENTRY_HEADER, self._name))
        reason = answered.answer.reason
        status = f"{answered.answer.status} {reason}" if reason else None
        start_response(status or format_status(answered.answer.status), headers)
        if answered.is_whole:
            answered.answer.finish()
            self._release(work, answered)
            self._metrics.observe_answer(work.spec, answered.answer.status, received)
            return [answered.head] if answered.head else []
        return self._stream(work, answered, received)

    def _stream(self, work, answered, received) -> Iterator[bytes]:
        """Yield a long body; a cut resets the caller's connection."""
        connection = work.request.connection
        outcome_class = OutcomeClass.CANCELLED
        try:
            if answered.head:
                yield answered.head
            while data := answered.answer.read(READ_BYTES):
                yield data
            outcome_class = answered.outcome_class
            answered.answer.finish()
        except AttemptFailedError as error:
            outcome_class = error.outcome_class
            connection.abort()
            raise
        finally:
            if outcome_class is OutcomeClass.CANCELLED:
                answered.answer.abandon()
            self._release(work, answered, outcome_class)
            self._metrics.observe_answer(work.spec, answered.answer.status, received)
            self._metrics.end_request()

    def _release(self, work, answered: _Answered, outcome_class=None):
        outcome = Outcome(
            target=answered.slot.target,
            outcome_class=outcome_class or answered.outcome_class,
            latency_seconds=answered.first_byte - answered.started,
            deadline_seconds=max(work.deadline - answered.started, 0.0),
            request_kind=work.spec.request_kind,
            fingerprint=work.fingerprint,
            load=answered.answer.load,
        )
        self._metrics.count_attempt(work.spec.service, outcome.outcome_class)
        self._slots.release(answered.slot, outcome)

    def _release_failed(self, work, slot, started, outcome_class):
        outcome = Outcome(
            target=slot.target,
            outcome_class=outcome_class,
            latency_seconds=time.monotonic() - started,
            deadline_seconds=max(work.deadline - started, 0.0),
            request_kind=work.spec.request_kind,
            fingerprint=work.fingerprint,
        )
        self._metrics.count_attempt(work.spec.service, outcome_class)
        self._slots.release(slot, outcome)

    def _refuse(self, start_response, connection, refusal: Refusal):
        # What is left of the body must not be read as the next request.
        connection.close_after_answer()
        self._metrics.count_refusal(refusal.code)
        write_event(
            _logger,
            log_events.REQUEST_REFUSED,
            code=refusal.code.number,
            detail=refusal.detail,
        )
        return answer_refusal(
            start_response,
            code=refusal.code,
            detail=refusal.detail,
            ran=refusal.ran,
            retry_after_seconds=refusal.retry_after_seconds,
            entry=self._name,
        )


def _compute_fingerprint(request, body) -> int:
    digest = xxhash.xxh3_64()
    digest.update(f"{request.method}\0{request.host}\0{request.uri}\0".encode())
    digest.update(body.buffer or str(body.length).encode())
    return digest.intdigest() >> 1


def _read_ahead(answer: TargetAnswer) -> tuple[bytes, bool]:
    """Read a small body whole, so that a cut one can still be tried again."""
    if answer.is_bodyless:
        return b"", True
    if answer.length is not None and answer.length > BUFFERED_ANSWER_BYTES:
        return b"", False
    head = b""
    while len(head) < BUFFERED_ANSWER_BYTES:
        data = answer.read(BUFFERED_ANSWER_BYTES - len(head))
        if not data:
            return head, True
        head += data
    return head, answer.length == 0


def _make_refusal(outcome_class: OutcomeClass, has_run: bool) -> Refusal:
    """Return the refusal for the last outcome of a request that is given up."""
    ran = Ran.MAY_HAVE_RUN if has_run else Ran.NOT_RUN
    if not has_run:
        code = result_codes.TARGET_REFUSED
    elif outcome_class is OutcomeClass.TIMED_OUT:
        code = result_codes.DEADLINE_PASSED
    else:
        code = result_codes.ANSWER_LOST
    return Refusal(
        code=code,
        detail=f"last attempt: {outcome_class}",
        ran=ran,
        retry_after_seconds=1,
    )
