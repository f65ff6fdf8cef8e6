"""Assignment of a service's targets to shards and of a broker to each shard.

Both are pure functions of the configuration and of the view of live entries, which
every entry has. Entries whose view or configuration differs for a moment may use
different brokers. Targets then shed some requests, but no guarantee depends on it.
"""

import math
import random
from collections.abc import Iterable, Mapping, Set
from dataclasses import dataclass
from functools import lru_cache

from citronspan.core.detection.health import TargetInfo
from citronspan.core.known_hosts import ALL_REGIONS, KnownHosts
from citronspan.core.node_messages import NodeInfo
from citronspan.utils.rendezvous import choose_member, compute_score, rank_members

BOUNDED_LOAD_FACTOR = 1.25
"""Maximum size of a shard relative to the mean size of the shards."""

MAXIMUM_CACHED_ASSIGNMENTS = 512

SUCCESSORS_PER_SHARD = 3
"""Entries that are kept ready to replace the broker of a shard."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ShardKey:
    """Identifier of a shard.

    Attributes:
        service: Name of the service.
        region: Region of its targets.
        number: Index of the shard within its service and region, from 0.
    """

    service: str
    region: str
    number: int

    def format(self) -> str:
        """Return the key as a string for hashing and logs."""
        return f"{self.service}/{self.region}/{self.number}"


@dataclass(frozen=True, kw_only=True, slots=True)
class Shard:
    """Targets that share a broker.

    Attributes:
        key: Identifier of the shard.
        targets: Targets of the shard, sorted by name.
        slots: Total slots of the targets that are not leaving.
    """

    key: ShardKey
    targets: tuple[TargetInfo, ...]
    slots: int


@lru_cache(maxsize=MAXIMUM_CACHED_ASSIGNMENTS)
def assign_targets_to_shards(
    names: tuple[str, ...], shard_size: int
) -> tuple[int, ...]:
    """Assign targets to shards so that adding or removing a target moves few others.

    Each target goes to the first shard in its own ranking that is not full. Source:
    Mirrokni, Thorup and Zadimoghaddam, "Consistent hashing with bounded loads",
    SODA 2018, applied to rendezvous hashing.

    Args:
        names: Names of the targets of one service and region, sorted.
        shard_size: Preferred number of targets per shard.

    Returns:
        Shard number of each target, in the order of ``names``.
    """
    shard_count = max(1, round(len(names) / shard_size))
    if shard_count == 1:
        return (0,) * len(names)
    capacity = math.ceil(BOUNDED_LOAD_FACTOR * len(names) / shard_count)
    members = [str(number) for number in range(shard_count)]
    size_by_member = dict.fromkeys(members, 0)
    number_by_name = {}
    # Targets are assigned in the order of their hashes, so that the result depends
    # only on the set of names.
    for name in sorted(names, key=lambda name: (compute_score(name, ""), name)):
        for member in rank_members(members, name):
            if size_by_member[member] >= capacity:
                continue
            size_by_member[member] += 1
            number_by_name[name] = int(member)
            break
    return tuple(number_by_name[name] for name in names)


def form_shards(
    service: str, targets: Iterable[TargetInfo], shard_size: int
) -> dict[str, tuple[Shard, ...]]:
    """Form the shards of one service.

    Args:
        service: Name of the service.
        targets: All targets of the service.
        shard_size: Preferred number of targets per shard.

    Returns:
        Shards by region, without those that have no targets.
    """
    targets_by_region: dict[str, list[TargetInfo]] = {}
    for target in sorted(targets, key=lambda target: target.name):
        targets_by_region.setdefault(target.region, []).append(target)
    return {
        region: _form_region_shards(service, region, members, shard_size)
        for region, members in targets_by_region.items()
    }


def _form_region_shards(service, region, targets, shard_size):
    numbers = assign_targets_to_shards(
        tuple(target.name for target in targets), shard_size
    )
    members_by_number: dict[int, list[TargetInfo]] = {}
    for target, number in zip(targets, numbers, strict=True):
        members_by_number.setdefault(number, []).append(target)
    return tuple(
        Shard(
            key=ShardKey(service=service, region=region, number=number),
            targets=tuple(members),
            slots=sum(target.slots for target in members if not target.leaving),
        )
        for number, members in sorted(members_by_number.items())
    )


def choose_shard(
    shards: tuple[Shard, ...],
    free_by_key: Mapping[ShardKey, int],
    draw: random.Random,
) -> Shard | None:
    """Choose the shard whose broker a request is sent to first.

    Two shards are drawn with their slots as weights. The one with the larger share of
    free slots in the last answers of the brokers is chosen.

    Args:
        shards: Shards of the service in one region.
        free_by_key: Last known number of free slots. A shard without an entry counts
            as entirely free.
        draw: Random number generator.

    Returns:
        Chosen shard, or None if there are no shards.
    """
    if not shards:
        return None
    if len(shards) == 1:
        return shards[0]
    weights = [max(1, shard.slots) for shard in shards]
    drawn = draw.choices(shards, weights, k=2)

    def compute_free_share(shard):
        return free_by_key.get(shard.key, shard.slots) / max(1, shard.slots)

    return max(drawn, key=compute_free_share)


class BrokerTable:
    """Broker of each shard in the current view of the fleet.

    Chosen brokers are cached across views. A node that joins is compared with the
    current broker of each known shard, and a node that leaves causes a new choice only
    for the shards whose broker it was. A change of the view is therefore cheap even in
    a large fleet.
    """

    def __init__(self):
        self._node_by_name: dict[str, NodeInfo] = {}
        self._names_by_region: dict[str, set[str]] = {}
        self._broker_by_key: dict[ShardKey, str] = {}
        self._successors_by_key: dict[ShardKey, tuple[str, ...]] = {}
        self._addresses: frozenset[str] = frozenset()
        self._known = KnownHosts()

    def has_address(self, address: str) -> bool:
        """Return whether a serving entry has this peer address."""
        return address in self._addresses

    def set_nodes(
        self, nodes: Iterable[NodeInfo], *, awaits_peers: bool = False
    ) -> None:
        """Replace the view of the fleet.

        Args:
            nodes: All live nodes. Nodes whose entry is not serving are skipped.
            awaits_peers: Whether this node has peers to meet and has met none yet.
        """
        nodes = list(nodes)
        self._known.set_nodes(nodes, awaits_peers=awaits_peers)
        serving = {node.name: node for node in nodes if node.entry_state == "serving"}
        previous = self._node_by_name
        self._node_by_name = serving
        self._successors_by_key = {}
        self._addresses = frozenset(
            node.entry_peer_address for node in serving.values()
        )
        self._names_by_region = {}
        for node in serving.values():
            self._names_by_region.setdefault(node.region, set()).add(node.name)
        joined = [
            node
            for name, node in serving.items()
            if name not in previous or previous[name].region != node.region
        ]
        for key, name in list(self._broker_by_key.items()):
            node = serving.get(name)
            if node is None or node.region != key.region:
                del self._broker_by_key[key]
                continue
            joined_names = [node.name for node in joined if node.region == key.region]
            self._broker_by_key[key] = choose_member(
                [name, *joined_names], key.format()
            )

    def list_nodes(self) -> tuple[NodeInfo, ...]:
        """Return the nodes whose entry is serving."""
        return tuple(self._node_by_name.values())

    def count_nodes(self, region: str) -> int:
        """Return the number of nodes of a region whose entry is serving."""
        return len(self._names_by_region.get(region, ()))

    def count_known(self, region: str | None = ALL_REGIONS) -> int:
        """Return the number of nodes of a region that served lately, 1 at least."""
        return self._known.count(region)

    def compute_share(self, region: str) -> float:
        """Return the part of a region's nodes known lately that the view shows.

        It is what a broker may use of anything that the brokers of all parts of a
        parted fleet share. It is 0 while this node does not know its fleet.
        """
        return self._known.compute_share(region)

    def find_broker(self, key: ShardKey) -> NodeInfo | None:
        """Return the node whose entry is the broker of a shard, or None."""
        name = self._broker_by_key.get(key)
        if name is None:
            name = choose_member(
                self._names_by_region.get(key.region, ()), key.format()
            )
            if name is None:
                return None
            self._broker_by_key[key] = name
        return self._node_by_name[name]

    def find_address(self, key: ShardKey) -> str:
        """Return the peer address of a shard's broker, or an empty string."""
        node = self.find_broker(key)
        return "" if node is None else node.entry_peer_address

    def list_successors(self, key: ShardKey) -> tuple[str, ...]:
        """Return the peer addresses of the entries that would replace a broker."""
        successors = self._successors_by_key.get(key)
        if successors is None:
            names = rank_members(
                self._names_by_region.get(key.region, ()), key.format()
            )
            successors = tuple(
                self._node_by_name[name].entry_peer_address
                for name in names[1 : 1 + SUCCESSORS_PER_SHARD]
            )
            self._successors_by_key[key] = successors
        return successors

    def find_fallback_broker(
        self, key: ShardKey, unresponsive_addresses: Set[str]
    ) -> str:
        """Choose the broker of a shard among the entries that respond.

        Args:
            key: Identifier of the shard.
            unresponsive_addresses: Peer addresses of entries that do not respond.

        Returns:
            Peer address of the highest-ranked responding entry, or an empty string.
        """
        names = [
            name
            for name in self._names_by_region.get(key.region, ())
            if self._node_by_name[name].entry_peer_address not in unresponsive_addresses
        ]
        name = choose_member(names, key.format())
        return "" if name is None else self._node_by_name[name].entry_peer_address
