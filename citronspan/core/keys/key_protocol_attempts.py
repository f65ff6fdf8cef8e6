"""The attempt role of the key protocol, at the entry that handles a request.

An attempt queries the owner of its key, and the witness if the owner does not respond.
It ends with one result for its worker. An attempt that ended without a permission never
runs: a permission that arrives later is answered with a "not run" report.
"""

import enum
import time
from collections import OrderedDict

from citronspan.core import result_codes
from citronspan.core.keys.key_messages import (
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
from citronspan.core.keys.key_protocol_results import (
    ClaimCompleted,
    ClaimResult,
    FindAddress,
    KeyEvent,
    Permission,
    Refusal,
    Replay,
)
from citronspan.core.keys.key_protocol_wait_limits import PeerWaitLimits
from citronspan.core.keys.key_token import KeyToken
from citronspan.core.message_base import Message, Outgoing
from citronspan.core.result_codes import RESULT_CODE_BY_NUMBER, Ran, ResultCode

OWNER_TIMEOUT_SECONDS = 0.6
RESULT_TIMEOUT_SECONDS = 1.5
WITNESS_TIMEOUT_SECONDS = 0.4
FIRST_RESEND_SECONDS = 0.01
MAXIMUM_RESEND_SECONDS = 0.5
REPORT_TIMEOUT_SECONDS = 30.0
# A worker without a report this long after its deadline will not report any more.
UNREPORTED_TIMEOUT_SECONDS = 600.0
WITNESS_REPORT_DELAY_SECONDS = 0.6
MAY_HAVE_RUN_RETRY_AFTER_SECONDS = 1.0
MAXIMUM_NOT_RUN_ATTEMPTS = 8192


class AttemptPhase(enum.Enum):
    """Phase of an attempt."""

    CLAIMING = enum.auto()
    AWAITING_RESULT = enum.auto()
    CLOSING = enum.auto()
    PERMITTED = enum.auto()
    REPORTING = enum.auto()


_UNRESOLVED_PHASES = (
    AttemptPhase.CLAIMING,
    AttemptPhase.AWAITING_RESULT,
    AttemptPhase.CLOSING,
)


class _AttemptState:
    """State of one attempt, with its timers in monotonic seconds."""

    __slots__ = (
        "attempt_id",
        "token",
        "fingerprint",
        "deadline",
        "phase",
        "timeout_at",
        "resend_at",
        "resend_seconds",
        "report",
        "reported_at",
    )

    def __init__(self, *, attempt_id, token, fingerprint, deadline):
        self.attempt_id: bytes = attempt_id
        self.token: KeyToken = token
        self.fingerprint: int = fingerprint
        self.deadline: float = deadline
        self.phase = AttemptPhase.CLAIMING
        self.timeout_at = 0.0
        self.resend_at = 0.0
        self.resend_seconds = FIRST_RESEND_SECONDS
        self.report: KeyReport | None = None
        self.reported_at = 0.0

    def schedule_resend(self, now: float) -> None:
        """Schedule the next resend with exponential backoff."""
        self.resend_at = now + self.resend_seconds
        self.resend_seconds = min(self.resend_seconds * 2, MAXIMUM_RESEND_SECONDS)


class KeyAttempts:
    """Tracks the attempts of one process.

    Attributes:
        undelivered_reports: Count of reports that no owner acknowledged in time.
    """

    def __init__(self, *, find_address: FindAddress, wait_limits: PeerWaitLimits):
        self.undelivered_reports = 0
        self._find_address = find_address
        self._wait_limits = wait_limits
        self._attempt_by_id: dict[bytes, _AttemptState] = {}
        self._token_by_not_run_attempt: OrderedDict[bytes, KeyToken] = OrderedDict()

    def count(self) -> int:
        """Return the number of unresolved, permitted and reporting attempts."""
        return len(self._attempt_by_id)

    def claim(
        self, attempt: bytes, token: KeyToken, fingerprint: int, deadline: float
    ) -> list[KeyEvent]:
        """Start an attempt.

        Args:
            attempt: Id of the attempt, unique in the fleet.
            token: The key.
            fingerprint: Hash of the request.
            deadline: Monotonic time by which the worker needs the result.

        Returns:
            Messages to send and results for workers.
        """
        state = _AttemptState(
            attempt_id=attempt, token=token, fingerprint=fingerprint, deadline=deadline
        )
        self._attempt_by_id[attempt] = state
        now = time.monotonic()
        timeout_seconds = OWNER_TIMEOUT_SECONDS * self._find_wait_factor(token.owner)
        state.timeout_at = now + min(timeout_seconds, (deadline - now) / 2)
        return self._send_query(state, now)

    def cancel_attempt(self, attempt: bytes) -> list[KeyEvent]:
        """Cancel an attempt whose worker no longer waits for it.

        Returns:
            For an unresolved attempt, its result and a report to the owner that it did
            not and will not run. For a permitted attempt, the report only. Otherwise
            nothing.
        """
        state = self._attempt_by_id.get(attempt)
        if state is None:
            return []
        if state.phase is AttemptPhase.PERMITTED:
            code = result_codes.DEADLINE_TOO_SHORT
            return self.report(attempt, ReportKind.NOT_RUN, code, None)
        if state.phase is AttemptPhase.REPORTING:
            return []
        return self._complete_unresolved(state)

    def report(
        self,
        attempt: bytes,
        kind: ReportKind,
        code: ResultCode | None,
        answer: StoredAnswer | None,
    ) -> list[KeyEvent]:
        """Report the outcome of a permitted attempt; resent until acknowledged.

        Args:
            attempt: Id of the attempt.
            kind: Outcome of the attempt.
            code: For ``NOT_RUN``, the result code that the caller receives.
            answer: For ``ANSWERED``, the answer of the target.

        Returns:
            Messages to send.
        """
        state = self._attempt_by_id.get(attempt)
        if state is None or state.phase is not AttemptPhase.PERMITTED:
            return []
        if kind is ReportKind.NOT_RUN:
            self._record_not_run(state)
        state.phase = AttemptPhase.REPORTING
        state.report = KeyReport(
            attempt=attempt,
            token=state.token,
            kind=kind,
            code=0 if code is None else code.number,
            answer=answer,
        )
        now = time.monotonic()
        state.reported_at = now
        state.resend_seconds = FIRST_RESEND_SECONDS
        return self._send_report(state, now)

    def handle_permitted(self, sender: str, message: KeyPermitted) -> list[KeyEvent]:
        """Handle a permission; one that arrives too late is answered with "not run"."""
        state = self._attempt_by_id.get(message.attempt)
        if state is None:
            return self._return_permission(sender, message.attempt)
        if state.phase not in _UNRESOLVED_PHASES:
            return []
        state.phase = AttemptPhase.PERMITTED
        permission = Permission(
            attempt=state.attempt_id, token=state.token, run_deadline=state.deadline
        )
        return [ClaimCompleted(attempt=state.attempt_id, result=permission)]

    def handle_running(self, message: KeyRunning) -> list[KeyEvent]:
        """Handle the owner's message that the key is in progress."""
        state = self._attempt_by_id.get(message.attempt)
        if state is None or state.phase not in (
            AttemptPhase.CLAIMING,
            AttemptPhase.AWAITING_RESULT,
        ):
            return []
        state.phase = AttemptPhase.AWAITING_RESULT
        state.timeout_at = time.monotonic() + RESULT_TIMEOUT_SECONDS
        return []

    def handle_resolved(self, message: KeyResolved) -> list[KeyEvent]:
        """Handle the final result from the owner or the witness."""
        state = self._attempt_by_id.get(message.attempt)
        if state is None or state.phase not in _UNRESOLVED_PHASES:
            return []
        return self._complete(state, _parse_result(message))

    def handle_stale_incarnation(self, message: KeyStaleIncarnation) -> list[KeyEvent]:
        """Handle the message that the process named by the key no longer runs."""
        state = self._attempt_by_id.get(message.attempt)
        if state is None:
            return []
        if message.by_owner and state.phase in (
            AttemptPhase.CLAIMING,
            AttemptPhase.AWAITING_RESULT,
        ):
            return self._query_witness(state, time.monotonic())
        if not message.by_owner and state.phase is AttemptPhase.CLOSING:
            return self._complete_unresolved(state)
        return []

    def handle_report_ack(self, message: KeyReportAck) -> list[KeyEvent]:
        """Handle the owner's acknowledgement of a report."""
        state = self._attempt_by_id.get(message.attempt)
        if state is not None and state.phase is AttemptPhase.REPORTING:
            del self._attempt_by_id[message.attempt]
        return []

    def advance(self, now: float) -> list[KeyEvent]:
        """Resend unanswered messages, and end attempts that have timed out."""
        events: list[KeyEvent] = []
        for state in list(self._attempt_by_id.values()):
            if state.phase is AttemptPhase.PERMITTED:
                if now >= state.deadline + UNREPORTED_TIMEOUT_SECONDS:
                    events += self.report(state.attempt_id, ReportKind.LOST, None, None)
                continue
            if state.phase is AttemptPhase.REPORTING:
                events += self._advance_report(state, now)
                continue
            events += self._advance_unresolved(state, now)
        return events

    def _advance_unresolved(self, state, now):
        if now >= state.deadline:
            return self._complete_unresolved(state)
        if now >= state.timeout_at and state.phase is AttemptPhase.CLOSING:
            self._record_timeout(state.token.witness)
            return self._complete_unresolved(state)
        if now >= state.timeout_at:
            self._record_timeout(state.token.owner)
            return self._query_witness(state, now)
        if now >= state.resend_at:
            return self._send_query(state, now)
        return []

    def _advance_report(self, state, now):
        if now >= state.reported_at + REPORT_TIMEOUT_SECONDS:
            self.undelivered_reports += 1
            del self._attempt_by_id[state.attempt_id]
            return []
        if now >= state.resend_at:
            return self._send_report(state, now)
        return []

    def _send_query(self, state, now) -> list[KeyEvent]:
        """Send the query of the current phase; skip a phase whose peer is not live."""
        if state.phase is AttemptPhase.CLOSING:
            address = self._find_address(state.token.witness)
            query_type = KeyClose
        else:
            address = self._find_address(state.token.owner)
            query_type = KeyClaim
        if address is None and state.phase is AttemptPhase.CLOSING:
            return self._complete_unresolved(state)
        if address is None:
            return self._query_witness(state, now)
        state.schedule_resend(now)
        query: Message = query_type(
            attempt=state.attempt_id, token=state.token, fingerprint=state.fingerprint
        )
        return [Outgoing(to=address, message=query)]

    def _query_witness(self, state, now):
        state.phase = AttemptPhase.CLOSING
        wait_factor = self._find_wait_factor(state.token.witness)
        state.timeout_at = now + WITNESS_TIMEOUT_SECONDS * wait_factor
        state.resend_seconds = FIRST_RESEND_SECONDS
        return self._send_query(state, now)

    def _find_wait_factor(self, name):
        address = self._find_address(name)
        return 1.0 if address is None else self._wait_limits.find_wait_factor(address)

    def _record_timeout(self, name):
        address = self._find_address(name)
        if address is not None:
            self._wait_limits.record_timeout(address)

    def _send_report(self, state, now):
        state.schedule_resend(now)
        owner = self._find_address(state.token.owner)
        addresses = [] if owner is None else [owner]
        is_overdue = now >= state.reported_at + WITNESS_REPORT_DELAY_SECONDS
        if owner is None or is_overdue:
            witness = self._find_address(state.token.witness)
            addresses += [] if witness is None else [witness]
        return [Outgoing(to=address, message=state.report) for address in addresses]

    def _complete_unresolved(self, state):
        refusal = Refusal(
            code=result_codes.KEY_MAY_HAVE_RUN,
            detail="neither the owner nor the witness of the key reported its outcome",
            retry_after_seconds=MAY_HAVE_RUN_RETRY_AFTER_SECONDS,
        )
        events = self._complete(state, refusal)
        owner = self._find_address(state.token.owner)
        if owner is None:
            return events
        # The owner may have recorded the key for this attempt.
        return [*events, Outgoing(to=owner, message=_build_report_of_unresolved(state))]

    def _complete(self, state, result: ClaimResult) -> list[KeyEvent]:
        del self._attempt_by_id[state.attempt_id]
        self._record_not_run(state)
        return [ClaimCompleted(attempt=state.attempt_id, result=result)]

    def _record_not_run(self, state):
        self._token_by_not_run_attempt[state.attempt_id] = state.token
        while len(self._token_by_not_run_attempt) > MAXIMUM_NOT_RUN_ATTEMPTS:
            self._token_by_not_run_attempt.popitem(last=False)

    def _return_permission(self, sender, attempt):
        token = self._token_by_not_run_attempt.get(attempt)
        if token is None:
            return []
        message = _build_not_run_report(attempt, token)
        return [Outgoing(to=sender, message=message)]


def _build_report_of_unresolved(state) -> KeyReport:
    return _build_not_run_report(state.attempt_id, state.token)


def _build_not_run_report(attempt: bytes, token: KeyToken) -> KeyReport:
    return KeyReport(
        attempt=attempt,
        token=token,
        kind=ReportKind.NOT_RUN,
        code=result_codes.TARGET_REFUSED.number,
    )


def _parse_result(message: KeyResolved) -> ClaimResult:
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
