"""The body of a long answer on its way to the caller, ended exactly once."""

from collections.abc import Iterator

from citronspan.core.outcomes import OutcomeClass
from citronspan.ops.attempts import AttemptResponse, AttemptRunner, RequestContext
from citronspan.ops.caller_request import READ_BYTES
from citronspan.ops.entry_metrics import EntryMetrics
from citronspan.ops.keyed_request import KeyedRequest
from citronspan.ops.target_connection import AttemptFailedError


class StreamedAnswer:
    """An iterable of WSGI; the server calls ``close`` also if it never began.

    A cut answer resets the caller's connection, so that it cannot look complete.
    """

    def __init__(
        self,
        *,
        request_context: RequestContext,
        keyed: KeyedRequest | None,
        attempt_response: AttemptResponse,
        received: float,
        attempts: AttemptRunner,
        metrics: EntryMetrics,
    ):
        self._work = request_context
        self._keyed = keyed
        self._answered = attempt_response
        self._received = received
        self._attempts = attempts
        self._metrics = metrics
        self._outcome_class = OutcomeClass.CANCELLED
        self._passed_bytes = 0
        self._closed = False

    def __iter__(self) -> Iterator[bytes]:
        """Yield the body and note whether it came whole."""
        try:
            for data in _iterate_answer(self._answered):
                if self._keyed is not None:
                    self._keyed.record_body(data)
                self._passed_bytes += len(data)
                yield data
        except AttemptFailedError as error:
            self._outcome_class = error.outcome_class
            raise
        self._outcome_class = self._answered.outcome_class
        self._answered.answer.finish()
        if self._keyed is not None:
            self._keyed.report_streamed(self._answered.answer.status)

    def close(self) -> None:
        """Release what the answer holds; a second call does nothing."""
        if self._closed:
            return
        self._closed = True
        if self._outcome_class is not self._answered.outcome_class:
            self._answered.answer.abort_response()
            self._work.request.connection.abort()
        if self._keyed is not None:
            self._keyed.report_lost()
        self._attempts.release(
            self._work, self._answered, self._outcome_class, self._passed_bytes
        )
        status = self._answered.answer.status
        self._metrics.observe_answer(self._work.spec, status, self._received)
        self._metrics.end_request()


def _iterate_answer(attempt_response: AttemptResponse) -> Iterator[bytes]:
    if attempt_response.head:
        yield attempt_response.head
    while data := attempt_response.answer.read(READ_BYTES):
        yield data
