"""Accepts changes: append, read the record back, and only then say accepted.

Each record carries a change id, and replay ignores a change id that it has seen.
So an append whose answer was lost is looked for first, and may then be sent again
without harm; and a caller who was told "outcome unknown" can send the same change
with the same id to any agent.
"""

import time
from dataclasses import dataclass

from citronspan.core import result_codes
from citronspan.core.config_record import ChangeRecord, encode_record
from citronspan.core.config_state import ChangeOutcome, Verdict
from citronspan.core.errors import CitronspanError
from citronspan.ops.config_tail_active import ActiveConfig
from citronspan.ops.log_client import LogStore, LogUnavailableError

RECHECK_SECONDS = 2.0
READ_BACK_SECONDS = 4.0
APPEND_ATTEMPTS = 2


@dataclass(frozen=True, kw_only=True, slots=True)
class Accepted:
    """A change that is in force.

    Attributes:
        version: Version of the resource after the change.
        change_id: Identity of the change.
    """

    version: int
    change_id: str


def submit_change(
    record: ChangeRecord, *, active_config: ActiveConfig, store: LogStore
) -> Accepted:
    """Append a change and wait until it is in force here.

    Args:
        record: The change, checked already.
        active_config: The configuration that this agent holds; something must read the
            log into it meanwhile.
        store: The log.

    Returns:
        The new version.

    Raises:
        CitronspanError: With code 2003 if the change lost a race, 2004 if it was
            surely not taken, 2005 if that is not known, 2001 if it is void.
    """
    active_config.adjust_writer_count(1)
    try:
        return _append_and_look(record, active_config, store)
    finally:
        active_config.adjust_writer_count(-1)


def _append_and_look(record, active_config, store):
    may_have_appended = False
    for _ in range(APPEND_ATTEMPTS):
        outcome = None
        try:
            store.append(encode_record(record))
        except LogUnavailableError as error:
            if not error.may_have_appended:
                break
            may_have_appended = True
            outcome = _look_for(record, active_config, RECHECK_SECONDS)
        else:
            outcome = _look_for(record, active_config, READ_BACK_SECONDS)
            may_have_appended = True
            if outcome is None:
                break
        if outcome is not None:
            return _read_outcome(record, outcome)
    if may_have_appended:
        raise _make_unknown(record)
    raise CitronspanError(
        code=result_codes.NOT_ACCEPTED, detail="the log does not answer"
    )


def _look_for(record, active_config, timeout_seconds) -> ChangeOutcome | None:
    active_config.wait(
        lambda state: record.change_id in state.outcome_by_change_id, timeout_seconds
    )
    return active_config.state.outcome_by_change_id.get(record.change_id)


def _make_unknown(record) -> CitronspanError:
    return CitronspanError(
        code=result_codes.OUTCOME_UNKNOWN,
        detail=f"look for change {record.change_id} or send it again with this id",
    )


def _read_outcome(record, outcome: ChangeOutcome) -> Accepted:
    if outcome.verdict is Verdict.ACCEPTED:
        return Accepted(version=outcome.offset, change_id=record.change_id)
    code = result_codes.RESOURCE_INVALID
    if outcome.verdict is Verdict.CONFLICT:
        code = result_codes.VERSION_CONFLICT
    raise CitronspanError(code=code, detail=outcome.detail)


def read_unix_seconds() -> int:
    """Return the wall clock in whole seconds, for notes to people only."""
    return int(time.time())
