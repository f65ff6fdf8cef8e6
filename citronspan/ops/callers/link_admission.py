"""Refuses a request whose answer the host's link cannot carry in time."""

from citronspan.core import result_codes
from citronspan.core.requests.link_room import LinkRoom, Passage
from citronspan.core.resources import RouteSpec
from citronspan.ops.callers.caller_request import CallerRequest
from citronspan.ops.callers.refusals import Refusal


def admit_to_link(
    room: LinkRoom, spec: RouteSpec, request: CallerRequest, seconds: float
) -> Passage:
    """Admit a request to the host's link, before anything of it has run.

    Args:
        room: Room on the link.
        spec: Route of the request.
        request: The request.
        seconds: Time for which the caller waits.

    Returns:
        The bytes of the request, whose end must be reported.

    Raises:
        Refusal: If the answer would be late.
    """
    passage = room.admit(spec.request_kind, request.length or 0, seconds)
    if passage is None:
        raise Refusal(
            code=result_codes.ENTRY_LINK_FULL,
            detail=f"request kind {spec.request_kind!r}",
            retry_after_seconds=room.find_drain_seconds(),
        )
    return passage
