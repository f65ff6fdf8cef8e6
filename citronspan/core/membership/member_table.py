"""The members that one node knows, with the record of each that is in force."""

import msgspec

from citronspan.core.membership.member_messages import MemberRecord, MemberStatus
from citronspan.core.node_messages import NodeInfo

DEPARTED_STATUSES = frozenset({MemberStatus.DEAD, MemberStatus.LEFT})


class Member:
    """A member, with state that is local to this node.

    Attributes:
        record: The record that is in force.
        changed_at: Monotonic time at which the record last changed.
        offset: Last known offset of the configuration at the member.
        unreachable: Whether this node last reached the member through a relay only.
        digest: Digest of the record.
    """

    __slots__ = ("changed_at", "digest", "offset", "record", "unreachable")

    def __init__(self, *, record: MemberRecord, now: float):
        self.record = record
        self.digest = record.compute_digest()
        self.changed_at = now
        self.offset = record.node.offset
        self.unreachable = False

    @property
    def is_departed(self) -> bool:
        """Whether the member is dead or has left."""
        return self.record.status in DEPARTED_STATUSES

    def set_record(self, record: MemberRecord, now: float) -> None:
        """Replace the record that is in force."""
        self.record = record
        self.digest = record.compute_digest()
        self.changed_at = now

    def make_node(self) -> NodeInfo:
        """Return the member's node with its last known offset."""
        node = self.record.node
        if node.offset == self.offset:
            return node
        return msgspec.structs.replace(node, offset=self.offset)


class MemberTable:
    """All members that a node knows, departed ones included, without itself.

    Attributes:
        version: Number that grows with each change of a record or of whether a member
            is reachable.
    """

    def __init__(self):
        self.version = 0
        self._member_by_name: dict[str, Member] = {}

    def __len__(self):
        """Return the number of members, departed ones included."""
        return len(self._member_by_name)

    def find(self, name: str) -> Member | None:
        """Return a member, or None if it is not known."""
        return self._member_by_name.get(name)

    def list_all(self) -> list[Member]:
        """Return all members, departed ones included."""
        return list(self._member_by_name.values())

    def list_live(self) -> list[Member]:
        """Return the members that have not departed."""
        return [m for m in self._member_by_name.values() if not m.is_departed]

    def list_live_in_region(self, region: str) -> list[NodeInfo]:
        """Return the nodes of a region that have not departed."""
        return [
            member.record.node
            for member in self._member_by_name.values()
            if not member.is_departed and member.record.node.region == region
        ]

    def list_departed(self) -> list[Member]:
        """Return the members that are dead or have left."""
        return [m for m in self._member_by_name.values() if m.is_departed]

    def list_newest(self, count: int) -> list[MemberRecord]:
        """Return the records that changed last."""
        members = sorted(
            self._member_by_name.values(), key=lambda member: -member.changed_at
        )
        return [member.record for member in members[:count]]

    def merge(self, record: MemberRecord, now: float) -> bool:
        """Merge a record of another node; return whether it is now in force."""
        member = self._member_by_name.get(record.node.name)
        if member is None:
            self._member_by_name[record.node.name] = Member(record=record, now=now)
            self.version += 1
            return True
        if record.rank <= member.record.rank:
            return False
        if record.node.incarnation > member.record.node.incarnation:
            member.unreachable = False
        member.set_record(record, now)
        self.version += 1
        return True

    def set_status(self, member: Member, status: MemberStatus, now: float) -> None:
        """Change the status in a member's record."""
        member.set_record(msgspec.structs.replace(member.record, status=status), now)
        self.version += 1

    def set_unreachable(self, member: Member, unreachable: bool) -> None:
        """Set whether this node reaches a member through a relay only."""
        if member.unreachable != unreachable:
            member.unreachable = unreachable
            self.version += 1

    def record_offset(self, address: str, offset: int) -> None:
        """Record the offset that the agent at a peer address stated."""
        for member in self._member_by_name.values():
            if member.record.node.agent_peer_address == address:
                member.offset = offset
                return

    def remove(self, name: str) -> None:
        """Forget a member."""
        del self._member_by_name[name]
