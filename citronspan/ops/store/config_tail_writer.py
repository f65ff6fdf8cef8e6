"""Appends changes to the log and reports them accepted once they are read back.

Each record carries a change id, and replay ignores a change id that it has seen, so
an append is idempotent. An append whose answer was lost is first looked for in the
log and then retried. A caller that gets the result "outcome unknown" can send the same
change with the same id to any agent.
"""

import time
from dataclasses import dataclass

from citronspan.core import result_codes
from citronspan.core.configuration.config_record import ChangeRecord, encode_record
from citronspan.core.configuration.config_state import ChangeOutcome, ChangeVerdict
from citronspan.core.errors import CitronspanError
from citronspan.ops.store.active_config import ActiveConfig
from citronspan.ops.store.log_client import LogStore, LogUnavailableError

RECHECK_SECONDS = 2.0
READ_BACK_SECONDS = 4.0
APPEND_ATTEMPTS = 2


@dataclass(frozen=True, kw_only=True, slots=True)
class AcceptedChange:
    """A change that is active at this agent.

    Attributes:
        version: Version of the resource after the change.
        change_id: Identity of the change.
    """

    version: int
    change_id: str


def submit_change(
    record: ChangeRecord, *, active_config: ActiveConfig, store: LogStore
) -> AcceptedChange:
    """Append a change and wait until it is active at this agent.

    Args:
        record: The change, validated by the caller.
        active_config: The agent's configuration. Another thread must apply the log's
            records to it meanwhile.
        store: The log.

    Returns:
        The accepted change with its new version.

    Raises:
        CitronspanError: With code 2003 on a version conflict, 2004 if the change was
            certainly not appended, 2005 if its outcome is unknown, 2001 if the
            resource is not valid.
    """
    active_config.adjust_writer_count(1)
    try:
        return _append_and_confirm(record, active_config, store)
    finally:
        active_config.adjust_writer_count(-1)


def _append_and_confirm(record, active_config, store):
    may_have_appended = False
    for _ in range(APPEND_ATTEMPTS):
        outcome = None
        try:
            store.append(encode_record(record))
        except LogUnavailableError as error:
            if not error.may_have_appended:
                break
            may_have_appended = True
            outcome = _wait_for_outcome(record, active_config, RECHECK_SECONDS)
        else:
            outcome = _wait_for_outcome(record, active_config, READ_BACK_SECONDS)
            may_have_appended = True
            if outcome is None:
                break
        if outcome is not None:
            return _convert_outcome(record, outcome)
    if may_have_appended:
        raise _make_outcome_unknown_error(record)
    raise CitronspanError(
        code=result_codes.NOT_ACCEPTED, detail="the log does not answer"
    )


def _wait_for_outcome(record, active_config, timeout_seconds) -> ChangeOutcome | None:
    active_config.wait(
        lambda state: record.change_id in state.outcome_by_change_id, timeout_seconds
    )
    return active_config.state.outcome_by_change_id.get(record.change_id)


def _make_outcome_unknown_error(record) -> CitronspanError:
    return CitronspanError(
        code=result_codes.OUTCOME_UNKNOWN,
        detail=f"look up change {record.change_id} or retry with the same id",
    )


def _convert_outcome(record, outcome: ChangeOutcome) -> AcceptedChange:
    if outcome.verdict is ChangeVerdict.ACCEPTED:
        return AcceptedChange(version=outcome.offset, change_id=record.change_id)
    code = result_codes.RESOURCE_INVALID
    if outcome.verdict is ChangeVerdict.CONFLICT:
        code = result_codes.VERSION_CONFLICT
    raise CitronspanError(code=code, detail=outcome.detail)


def read_unix_seconds() -> int:
    """Return the wall clock in whole seconds, for display to people only."""
    return int(time.time())
