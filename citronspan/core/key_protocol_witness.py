"""The witness's part of the key protocol.

The witness records what the owner permits, so that it can say "may have run" when
the owner is gone, and closes what was not recorded, so that "not run" stays true
however long the owner was paused or cut off.
"""

from citronspan.core import result_codes
from citronspan.core.key_messages import (
    KeyClose,
    KeyRecord,
    KeyRecorded,
    KeyRecordRefused,
    KeyReport,
    KeyResolved,
    KeyStaleIncarnation,
    ReportKind,
)
from citronspan.core.key_table import KeyTable
from citronspan.core.key_token import KeyToken
from citronspan.core.message_base import Outgoing

RECORDED_RETRY_AFTER_SECONDS = 2.0


class KeyWitness:
    """Holds the second record of the keys that name this process as witness."""

    def __init__(self, *, name: str, incarnation: int, table: KeyTable):
        self.name = name
        self.incarnation = incarnation
        self._table = table

    def is_witness(self, token: KeyToken) -> bool:
        """Return whether a key names this very process as its witness."""
        return (
            token.witness == self.name and token.witness_incarnation == self.incarnation
        )

    def handle_record(self, sender: str, message: KeyRecord) -> list[Outgoing]:
        """Record a key for its owner, or refuse."""
        recorded = self._record(message)
        if recorded is None:
            return []
        answer_type = KeyRecorded if recorded else KeyRecordRefused
        answer = answer_type(token=message.token, generation=message.generation)
        return [Outgoing(to=sender, message=answer)]

    def handle_close(self, sender: str, message: KeyClose) -> list[Outgoing]:
        """Say what is known of a key; close it where it was not recorded."""
        if not self.is_witness(message.token):
            forgotten = KeyStaleIncarnation(attempt=message.attempt, by_owner=False)
            return [Outgoing(to=sender, message=forgotten)]
        return [Outgoing(to=sender, message=self._resolve(message))]

    def handle_report(self, report: KeyReport) -> None:
        """Take what the recorded attempt came to; others change nothing."""
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
        """Return whether the key is recorded; None for an overtaken message."""
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

    def _resolve(self, message) -> KeyResolved:
        attempt = message.attempt
        record = self._table.find(message.token)
        if record is None:
            return KeyResolved(attempt=attempt, code=self._close(message.token).number)
        if record.state == "closed":
            return KeyResolved(attempt=attempt, code=result_codes.KEY_CLOSED.number)
        if record.fingerprint != message.fingerprint:
            return KeyResolved(attempt=attempt, code=result_codes.KEY_REUSED.number)
        if record.state == "done":
            return self._resolve_done(attempt, record.answer)
        may_have_run = result_codes.KEY_MAY_HAVE_RUN.number
        if record.state == "lost":
            return KeyResolved(attempt=attempt, code=may_have_run)
        return KeyResolved(
            attempt=attempt,
            code=may_have_run,
            retry_after_seconds=RECORDED_RETRY_AFTER_SECONDS,
        )

    def _resolve_done(self, attempt, answer):
        code = 0
        if answer.body is None:
            code = result_codes.KEY_REPLAY_TOO_LARGE.number
        return KeyResolved(attempt=attempt, code=code, answer=answer)

    def _close(self, token):
        if self._table.may_have_been_evicted(token):
            return result_codes.KEY_MAY_HAVE_RUN
        if not self._table.close(token):
            return result_codes.KEY_MAY_HAVE_RUN
        return result_codes.KEY_CLOSED
