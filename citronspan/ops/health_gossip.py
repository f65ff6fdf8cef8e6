"""What an entry tells others of its shards' detection, and what it hears of theirs.

Verdicts go to the entries of the region, which use them when they must choose alone
or become broker; crashes go to where they can be put together; reports go to the
agent for operators.
"""

import threading
import time
from collections.abc import Callable

from citronspan.core.broker_set import BrokerSet
from citronspan.core.health import TargetInfo
from citronspan.core.message_base import Outgoing
from citronspan.core.node_messages import ShardReport, TargetReport
from citronspan.core.poison import PoisonNotice
from citronspan.core.verdicts import Verdict, VerdictPush, VerdictTable
from citronspan.ops.broker_log import BrokerLog
from citronspan.ops.quarantine import Quarantine
from citronspan.ops.shard_report import make_received_report, make_shard_report
from citronspan.ops.target_log import TargetLog

FindTarget = Callable[[str], tuple[str, TargetInfo] | None]
"""Finds service and target by the target's name."""


class HealthGossip:
    """News of detection, sent and heard; shares the lock of the slot service."""

    def __init__(
        self,
        *,
        name: str,
        lock: threading.RLock,
        brokers: BrokerSet,
        received_verdicts: VerdictTable,
        quarantine: Quarantine,
        find_target: FindTarget,
    ):
        self._name = name
        self._lock = lock
        self._brokers = brokers
        self._heard = received_verdicts
        self._quarantine = quarantine
        self._find_target = find_target
        self._target_log = TargetLog()
        self._broker_log = BrokerLog()

    def merge_verdicts(self, verdicts: tuple[Verdict, ...]) -> None:
        """Take verdicts of another broker."""
        with self._lock:
            self._heard.merge(verdicts)

    def merge_notice(self, notice: PoisonNotice) -> None:
        """Take another entry's word on a request that crashes targets."""
        with self._lock:
            self._quarantine.merge(notice)

    def collect_verdicts(self) -> list[Outgoing]:
        """Return verdicts for the entries that may have to choose by themselves.

        They go to the shard's region when something changed and are renewed while
        a target is not healthy, so a fleet without sick targets sends none.
        """
        outgoing = []
        with self._lock:
            self._broker_log.write(self._brokers.describe())
            for key, health in self._brokers.list_health():
                changed = self._target_log.write(key, health)
                verdicts = health.issue_verdicts()
                if not changed:
                    # Renewals are for what is held against targets.
                    verdicts = tuple(v for v in verdicts if v.state != "healthy")
                if not verdicts:
                    continue
                message = VerdictPush(service=key.service, verdicts=verdicts)
                outgoing += [
                    Outgoing(to=node.entry_peer_address, message=message)
                    for node in self._brokers.table.list_nodes()
                    if node.region == key.region and node.name != self._name
                ]
        return outgoing

    def describe(self) -> tuple[ShardReport, ...]:
        """Return what this entry's brokers are doing."""
        with self._lock:
            return tuple(
                make_shard_report(status, health.describe(), broker=self._name)
                for status, health in self._brokers.describe_with_health()
            )

    def describe_received(self) -> tuple[TargetReport, ...]:
        """Return the targets that other brokers hold as not healthy."""
        now = time.monotonic()
        reports = []
        with self._lock:
            for held in self._heard.list_unhealthy():
                found = self._find_target(held.verdict.target)
                if found is None or found[1].address != held.verdict.address:
                    continue
                service, known = found
                report = make_received_report(
                    held, service=service, known=known, now=now
                )
                reports.append(report)
        return tuple(reports)

    def collect_notices(self) -> list[Outgoing]:
        """Withdraw the blame of quarantined requests from targets and tell others."""
        with self._lock:
            for service, fingerprint in self._quarantine.list_quarantined():
                for key, health in self._brokers.list_health():
                    if key.service == service:
                        health.withdraw(fingerprint)
            table = self._brokers.table
            brokers_by_service: dict[str, set[str]] = {}
            for (service, _), shards in self._brokers.shards_by_group.items():
                found = {table.find_address(shard.key) for shard in shards}
                brokers_by_service.setdefault(service, set()).update(found)
            entries = {node.entry_peer_address for node in table.list_nodes()}
            entries.discard(self._brokers.address)
            return self._quarantine.collect_notices(brokers_by_service, entries)
