"""Keepers of an account's seats, and the part of the fleet that a view shows.

Both are functions of the view. Views may differ; keepers bound what that costs.
"""

import math
import time
from collections import deque
from collections.abc import Iterable, Mapping

from citronspan.core.accounts.quota_terms import SEATS
from citronspan.core.known_hosts import KnownHosts
from citronspan.core.node_messages import NodeInfo
from citronspan.utils.rendezvous import choose_member, rank_members

KEPT_VIEWS = 32
"""Earlier views that are looked through for the time since which a host is keeper."""


START_SECONDS = 10.0
"""Time within which hosts have started together."""

INCARNATIONS_PER_SECOND = 1000 << 8


class QuotaSeats:
    """Keepers by account and seat in the current view."""

    def __init__(self, *, name: str, region: str, incarnation: int = 0):
        """Create a table for one host, which is alone at first.

        Args:
            name: Name of this host.
            region: Region of this host.
            incarnation: Incarnation of its entry, 0 if that tells no time.
        """
        self._oldest_incarnation = incarnation - START_SECONDS * INCARNATIONS_PER_SECOND
        self._has_incarnation = incarnation > 0
        self._started_at = time.monotonic()
        self._name = name
        self._region = region
        self._node_by_name: dict[str, NodeInfo] = {}
        self._names_by_region: dict[str, list[str]] = {}
        self._known = KnownHosts()
        self._keeper_by_seat: dict[tuple[str, int], str] = {}
        self._views: deque[tuple[float, dict[str, list[str]]]] = deque(
            maxlen=KEPT_VIEWS
        )

    def set_nodes(
        self, nodes: Iterable[NodeInfo], *, awaits_peers: bool = False
    ) -> bool:
        """Replace the view; return whether keepers may have changed by it.

        Args:
            nodes: All live nodes. Nodes whose entry is not serving are skipped.
            awaits_peers: Whether this host has peers to meet and has met none yet.
        """
        nodes = list(nodes)
        if not self._known.knows_fleet():
            # Others may have kept the seats meanwhile.
            self._views.clear()
        self._known.set_nodes(nodes, awaits_peers=awaits_peers)
        previous = {name: node.region for name, node in self._node_by_name.items()}
        self._node_by_name = {
            node.name: node for node in nodes if node.entry_state == "serving"
        }
        current = {name: node.region for name, node in self._node_by_name.items()}
        if current == previous:
            return False
        self._names_by_region = {}
        for name, region in current.items():
            self._names_by_region.setdefault(region, []).append(name)
        self._keeper_by_seat = {}
        self._views.append((time.monotonic(), self._names_by_region))
        return True

    def find_keeper(self, account: str, seat: int) -> NodeInfo | None:
        """Return the keeper of a seat, or None while no entry serves."""
        name = self._keeper_by_seat.get((account, seat))
        if name is None:
            name = choose_keeper(self._names_by_region, account, seat)
            if name is None:
                return None
            self._keeper_by_seat[account, seat] = name
        return self._node_by_name[name]

    def is_keeper(self, account: str, seat: int) -> bool:
        """Return whether this host is the keeper of a seat in its own view.

        While it does not know its fleet, it is keeper of none.
        """
        if not self._known.knows_fleet():
            return False
        keeper = self.find_keeper(account, seat)
        return keeper is not None and keeper.name == self._name

    def find_keeper_since(self, account: str, seat: int) -> float:
        """Return since when this host is the keeper of a seat, infinity if it isn't."""
        since = math.inf
        for seen_at, names_by_region in reversed(self._views):
            if choose_keeper(names_by_region, account, seat) != self._name:
                break
            since = seen_at
        return since

    def has_started_with_all(self) -> bool:
        """Return whether this host has just started, and so have all in the view.

        Keepers of an earlier time have then all ended.
        """
        is_young = time.monotonic() - self._started_at < START_SECONDS
        if not (is_young and self._has_incarnation and len(self._node_by_name) > 1):
            return False
        return all(
            node.entry_incarnation >= self._oldest_incarnation
            for node in self._node_by_name.values()
            if node.name != self._name
        )

    def find_successor(self, account: str, seat: int) -> NodeInfo | None:
        """Return the keeper of a seat if this host did not serve."""
        region = choose_region(self._names_by_region, account, seat)
        members = self._names_by_region.get(region, ())
        others = [name for name in members if name != self._name]
        name = choose_member(others, make_seat_key(account, seat))
        return None if name is None else self._node_by_name[name]

    def order_seats(self, account: str) -> list[int]:
        """Return the seats in the order in which this host asks them."""
        regions = [
            choose_region(self._names_by_region, account, seat) for seat in range(SEATS)
        ]
        if self._region in regions and len(set(regions)) > 1:
            first = regions.index(self._region)
        else:
            # Hosts of one region, or of a third one, divide themselves.
            first = rank_members(("0", "1"), f"{self._name}/{account}").index("0")
        return [(first + number) % SEATS for number in range(SEATS)]

    def compute_fleet_share(self) -> float:
        """Return the part of the hosts known lately that the view shows, 0 to 1."""
        return self._known.compute_share()

    def divide(self, total: float, key: str) -> int:
        """Return this host's part of requests that all hosts may admit together.

        Args:
            total: The requests.
            key: What is divided.
        """
        return self._known.divide(total, self._name, key)


def make_seat_key(account: str, seat: int) -> str:
    """Return the key by which a seat's keeper is chosen."""
    return f"quota/{account}/{seat}"


def choose_region(regions: Iterable[str], account: str, seat: int) -> str:
    """Return the region of a seat, empty without regions.

    Each seat is in another region, if there are several.
    """
    ranked = rank_members(regions, f"quota/{account}")
    return ranked[seat % len(ranked)] if ranked else ""


def choose_keeper(
    names_by_region: Mapping[str, Iterable[str]], account: str, seat: int
) -> str | None:
    """Return the name of a seat's keeper, None without hosts."""
    region = choose_region(names_by_region, account, seat)
    members = names_by_region.get(region, ())
    return choose_member(members, make_seat_key(account, seat))
