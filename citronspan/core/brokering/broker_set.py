"""The brokers of one entry, and its view of which entry is the broker of each shard.

The set routes messages to the broker of their shard, creates a broker when the first
message for a shard arrives, and hands a shard over when a new view of the fleet
assigns it to another entry.
"""

import time
from collections.abc import Callable, Iterable
from typing import Protocol, runtime_checkable

from citronspan.core.brokering.broker import Broker
from citronspan.core.brokering.broker_limits import BrokerLimits, RetryLimits
from citronspan.core.brokering.broker_messages import (
    BrokerHandover,
    BrokerMessage,
    SlotCancel,
    SlotRedirect,
    SlotRefusal,
    SlotRequest,
)
from citronspan.core.brokering.broker_status import BrokerStatus, SlotDecision
from citronspan.core.brokering.hedge_policy import NO_HEDGES, HedgeLimits
from citronspan.core.brokering.rate_pacer import (
    FULL_RATE_SHARE,
    NEW_BROKER_RATE_SHARE,
    NEW_BROKER_SECONDS,
    RateShare,
    divide_fallback_share,
    limit_to_part,
)
from citronspan.core.brokering.retry_window import RetryWindow
from citronspan.core.brokering.shards import BrokerTable, Shard, ShardKey, form_shards
from citronspan.core.detection.health import Health, TargetInfo
from citronspan.core.detection.verdicts import Verdict, VerdictTable
from citronspan.core.message_base import Outgoing
from citronspan.core.node_messages import NodeInfo
from citronspan.core.resources import Detection, ServiceSpec
from citronspan.core.result_codes import NO_CAPACITY


@runtime_checkable
class PortableHealth(Protocol):
    """Detection whose evidence can be passed to the next broker of a shard."""

    def issue_verdicts(self) -> tuple[Verdict, ...]:
        """Return this broker's verdict on each target."""

    def import_verdicts(self, table: VerdictTable) -> None:
        """Import the verdicts of other brokers; own evidence takes precedence."""


class BrokerSet:
    """The brokers that one entry runs.

    Attributes:
        address: Peer address of this entry.
        shards_by_group: Shards by service name and region.
        table: The broker of each shard in the current view of the fleet.
    """

    def __init__(
        self,
        *,
        address: str,
        make_health: Callable[[ShardKey, ServiceSpec], Health],
        region_link_bytes_per_second: float = 0.0,
    ):
        """Create an empty set.

        Args:
            address: Peer address of this entry.
            make_health: Factory of failure detection, called once for each broker.
            region_link_bytes_per_second: Budget of the links between regions for the
                requests of all services at all hosts, 0 for none.
        """
        self._region_link_bytes_per_second = region_link_bytes_per_second
        self.address = address
        self.shards_by_group: dict[tuple[str, str], tuple[Shard, ...]] = {}
        self.table = BrokerTable()
        self._make_health = make_health
        self._spec_by_service: dict[str, ServiceSpec] = {}
        self._shard_by_key: dict[ShardKey, Shard] = {}
        self._preceding_targets_by_key: dict[ShardKey, int] = {}
        self._broker_by_key: dict[ShardKey, Broker] = {}
        self._assigned_at_by_key: dict[ShardKey, float] = {}

    def describe(self) -> list[BrokerStatus]:
        """Return the state and counters of each broker."""
        return [broker.describe() for broker in self._broker_by_key.values()]

    def drain_decisions(self) -> list[SlotDecision]:
        """Return all decisions since the last call, for logging, and clear them."""
        return [
            decision
            for broker in self._broker_by_key.values()
            for decision in broker.drain_decisions()
        ]

    def list_broker_addresses(self) -> frozenset[str]:
        """Return the peer addresses of the entries that are a shard's broker."""
        addresses = {self.table.find_address(key) for key in self._shard_by_key}
        return frozenset(addresses - {""})

    def list_health(self) -> list[tuple[ShardKey, Health]]:
        """Return the key and detection of each shard that was not handed over."""
        return [
            (key, broker.health)
            for key, broker in self._broker_by_key.items()
            if not broker.successor
        ]

    def describe_with_health(self) -> list[tuple[BrokerStatus, Health]]:
        """Return the status and detection of each broker that has not handed over."""
        return [
            (broker.describe(), broker.health)
            for broker in self._broker_by_key.values()
            if not broker.successor
        ]

    def find_shard(self, key: ShardKey) -> Shard | None:
        """Return a shard by its key, or None."""
        return self._shard_by_key.get(key)

    def find_health(self, key: ShardKey) -> Health | None:
        """Return the detection of a shard, or None if it has no broker here."""
        broker = self._broker_by_key.get(key)
        return None if broker is None else broker.health

    def set_service(
        self, service: str, spec: ServiceSpec, targets: Iterable[TargetInfo]
    ) -> list[Outgoing]:
        """Add or replace a service; callers do this for changed services only.

        Args:
            service: Name of the service.
            spec: Specification of the service.
            targets: All its targets in all regions, including leaving ones.

        Returns:
            Messages to send.
        """
        self._remove_shards(service)
        self._spec_by_service[service] = spec
        preceding_targets = 0
        shards_by_region = form_shards(service, targets, spec.shard_size)
        for region, shards in sorted(shards_by_region.items()):
            self.shards_by_group[service, region] = shards
            for shard in shards:
                self._shard_by_key[shard.key] = shard
                self._preceding_targets_by_key[shard.key] = preceding_targets
                preceding_targets += sum(not target.leaving for target in shard.targets)
        return self._update_brokers(service)

    def count_preceding_targets(self, key: ShardKey) -> int:
        """Return the number of a service's targets in the shards before one of them.

        All entries order the shards alike, by region and number.
        """
        return self._preceding_targets_by_key.get(key, 0)

    def remove_service(self, service: str) -> list[Outgoing]:
        """Remove a service.

        Returns:
            Refusals for the queued requests.
        """
        self._remove_shards(service)
        self._spec_by_service.pop(service, None)
        return self._update_brokers(service)

    def set_nodes(
        self, nodes: Iterable[NodeInfo], *, awaits_peers: bool = False
    ) -> list[Outgoing]:
        """Apply a new view of the fleet.

        Args:
            nodes: All live nodes, this one included.
            awaits_peers: Whether this node has peers to meet and has met none yet.

        Returns:
            Handovers of shards that now have another broker, and redirects for their
            queued requests.
        """
        self.table.set_nodes(nodes, awaits_peers=awaits_peers)
        outgoing = []
        for key, broker in self._broker_by_key.items():
            address = self.table.find_address(key)
            if address == self.address:
                self._assigned_at_by_key.setdefault(key, time.monotonic())
                broker.resume()
                continue
            self._assigned_at_by_key.pop(key, None)
            if not address or broker.successor == address:
                continue
            outgoing += broker.hand_over(address, _issue_verdicts(broker.health))
        return outgoing

    def handle(self, sender: str, message: BrokerMessage) -> list[Outgoing]:
        """Handle one message for a broker.

        Args:
            sender: Peer address of the sender.
            message: The message.

        Returns:
            Messages to send.
        """
        key = ShardKey(
            service=message.service, region=message.region, number=message.shard
        )
        broker = self._broker_by_key.get(key)
        if broker is None:
            if not self._should_create_broker(key, message):
                return self._answer_without_broker(sender, key, message)
            broker = self._create_broker(key)
        if isinstance(message, BrokerHandover):
            _import_verdicts(broker.health, message.verdicts)
        return broker.handle(sender, message)

    def advance(self) -> list[Outgoing]:
        """Advance all brokers and drop idle ones that this entry need not run.

        The caller runs this several times a second.

        Returns:
            Messages to send.
        """
        outgoing = []
        for key, broker in list(self._broker_by_key.items()):
            outgoing += broker.advance()
            is_local = self.table.find_address(key) == self.address
            if is_local and key in self._shard_by_key:
                continue
            if broker.is_idle():
                del self._broker_by_key[key]
                self._assigned_at_by_key.pop(key, None)
        return outgoing

    def _should_create_broker(self, key, message):
        """Return whether to create a missing broker for a message."""
        if key not in self._shard_by_key or isinstance(message, SlotCancel):
            return False
        if isinstance(message, BrokerHandover):
            return True
        if isinstance(message, SlotRequest) and message.force:
            return True
        return self.table.find_address(key) == self.address

    def _answer_without_broker(self, sender, key, message):
        if not isinstance(message, SlotRequest):
            return []
        attempt_id = message.attempt_id
        if key in self._shard_by_key:
            broker = self.table.find_address(key)
            answer = SlotRedirect(attempt_id=attempt_id, broker=broker)
        else:
            answer = SlotRefusal(attempt_id=attempt_id, code=NO_CAPACITY.number)
        return [Outgoing(to=sender, message=answer)]

    def _create_broker(self, key):
        shard = self._shard_by_key[key]
        spec = self._spec_by_service[key.service]
        limits = self._make_limits(key, spec)
        if self.table.find_address(key) == self.address:
            self._assigned_at_by_key.setdefault(key, time.monotonic())
        broker = Broker(
            key=key,
            health=self._make_health(key, spec),
            targets=shard.targets,
            link_bytes_per_second=limits.link_bytes_per_second,
            find_link_share=lambda: self._find_link_share(key),
            retry_window=self._make_retry_window(key, limits.retries),
            floor=limits.floor,
            count_preceding_targets=lambda: self.count_preceding_targets(key),
            holder=self.address,
            find_rate_share=lambda: self._find_rate_share(key),
            find_hedge_limits=lambda: self._find_hedge_limits(key.service),
        )
        self._broker_by_key[key] = broker
        return broker

    def _find_rate_share(self, key) -> RateShare:
        assigned_at = self._assigned_at_by_key.get(key)
        if assigned_at is None:
            return divide_fallback_share(self.table.count_known(key.region))
        is_new = time.monotonic() - assigned_at < NEW_BROKER_SECONDS
        return limit_to_part(
            NEW_BROKER_RATE_SHARE if is_new else FULL_RATE_SHARE,
            self.table.compute_share(key.region),
        )

    def _find_hedge_limits(self, service) -> HedgeLimits:
        spec = self._spec_by_service.get(service)
        if spec is None or not spec.hedge_share:
            return NO_HEDGES
        return HedgeLimits(
            share=spec.hedge_share, minimum_seconds=spec.hedge_delay_seconds or 0.0
        )

    def _find_link_share(self, key) -> float:
        """Return the part of a shard's link budget that the fleet's budget leaves.

        The fleet's budget is divided by slots over all shards, which all entries form
        alike, so that its sum holds without messages between brokers.
        """
        shard = self._shard_by_key.get(key)
        if not self._region_link_bytes_per_second or shard is None:
            return 1.0
        spec = self._spec_by_service[key.service]
        group = self.shards_by_group[key.service, key.region]
        own_rate = spec.link_bytes_per_second / len(group)
        slots = sum(item.slots for item in self._shard_by_key.values())
        if not own_rate or not slots:
            return 1.0
        rate = self._region_link_bytes_per_second * shard.slots / slots
        return min(rate / own_rate, 1.0)

    def _make_limits(self, key, spec) -> BrokerLimits:
        group = self.shards_by_group[key.service, key.region]
        shard_count = sum(
            len(shards)
            for (name, _), shards in self.shards_by_group.items()
            if name == key.service
        )
        ejects = spec.detection is not Detection.FAILURE_EPISODES
        return BrokerLimits(
            link_bytes_per_second=spec.link_bytes_per_second / len(group),
            floor=0.0 if ejects else spec.floor,
            retries=RetryLimits(
                ratio=spec.retry_ratio,
                slack=spec.retry_slack / max(shard_count, 1),
                window_seconds=spec.retry_window_seconds,
            ),
        )

    def _make_retry_window(self, key, limits):
        return RetryWindow(
            ratio=limits.ratio,
            slack=limits.slack,
            window_seconds=limits.window_seconds,
            count_possible_brokers=lambda: self.table.count_known(key.region),
            find_fleet_share=lambda: self.table.compute_share(key.region),
        )

    def _remove_shards(self, service):
        for group in [group for group in self.shards_by_group if group[0] == service]:
            for shard in self.shards_by_group.pop(group):
                del self._shard_by_key[shard.key]
                del self._preceding_targets_by_key[shard.key]

    def _update_brokers(self, service):
        """Give the brokers of a service its present limits and targets."""
        spec = self._spec_by_service.get(service)
        outgoing = []
        for key, broker in self._broker_by_key.items():
            if key.service != service:
                continue
            shard = self._shard_by_key.get(key)
            if shard is not None:
                broker.set_limits(self._make_limits(key, spec))
            outgoing += broker.set_targets(shard.targets if shard else ())
        return outgoing


def _issue_verdicts(health: Health) -> tuple[Verdict, ...]:
    return health.issue_verdicts() if isinstance(health, PortableHealth) else ()


def _import_verdicts(health: Health, verdicts: tuple[Verdict, ...]) -> None:
    if not verdicts or not isinstance(health, PortableHealth):
        return
    table = VerdictTable()
    table.merge(verdicts)
    health.import_verdicts(table)
