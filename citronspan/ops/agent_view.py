"""The nodes that this agent takes as live.

``NodeView`` is what the rest of the agent asks. ``SeedView`` learns nodes by plain
greetings from the seeds on and is enough for a small fleet; membership replaces it.
"""

import threading
import time
from typing import Protocol

import msgspec

from citronspan.core.config_messages import Greeting
from citronspan.core.message_base import Outgoing
from citronspan.core.node_messages import NodeInfo

GREETING_SECONDS = 1.0
FORGET_SECONDS = 5.0
SHARED_NODES = 16


class NodeView(Protocol):
    """What the agent knows of the fleet's nodes."""

    def live_nodes(self) -> tuple[NodeInfo, ...]:
        """Return the nodes taken as live, this one included, by name."""


class SeedView:
    """Nodes learned by greetings that begin at the seeds."""

    def __init__(self, *, own: NodeInfo, seeds: tuple[str, ...]):
        self._lock = threading.Lock()
        self._own = own
        self._seeds = seeds
        self._node_by_name: dict[str, NodeInfo] = {}
        self._heard_at_by_name: dict[str, float] = {}
        self._greeted_at = float("-inf")

    @property
    def own(self) -> NodeInfo:
        """This node."""
        return self._own

    def update_own(self, **changes) -> None:
        """Change fields of this node's own information."""
        with self._lock:
            self._own = msgspec.structs.replace(self._own, **changes)

    def live_nodes(self) -> tuple[NodeInfo, ...]:
        """Return the nodes heard of lately, this one included, by name."""
        bound = time.monotonic() - FORGET_SECONDS
        with self._lock:
            nodes = [
                node
                for name, node in self._node_by_name.items()
                if self._heard_at_by_name[name] >= bound
            ]
            nodes.append(self._own)
        return tuple(sorted(nodes, key=lambda node: node.name))

    def take(self, greeting: Greeting) -> None:
        """Take a greeting: its sender was heard, the others are only addresses."""
        node = greeting.node
        if node.name == self._own.name:
            return
        with self._lock:
            known = self._node_by_name.get(node.name)
            if known is not None and known.incarnation > node.incarnation:
                return
            self._node_by_name[node.name] = node
            self._heard_at_by_name[node.name] = time.monotonic()
            self._seeds = _merge_addresses(self._seeds, greeting.addresses)

    def tick(self) -> list[Outgoing]:
        """Return the greetings that are due."""
        now = time.monotonic()
        if now < self._greeted_at + GREETING_SECONDS:
            return []
        self._greeted_at = now
        nodes = self.live_nodes()
        addresses = tuple(node.agent_peer_address for node in nodes)
        greeting = Greeting(node=self._own, addresses=addresses[:SHARED_NODES])
        receivers = {*addresses, *self._seeds} - {self._own.agent_peer_address}
        return [Outgoing(to=to, message=greeting) for to in sorted(receivers)]


def _merge_addresses(known, more):
    return known + tuple(address for address in more if address not in known)
