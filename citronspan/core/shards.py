"""Shards of a service's targets, and the entry that is the broker of each.

Both are pure functions of what every entry knows: the configuration and the view of
live entries. Entries whose knowledge differs for a moment may ask different brokers;
that costs sheds by targets, and no promise rests on it.
"""

import math
import random
from collections.abc import Iterable, Mapping, Set
from dataclasses import dataclass
from functools import lru_cache

from citronspan.core.health import TargetInfo
from citronspan.core.node_messages import NodeInfo
from citronspan.utils.rendezvous import choose_member, compute_score, rank_members

BOUNDED_LOAD_FACTOR = 1.25
"""Largest size of a shard against the mean size of the shards."""

CACHED_GROUPS = 512


@dataclass(frozen=True, kw_only=True, slots=True)
class ShardKey:
    """Name of a shard.

    Attributes:
        service: Name of the service.
        region: Region of its targets.
        number: Number from 0 within service and region.
    """

    service: str
    region: str
    number: int

    def format(self) -> str:
        """Return the key as a text for hashing and logs."""
        return f"{self.service}/{self.region}/{self.number}"


@dataclass(frozen=True, kw_only=True, slots=True)
class Shard:
    """Targets that share a broker.

    Attributes:
        key: Name of the shard.
        targets: The targets, by name.
        slots: Sum of their slots, without those of leaving targets.
    """

    key: ShardKey
    targets: tuple[TargetInfo, ...]
    slots: int


@lru_cache(maxsize=CACHED_GROUPS)
def assign_targets_to_shards(
    names: tuple[str, ...], shard_size: int
) -> tuple[int, ...]:
    """Assign targets to shards so that one change of the targets moves few.

    Each target goes to the first shard of its own ranking that has room. Source:
    Mirrokni, Thorup and Zadimoghaddam, "Consistent hashing with bounded loads",
    SODA 2018, here with rendezvous hashing.

    Args:
        names: Names of the targets of one service and region, sorted.
        shard_size: Wanted number of targets in a shard.

    Returns:
        Number of the shard of each name, in the order of the names.
    """
    count = max(1, round(len(names) / shard_size))
    if count == 1:
        return (0,) * len(names)
    room = math.ceil(BOUNDED_LOAD_FACTOR * len(names) / count)
    members = [str(number) for number in range(count)]
    size_by_member = dict.fromkeys(members, 0)
    number_by_name = {}
    # Targets with the smallest hash choose first, so that the outcome depends on
    # the set alone.
    for name in sorted(names, key=lambda name: (compute_score(name, ""), name)):
        for member in rank_members(members, name):
            if size_by_member[member] >= room:
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
        shard_size: Wanted number of targets in a shard.

    Returns:
        The shards by region; those that got no target are left out.
    """
    targets_by_region: dict[str, list[TargetInfo]] = {}
    for target in sorted(targets, key=lambda target: target.name):
        targets_by_region.setdefault(target.region, []).append(target)
    return {
        region: _form_region(service, region, members, shard_size)
        for region, members in targets_by_region.items()
    }


def _form_region(service, region, targets, shard_size):
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
    """Choose the shard that a request asks first.

    Two shards are drawn by their slots and the one with more free slots, as the
    last answers of their brokers told, is taken.

    Args:
        shards: The shards of the service in one region.
        free_by_key: Last known free slots; a shard that is missing counts as free.
        draw: Source of random draws.

    Returns:
        A shard, or None if there is none.
    """
    if not shards:
        return None
    if len(shards) == 1:
        return shards[0]
    weights = [max(1, shard.slots) for shard in shards]
    pair = draw.choices(shards, weights, k=2)

    def find_free_share(shard):
        return free_by_key.get(shard.key, shard.slots) / max(1, shard.slots)

    return max(pair, key=find_free_share)


class BrokerTable:
    """The broker of each shard in one view of the fleet.

    Answers are kept from view to view. A node that came is compared with the
    present broker of each known shard, and a node that went costs a new choice only
    where it was the broker; so a change of the view is cheap in a large fleet.
    """

    def __init__(self):
        self._node_by_name: dict[str, NodeInfo] = {}
        self._names_by_region: dict[str, set[str]] = {}
        self._broker_by_key: dict[ShardKey, str] = {}
        self._addresses: frozenset[str] = frozenset()

    def has_address(self, address: str) -> bool:
        """Return whether an entry with a peer address is serving."""
        return address in self._addresses

    def set_nodes(self, nodes: Iterable[NodeInfo]) -> None:
        """Take a new view.

        Args:
            nodes: All live nodes; those whose entry is not serving are passed over.
        """
        serving = {node.name: node for node in nodes if node.entry_state == "serving"}
        before = self._node_by_name
        self._node_by_name = serving
        self._addresses = frozenset(
            node.entry_peer_address for node in serving.values()
        )
        self._names_by_region = {}
        for node in serving.values():
            self._names_by_region.setdefault(node.region, set()).add(node.name)
        came = [
            node
            for name, node in serving.items()
            if name not in before or before[name].region != node.region
        ]
        for key, name in list(self._broker_by_key.items()):
            node = serving.get(name)
            if node is None or node.region != key.region:
                del self._broker_by_key[key]
                continue
            rivals = [node.name for node in came if node.region == key.region]
            self._broker_by_key[key] = choose_member([name, *rivals], key.format())

    def list_nodes(self) -> tuple[NodeInfo, ...]:
        """Return the nodes whose entries are serving."""
        return tuple(self._node_by_name.values())

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
        """Return the peer address of the broker of a shard, or empty."""
        node = self.find_broker(key)
        return "" if node is None else node.entry_peer_address

    def find_fallback_broker(self, key: ShardKey, silent: Set[str]) -> str:
        """Return the peer address of the first entry that is not silent, or empty.

        Args:
            key: The shard.
            silent: Peer addresses of entries that do not answer.
        """
        names = [
            name
            for name in self._names_by_region.get(key.region, ())
            if self._node_by_name[name].entry_peer_address not in silent
        ]
        name = choose_member(names, key.format())
        return "" if name is None else self._node_by_name[name].entry_peer_address
