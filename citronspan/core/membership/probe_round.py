"""Heartbeats: which member gets the next one, and the one that is outstanding."""

import random

from citronspan.core.membership.member_table import MemberTable
from citronspan.core.node_messages import NodeInfo
from citronspan.utils.rendezvous import choose_member


class Probe:
    """A heartbeat whose acknowledgement is outstanding.

    Attributes:
        name: Name of the member.
        sequence: Sequence number of the heartbeat.
        sent_at: Monotonic time at which it was sent.
        has_requested_relays: Whether other members were asked to send one, too.
    """

    __slots__ = ("has_requested_relays", "name", "sent_at", "sequence")

    def __init__(self, *, name: str, sequence: int, now: float):
        self.name = name
        self.sequence = sequence
        self.sent_at = now
        self.has_requested_relays = False


class ProbeRound:
    """Goes through the live members in rounds, each in a new random order."""

    def __init__(self, *, own: NodeInfo, members: MemberTable, draw: random.Random):
        self._own_name = own.name
        self._region = own.region
        self._members = members
        self._random = draw
        self._names: list[str] = []

    def insert(self, node: NodeInfo) -> None:
        """Add a new member at a random place of the present round."""
        if not self._is_prober_of(node):
            return
        position = self._random.randint(0, len(self._names))
        self._names.insert(position, node.name)

    def choose_next(self) -> str | None:
        """Return the name of the next member, None if there is none."""
        for _ in range(2):
            while self._names:
                name = self._names.pop()
                member = self._members.find(name)
                if member is not None and not member.is_departed:
                    return name
            self._names = self._list_probed_members()
            self._random.shuffle(self._names)
        return None

    def _list_probed_members(self):
        """Return the names of the live members that this node probes."""
        return [
            member.record.node.name
            for member in self._members.list_live()
            if self._is_prober_of(member.record.node)
        ]

    def _is_prober_of(self, node):
        """Return whether this node sends heartbeats to a member.

        Only one node of each other region probes a member, because the member's own
        region detects a failure first and traffic between regions is expensive.
        """
        if node.region == self._region:
            return True
        probers = [
            prober.name for prober in self._members.list_live_in_region(self._region)
        ]
        own = self._own_name
        return choose_member([*probers, own], f"probe {node.name}") == own
