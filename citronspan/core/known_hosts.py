"""Hosts that served lately, and the part of them that a view shows.

Load pattern: many hosts that lose each other, or their view, at the same time. Each one
then decides alone on what the whole fleet may spend together. The parts of a parted
fleet are disjoint, and so are equal parts for each known host; what each host may spend
by its part stays within the whole, whoever is lost or cut.

A host that has just started knows the fleet only once it has met a peer. Until then its
part is none, where its settings name peers to meet.
"""

import math
import time
from collections.abc import Iterable

from citronspan.core.node_messages import NodeInfo
from citronspan.utils.rendezvous import rank_members

MAJORITY_MEMORY_SECONDS = 60.0
"""Time for which a host that left the view counts, at those who still see most."""

MINORITY_MEMORY_SECONDS = 600.0
"""The same at those who see half of the hosts or fewer: they are likely cut off."""

MEETING_SECONDS = MAJORITY_MEMORY_SECONDS
"""Time after which a host that has met none of the peers to meet is taken to be the
last one of its fleet."""

ALL_REGIONS = None


class KnownHosts:
    """Serving hosts in the present view and lately before; not safe for threads."""

    def __init__(self):
        """Create a table without hosts."""
        self._started_at = time.monotonic()
        self._awaits_peers = False
        self._visible_names: frozenset[str] = frozenset()
        self._region_by_name: dict[str, str] = {}
        self._seen_at_by_name: dict[str, float] = {}
        self._rank_by_key: dict[str, int] = {}

    def set_nodes(
        self, nodes: Iterable[NodeInfo], *, awaits_peers: bool = False
    ) -> None:
        """Replace the view.

        Args:
            nodes: All live nodes. Nodes whose entry is not serving are skipped.
            awaits_peers: Whether this host has peers to meet and has met none yet.
        """
        now = time.monotonic()
        self._awaits_peers = awaits_peers
        for name in self._visible_names:
            self._seen_at_by_name[name] = now
        serving = [node for node in nodes if node.entry_state == "serving"]
        for node in serving:
            self._seen_at_by_name[node.name] = now
            self._region_by_name[node.name] = node.region
        self._visible_names = frozenset(node.name for node in serving)
        self._rank_by_key.clear()

    def knows_fleet(self) -> bool:
        """Return whether this host has met its peers, or there are none to meet."""
        if not self._awaits_peers:
            return True
        return time.monotonic() - self._started_at >= MEETING_SECONDS

    def count(self, region: str | None = ALL_REGIONS) -> int:
        """Return the number of hosts that served lately, 1 at least."""
        self._forget()
        return max(sum(1 for _ in self._list_known(region)), 1)

    def compute_share(self, region: str | None = ALL_REGIONS) -> float:
        """Return the part of the hosts known lately that the view shows, 0 to 1.

        It is 0 while this host does not know its fleet.
        """
        if not self.knows_fleet():
            return 0.0
        known = self.count(region)
        visible = sum(
            region is ALL_REGIONS or self._region_by_name[name] == region
            for name in self._visible_names
        )
        return min(visible / known, 1.0)

    def find_rank(self, name: str, key: str) -> int:
        """Return the place of a host among all known ones for a key, from 0."""
        self._forget()
        cache_key = f"{name}\0{key}"
        rank = self._rank_by_key.get(cache_key)
        if rank is None:
            ranked = rank_members({name, *self._seen_at_by_name}, key)
            rank = self._rank_by_key[cache_key] = ranked.index(name)
        return rank

    def divide(self, total: float, name: str, key: str) -> int:
        """Return one host's part of a number of requests, as whole requests.

        The parts of all known hosts together are at most the total. A host that does
        not know its fleet has none.

        Args:
            total: Requests that all hosts may admit together.
            name: Name of the host.
            key: What is divided; the hosts that get one more differ by it.
        """
        if not self.knows_fleet():
            return 0
        part, rest = divmod(math.floor(total), self.count())
        return part + (self.find_rank(name, key) < rest)

    def _list_known(self, region):
        for name in self._seen_at_by_name:
            if region is ALL_REGIONS or self._region_by_name[name] == region:
                yield name

    def _forget(self):
        now = time.monotonic()
        is_majority = len(self._visible_names) * 2 > len(self._seen_at_by_name)
        memory_seconds = (
            MAJORITY_MEMORY_SECONDS if is_majority else MINORITY_MEMORY_SECONDS
        )
        for name, seen_at in list(self._seen_at_by_name.items()):
            if name in self._visible_names or now - seen_at <= memory_seconds:
                continue
            del self._seen_at_by_name[name]
            del self._region_by_name[name]
            self._rank_by_key.clear()
