"""Messages of the membership protocol between agents."""

import enum

import msgspec

from citronspan.core.message_base import Message
from citronspan.core.node_messages import NodeInfo


class MemberStatus(enum.IntEnum):
    """What is held of a member; the larger one wins at the same revision."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class MemberRecord(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What is held of one member.

    Attributes:
        node: The member's own word on itself.
        revision: Number that the member raises with each change of its word.
        status: What others hold of it.
    """

    node: NodeInfo
    revision: int
    status: MemberStatus

    @property
    def rank(self) -> tuple[int, int, int]:
        """Order of records on one member; the largest is in force."""
        return self.node.incarnation, self.revision, self.status


class MemberPing(Message, kw_only=True):
    """A heartbeat that asks for an answer.

    Attributes:
        sequence: Number that the answer repeats.
        offset: Offset of the configuration in force at the sender.
        records: News of members.
    """

    sequence: int
    offset: int
    records: tuple[MemberRecord, ...] = ()


class MemberAck(Message, kw_only=True):
    """Answer to a heartbeat.

    Attributes:
        sequence: Number of the heartbeat.
        offset: Offset of the configuration in force at the sender.
        name: Name of the member that answered.
        relayed: Whether another member passed the answer on.
        records: News of members.
    """

    sequence: int
    offset: int
    name: str
    relayed: bool = False
    records: tuple[MemberRecord, ...] = ()


class MemberPingRequest(Message, kw_only=True):
    """Request to send a heartbeat to a member that did not answer.

    Attributes:
        sequence: Number that the relayed answer repeats.
        name: Name of the member.
        address: Peer address of the member.
    """

    sequence: int
    name: str
    address: str


class MemberSync(Message, kw_only=True):
    """All that the sender holds, for a member that starts or was cut off.

    Attributes:
        records: A record for each member.
        wants_answer: Whether the receiver should send its own back.
    """

    records: tuple[MemberRecord, ...]
    wants_answer: bool = False


MemberMessage = MemberPing | MemberAck | MemberPingRequest | MemberSync
