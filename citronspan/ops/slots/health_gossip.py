"""Exchange of the state of failure detection between entries.

Verdicts go to the entries of the shard's region, which use them to choose a target
locally or to take over as broker. Notices of crashes go to the entries that combine
them. Reports go to the agent, for operators.
"""

import threading
import time
from collections.abc import Callable

from citronspan.core.brokering.broker_set import BrokerSet
from citronspan.core.detection.health import TargetInfo
from citronspan.core.detection.new_entries import NewEntries
from citronspan.core.detection.poison import PoisonNotice
from citronspan.core.detection.verdict_schedule import (
    VerdictSchedule,
    compute_interval_seconds,
    select_verdicts,
)
from citronspan.core.detection.verdicts import Verdict, VerdictPush, VerdictTable
from citronspan.core.message_base import Multicast, Outgoing
from citronspan.core.node_messages import NodeInfo, ShardReport, TargetReport
from citronspan.ops.slots.broker_log import BrokerLog
from citronspan.ops.slots.quarantine import Quarantine
from citronspan.ops.slots.shard_report import make_received_report, make_shard_report
from citronspan.ops.slots.target_log import TargetLog

FindTarget = Callable[[str], tuple[str, TargetInfo] | None]
"""Returns the service and the target of a target's name, None if unknown."""


class HealthGossip:
    """Sends and receives health state; shares the lock of the slot service."""

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
        self._received_verdicts = received_verdicts
        self._quarantine = quarantine
        self._find_target = find_target
        self._target_log = TargetLog()
        self._broker_log = BrokerLog()
        self._schedule = VerdictSchedule()
        self._new_entries = NewEntries(name=name)

    def merge_verdicts(self, verdicts: tuple[Verdict, ...]) -> None:
        """Merge the verdicts of another broker."""
        with self._lock:
            self._received_verdicts.merge(verdicts)

    def merge_notice(self, notice: PoisonNotice) -> None:
        """Merge another entry's notice of a request that crashes targets."""
        with self._lock:
            self._quarantine.merge(notice)

    def set_nodes(self, nodes: tuple[NodeInfo, ...]) -> list[Outgoing]:
        """Apply a new view; return what its new entries are told at once."""
        with self._lock:
            self._new_entries.set_nodes(nodes)
            return self._quarantine.tell_new_entries(self._new_entries.list_due())

    def write_logs(self) -> None:
        """Log what changed at the brokers of this entry and at their targets."""
        with self._lock:
            self._broker_log.write(self._brokers.describe())
            for key, health in self._brokers.list_health():
                self._target_log.write(key, health)

    def collect_verdicts(self) -> list[Multicast]:
        """Return the verdicts that are due, for the entries of each shard's region.

        Verdicts of targets that are not healthy are renewed, so a fleet in which all
        targets stay healthy sends none.
        """
        with self._lock:
            shards = self._brokers.list_health()
            if not shards:
                return []
            due = self._list_due_receivers({key for key, _ in shards})
            if not due:
                return []
            return [
                multicast
                for key, health in shards
                if (multicast := self._make_multicast(key, health, due)) is not None
            ]

    def _list_due_receivers(self, keys):
        table = self._brokers.table
        regions = {key.region for key in keys}
        receivers = [
            node.entry_peer_address
            for node in table.list_nodes()
            if node.region in regions and node.name != self._name
        ]
        successors = {address for key in keys for address in table.list_successors(key)}
        return self._schedule.list_due(receivers, successors, time.monotonic())

    def _make_multicast(self, key, health, receivers):
        interval = compute_interval_seconds(self._brokers.table.count_nodes(key.region))
        verdicts = select_verdicts(health.issue_verdicts(), interval)
        if not verdicts:
            return None
        message = VerdictPush(service=key.service, verdicts=verdicts)
        return Multicast(receivers=tuple(receivers), message=message)

    def describe(self) -> tuple[ShardReport, ...]:
        """Return a report of each shard that this entry is the broker of."""
        with self._lock:
            return tuple(
                make_shard_report(status, health.describe(), broker=self._name)
                for status, health in self._brokers.describe_with_health()
            )

    def describe_received(self) -> tuple[TargetReport, ...]:
        """Return a report of each target that is not healthy for another broker."""
        now = time.monotonic()
        reports = []
        with self._lock:
            for timed_verdict in self._received_verdicts.list_unhealthy():
                found = self._find_target(timed_verdict.verdict.target)
                if found is None or found[1].address != timed_verdict.verdict.address:
                    continue
                service, target = found
                report = make_received_report(
                    timed_verdict, service=service, target=target, now=now
                )
                reports.append(report)
        return tuple(reports)

    def collect_notices(self) -> list[Outgoing]:
        """Withdraw the evidence of quarantined requests and return due notices.

        Crashes that a quarantined request caused no longer count against targets.

        Returns:
            Messages for the brokers of each service and for the other entries.
        """
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
            return [
                *self._quarantine.collect_notices(brokers_by_service, entries),
                *self._quarantine.tell_new_entries(self._new_entries.list_due()),
            ]
