"""The agent's view of the fleet: the membership protocol behind a lock."""

import threading
from typing import Protocol

from citronspan.core.membership.member_messages import MemberMessage
from citronspan.core.membership.membership import Membership
from citronspan.core.message_base import Outgoing
from citronspan.core.node_messages import NodeInfo


class NodeView(Protocol):
    """Provides the live nodes of the fleet."""

    def live_nodes(self) -> tuple[NodeInfo, ...]:
        """Return the live nodes including this one, sorted by name."""


class MembershipView:
    """A ``NodeView`` on the membership protocol, safe for threads."""

    def __init__(self, *, own: NodeInfo, seeds: tuple[str, ...]):
        self._lock = threading.Lock()
        self._membership = Membership(own=own, seeds=seeds)

    @property
    def own(self) -> NodeInfo:
        """Information about this node."""
        return self._membership.own

    @property
    def version(self) -> int:
        """Number that grows with each change of the view other than of an offset."""
        return self._membership.version

    @property
    def awaits_peers(self) -> bool:
        """Whether there are peers to meet and none has told its whole view yet."""
        return self._membership.awaits_peers

    def update_own(self, **changes) -> None:
        """Change fields of the information about this node."""
        with self._lock:
            self._membership.update_own(**changes)

    def live_nodes(self) -> tuple[NodeInfo, ...]:
        """Return this node and the live nodes that it can reach, sorted by name."""
        with self._lock:
            return self._membership.live_nodes()

    def unreachable_nodes(self) -> tuple[NodeInfo, ...]:
        """Return nodes that others can reach and this one cannot, sorted by name."""
        with self._lock:
            return self._membership.unreachable_nodes()

    def departed_nodes(self) -> tuple[NodeInfo, ...]:
        """Return nodes that are dead or have left, sorted by name."""
        with self._lock:
            return self._membership.departed_nodes()

    def handle(self, sender: str, message: MemberMessage) -> list[Outgoing]:
        """Handle a message of the membership protocol; return the answers."""
        with self._lock:
            return self._membership.handle(sender, message)

    def tick(self) -> list[Outgoing]:
        """Return the messages that are due."""
        with self._lock:
            return self._membership.tick()

    def announce_to_region(self) -> list[Outgoing]:
        """Return messages that announce this node's state in its region."""
        with self._lock:
            return self._membership.announce_to_region()

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replace the seeds."""
        with self._lock:
            self._membership.set_seeds(seeds)

    def leave(self) -> list[Outgoing]:
        """Return the messages that announce that this node leaves."""
        with self._lock:
            return self._membership.leave()
