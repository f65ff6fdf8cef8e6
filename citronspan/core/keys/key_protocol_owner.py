"""The owner role of the key protocol: permits keys to run and tracks their outcome.

The owner is the only process that permits a key to run, and it does so only after the
witness of the key has recorded it as well.
"""

import time

from citronspan.core import result_codes
from citronspan.core.keys.key_messages import (
    KeyClaim,
    KeyPermitted,
    KeyRecord,
    KeyRecorded,
    KeyRecordRefused,
    KeyReport,
    KeyReportAck,
    KeyResolved,
    KeyRunning,
    KeyStaleIncarnation,
    ReportKind,
    StoredAnswer,
)
from citronspan.core.keys.key_protocol_results import FindAddress
from citronspan.core.keys.key_protocol_wait_limits import PeerWaitLimits
from citronspan.core.keys.key_table import KeyTable, TrackedKey
from citronspan.core.keys.key_token import KeyToken
from citronspan.core.message_base import Message, Outgoing
from citronspan.core.result_codes import ResultCode

RECORD_TIMEOUT_SECONDS = 0.25
FIRST_RESEND_SECONDS = 0.01
MAXIMUM_RESEND_SECONDS = 0.1
MAXIMUM_WAITERS_PER_KEY = 16
RUNNING_RETRY_AFTER_SECONDS = 1.0
TABLE_FULL_RETRY_AFTER_SECONDS = 1.0


class _OpenKey:
    """A key that is recorded or running, with the attempts that wait for its result."""

    __slots__ = (
        "token",
        "record",
        "claimant",
        "waiters",
        "resend_at",
        "resend_seconds",
        "close_at",
    )

    def __init__(self, *, token: KeyToken, record: TrackedKey, claimant: str):
        self.token = token
        self.record = record
        self.claimant = claimant
        self.waiters: dict[bytes, str] = {}
        self.resend_at = 0.0
        self.resend_seconds = FIRST_RESEND_SECONDS
        self.close_at = 0.0


class KeyOwner:
    """Decides about the keys that name this process as their owner.

    Attributes:
        name: Name of the node of this process.
        incarnation: Incarnation of this process.
    """

    def __init__(
        self,
        *,
        name: str,
        incarnation: int,
        table: KeyTable,
        find_address: FindAddress,
        wait_limits: PeerWaitLimits,
    ):
        self.name = name
        self.incarnation = incarnation
        self._table = table
        self._find_address = find_address
        self._wait_limits = wait_limits
        self._generation = 0
        self._open_by_id: dict[bytes, _OpenKey] = {}

    def is_owner(self, token: KeyToken) -> bool:
        """Return whether a key names this incarnation of the process as its owner."""
        return token.owner == self.name and token.owner_incarnation == self.incarnation

    def handle_claim(self, sender: str, claim: KeyClaim) -> list[Outgoing]:
        """Handle the claim of an attempt, which may be a resent one."""
        if not self.is_owner(claim.token):
            stale = KeyStaleIncarnation(attempt=claim.attempt, by_owner=True)
            return [Outgoing(to=sender, message=stale)]
        record = self._table.find(claim.token)
        if record is None:
            return self._record_new_key(sender, claim)
        if record.state == "closed":
            return [_make_resolved(sender, claim.attempt, result_codes.KEY_CLOSED)]
        if record.fingerprint != claim.fingerprint:
            return [_make_resolved(sender, claim.attempt, result_codes.KEY_REUSED)]
        if record.state == "done":
            return [_make_resolved_done(sender, claim.attempt, record.answer)]
        if record.state == "lost":
            return [
                _make_resolved(sender, claim.attempt, result_codes.KEY_MAY_HAVE_RUN)
            ]
        return self._add_waiter(sender, claim, record)

    def handle_recorded(self, answer: KeyRecorded) -> list[Outgoing]:
        """Handle the confirmation of the witness that it has recorded a key."""
        open_key = self._find_recorded_key(answer.token, answer.generation)
        if open_key is None:
            return []
        return self._permit(open_key)

    def handle_refused(self, answer: KeyRecordRefused) -> list[Outgoing]:
        """Handle the refusal of the witness to record a key."""
        open_key = self._find_recorded_key(answer.token, answer.generation)
        if open_key is None:
            return []
        return self._close_unconfirmed(open_key)

    def handle_report(self, sender: str, report: KeyReport) -> list[Outgoing]:
        """Handle the report of an attempt's outcome; always acknowledge it."""
        ack = KeyReportAck(attempt=report.attempt)
        outgoing = [Outgoing(to=sender, message=ack)]
        open_key = self._open_by_id.get(report.token.key_id)
        if open_key is None:
            return outgoing
        if open_key.record.attempt != report.attempt:
            open_key.waiters.pop(report.attempt, None)
            return outgoing
        if self._table.find(open_key.token) is not open_key.record:
            return outgoing
        return outgoing + self._apply_report(open_key, report)

    def advance(self, now: float) -> list[Outgoing]:
        """Resend unanswered records, and close keys that were not recorded in time."""
        outgoing = []
        for open_key in list(self._open_by_id.values()):
            if self._table.find(open_key.token) is not open_key.record:
                del self._open_by_id[open_key.token.key_id]
                continue
            if open_key.record.state != "recorded":
                continue
            if now >= open_key.close_at:
                self._record_timeout(open_key.token.witness)
                outgoing += self._close_unconfirmed(open_key)
                continue
            if now >= open_key.resend_at:
                outgoing += self._send_record(open_key, now)
        return outgoing

    def _record_new_key(self, sender, claim):
        code = self._find_refusal_code(claim.token)
        if code is not None:
            retry_after = 0.0
            if code is result_codes.KEY_NOT_RECORDED:
                retry_after = TABLE_FULL_RETRY_AFTER_SECONDS
            return [_make_resolved(sender, claim.attempt, code, retry_after)]
        self._generation += 1
        record = self._table.record(
            claim.token,
            fingerprint=claim.fingerprint,
            attempt=claim.attempt,
            generation=self._generation,
        )
        open_key = _OpenKey(token=claim.token, record=record, claimant=sender)
        self._open_by_id[claim.token.key_id] = open_key
        if claim.token.witness == self.name:
            return self._permit(open_key)
        now = time.monotonic()
        address = self._find_address(claim.token.witness)
        if address is None:
            return self._close_unconfirmed(open_key)
        wait_factor = self._wait_limits.find_wait_factor(address)
        open_key.close_at = now + RECORD_TIMEOUT_SECONDS * wait_factor
        return self._send_record(open_key, now)

    def _find_refusal_code(self, token) -> ResultCode | None:
        """Return why a key without a record cannot run, None if it can.

        A key that cannot run is closed, unless the table is full and the key expires
        too late.
        """
        table = self._table
        if table.may_have_been_evicted(token):
            return result_codes.KEY_MAY_HAVE_RUN
        if table.is_expired(token):
            table.close_through_expiry(token)
            return result_codes.KEY_EXPIRED
        if table.is_closed(token):
            return result_codes.KEY_CLOSED
        if table.exceeds_maximum_lifetime(token):
            closed = table.close(token)
            return (
                result_codes.KEY_TOO_FAR_AHEAD
                if closed
                else result_codes.KEY_MAY_HAVE_RUN
            )
        if table.is_full():
            table.close_through_expiry(token)
            return result_codes.KEY_NOT_RECORDED
        return None

    def _add_waiter(self, sender, claim, record):
        open_key = self._open_by_id[claim.token.key_id]
        if claim.attempt == record.attempt:
            if record.state == "running":
                message = KeyPermitted(attempt=claim.attempt)
                return [Outgoing(to=sender, message=message)]
            return [Outgoing(to=sender, message=KeyRunning(attempt=claim.attempt))]
        is_known = claim.attempt in open_key.waiters
        if not is_known and len(open_key.waiters) >= MAXIMUM_WAITERS_PER_KEY:
            code = result_codes.KEY_MAY_HAVE_RUN
            return [
                _make_resolved(sender, claim.attempt, code, RUNNING_RETRY_AFTER_SECONDS)
            ]
        open_key.waiters[claim.attempt] = sender
        return [Outgoing(to=sender, message=KeyRunning(attempt=claim.attempt))]

    def _find_recorded_key(self, token, generation):
        open_key = self._open_by_id.get(token.key_id)
        if open_key is None or not self.is_owner(token):
            return None
        record = open_key.record
        if record.state != "recorded" or record.generation != generation:
            return None
        if self._table.find(token) is not record:
            return None
        return open_key

    def _send_record(self, open_key, now):
        open_key.resend_at = now + open_key.resend_seconds
        open_key.resend_seconds = min(
            open_key.resend_seconds * 2, MAXIMUM_RESEND_SECONDS
        )
        address = self._find_address(open_key.token.witness)
        if address is None:
            return []
        message = KeyRecord(
            token=open_key.token,
            generation=open_key.record.generation,
            attempt=open_key.record.attempt,
            fingerprint=open_key.record.fingerprint,
        )
        return [Outgoing(to=address, message=message)]

    def _record_timeout(self, name):
        address = self._find_address(name)
        if address is not None:
            self._wait_limits.record_timeout(address)

    def _permit(self, open_key):
        open_key.record.step("permit")
        message = KeyPermitted(attempt=open_key.record.attempt)
        return [Outgoing(to=open_key.claimant, message=message)]

    def _close_unconfirmed(self, open_key):
        # The witness may have recorded the key and only its answer was lost. Once the
        # key is closed here it cannot run any more, whatever the witness recorded.
        open_key.record.step("close-unconfirmed")
        code = result_codes.KEY_NOT_RECORDED
        outgoing = [_make_resolved(open_key.claimant, open_key.record.attempt, code)]
        return outgoing + self._resolve_waiters(
            open_key, KeyResolved(attempt=b"", code=code.number)
        )

    def _apply_report(self, open_key, report):
        if report.kind is ReportKind.ANSWERED:
            self._table.finish(open_key.record, report.answer)
            answer = open_key.record.answer
            outgoing = self._resolve_waiters(open_key, _build_done_message(b"", answer))
        elif report.kind is ReportKind.LOST:
            open_key.record.step("lose")
            code = result_codes.KEY_MAY_HAVE_RUN.number
            outgoing = self._resolve_waiters(
                open_key, KeyResolved(attempt=b"", code=code)
            )
        else:
            self._table.release(open_key.token)
            resolved = KeyResolved(
                attempt=b"",
                code=report.code,
                retry_after_seconds=RUNNING_RETRY_AFTER_SECONDS,
            )
            outgoing = self._resolve_waiters(open_key, resolved)
        return outgoing + self._forward_to_witness(report)

    def _forward_to_witness(self, report):
        if report.token.witness == self.name:
            return []
        address = self._find_address(report.token.witness)
        if address is None:
            return []
        return [Outgoing(to=address, message=report)]

    def _resolve_waiters(self, open_key, resolved):
        """Send the result to the waiting attempts, and drop the open key."""
        del self._open_by_id[open_key.token.key_id]
        outgoing = []
        for attempt, address in open_key.waiters.items():
            message = KeyResolved(
                attempt=attempt,
                code=resolved.code,
                answer=resolved.answer,
                retry_after_seconds=resolved.retry_after_seconds,
            )
            outgoing.append(Outgoing(to=address, message=message))
        return outgoing


def _make_resolved(
    sender: str, attempt: bytes, code: ResultCode, retry_after_seconds: float = 0.0
) -> Outgoing:
    message: Message = KeyResolved(
        attempt=attempt, code=code.number, retry_after_seconds=retry_after_seconds
    )
    return Outgoing(to=sender, message=message)


def _build_done_message(attempt: bytes, answer: StoredAnswer) -> KeyResolved:
    code = 0
    if answer.body is None:
        code = result_codes.KEY_REPLAY_TOO_LARGE.number
    return KeyResolved(attempt=attempt, code=code, answer=answer)


def _make_resolved_done(sender: str, attempt: bytes, answer: StoredAnswer) -> Outgoing:
    return Outgoing(to=sender, message=_build_done_message(attempt, answer))
