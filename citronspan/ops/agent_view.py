"""The agent's view of the fleet: membership behind a lock."""

import threading
from typing import Protocol

from citronspan.core.member_messages import MemberMessage
from citronspan.core.membership import Membership
from citronspan.core.message_base import Outgoing
from citronspan.core.node_messages import NodeInfo


class NodeView(Protocol):
    """What the agent knows of the fleet's nodes."""

    def live_nodes(self) -> tuple[NodeInfo, ...]:
        """Return the nodes taken as live, this one included, by name."""


class MembershipView:
    """A ``NodeView`` by the membership protocol, safe for threads."""

    def __init__(self, *, own: NodeInfo, seeds: tuple[str, ...]):
        self._lock = threading.Lock()
        self._membership = Membership(own=own, seeds=seeds)

    @property
    def own(self) -> NodeInfo:
        """This node."""
        return self._membership.own

    @property
    def version(self) -> int:
        """Number that grows with each change of the view, offsets apart."""
        return self._membership.version

    def update_own(self, **changes) -> None:
        """Change fields of this node's own information."""
        with self._lock:
            self._membership.update_own(**changes)

    def live_nodes(self) -> tuple[NodeInfo, ...]:
        """Return this node and the live ones that it can hear, by name."""
        with self._lock:
            return self._membership.live_nodes()

    def unreachable_nodes(self) -> tuple[NodeInfo, ...]:
        """Return nodes that others can hear and this one cannot, by name."""
        with self._lock:
            return self._membership.unreachable_nodes()

    def departed_nodes(self) -> tuple[NodeInfo, ...]:
        """Return nodes that are dead or have left, by name."""
        with self._lock:
            return self._membership.departed_nodes()

    def handle(self, sender: str, message: MemberMessage) -> list[Outgoing]:
        """Take a message of the membership protocol; return the answers."""
        with self._lock:
            return self._membership.handle(sender, message)

    def tick(self) -> list[Outgoing]:
        """Return the messages that are due."""
        with self._lock:
            return self._membership.tick()

    def announce_to_region(self) -> list[Outgoing]:
        """Return the messages that tell the region of this node's state."""
        with self._lock:
            return self._membership.announce_to_region()

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Take other seeds."""
        with self._lock:
            self._membership.set_seeds(seeds)

    def leave(self) -> list[Outgoing]:
        """Return the messages that tell of this node's stop."""
        with self._lock:
            return self._membership.leave()
