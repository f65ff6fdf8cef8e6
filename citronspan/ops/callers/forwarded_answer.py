"""Makes the head of a forwarded answer and logs that it was forwarded."""

import time

import logbook

from citronspan.core import log_events
from citronspan.core.outcomes import OutcomeClass
from citronspan.ops.callers.caller_request import DROPPED_HEADERS
from citronspan.ops.callers.refusals import (
    ENTRY_HEADER,
    RAN_HEADER,
    REPLAYED_HEADER,
    RESULT_HEADER,
    TARGET_HEADER,
)
from citronspan.ops.targets.attempt_context import AttemptResponse, RequestContext
from citronspan.utils.logs import write_event

_logger = logbook.Logger("request")
_RESERVED_HEADERS = frozenset(
    name.lower()
    for name in (
        RESULT_HEADER,
        RAN_HEADER,
        TARGET_HEADER,
        ENTRY_HEADER,
        REPLAYED_HEADER,
    )
)


def make_headers(
    request_context: RequestContext, attempt_response: AttemptResponse, entry: str
) -> list[tuple[str, str]]:
    """Return the headers for the caller.

    Args:
        request_context: The request.
        attempt_response: The response to forward.
        entry: Name of this entry.
    """
    answer = attempt_response.answer
    headers = [
        (name, value)
        for name, value in answer.headers
        if name.lower() not in DROPPED_HEADERS and name.lower() not in _RESERVED_HEADERS
    ]
    if answer.is_bodyless:
        length = answer.find_header("Content-Length")
        if length is not None and request_context.request.method == "HEAD":
            headers.append(("Content-Length", length))
    elif attempt_response.is_whole:
        headers.append(("Content-Length", str(len(attempt_response.body_start))))
    elif answer.length is not None:
        total_bytes = len(attempt_response.body_start) + answer.length
        headers.append(("Content-Length", str(total_bytes)))
    headers.append((TARGET_HEADER, attempt_response.slot.target))
    headers.append((ENTRY_HEADER, entry))
    return headers


def log_answer(
    request_context: RequestContext,
    attempt_response: AttemptResponse,
    received_at: float,
) -> None:
    """Log that a target's answer was forwarded completely.

    Args:
        request_context: The request.
        attempt_response: The response that was forwarded.
        received_at: Time of ``time.monotonic()`` at which the request was received.
    """
    is_ok = attempt_response.outcome_class is OutcomeClass.OK
    event = log_events.REQUEST_ANSWERED if is_ok else log_events.REQUEST_FAILED
    write_event(
        _logger,
        event,
        id=request_context.request.request_id,
        route=request_context.route.name,
        service=request_context.service_name,
        target=attempt_response.slot.target,
        broker=attempt_response.slot.broker,
        status=attempt_response.answer.status,
        seconds=round(time.monotonic() - received_at, 4),
    )
