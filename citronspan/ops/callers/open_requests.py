"""Follows each request of an entry, so that a stop can tell what became of it."""

import enum
import threading
import time
from collections.abc import Callable

import logbook

from citronspan.core import log_events
from citronspan.core.requests.link_room import Passage
from citronspan.ops.entry_metrics import EntryMetrics
from citronspan.utils.logs import write_event

_logger = logbook.Logger("stop")


class Stage(enum.StrEnum):
    """How far a request has come."""

    READING = "reading"
    WAITING = "waiting"
    AT_TARGET = "at-target"


class StopResult(enum.StrEnum):
    """What became of a request in a stop."""

    FINISHED = "finished"
    """A target's answer was forwarded."""

    REFUSED = "refused"
    """It was not run, and its caller was told so."""

    GIVEN_UP = "given-up"
    """Its outcome is unknown, or its answer was broken off."""


class OpenRequest:
    """One request that the entry has begun to handle.

    Attributes:
        request_id: Identity of the request in logs, or empty.
        received_at: Time of ``time.monotonic()`` at which its head had been read.
        stage: How far it has come.
        whole_at: Time of ``time.monotonic()`` at which it had been read, None before
            that.
        sent_at: Time of ``time.monotonic()`` of its last attempt, None without one.
        charged_account: Account whose charge is returned if it does not run, or empty.
        passage: Its bytes on the host's link, None before it is admitted to it.
        answer_bytes: Bytes of the target's whole answer, None without one.
    """

    def __init__(self, *, request_id: str = "", received_at: float = 0.0):
        self.request_id = request_id
        self.received_at = received_at
        self.stage = Stage.READING
        self.whole_at: float | None = None
        self.sent_at: float | None = None
        self.charged_account = ""
        self.passage: Passage | None = None
        self.answer_bytes: int | None = None

    def end_passage(self) -> None:
        """Give its bytes on the host's link free."""
        if self.passage is not None:
            self.passage.end(self.answer_bytes)


class OpenRequests:
    """Holds the requests that have not ended; safe for threads."""

    def __init__(
        self,
        *,
        metrics: EntryMetrics,
        is_stopping: Callable[[], bool],
        find_stop_begin: Callable[[], float],
    ):
        """Create the register without requests.

        Args:
            metrics: Metrics of the entry.
            is_stopping: Returns whether the host was told to stop.
            find_stop_begin: Returns the time of ``time.monotonic()`` of that.
        """
        self._metrics = metrics
        self._find_stop_begin = find_stop_begin
        self._is_stopping = is_stopping
        self._lock = threading.Lock()
        self._requests: set[OpenRequest] = set()

    def begin(self, request_id: str, received_at: float) -> OpenRequest:
        """Add a request.

        Args:
            request_id: Identity of the request in logs, or empty.
            received_at: Time of ``time.monotonic()`` at which its head had been read.
        """
        request = OpenRequest(request_id=request_id, received_at=received_at)
        with self._lock:
            self._requests.add(request)
        return request

    def end(self, request: OpenRequest, result: StopResult) -> None:
        """Remove a request; in a stop, log and count what became of it.

        Args:
            request: The request; one that has ended already is left alone.
            result: What became of it.
        """
        with self._lock:
            if request not in self._requests:
                return
            self._requests.remove(request)
        request.end_passage()
        if not self._is_stopping():
            return
        self._metrics.count_ended_in_stop(result)
        write_event(
            _logger,
            log_events.REQUEST_ENDED_IN_STOP,
            id=request.request_id,
            result=result,
            stage=request.stage,
            seconds=round(time.monotonic() - request.received_at, 4),
            whole=self._compute_stop_seconds(request.whole_at),
            sent=self._compute_stop_seconds(request.sent_at),
        )

    def _compute_stop_seconds(self, at):
        """Return the seconds from the begin of the stop to a time, None without it."""
        return None if at is None else round(at - self._find_stop_begin(), 3)

    def give_up_rest(self) -> None:
        """Log and count the requests that the end of the process cuts."""
        with self._lock:
            rest = list(self._requests)
        for request in rest:
            self.end(request, StopResult.GIVEN_UP)
