"""The witness role of the key protocol.

The witness records a key before the owner permits it, so that it can answer "may have
run" when the owner has failed. It closes keys that were not recorded, so that "not run"
stays true however long the owner was paused or partitioned.
"""

from citronspan.core import result_codes
from citronspan.core.keys.key_messages import (
    KeyClose,
    KeyRecord,
    KeyRecorded,
    KeyRecordRefused,
    KeyReport,
    KeyResolved,
    KeyStaleIncarnation,
    ReportKind,
)
from citronspan.core.keys.key_table import KeyTable
from citronspan.core.keys.key_token import KeyToken
from citronspan.core.message_base import Outgoing

RECORDED_RETRY_AFTER_SECONDS = 2.0


class KeyWitness:
    """Keeps the second record of the keys that name this process as their witness.

    Attributes:
        name: Name of the node of this process.
        incarnation: Incarnation of this process.
    """

    def __init__(self, *, name: str, incarnation: int, table: KeyTable):
        self.name = name
        self.incarnation = incarnation
        self._table = table

    def is_witness(self, token: KeyToken) -> bool:
        """Return whether a key names this incarnation of the process as its witness."""
        return (
            token.witness == self.name and token.witness_incarnation == self.incarnation
        )

    def handle_record(self, sender: str, message: KeyRecord) -> list[Outgoing]:
        """Record a key for its owner, or refuse; drop an outdated message."""
        recorded = self._record(message)
        if recorded is None:
            return []
        answer_type = KeyRecorded if recorded else KeyRecordRefused
        answer = answer_type(token=message.token, generation=message.generation)
        return [Outgoing(to=sender, message=answer)]

    def handle_close(self, sender: str, message: KeyClose) -> list[Outgoing]:
        """Answer with the result of a key; close the key if it was not recorded."""
        if not self.is_witness(message.token):
            stale = KeyStaleIncarnation(attempt=message.attempt, by_owner=False)
            return [Outgoing(to=sender, message=stale)]
        return [Outgoing(to=sender, message=self._resolve_key(message))]

    def handle_report(self, report: KeyReport) -> None:
        """Apply the outcome of the recorded attempt; ignore other attempts."""
        record = self._table.find(report.token)
        if record is None or record.state != "recorded":
            return
        if record.attempt != report.attempt:
            return
        if report.kind is ReportKind.ANSWERED:
            self._table.finish(record, report.answer)
        elif report.kind is ReportKind.LOST:
            record.step("lose")
        else:
            self._table.release(report.token)

    def _record(self, message) -> bool | None:
        """Return whether the key is recorded, None if a newer record exists."""
        token = message.token
        if not self.is_witness(token):
            return False
        record = self._table.find(token)
        if record is None:
            return self._record_new(message)
        if message.generation < record.generation:
            return None
        if not record.accepts("record"):
            return False
        record.step("record")
        record.generation = message.generation
        record.attempt = message.attempt
        record.fingerprint = message.fingerprint
        return True

    def _record_new(self, message) -> bool:
        table = self._table
        token = message.token
        if (
            table.may_have_been_evicted(token)
            or table.is_closed(token)
            or table.is_full()
        ):
            return False
        table.record(
            token,
            fingerprint=message.fingerprint,
            attempt=message.attempt,
            generation=message.generation,
        )
        return True

    def _resolve_key(self, message) -> KeyResolved:
        attempt = message.attempt
        record = self._table.find(message.token)
        if record is None:
            return KeyResolved(
                attempt=attempt, code=self._close_unrecorded(message.token).number
            )
        if record.state == "closed":
            return KeyResolved(attempt=attempt, code=result_codes.KEY_CLOSED.number)
        if record.fingerprint != message.fingerprint:
            return KeyResolved(attempt=attempt, code=result_codes.KEY_REUSED.number)
        if record.state == "done":
            return self._build_done_message(attempt, record.answer)
        may_have_run = result_codes.KEY_MAY_HAVE_RUN.number
        if record.state == "lost":
            return KeyResolved(attempt=attempt, code=may_have_run)
        return KeyResolved(
            attempt=attempt,
            code=may_have_run,
            retry_after_seconds=RECORDED_RETRY_AFTER_SECONDS,
        )

    def _build_done_message(self, attempt, answer):
        code = 0
        if answer.body is None:
            code = result_codes.KEY_REPLAY_TOO_LARGE.number
        return KeyResolved(attempt=attempt, code=code, answer=answer)

    def _close_unrecorded(self, token):
        if self._table.may_have_been_evicted(token):
            return result_codes.KEY_MAY_HAVE_RUN
        if not self._table.close(token):
            return result_codes.KEY_MAY_HAVE_RUN
        return result_codes.KEY_CLOSED
