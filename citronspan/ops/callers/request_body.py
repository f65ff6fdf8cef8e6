"""Receives the body of a request before it gets a slot, or refuses the request."""

from citronspan.core import result_codes
from citronspan.core.errors import CitronspanError
from citronspan.core.result_codes import Ran
from citronspan.ops.callers.caller_request import CallerBody, CallerRequest
from citronspan.ops.callers.refusals import Refusal
from citronspan.ops.targets.attempt_refusals import REFUSED_RETRY_AFTER_SECONDS


def receive_body(request: CallerRequest) -> CallerBody:
    """Return the body of a request, a small one buffered.

    Raises:
        Refusal: If it does not arrive. The request has not run, since nothing of it was
            sent yet.
    """
    try:
        return CallerBody(request=request)
    except CitronspanError as error:
        is_stopping = error.code is result_codes.ENTRY_STOPPING
        raise Refusal(
            code=error.code,
            detail=error.detail,
            ran=Ran.NOT_RUN,
            retry_after_seconds=REFUSED_RETRY_AFTER_SECONDS if is_stopping else None,
        ) from error
