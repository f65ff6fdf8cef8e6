"""The key protocol for the request path: blocking calls over the peer link.

A worker calls ``claim`` before it dispatches a request with a key. With a
``Permission`` it runs the request and calls exactly one of the ``report``
functions, in every case; with a ``Replay`` or a ``Refusal`` it answers at once.
"""

import hashlib
import secrets
import threading
import time
from collections.abc import Iterable

import logbook

from citronspan.core import log_events, result_codes
from citronspan.core.errors import CitronspanError
from citronspan.core.key_messages import KeyMessage, ReportKind, StoredAnswer
from citronspan.core.key_owner_selection import choose_owner_and_witness
from citronspan.core.key_protocol import KeyProtocol
from citronspan.core.key_protocol_results import (
    ClaimCompleted,
    ClaimResult,
    FindAddress,
    KeyEvent,
    Permission,
    Refusal,
)
from citronspan.core.key_table import MAXIMUM_ANSWER_BYTES, KeyTable
from citronspan.core.key_token import KeyToken, mint_prefix, parse_key
from citronspan.core.message_base import Outgoing
from citronspan.core.node_messages import NodeInfo
from citronspan.core.result_codes import ResultCode
from citronspan.ops.peer_link import PeerLink
from citronspan.ops.pending_answers import PendingAnswers
from citronspan.utils.logs import write_event

ATTEMPT_BYTES = 12
ANSWER_DIGEST_BYTES = 16
RANDOM_KEY_BYTES = 4
INITIAL_POLL_SECONDS = 0.01
MAXIMUM_POLL_SECONDS = 0.25
CLAIM_GRACE_SECONDS = 1.0

_logger = logbook.Logger("keys")


class KeyService:
    """The key protocol of one entry process, safe for threads."""

    def __init__(
        self,
        *,
        name: str,
        fleet: str,
        link: PeerLink,
        find_address: FindAddress,
        secret: bytes = b"",
        table: KeyTable | None = None,
    ):
        """Begin with empty memory, as a new incarnation does.

        Args:
            name: Name of this node.
            fleet: Name of the fleet.
            link: Link to the peers; its incarnation is the one that keys name.
            find_address: Finds the peer address of the entry of a live node.
            secret: Secret of the fleet, the one that prefixes are minted with.
            table: Memory with other bounds than the usual ones.
        """
        self._name = name
        self._fleet = fleet
        self._was_full = False
        self._lost_reports = 0
        self._silent: frozenset[str] = frozenset()
        self._secret = secret
        self._link = link
        self._lock = threading.Lock()
        self._pending: PendingAnswers[ClaimResult] = PendingAnswers()
        self._protocol = KeyProtocol(
            name=name,
            incarnation=link.incarnation,
            address=link.address,
            find_address=find_address,
            table=table,
        )

    def claim(self, key: str, fingerprint: int, deadline: float) -> ClaimResult:
        """Ask whether a request may run; waits until the answer is certain.

        Args:
            key: Value of the header ``Idempotency-Key``.
            fingerprint: From ``key_token.compute_fingerprint``.
            deadline: Monotonic time of the request's deadline.

        Returns:
            A permission, a kept answer, or a refusal that says whether the key
            ran. A malformed key is a refusal with code 4001.
        """
        try:
            token = parse_key(key, fleet=self._fleet, secret=self._secret)
        except CitronspanError as error:
            return Refusal(code=error.code, detail=error.detail)
        return self.claim_token(token, fingerprint, deadline)

    def claim_token(
        self, token: KeyToken, fingerprint: int, deadline: float
    ) -> ClaimResult:
        """Ask like ``claim`` for a key that is parsed already."""
        attempt = secrets.token_bytes(ATTEMPT_BYTES)
        waiter = self._pending.open(attempt)
        with self._lock:
            events = self._protocol.claim(attempt, token, fingerprint, deadline)
        self._emit(events)
        try:
            return self._wait(waiter, attempt, deadline)
        except BaseException:
            self._abandon(attempt)
            raise

    def _wait(self, waiter, attempt, deadline):
        step_seconds = INITIAL_POLL_SECONDS
        while not waiter.wait(step_seconds):
            # The worker keeps its own time, however slow the process's tick is.
            self.advance()
            step_seconds = min(step_seconds * 2, MAXIMUM_POLL_SECONDS)
            if time.monotonic() >= deadline + CLAIM_GRACE_SECONDS:
                return self._abandon(attempt)
        return waiter.answer

    def _abandon(self, attempt) -> Refusal:
        """End an attempt that nobody waits for; it does not run any more."""
        self._pending.close(attempt)
        with self._lock:
            events = self._protocol.give_up(attempt)
        self._emit(events)
        return Refusal(code=result_codes.KEY_MAY_HAVE_RUN)

    def report_not_run(self, permission: Permission, code: ResultCode) -> None:
        """Report that the permitted request provably did not run.

        Args:
            permission: What ``claim`` returned.
            code: The result code that the caller is given; its ``ran`` must be
                ``not-run``. The key is free again.
        """
        if code.ran is not result_codes.Ran.NOT_RUN:
            raise ValueError(f"{code.name} does not say not-run")
        self._report(permission, ReportKind.NOT_RUN, code=code)

    def report_answer(
        self,
        permission: Permission,
        status: int,
        headers: tuple[tuple[str, str], ...],
        body: bytes,
    ) -> None:
        """Report the whole answer of the target, to be replayed.

        Args:
            permission: What ``claim`` returned.
            status: HTTP status.
            headers: Names and values that a replay gives again.
            body: The body; only its length and digest are kept where it is longer
                than ``MAXIMUM_ANSWER_BYTES``.
        """
        digest = hashlib.blake2b(body, digest_size=ANSWER_DIGEST_BYTES).digest()
        if len(body) > MAXIMUM_ANSWER_BYTES:
            self.report_large_answer(permission, status, len(body), digest)
            return
        answer = StoredAnswer(
            status=status,
            headers=headers,
            length=len(body),
            digest=digest,
            body=body,
        )
        self._report(permission, ReportKind.ANSWERED, answer=answer)

    def report_large_answer(
        self, permission: Permission, status: int, length: int, digest: bytes
    ) -> None:
        """Report a whole answer whose body is not kept.

        Args:
            permission: What ``claim`` returned.
            status: HTTP status.
            length: Length of the body in bytes.
            digest: Digest of the body, made while it was passed on.
        """
        answer = StoredAnswer(
            status=status, headers=(), length=length, digest=digest, body=None
        )
        self._report(permission, ReportKind.ANSWERED, answer=answer)

    def report_lost(self, permission: Permission) -> None:
        """Report that the request may have run and its answer is lost."""
        self._report(permission, ReportKind.LOST)

    def handle(self, sender: str, message: KeyMessage) -> None:
        """Take a message of the key protocol from the peer link.

        Args:
            sender: ``Envelope.sender``.
            message: ``Envelope.body``.
        """
        with self._lock:
            events = self._protocol.handle(sender, message)
        self._emit(events)

    def advance(self) -> None:
        """Let time pass; called by the process's tick, at least every 50 ms."""
        with self._lock:
            events = self._protocol.advance()
            self._log_changes()
        self._emit(events)

    def is_idle(self) -> bool:
        """Return whether no attempt waits and no report is on its way.

        A stopping entry waits for this, bounded, so that the owners know what
        its last requests came to.
        """
        with self._lock:
            return self._protocol.attempts.count() == 0

    def count_keys(self) -> int:
        """Return the number of keys in memory."""
        return self._protocol.table.count

    def mint_prefix(self, nodes: Iterable[NodeInfo]) -> str:
        """Make a prefix owned by this entry, for a refusal that asks for one.

        A caller that is told to take a new key can so send again at once, also
        while the directory still names the peer that is silent.

        Args:
            nodes: Nodes that a chooser may depend on.

        Returns:
            The prefix, empty while the nodes do not show this entry as serving;
            this entry is its own witness where no other is heard.
        """
        silent = self._protocol.wait_limits.list_unresponsive()
        heard = [node for node in nodes if node.entry_peer_address not in silent]
        chosen = choose_owner_and_witness(
            heard,
            region="",
            key=secrets.token_hex(RANDOM_KEY_BYTES),
            preferred_owner=self._name,
        )
        if chosen is None or chosen[0].name != self._name:
            return ""
        own, witness = chosen
        if witness is own:
            witness_incarnation = self._link.incarnation
        else:
            witness_incarnation = witness.entry_incarnation
        return mint_prefix(
            fleet=self._fleet,
            owner=own.name,
            owner_incarnation=self._link.incarnation,
            witness=witness.name,
            witness_incarnation=witness_incarnation,
            secret=self._secret,
        )

    def _log_changes(self):
        is_full = self._protocol.table.is_full()
        if is_full and not self._was_full:
            write_event(_logger, log_events.KEYS_FULL, keys=self.count_keys())
        self._was_full = is_full
        lost = self._protocol.attempts.undelivered_reports
        if lost > self._lost_reports:
            count = lost - self._lost_reports
            write_event(_logger, log_events.KEY_REPORT_LOST, reports=count)
        self._lost_reports = lost
        silent = self._protocol.wait_limits.list_unresponsive()
        for address in silent - self._silent:
            write_event(_logger, log_events.KEY_PEER_SILENT, peer=address)
        for address in self._silent - silent:
            write_event(_logger, log_events.KEY_PEER_HEARD, peer=address)
        self._silent = silent

    def _report(self, permission, kind, *, code=None, answer=None):
        with self._lock:
            events = self._protocol.report(
                permission.attempt, kind, code=code, answer=answer
            )
        self._emit(events)

    def _emit(self, events: list[KeyEvent]) -> None:
        for event in events:
            if isinstance(event, ClaimCompleted):
                self._pending.resolve(event.attempt, event.result)
                continue
            self._send(event)

    def _send(self, event: Outgoing) -> None:
        # A message that no connection takes is repeated by the protocol's timers.
        self._link.send(event.to, event.message)
