"""Messages of the membership protocol between agents."""

import enum

import msgspec
import xxhash

from citronspan.core.message_base import Message
from citronspan.core.node_messages import NodeInfo


class MemberStatus(enum.IntEnum):
    """State of a member; at the same revision the larger value takes precedence."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class MemberRecord(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The state of one member, as gossiped among members.

    Attributes:
        node: The member's description of itself.
        revision: Number that the member increments when it changes or reasserts its
            description.
        status: State of the member as seen by the others.
    """

    node: NodeInfo
    revision: int
    status: MemberStatus

    @property
    def rank(self) -> tuple[int, int, int]:
        """Precedence among records of one member; the largest is in force."""
        return self.node.incarnation, self.revision, self.status

    def compute_digest(self) -> int:
        """Return a 64-bit digest of the member's name and the record's precedence."""
        incarnation, revision, status = self.rank
        text = f"{self.node.name}\0{incarnation}\0{revision}\0{int(status)}"
        return xxhash.xxh3_64_intdigest(text.encode())


class MemberPing(Message, kw_only=True):
    """A heartbeat that requests an acknowledgement.

    Attributes:
        sequence: Sequence number that the acknowledgement repeats.
        offset: Offset of the configuration in force at the sender.
        records: Piggybacked records of members.
    """

    sequence: int
    offset: int
    records: tuple[MemberRecord, ...] = ()


class MemberAck(Message, kw_only=True):
    """Acknowledgement of a heartbeat.

    Attributes:
        sequence: Sequence number of the heartbeat.
        offset: Offset of the configuration in force at the sender.
        name: Name of the member that acknowledged the heartbeat.
        relayed: Whether another member forwarded the acknowledgement.
        records: Piggybacked records of members.
    """

    sequence: int
    offset: int
    name: str
    relayed: bool = False
    records: tuple[MemberRecord, ...] = ()


class MemberPingRequest(Message, kw_only=True):
    """Request to probe a member that did not acknowledge a heartbeat.

    Attributes:
        sequence: Sequence number that the relayed acknowledgement repeats.
        name: Name of the member.
        address: Peer address of the member.
    """

    sequence: int
    name: str
    address: str


class MemberSync(Message, kw_only=True):
    """Comparison of the records of two members, and the records that one of them lacks.

    Earlier versions send all their records and ignore the digests; they get the records
    that they did not send.

    Attributes:
        records: Records that the receiver may lack; in a question the sender's own.
        wants_answer: Whether the receiver should send the records that the sender
            lacks.
        known: Digests of all records that the sender has, if it wants an answer.
        wanted: Digests of records that the sender of an answer lacks.
    """

    records: tuple[MemberRecord, ...]
    wants_answer: bool = False
    known: tuple[int, ...] = ()
    wanted: tuple[int, ...] = ()


MemberMessage = MemberPing | MemberAck | MemberPingRequest | MemberSync
