"""Refusals of requests whose attempts got no answer that can be forwarded."""

from citronspan.core import result_codes
from citronspan.core.outcomes import OutcomeClass
from citronspan.core.result_codes import Ran
from citronspan.ops.callers.refusals import Refusal
from citronspan.ops.slots.slot_source import SlotRefused
from citronspan.ops.targets.attempt_context import RequestContext

REFUSED_RETRY_AFTER_SECONDS = 0.3
"""``Retry-After`` after all targets refused; by then one may have free capacity."""

STOP_REFUSED = SlotRefused(
    code=result_codes.ENTRY_STOPPING, retry_after_seconds=REFUSED_RETRY_AFTER_SECONDS
)
"""Stands for a slot that is not asked for, or not used, since the host stops."""

KEY_REFUSED = SlotRefused(
    code=result_codes.ACCOUNT_KEY_UNKNOWN, retry_after_seconds=None
)
"""Stands for a slot that is not used, since the key was removed in the meantime."""

ACCOUNT_REFUSED = SlotRefused(
    code=result_codes.ACCOUNT_CHANGED,
    retry_after_seconds=REFUSED_RETRY_AFTER_SECONDS,
)
"""Stands for a slot that is not used, since the request was read by other accounts."""


def make_slot_refusal(
    request_context: RequestContext, refused: SlotRefused, may_have_run: bool
) -> Refusal:
    """Return the refusal for a request for which no slot was granted.

    Args:
        request_context: The request.
        refused: Why there was no slot.
        may_have_run: Whether an earlier attempt may have run.
    """
    if may_have_run:
        return make_refusal(OutcomeClass.ANSWER_LOST, may_have_run)
    return Refusal(
        code=refused.code,
        detail=f"service {request_context.service_name!r}",
        retry_after_seconds=refused.retry_after_seconds,
    )


def make_refusal(
    outcome_class: OutcomeClass, may_have_run: bool, pause_seconds: float = 0.0
) -> Refusal:
    """Return the refusal for a request whose last attempt had an outcome.

    Args:
        outcome_class: Outcome class of the last attempt.
        may_have_run: Whether any attempt may have run.
        pause_seconds: Time until a target may be used again, 0 if one may be now.
    """
    ran = Ran.MAY_HAVE_RUN if may_have_run else Ran.NOT_RUN
    if not may_have_run:
        code = result_codes.TARGET_REFUSED
    elif outcome_class is OutcomeClass.TIMED_OUT:
        code = result_codes.DEADLINE_PASSED
    else:
        code = result_codes.ANSWER_LOST
    return Refusal(
        code=code,
        detail=f"last attempt: {outcome_class}",
        ran=ran,
        retry_after_seconds=None
        if may_have_run
        else pause_seconds or REFUSED_RETRY_AFTER_SECONDS,
    )
