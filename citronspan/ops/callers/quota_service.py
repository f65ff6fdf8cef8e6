"""Admits requests of client accounts, with the keepers of their quotas.

Charges are decided in ``core/accounts``; this module adds the lock, the waits, the
messages and the log.
"""

import math
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterable

import logbook

from citronspan.core import log_events
from citronspan.core.accounts.quota_holder import QuotaHolder
from citronspan.core.accounts.quota_keeper import QuotaKeeper
from citronspan.core.accounts.quota_messages import (
    QuotaAnswer,
    QuotaAsk,
    QuotaHandover,
    QuotaMessage,
    QuotaReturn,
)
from citronspan.core.accounts.quota_request import (
    ADMITTED,
    Decision,
    charge_request,
)
from citronspan.core.accounts.quota_seats import QuotaSeats
from citronspan.core.accounts.quota_terms import has_fleet_quota
from citronspan.core.node_messages import NodeInfo
from citronspan.core.resources import AccountSpec
from citronspan.core.return_times import spread_evenly
from citronspan.core.settings import QuotaRules
from citronspan.ops.peers.peer_link import PeerLink
from citronspan.utils.logs import write_event

RETURN_INTERVAL_SECONDS = 0.1
LEAST_RETURN_SECONDS = 0.3
MOST_RETURN_SECONDS = 1.2
"""Bounds of the times after which callers may come back while no keeper is known."""

FORGET_INTERVAL_SECONDS = 1.0
LOG_INTERVAL_SECONDS = 5.0
"""Least time between two log lines about refusals of the same account."""

MAXIMUM_LOGGED_ACCOUNTS = 1_000

_logger = logbook.Logger("quota")


class QuotaService:
    """The ``AccountAdmission`` of an entry; safe for threads.

    Attributes:
        count_by_decision: Number of requests by how they were decided.
    """

    def __init__(
        self,
        *,
        name: str,
        region: str,
        link: PeerLink,
        rules: QuotaRules,
        find_spec: Callable[[str], AccountSpec | None],
    ):
        """Create a service that knows no other host.

        Args:
            name: Name of the host.
            region: Region of the host.
            link: Link to the peers.
            rules: Bounds of the deployment.
            find_spec: Returns the specification of an account in force, or None.
        """
        self.count_by_decision: Counter[Decision] = Counter()
        self._link = link
        self._lock = threading.Lock()
        self._seats = QuotaSeats(name=name, region=region, incarnation=link.incarnation)
        self._keeper = QuotaKeeper(rules=rules, seats=self._seats, find_spec=find_spec)
        self._holder = QuotaHolder(
            name=name, region=region, rules=rules, seats=self._seats
        )
        self._event_by_ask_id: dict[int, threading.Event] = {}
        self._returned_at = 0.0
        self._forgotten_at = 0.0
        self._logged_at_by_name: dict[str, float] = {}
        self._refused_by_name: Counter[str] = Counter()

    def admit(self, name: str, spec: AccountSpec, deadline: float) -> float:
        """Charge one request to an account; see ``AccountAdmission``."""
        if not has_fleet_quota(spec):
            return 0.0
        decision = self._run(charge_request(self._holder, name, spec, deadline))
        with self._lock:
            self.count_by_decision[decision] += 1
            if decision in ADMITTED:
                return 0.0
            retry_after_seconds = self._find_retry_after(name, spec, decision)
            fields = self._note_refusal(name, decision, retry_after_seconds)
        if fields is not None:
            write_event(_logger, log_events.ACCOUNT_REFUSED, **fields)
        return retry_after_seconds

    def give_back(self, name: str) -> None:
        """Give back the charge of a request that was refused without having run."""
        with self._lock:
            self._holder.give_back(name)

    def handle(self, sender: str, incarnation: int, message: QuotaMessage) -> None:
        """Handle a message of the quotas from the peer link.

        Args:
            sender: ``Envelope.sender``.
            incarnation: ``Envelope.incarnation``.
            message: ``Envelope.body``.
        """
        with self._lock:
            if isinstance(message, QuotaAnswer):
                self._receive(message)
                return
            if isinstance(message, QuotaReturn):
                self._keeper.take_back(sender, incarnation, message)
                return
            if isinstance(message, QuotaHandover):
                self._keeper.take_over(message)
                return
            answer = self._keeper.ask(message)
        self._link.send(sender, answer)

    def set_nodes(
        self, nodes: Iterable[NodeInfo], *, awaits_peers: bool = False
    ) -> None:
        """Replace the view of the fleet; see ``ViewPush``."""
        with self._lock:
            has_changed = self._seats.set_nodes(nodes, awaits_peers=awaits_peers)
            outgoing = self._keeper.move_seats() if has_changed else []
        self._link.send_all(outgoing)

    def hand_over_all(self) -> None:
        """Lend nothing more, since the entry stops."""
        with self._lock:
            outgoing = self._keeper.stop()
        self._link.send_all(outgoing)

    def advance(self) -> None:
        """Run the timers; called at each tick of the process."""
        now = time.monotonic()
        outgoing = []
        with self._lock:
            self._keeper.note_tick()
            if now - self._returned_at >= RETURN_INTERVAL_SECONDS:
                self._returned_at = now
                outgoing = self._holder.collect_returns()
            if now - self._forgotten_at >= FORGET_INTERVAL_SECONDS:
                self._forgotten_at = now
                self._keeper.forget_idle()
                self._holder.forget_idle()
        for item in outgoing:
            self._deliver(item.to, item.message)

    def count_accounts(self) -> int:
        """Return the number of accounts in use at this host."""
        return self._holder.count_accounts()

    def count_seats(self) -> int:
        """Return the number of seats in use that this entry keeps."""
        return self._keeper.count_seats()

    def is_alone(self) -> bool:
        """Return whether no other host's keeper answers this one."""
        return self._holder.is_alone()

    def _run(self, request) -> Decision:
        """Run a request's generator: its steps under the lock, its waits without."""
        event = threading.Event()
        asked: list[QuotaAsk] = []
        try:
            while True:
                event.clear()
                with self._lock:
                    wait = next(request)
                    for ask in wait.asks:
                        asked.append(ask.message)
                        self._event_by_ask_id[ask.message.ask_id] = event
                for ask in wait.asks:
                    self._deliver(ask.address, ask.message)
                remaining_seconds = wait.until - time.monotonic()
                if remaining_seconds > 0:
                    event.wait(remaining_seconds)
        except StopIteration as stop:
            return stop.value
        finally:
            with self._lock:
                for message in asked:
                    self._event_by_ask_id.pop(message.ask_id, None)

    def _deliver(self, address, message):
        """Send a message, or handle it if this host is its receiver."""
        if address != self._link.address:
            self._link.send(address, message)
            return
        with self._lock:
            if isinstance(message, QuotaAsk):
                self._receive(self._keeper.ask(message))
                return
            self._keeper.take_back(address, self._link.incarnation, message)

    def _receive(self, answer):
        if not self._holder.receive(answer):
            return
        event = self._event_by_ask_id.get(answer.ask_id)
        if event is not None:
            event.set()

    def _find_retry_after(self, name, spec, decision):
        if decision is not Decision.NO_KEEPER:
            return self._holder.compute_retry_after(name, spec)
        count = self.count_by_decision[decision]
        return spread_evenly(count, LEAST_RETURN_SECONDS, MOST_RETURN_SECONDS)

    def _note_refusal(self, name, decision, retry_after_seconds):
        """Count a refusal; return the fields of a line if one is due, else None."""
        self._refused_by_name[name] += 1
        now = time.monotonic()
        if now - self._logged_at_by_name.get(name, -math.inf) < LOG_INTERVAL_SECONDS:
            return None
        if len(self._logged_at_by_name) >= MAXIMUM_LOGGED_ACCOUNTS:
            self._logged_at_by_name.clear()
        self._logged_at_by_name[name] = now
        return {
            "account": name,
            "reason": str(decision),
            "refusals": self._refused_by_name.pop(name),
            "retry_after": round(retry_after_seconds, 3),
            "fleet_share": round(self._seats.compute_fleet_share(), 3),
            "keepers": self._holder.list_keeper_addresses(name),
        }
