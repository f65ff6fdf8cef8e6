"""The key protocol of one process: a key runs at most once, without a store.

Every entry is owner of some keys, witness of others, and carries attempts at any.
This module hands each message to the part that it is for. Messages that a process
sends to itself take the same path as all others, without the network.
"""

import time
from collections import deque

from citronspan.core.key_messages import (
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
from citronspan.core.key_protocol_attempts import KeyAttempts
from citronspan.core.key_protocol_owner import KeyOwner
from citronspan.core.key_protocol_results import ClaimCompleted, FindAddress, KeyEvent
from citronspan.core.key_protocol_wait_limits import PeerWaitLimits
from citronspan.core.key_protocol_witness import KeyWitness
from citronspan.core.key_table import KeyTable
from citronspan.core.key_token import KeyToken
from citronspan.core.result_codes import ResultCode


class KeyProtocol:
    """The three parts of one process and what passes between them."""

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
            # A view that lacks this very process must not make it ask others.
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
        """Begin an attempt; see ``KeyAttempts.claim``."""
        events = self.attempts.claim(attempt, token, fingerprint, deadline)
        return self._deliver_own(events)

    def give_up(self, attempt: bytes) -> list[KeyEvent]:
        """End an attempt that its worker no longer waits for."""
        return self._deliver_own(self.attempts.give_up(attempt))

    def report(
        self,
        attempt: bytes,
        kind: ReportKind,
        *,
        code: ResultCode | None = None,
        answer: StoredAnswer | None = None,
    ) -> list[KeyEvent]:
        """Report what a permitted attempt came to; see ``KeyAttempts.report``."""
        return self._deliver_own(self.attempts.report(attempt, kind, code, answer))

    def handle(self, sender: str, message: KeyMessage) -> list[KeyEvent]:
        """Take a message.

        Args:
            sender: Peer address of the sender.
            message: The message.

        Returns:
            Messages to send and results for workers.
        """
        self.wait_limits.record_response(sender)
        return self._deliver_own(self._handle(sender, message))

    def advance(self) -> list[KeyEvent]:
        """Let time pass: repeat, give up and forget what is due."""
        now = time.monotonic()
        self.table.evict_expired()
        events = self.owner.advance(now) + self.attempts.advance(now)
        return self._deliver_own(events)

    def _deliver_own(self, events: list[KeyEvent]) -> list[KeyEvent]:
        """Hand messages to this process to itself until none is left."""
        waiting = deque(events)
        left: list[KeyEvent] = []
        while waiting:
            event = waiting.popleft()
            if isinstance(event, ClaimCompleted) or event.to != self.address:
                left.append(event)
                continue
            waiting.extend(self._handle(self.address, event.message))
        return left

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
        raise TypeError(f"{type(message).__name__} is no message of the key protocol")

    def _handle_report(self, sender, message):
        if self.owner.is_owner(message.token):
            return self.owner.handle_report(sender, message)
        if self.witness.is_witness(message.token):
            self.witness.handle_report(message)
        return []
