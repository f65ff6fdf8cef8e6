"""Streams the body of a long answer to the caller and releases its resources once."""

from collections.abc import Iterator

from citronspan.core.outcomes import OutcomeClass
from citronspan.ops.callers.caller_request import READ_BYTES
from citronspan.ops.callers.keyed_request import KeyedRequest
from citronspan.ops.callers.open_requests import OpenRequests, StopResult
from citronspan.ops.entry_metrics import EntryMetrics
from citronspan.ops.targets.attempt_context import AttemptResponse, RequestContext
from citronspan.ops.targets.attempts import AttemptRunner
from citronspan.ops.targets.target_connection import AttemptFailedError


class StreamedAnswer:
    """Iterates over the body of an answer for WSGI.

    The server calls ``close`` even if it never began to iterate. If the answer is
    truncated, the caller's connection is reset, so that the answer cannot look
    complete.
    """

    def __init__(
        self,
        *,
        request_context: RequestContext,
        keyed_request: KeyedRequest | None,
        attempt_response: AttemptResponse,
        received_at: float,
        attempts: AttemptRunner,
        metrics: EntryMetrics,
        open_requests: OpenRequests,
    ):
        self._request_context = request_context
        self._keyed_request = keyed_request
        self._attempt_response = attempt_response
        self._received_at = received_at
        self._attempts = attempts
        self._metrics = metrics
        self._open_requests = open_requests
        self._outcome_class = OutcomeClass.CANCELLED
        self._forwarded_bytes = 0
        self._is_closed = False

    def __iter__(self) -> Iterator[bytes]:
        """Yield the body and record whether it was complete.

        Raises:
            AttemptFailedError: If the target's answer is truncated or late.
        """
        try:
            for data in _iterate_answer(self._attempt_response):
                if self._keyed_request is not None:
                    self._keyed_request.record_body(data)
                self._forwarded_bytes += len(data)
                yield data
        except AttemptFailedError as error:
            self._outcome_class = error.outcome_class
            raise
        self._outcome_class = self._attempt_response.outcome_class
        self._attempt_response.answer.finish()
        if self._keyed_request is not None:
            self._keyed_request.report_streamed(self._attempt_response.answer.status)

    def close(self) -> None:
        """Release the slot and the connections; a second call does nothing."""
        if self._is_closed:
            return
        self._is_closed = True
        open_request = self._request_context.open_request
        is_broken_off = self._outcome_class is not self._attempt_response.outcome_class
        if not is_broken_off:
            open_request.answer_bytes = self._forwarded_bytes
        else:
            self._attempt_response.answer.abort_response()
            self._request_context.request.connection.abort()
        if self._keyed_request is not None:
            self._keyed_request.report_lost()
        self._attempts.release(
            self._request_context,
            self._attempt_response,
            self._outcome_class,
            self._forwarded_bytes,
        )
        status = self._attempt_response.answer.status
        self._metrics.observe_answer(
            self._request_context.spec, status, self._received_at
        )
        self._metrics.end_request()
        result = StopResult.GIVEN_UP if is_broken_off else StopResult.FINISHED
        self._open_requests.end(open_request, result)


def _iterate_answer(attempt_response: AttemptResponse) -> Iterator[bytes]:
    if attempt_response.body_start:
        yield attempt_response.body_start
    while data := attempt_response.answer.read(READ_BYTES):
        yield data
