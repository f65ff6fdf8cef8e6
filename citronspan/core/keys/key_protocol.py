"""The key protocol of one process: a key runs at most once, without a data store.

Every entry is the owner of some keys, the witness of others, and makes attempts at any
key. This module dispatches each message to the role that handles it. Messages that a
process sends to itself are handled in the same way, but without the network.
"""

import time
from collections import deque

from citronspan.core.keys.key_messages import (
    KeyClaim,
    KeyClose,
    KeyMessage,
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
from citronspan.core.keys.key_protocol_attempts import KeyAttempts
from citronspan.core.keys.key_protocol_owner import KeyOwner
from citronspan.core.keys.key_protocol_results import (
    ClaimCompleted,
    FindAddress,
    KeyEvent,
)
from citronspan.core.keys.key_protocol_wait_limits import PeerWaitLimits
from citronspan.core.keys.key_protocol_witness import KeyWitness
from citronspan.core.keys.key_table import KeyTable
from citronspan.core.keys.key_token import KeyToken
from citronspan.core.result_codes import ResultCode


class KeyProtocol:
    """Combines the three roles of one process and dispatches their messages.

    Attributes:
        address: Peer address of this process.
        table: The keys that this process has recorded.
        wait_limits: Wait limits of the peers, shared by owner and attempts.
        attempts: The attempts of this process.
        owner: The role for keys that name this process as owner.
        witness: The role for keys that name this process as witness.
    """

    def __init__(
        self,
        *,
        name: str,
        incarnation: int,
        address: str,
        find_address: FindAddress,
        table: KeyTable | None = None,
    ):
        self.address = address

        def find_any_address(node_name: str) -> str | None:
            # A membership view that lacks this process itself must not make it use
            # other nodes in its place.
            return address if node_name == name else find_address(node_name)

        self.table = KeyTable() if table is None else table
        self.wait_limits = PeerWaitLimits()
        self.attempts = KeyAttempts(
            find_address=find_any_address, wait_limits=self.wait_limits
        )
        self.owner = KeyOwner(
            name=name,
            incarnation=incarnation,
            table=self.table,
            find_address=find_any_address,
            wait_limits=self.wait_limits,
        )
        self.witness = KeyWitness(name=name, incarnation=incarnation, table=self.table)

    def claim(
        self, attempt: bytes, token: KeyToken, fingerprint: int, deadline: float
    ) -> list[KeyEvent]:
        """Start an attempt; see ``KeyAttempts.claim``."""
        events = self.attempts.claim(attempt, token, fingerprint, deadline)
        return self._deliver_own(events)

    def cancel_attempt(self, attempt: bytes) -> list[KeyEvent]:
        """Cancel an attempt whose worker no longer waits for it."""
        return self._deliver_own(self.attempts.cancel_attempt(attempt))

    def report(
        self,
        attempt: bytes,
        kind: ReportKind,
        *,
        code: ResultCode | None = None,
        answer: StoredAnswer | None = None,
    ) -> list[KeyEvent]:
        """Report the outcome of a permitted attempt; see ``KeyAttempts.report``."""
        return self._deliver_own(self.attempts.report(attempt, kind, code, answer))

    def handle(self, sender: str, message: KeyMessage) -> list[KeyEvent]:
        """Handle a message of a peer.

        Args:
            sender: Peer address of the sender.
            message: The message.

        Returns:
            Messages to send and results for workers.
        """
        self.wait_limits.record_response(sender)
        return self._deliver_own(self._handle(sender, message))

    def advance(self) -> list[KeyEvent]:
        """Run the timers: resend, time out and evict what is due."""
        now = time.monotonic()
        self.table.evict_expired()
        events = self.owner.advance(now) + self.attempts.advance(now)
        return self._deliver_own(events)

    def _deliver_own(self, events: list[KeyEvent]) -> list[KeyEvent]:
        """Handle messages addressed to this process until only others remain."""
        pending = deque(events)
        external: list[KeyEvent] = []
        while pending:
            event = pending.popleft()
            if isinstance(event, ClaimCompleted) or event.to != self.address:
                external.append(event)
                continue
            pending.extend(self._handle(self.address, event.message))
        return external

    def _handle(self, sender, message) -> list[KeyEvent]:
        match message:
            case KeyClaim():
                return self.owner.handle_claim(sender, message)
            case KeyRecord():
                return self.witness.handle_record(sender, message)
            case KeyRecorded():
                return self.owner.handle_recorded(message)
            case KeyRecordRefused():
                return self.owner.handle_refused(message)
            case KeyClose():
                return self.witness.handle_close(sender, message)
            case KeyReport():
                return self._handle_report(sender, message)
            case KeyPermitted():
                return self.attempts.handle_permitted(sender, message)
            case KeyRunning():
                return self.attempts.handle_running(message)
            case KeyResolved():
                return self.attempts.handle_resolved(message)
            case KeyStaleIncarnation():
                return self.attempts.handle_stale_incarnation(message)
            case KeyReportAck():
                return self.attempts.handle_report_ack(message)
        raise TypeError(
            f"{type(message).__name__} is not a message of the key protocol"
        )

    def _handle_report(self, sender, message):
        if self.owner.is_owner(message.token):
            return self.owner.handle_report(sender, message)
        if self.witness.is_witness(message.token):
            self.witness.handle_report(message)
        return []
