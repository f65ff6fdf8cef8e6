"""Handles a caller's request in an entry, from its receipt to its answer."""

import random
import time
from collections.abc import Callable, Iterable

import logbook
from opentelemetry import trace

from citronspan.core import log_events, result_codes
from citronspan.core.errors import CitronspanError
from citronspan.core.keys.key_protocol_results import Replay
from citronspan.core.requests.entry_configuration import EntryConfiguration
from citronspan.core.requests.link_room import LinkRoom
from citronspan.core.requests.route_table import choose_service, find_route
from citronspan.core.requests.stop_plan import StopPlan
from citronspan.core.resources import Kind
from citronspan.core.result_codes import Ran
from citronspan.ops.callers.account_access import AccountAccess
from citronspan.ops.callers.account_admission import AccountAdmission
from citronspan.ops.callers.caller_request import (
    CallerRequest,
    find_environ_key,
    read_caller_request,
)
from citronspan.ops.callers.configuration_wait import ConfigurationWait
from citronspan.ops.callers.forwarded_answer import log_answer, make_headers
from citronspan.ops.callers.key_service import KeyService
from citronspan.ops.callers.keyed_request import (
    KeyedRequest,
    claim_key,
    compute_request_fingerprint,
    needs_claim,
)
from citronspan.ops.callers.link_admission import admit_to_link
from citronspan.ops.callers.open_requests import OpenRequest, OpenRequests, StopResult
from citronspan.ops.callers.refusals import (
    ENTRY_HEADER,
    REPLAYED_HEADER,
    Refusal,
    answer_refusal,
    format_status,
)
from citronspan.ops.callers.request_body import receive_body
from citronspan.ops.callers.streamed_answer import StreamedAnswer
from citronspan.ops.entry_metrics import EntryMetrics
from citronspan.ops.slots.slot_source import SlotSource
from citronspan.ops.targets.attempt_context import AttemptResponse, RequestContext
from citronspan.ops.targets.attempt_refusals import (
    REFUSED_RETRY_AFTER_SECONDS,
    STOP_REFUSED,
    make_slot_refusal,
)
from citronspan.ops.targets.attempts import AttemptRunner
from citronspan.ops.targets.dialect import Dialect
from citronspan.ops.targets.target_connection import TargetConnections
from citronspan.utils.logs import write_event
from citronspan.utils.traces import start_span

_logger = logbook.Logger("request")
FULL_RETRY_AFTER_SECONDS = 0.3
"""``Retry-After`` of a full entry; callers mostly come back at another one."""

NEW_KEY_CODES = frozenset(
    {
        result_codes.KEY_CLOSED,
        result_codes.KEY_EXPIRED,
        result_codes.KEY_NOT_RECORDED,
        result_codes.KEY_TOO_FAR_AHEAD,
    }
)


class RequestHandler:
    """Serves callers as the WSGI application of an entry."""

    def __init__(
        self,
        *,
        name: str,
        find_configuration: Callable[[], EntryConfiguration],
        count_entries: Callable[[], int],
        slots: SlotSource,
        keys: KeyService,
        connections: TargetConnections,
        metrics: EntryMetrics,
        tracer: trace.Tracer,
        is_stopping: Callable[[], bool],
        open_requests: OpenRequests,
        stop_plan: StopPlan,
        mint_prefix: Callable[[], str],
        dialect: Dialect,
        reuse_seconds: float,
        maximum_requests: int,
        limits: AccountAdmission,
        configuration_wait: ConfigurationWait,
        link_room: LinkRoom,
    ):
        self._configuration_wait = configuration_wait
        self._dialect = dialect
        self._name = name
        self._maximum_requests = maximum_requests
        self._link_room = link_room
        self._find_configuration = find_configuration
        self._accounts = AccountAccess(
            find_configuration=find_configuration,
            count_entries=count_entries,
            limits=limits,
            account_header=dialect.account_header,
        )
        self._keys = keys
        self._attempts = AttemptRunner(
            slots=slots,
            connections=connections,
            metrics=metrics,
            tracer=tracer,
            dialect=dialect,
            reuse_seconds=reuse_seconds,
            is_stopping=is_stopping,
            has_other_target=self._has_other_target,
            stop_plan=stop_plan,
            find_key_obstacle=self._accounts.find_obstacle,
        )
        self._stop_plan = stop_plan
        self._slots = slots
        self._metrics = metrics
        self._tracer = tracer
        self._is_stopping = is_stopping
        self._open_requests = open_requests
        self._mint_prefix = mint_prefix

    def __call__(self, environ: dict, start_response: Callable) -> Iterable[bytes]:
        """Answer one request (the WSGI entry point)."""
        received_at = time.monotonic()
        connection = environ["citronspan.connection"]
        if self._is_stopping():
            connection.close_after_answer()
        in_flight = self._metrics.begin_request()
        open_request = self._open_requests.begin(self._read_id(environ), received_at)
        body: Iterable[bytes] = []
        result = StopResult.GIVEN_UP
        try:
            self._check_room(in_flight)
            body = self._handle(environ, start_response, open_request)
            result = StopResult.FINISHED
        except Refusal as refusal:
            body = self._refuse(start_response, environ, refusal, received_at)
            result = _judge_refusal(refusal)
        except CitronspanError as error:
            refusal = Refusal(code=error.code, detail=error.detail)
            body = self._refuse(start_response, environ, refusal, received_at)
            result = _judge_refusal(refusal)
        finally:
            if result is StopResult.REFUSED:
                self._accounts.give_back(open_request.charged_account)
            if not isinstance(body, StreamedAnswer):
                self._metrics.end_request()
                self._open_requests.end(open_request, result)
        return body

    def _check_room(self, in_flight):
        if in_flight > self._maximum_requests:
            raise Refusal(
                code=result_codes.ENTRY_FULL,
                detail=f"{self._maximum_requests} requests",
                retry_after_seconds=FULL_RETRY_AFTER_SECONDS,
            )

    def _read_id(self, environ):
        return environ.get(find_environ_key(self._dialect.id_header), "")

    def _handle(self, environ, start_response, open_request):
        request = read_caller_request(environ, self._dialect)
        received_at = open_request.received_at
        with start_span(self._tracer, "entry", request.trace_headers) as span:
            request_context = self._prepare(request, open_request)
            span.set_attribute("citronspan.route", request_context.route.name)
            keyed_request = None
            if needs_claim(request_context.spec, request.key):
                with start_span(self._tracer, "key-claim"):
                    keyed_request = self._claim_key(request_context)
            if isinstance(keyed_request, Replay):
                return self._replay(keyed_request, start_response)
            return self._run(
                request_context, keyed_request, start_response, received_at
            )

    def _claim_key(self, request_context):
        if self._attempts.is_too_late(request_context):
            raise make_slot_refusal(request_context, STOP_REFUSED, may_have_run=False)
        return claim_key(self._keys, request_context)

    def _run(
        self,
        request_context,
        keyed_request: KeyedRequest | None,
        start_response,
        received_at,
    ):
        """Run a request, and report the result of its key if it fails."""
        try:
            attempt_response = self._attempts.run(request_context)
            return self._forward_answer(
                request_context,
                keyed_request,
                attempt_response,
                start_response,
                received_at,
            )
        except Refusal as refusal:
            if keyed_request is not None:
                keyed_request.report_refused(refusal.code, refusal.ran)
            raise
        except BaseException:
            if keyed_request is not None:
                keyed_request.report_lost()
            raise

    def _replay(self, replay: Replay, start_response):
        answer = replay.answer
        headers_to_replay = [item for item in answer.headers if item[0] != ENTRY_HEADER]
        headers = [
            *headers_to_replay,
            (REPLAYED_HEADER, "1"),
            (ENTRY_HEADER, self._name),
        ]
        start_response(format_status(answer.status), headers)
        return [answer.body] if answer.body else []

    def _prepare(
        self, request: CallerRequest, open_request: OpenRequest
    ) -> RequestContext:
        received_at = open_request.received_at
        configuration = self._find_configuration()
        if configuration.offset == 0:
            configuration = self._configuration_wait.wait(
                request.timeout_seconds, request.connection.is_disconnected
            )
        route = find_route(configuration.routes, request.host, request.path)
        if route is None:
            raise Refusal(
                code=result_codes.NO_ROUTE, detail=f"{request.host} {request.path}"
            )
        account = self._accounts.identify(configuration, route, request)
        if route.spec.require_key and not request.key:
            raise Refusal(
                code=result_codes.KEY_REQUIRED, detail=f"route {route.name!r}"
            )
        service_name = choose_service(route.spec, random.random())
        service = configuration.get_spec(Kind.SERVICE, service_name)
        if service is None:
            raise Refusal(
                code=result_codes.NO_ROUTE,
                detail=f"route {route.name!r} names a service that does not exist",
            )
        deadline_seconds = min(route.spec.deadline_seconds, request.timeout_seconds)
        self._check_stop(received_at + deadline_seconds)
        self._configuration_wait.check_deadline(received_at + deadline_seconds)
        open_request.charged_account = self._accounts.charge(
            configuration, request, account, received_at + deadline_seconds
        )
        if open_request.charged_account and request.connection.is_disconnected():
            raise Refusal(
                code=result_codes.CALLER_GONE, detail="after the charge of its account"
            )
        request = self._accounts.screen(configuration, request)
        goal_seconds = route.spec.goal_seconds
        open_request.passage = admit_to_link(
            self._link_room, route.spec, request, deadline_seconds
        )
        request.connection.set_read_deadline(received_at + deadline_seconds)
        body = receive_body(request)
        request.connection.begin_forwarding()
        if body.buffer is not None:
            open_request.whole_at = time.monotonic()
        return RequestContext(
            request=request,
            body=body,
            route=route,
            service_name=service_name,
            service=service,
            deadline=received_at + deadline_seconds,
            goal_time=received_at + goal_seconds if goal_seconds else 0.0,
            fingerprint=compute_request_fingerprint(request, body),
            open_request=open_request,
            account="" if account is None else account.name,
            account_weight=0.0 if account is None else account.weight,
            account_title="" if account is None else account.title,
            account_rank=None if account is None else account.rank,
            is_screened=configuration.accounts.needs_keys,
        )

    def _check_stop(self, deadline):
        """Refuse a request that comes too late in a stop before it waits for anything.

        Raises:
            Refusal: With code 3015.
        """
        if time.monotonic() >= self._stop_plan.find_read_end(deadline):
            raise Refusal(
                code=result_codes.ENTRY_STOPPING,
                detail="the request may end after this host",
                retry_after_seconds=REFUSED_RETRY_AFTER_SECONDS,
            )

    def _has_other_target(self, service, names):
        targets = self._find_configuration().targets_by_service.get(service, ())
        for target in targets:
            if target.leaving or target.name in names:
                continue
            if self._slots.is_usable(target.name):
                return True
        return False

    def _forward_answer(
        self,
        request_context,
        keyed_request,
        attempt_response: AttemptResponse,
        start_response,
        received_at,
    ):
        if self._is_stopping():
            # The request may have begun before the stop.
            request_context.request.connection.close_after_answer()
        headers = make_headers(request_context, attempt_response, self._name)
        reason = attempt_response.answer.reason
        status = attempt_response.answer.status
        if not attempt_response.is_whole:
            start_response(f"{status} {reason}", headers)
            return StreamedAnswer(
                request_context=request_context,
                keyed_request=keyed_request,
                attempt_response=attempt_response,
                received_at=received_at,
                attempts=self._attempts,
                metrics=self._metrics,
                open_requests=self._open_requests,
            )
        attempt_response.answer.finish()
        request_context.open_request.answer_bytes = len(attempt_response.body_start)
        self._attempts.release(
            request_context,
            attempt_response,
            answer_bytes=len(attempt_response.body_start),
        )
        if keyed_request is not None:
            keyed_request.report_whole(
                status, tuple(headers), attempt_response.body_start
            )
        self._metrics.observe_answer(request_context.spec, status, received_at)
        log_answer(request_context, attempt_response, received_at)
        start_response(f"{status} {reason}", headers)
        return [attempt_response.body_start] if attempt_response.body_start else []

    def _refuse(self, start_response, environ, refusal: Refusal, received_at):
        # The unread rest of the body must not be read as the next request.
        environ["citronspan.connection"].close_after_answer()
        self._metrics.count_refusal(refusal.code)
        write_event(
            _logger,
            log_events.REQUEST_REFUSED,
            id=self._read_id(environ),
            path=environ.get("PATH_INFO", ""),
            code=refusal.code.number,
            status=refusal.code.http_status,
            ran=refusal.ran or refusal.code.ran,
            detail=refusal.detail,
            retry_after=refusal.retry_after_seconds,
            seconds=round(time.monotonic() - received_at, 4),
            configuration=self._find_configuration().offset,
        )
        return answer_refusal(
            start_response,
            code=refusal.code,
            detail=refusal.detail,
            ran=refusal.ran,
            retry_after=self._format_retry_after(refusal),
            entry=self._name,
            key_prefix=self._make_key_prefix(refusal.code),
        )

    def _format_retry_after(self, refusal) -> str:
        if refusal.retry_after_seconds is None:
            return ""
        return self._dialect.format_retry_after(refusal.retry_after_seconds)

    def _make_key_prefix(self, code) -> str:
        """Return a key prefix if the caller needs a new key, else an empty string."""
        if code not in NEW_KEY_CODES:
            return ""
        return self._mint_prefix()


def _judge_refusal(refusal) -> StopResult:
    ran = refusal.ran or refusal.code.ran
    return StopResult.REFUSED if ran is Ran.NOT_RUN else StopResult.GIVEN_UP
