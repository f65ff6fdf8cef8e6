"""Blocking interface of the key protocol for the request path.

A worker calls ``claim`` before it dispatches a request with a key. If the result is a
``Permission``, the worker runs the request and then always calls exactly one of the
``report`` methods. If it is a ``Replay`` or a ``Refusal``, the worker answers at once.
"""

import hashlib
import math
import secrets
import threading
import time
from collections.abc import Callable, Iterable

import logbook

from citronspan.core import log_events, result_codes
from citronspan.core.errors import CitronspanError
from citronspan.core.keys.key_messages import KeyMessage, ReportKind, StoredAnswer
from citronspan.core.keys.key_owner_selection import choose_owner_and_witness
from citronspan.core.keys.key_protocol import KeyProtocol
from citronspan.core.keys.key_protocol_results import (
    ClaimCompleted,
    ClaimResult,
    FindAddress,
    KeyEvent,
    Permission,
    Refusal,
)
from citronspan.core.keys.key_table import MAXIMUM_ANSWER_BYTES, KeyTable
from citronspan.core.keys.key_token import KeyToken, mint_prefix, parse_key
from citronspan.core.message_base import Outgoing
from citronspan.core.node_messages import NodeInfo
from citronspan.core.result_codes import ResultCode
from citronspan.ops.peers.peer_link import PeerLink
from citronspan.ops.peers.pending_answers import PendingAnswers
from citronspan.utils.logs import write_event

ATTEMPT_ID_BYTES = 12
ANSWER_DIGEST_BYTES = 16
RANDOM_KEY_BYTES = 4
INITIAL_POLL_SECONDS = 0.01
MAXIMUM_POLL_SECONDS = 0.25
CLAIM_GRACE_SECONDS = 1.0

_logger = logbook.Logger("keys")


class KeyService:
    """Thread-safe key protocol of an entry process."""

    def __init__(
        self,
        *,
        name: str,
        fleet: str,
        link: PeerLink,
        find_address: FindAddress,
        secret: bytes = b"",
        table: KeyTable | None = None,
        find_end: Callable[[], float] = lambda: math.inf,
    ):
        """Initialize the service without any keys, as for a new incarnation.

        Args:
            name: Name of this node.
            fleet: Name of the fleet.
            link: Link to the peers; keys refer to its incarnation.
            find_address: Returns the peer address of the entry of a live node.
            secret: Secret of the fleet, with which prefixes are minted.
            table: Key table to use instead of one with the default limits.
            find_end: Returns the time of ``time.monotonic()`` at which the entry waits
                no longer since it stops; asked again during a wait.
        """
        self._name = name
        self._find_end = find_end
        self._fleet = fleet
        self._was_full = False
        self._logged_lost_reports = 0
        self._unresponsive_peers: frozenset[str] = frozenset()
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
        """Claim a key for a request and wait for the result.

        Args:
            key: Value of the header ``Idempotency-Key``.
            fingerprint: Result of ``key_token.compute_fingerprint``.
            deadline: Monotonic time of the request's deadline.

        Returns:
            A permission, a stored answer, or a refusal whose code tells whether a
            request with the key has run. A malformed key is refused with code 4001.
        """
        try:
            token = parse_key(key, fleet=self._fleet, secret=self._secret)
        except CitronspanError as error:
            return Refusal(code=error.code, detail=error.detail)
        return self.claim_token(token, fingerprint, deadline)

    def claim_token(
        self, token: KeyToken, fingerprint: int, deadline: float
    ) -> ClaimResult:
        """Claim a key that is already parsed; see ``claim``."""
        attempt_id = secrets.token_bytes(ATTEMPT_ID_BYTES)
        waiter = self._pending.open(attempt_id)
        with self._lock:
            events = self._protocol.claim(attempt_id, token, fingerprint, deadline)
        self._process_events(events)
        try:
            return self._wait_for_result(waiter, attempt_id, deadline)
        except BaseException:
            self._cancel_attempt(attempt_id)
            raise

    def _wait_for_result(self, waiter, attempt_id, deadline):
        poll_seconds = INITIAL_POLL_SECONDS
        while not waiter.wait(poll_seconds):
            # The worker runs the timers itself, so that a slow process tick does not
            # delay its result.
            self.advance()
            poll_seconds = min(poll_seconds * 2, MAXIMUM_POLL_SECONDS)
            end = min(deadline + CLAIM_GRACE_SECONDS, self._find_end())
            if time.monotonic() >= end:
                return self._cancel_attempt(attempt_id)
        return waiter.answer

    def _cancel_attempt(self, attempt_id) -> Refusal:
        """End an attempt whose worker no longer waits, so that it cannot run later."""
        self._pending.close(attempt_id)
        with self._lock:
            events = self._protocol.cancel_attempt(attempt_id)
        self._process_events(events)
        return Refusal(code=result_codes.KEY_MAY_HAVE_RUN)

    def report_not_run(self, permission: Permission, code: ResultCode) -> None:
        """Report that the permitted request provably did not run; frees the key.

        Args:
            permission: Result of ``claim``.
            code: Result code that the caller receives.

        Raises:
            ValueError: If the ``ran`` of the code is not ``not-run``.
        """
        if code.ran is not result_codes.Ran.NOT_RUN:
            raise ValueError(
                f"{code.name} is not a result code of requests that did not run"
            )
        self._report(permission, ReportKind.NOT_RUN, code=code)

    def report_answer(
        self,
        permission: Permission,
        status: int,
        headers: tuple[tuple[str, str], ...],
        body: bytes,
    ) -> None:
        """Report the complete answer of the target, for later replays.

        Args:
            permission: Result of ``claim``.
            status: HTTP status.
            headers: Names and values of the headers that a replay repeats.
            body: The body. Only its length and digest are stored if it is longer than
                ``MAXIMUM_ANSWER_BYTES``.
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
        """Report a complete answer whose body is not stored.

        Args:
            permission: Result of ``claim``.
            status: HTTP status.
            length: Length of the body in bytes.
            digest: Digest of the body, computed while it was passed on.
        """
        answer = StoredAnswer(
            status=status, headers=(), length=length, digest=digest, body=None
        )
        self._report(permission, ReportKind.ANSWERED, answer=answer)

    def report_lost(self, permission: Permission) -> None:
        """Report that the request may have run and that its answer is lost."""
        self._report(permission, ReportKind.LOST)

    def handle(self, sender: str, message: KeyMessage) -> None:
        """Handle a message of the key protocol from the peer link.

        Args:
            sender: ``Envelope.sender``.
            message: ``Envelope.body``.
        """
        with self._lock:
            events = self._protocol.handle(sender, message)
        self._process_events(events)

    def advance(self) -> None:
        """Run the timers; called at each tick of the process, at least every 50 ms."""
        with self._lock:
            events = self._protocol.advance()
            self._log_state_changes()
        self._process_events(events)

    def is_idle(self) -> bool:
        """Return whether no attempt is waiting and every report is acknowledged.

        A stopping entry waits for this for a limited time, so that the owners of keys
        receive the results of its last requests.
        """
        with self._lock:
            return self._protocol.attempts.count() == 0

    def count_keys(self) -> int:
        """Return the number of keys in the key table."""
        return self._protocol.table.count

    def mint_prefix(self, nodes: Iterable[NodeInfo]) -> str:
        """Mint a prefix owned by this entry, for a refusal that requires a new key.

        The caller can then send again at once, even while the directory still lists a
        peer that is unresponsive.

        Args:
            nodes: Nodes that may be chosen as owner or witness.

        Returns:
            The prefix, empty while the nodes do not show this entry as serving. This
            entry is its own witness if no other entry is responsive.
        """
        unresponsive = self._protocol.wait_limits.list_unresponsive()
        responsive = [
            node for node in nodes if node.entry_peer_address not in unresponsive
        ]
        chosen = choose_owner_and_witness(
            responsive,
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

    def _log_state_changes(self):
        is_full = self._protocol.table.is_full()
        if is_full and not self._was_full:
            write_event(_logger, log_events.KEYS_FULL, keys=self.count_keys())
        self._was_full = is_full
        lost = self._protocol.attempts.undelivered_reports
        if lost > self._logged_lost_reports:
            count = lost - self._logged_lost_reports
            write_event(_logger, log_events.KEY_REPORT_LOST, reports=count)
        self._logged_lost_reports = lost
        unresponsive = self._protocol.wait_limits.list_unresponsive()
        for address in unresponsive - self._unresponsive_peers:
            write_event(_logger, log_events.KEY_PEER_SILENT, peer=address)
        for address in self._unresponsive_peers - unresponsive:
            write_event(_logger, log_events.KEY_PEER_HEARD, peer=address)
        self._unresponsive_peers = unresponsive

    def _report(self, permission, kind, *, code=None, answer=None):
        with self._lock:
            events = self._protocol.report(
                permission.attempt, kind, code=code, answer=answer
            )
        self._process_events(events)

    def _process_events(self, events: list[KeyEvent]) -> None:
        for event in events:
            if isinstance(event, ClaimCompleted):
                self._pending.resolve(event.attempt, event.result)
                continue
            self._send(event)

    def _send(self, event: Outgoing) -> None:
        # The protocol's timers repeat a message that the link could not send.
        self._link.send(event.to, event.message)
