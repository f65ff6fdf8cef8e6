"""The part of the key protocol at the entry that carries a request.

An attempt asks the owner, and the witness where the owner stays silent. It ends in
one result for its worker. Once it has ended without a permission it never runs: a
permission that arrives later is answered with "not run".
"""

import enum
import time
from collections import OrderedDict

from citronspan.core import result_codes
from citronspan.core.key_messages import (
    KeyClaim,
    KeyClose,
    KeyPermitted,
    KeyReport,
    KeyReportAck,
    KeyResolved,
    KeyRunning,
    KeyStaleIncarnation,
    ReportKind,
    StoredAnswer,
)
from citronspan.core.key_protocol_results import (
    ClaimCompleted,
    ClaimResult,
    FindAddress,
    KeyEvent,
    Permission,
    Refusal,
    Replay,
)
from citronspan.core.key_protocol_wait_limits import PeerWaitLimits
from citronspan.core.key_token import KeyToken
from citronspan.core.message_base import Message, Outgoing
from citronspan.core.result_codes import RESULT_CODE_BY_NUMBER, Ran, ResultCode

OWNER_TIMEOUT_SECONDS = 0.6
RESULT_TIMEOUT_SECONDS = 1.5
WITNESS_TIMEOUT_SECONDS = 0.4
FIRST_RESEND_SECONDS = 0.01
MAXIMUM_RESEND_SECONDS = 0.5
REPORT_TIMEOUT_SECONDS = 30.0
# A worker that has not reported so long after its deadline never will.
UNREPORTED_TIMEOUT_SECONDS = 600.0
WITNESS_REPORT_DELAY_SECONDS = 0.6
MAY_HAVE_RUN_RETRY_AFTER_SECONDS = 1.0
MAXIMUM_NOT_RUN_ATTEMPTS = 8192


class AttemptPhase(enum.Enum):
    """Where an attempt stands."""

    CLAIMING = enum.auto()
    AWAITING_RESULT = enum.auto()
    CLOSING = enum.auto()
    PERMITTED = enum.auto()
    REPORTING = enum.auto()


_ASKING = (AttemptPhase.CLAIMING, AttemptPhase.AWAITING_RESULT, AttemptPhase.CLOSING)


class _Attempt:
    __slots__ = (
        "attempt",
        "token",
        "fingerprint",
        "deadline",
        "phase",
        "silent_at",
        "resend_at",
        "resend_seconds",
        "report",
        "reported_at",
    )

    def __init__(self, *, attempt, token, fingerprint, deadline):
        self.attempt: bytes = attempt
        self.token: KeyToken = token
        self.fingerprint: int = fingerprint
        self.deadline: float = deadline
        self.phase = AttemptPhase.CLAIMING
        self.silent_at = 0.0
        self.resend_at = 0.0
        self.resend_seconds = FIRST_RESEND_SECONDS
        self.report: KeyReport | None = None
        self.reported_at = 0.0

    def plan_resend(self, now: float) -> None:
        """Set the time of the next repetition, further off each time."""
        self.resend_at = now + self.resend_seconds
        self.resend_seconds = min(self.resend_seconds * 2, MAXIMUM_RESEND_SECONDS)


class KeyAttempts:
    """The attempts of one process.

    Attributes:
        undelivered_reports: Reports that no owner took in their time.
    """

    def __init__(self, *, find_address: FindAddress, wait_limits: PeerWaitLimits):
        self.undelivered_reports = 0
        self._find_address = find_address
        self._patience = wait_limits
        self._attempt_by_id: dict[bytes, _Attempt] = {}
        self._never_run: OrderedDict[bytes, KeyToken] = OrderedDict()

    def count(self) -> int:
        """Return how many attempts have not ended or not been reported."""
        return len(self._attempt_by_id)

    def claim(
        self, attempt: bytes, token: KeyToken, fingerprint: int, deadline: float
    ) -> list[KeyEvent]:
        """Begin an attempt.

        Args:
            attempt: Id that no other attempt of the fleet has.
            token: The key.
            fingerprint: Hash of the request.
            deadline: Monotonic time by which the worker needs the result.

        Returns:
            Messages to send and results.
        """
        item = _Attempt(
            attempt=attempt, token=token, fingerprint=fingerprint, deadline=deadline
        )
        self._attempt_by_id[attempt] = item
        now = time.monotonic()
        wait_limits = OWNER_TIMEOUT_SECONDS * self._find_share(token.owner)
        item.silent_at = now + min(wait_limits, (deadline - now) / 2)
        return self._ask(item, now)

    def give_up(self, attempt: bytes) -> list[KeyEvent]:
        """End an attempt that its worker no longer waits for.

        Returns:
            The report to the owner that the attempt did not and will not run.
        """
        item = self._attempt_by_id.get(attempt)
        if item is None:
            return []
        if item.phase is AttemptPhase.PERMITTED:
            code = result_codes.DEADLINE_TOO_SHORT
            return self.report(attempt, ReportKind.NOT_RUN, code, None)
        if item.phase is AttemptPhase.REPORTING:
            return []
        return self._end_unresolved(item)

    def report(
        self,
        attempt: bytes,
        kind: ReportKind,
        code: ResultCode | None,
        answer: StoredAnswer | None,
    ) -> list[KeyEvent]:
        """Report what a permitted attempt came to; repeated until it is taken.

        Args:
            attempt: Id of the attempt.
            kind: What it came to.
            code: Result code that the caller is given, for ``NOT_RUN``.
            answer: Answer of the target, for ``ANSWERED``.

        Returns:
            Messages to send.
        """
        item = self._attempt_by_id.get(attempt)
        if item is None or item.phase is not AttemptPhase.PERMITTED:
            return []
        if kind is ReportKind.NOT_RUN:
            self._note_never_run(item)
        item.phase = AttemptPhase.REPORTING
        item.report = KeyReport(
            attempt=attempt,
            token=item.token,
            kind=kind,
            code=0 if code is None else code.number,
            answer=answer,
        )
        now = time.monotonic()
        item.reported_at = now
        item.resend_seconds = FIRST_RESEND_SECONDS
        return self._send_report(item, now)

    def handle_permitted(self, sender: str, message: KeyPermitted) -> list[KeyEvent]:
        """Take a permission; one that comes too late is given back."""
        item = self._attempt_by_id.get(message.attempt)
        if item is None:
            return self._give_back(sender, message.attempt)
        if item.phase not in _ASKING:
            return []
        item.phase = AttemptPhase.PERMITTED
        permission = Permission(
            attempt=item.attempt, token=item.token, run_deadline=item.deadline
        )
        return [ClaimCompleted(attempt=item.attempt, result=permission)]

    def handle_running(self, message: KeyRunning) -> list[KeyEvent]:
        """Take the owner's word that the key is under way."""
        item = self._attempt_by_id.get(message.attempt)
        if item is None or item.phase not in (
            AttemptPhase.CLAIMING,
            AttemptPhase.AWAITING_RESULT,
        ):
            return []
        item.phase = AttemptPhase.AWAITING_RESULT
        item.silent_at = time.monotonic() + RESULT_TIMEOUT_SECONDS
        return []

    def handle_resolved(self, message: KeyResolved) -> list[KeyEvent]:
        """Take the word of the owner or the witness."""
        item = self._attempt_by_id.get(message.attempt)
        if item is None or item.phase not in _ASKING:
            return []
        return self._end(item, _read_result(message))

    def handle_stale_incarnation(self, message: KeyStaleIncarnation) -> list[KeyEvent]:
        """Take the word that the named process is gone."""
        item = self._attempt_by_id.get(message.attempt)
        if item is None:
            return []
        if message.by_owner and item.phase in (
            AttemptPhase.CLAIMING,
            AttemptPhase.AWAITING_RESULT,
        ):
            return self._ask_witness(item, time.monotonic())
        if not message.by_owner and item.phase is AttemptPhase.CLOSING:
            return self._end_unresolved(item)
        return []

    def handle_report_ack(self, message: KeyReportAck) -> list[KeyEvent]:
        """Take the owner's word that it has the report."""
        item = self._attempt_by_id.get(message.attempt)
        if item is not None and item.phase is AttemptPhase.REPORTING:
            del self._attempt_by_id[message.attempt]
        return []

    def advance(self, now: float) -> list[KeyEvent]:
        """Repeat what was not answered, and end what nobody answers."""
        events: list[KeyEvent] = []
        for item in list(self._attempt_by_id.values()):
            if item.phase is AttemptPhase.PERMITTED:
                if now >= item.deadline + UNREPORTED_TIMEOUT_SECONDS:
                    events += self.report(item.attempt, ReportKind.LOST, None, None)
                continue
            if item.phase is AttemptPhase.REPORTING:
                events += self._advance_report(item, now)
                continue
            events += self._advance_asking(item, now)
        return events

    def _advance_asking(self, item, now):
        if now >= item.deadline:
            return self._end_unresolved(item)
        if now >= item.silent_at and item.phase is AttemptPhase.CLOSING:
            self._note_silent(item.token.witness)
            return self._end_unresolved(item)
        if now >= item.silent_at:
            self._note_silent(item.token.owner)
            return self._ask_witness(item, now)
        if now >= item.resend_at:
            return self._ask(item, now)
        return []

    def _advance_report(self, item, now):
        if now >= item.reported_at + REPORT_TIMEOUT_SECONDS:
            self.undelivered_reports += 1
            del self._attempt_by_id[item.attempt]
            return []
        if now >= item.resend_at:
            return self._send_report(item, now)
        return []

    def _ask(self, item, now) -> list[KeyEvent]:
        """Send the question of the attempt's phase."""
        if item.phase is AttemptPhase.CLOSING:
            address = self._find_address(item.token.witness)
            question_type = KeyClose
        else:
            address = self._find_address(item.token.owner)
            question_type = KeyClaim
        if address is None and item.phase is AttemptPhase.CLOSING:
            return self._end_unresolved(item)
        if address is None:
            return self._ask_witness(item, now)
        item.plan_resend(now)
        question: Message = question_type(
            attempt=item.attempt, token=item.token, fingerprint=item.fingerprint
        )
        return [Outgoing(to=address, message=question)]

    def _ask_witness(self, item, now):
        item.phase = AttemptPhase.CLOSING
        share = self._find_share(item.token.witness)
        item.silent_at = now + WITNESS_TIMEOUT_SECONDS * share
        item.resend_seconds = FIRST_RESEND_SECONDS
        return self._ask(item, now)

    def _find_share(self, name):
        address = self._find_address(name)
        return 1.0 if address is None else self._patience.find_wait_factor(address)

    def _note_silent(self, name):
        address = self._find_address(name)
        if address is not None:
            self._patience.record_timeout(address)

    def _send_report(self, item, now):
        item.plan_resend(now)
        owner = self._find_address(item.token.owner)
        addresses = [] if owner is None else [owner]
        is_late = now >= item.reported_at + WITNESS_REPORT_DELAY_SECONDS
        if owner is None or is_late:
            witness = self._find_address(item.token.witness)
            addresses += [] if witness is None else [witness]
        return [Outgoing(to=address, message=item.report) for address in addresses]

    def _end_unresolved(self, item):
        refusal = Refusal(
            code=result_codes.KEY_MAY_HAVE_RUN,
            detail="neither the owner nor the witness of the key gave its outcome",
            retry_after_seconds=MAY_HAVE_RUN_RETRY_AFTER_SECONDS,
        )
        events = self._end(item, refusal)
        owner = self._find_address(item.token.owner)
        if owner is None:
            return events
        # This attempt may be the one that the owner has recorded.
        return [*events, Outgoing(to=owner, message=_give_back(item))]

    def _end(self, item, result: ClaimResult) -> list[KeyEvent]:
        del self._attempt_by_id[item.attempt]
        self._note_never_run(item)
        return [ClaimCompleted(attempt=item.attempt, result=result)]

    def _note_never_run(self, item):
        self._never_run[item.attempt] = item.token
        while len(self._never_run) > MAXIMUM_NOT_RUN_ATTEMPTS:
            self._never_run.popitem(last=False)

    def _give_back(self, sender, attempt):
        token = self._never_run.get(attempt)
        if token is None:
            return []
        message = _describe_not_run(attempt, token)
        return [Outgoing(to=sender, message=message)]


def _give_back(item) -> KeyReport:
    return _describe_not_run(item.attempt, item.token)


def _describe_not_run(attempt: bytes, token: KeyToken) -> KeyReport:
    return KeyReport(
        attempt=attempt,
        token=token,
        kind=ReportKind.NOT_RUN,
        code=result_codes.TARGET_REFUSED.number,
    )


def _read_result(message: KeyResolved) -> ClaimResult:
    if message.code == 0 and message.answer is not None:
        return Replay(answer=message.answer)
    code = RESULT_CODE_BY_NUMBER.get(message.code, result_codes.KEY_MAY_HAVE_RUN)
    detail = code.meaning
    if message.answer is not None:
        detail = (
            f"status {message.answer.status}, {message.answer.length} bytes, "
            f"digest {message.answer.digest.hex()}"
        )
    if code.ran is Ran.NOT_APPLICABLE:
        code = result_codes.KEY_MAY_HAVE_RUN
    return Refusal(
        code=code,
        detail=detail,
        retry_after_seconds=message.retry_after_seconds,
        answer=message.answer,
    )
