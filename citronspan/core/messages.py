"""Messages between the processes of the fleet, and their codec.

Each protocol defines its messages in its own module (most in ``*_messages.py``); this
module combines them into one union for the codec. Messages are encoded as msgpack and
tagged by type. Unknown fields are ignored, so that two versions can run
side by side during an upgrade.
"""

import msgspec

from citronspan.core.accounts.quota_messages import QuotaMessage
from citronspan.core.brokering.broker_messages import BrokerMessage, EntryMessage
from citronspan.core.configuration.config_messages import ConfigMessage
from citronspan.core.configuration.feed_messages import FeedMessage
from citronspan.core.detection.poison import PoisonNotice
from citronspan.core.detection.verdicts import VerdictPush
from citronspan.core.keys.key_messages import KeyMessage
from citronspan.core.membership.member_messages import MemberMessage
from citronspan.core.message_base import Message
from citronspan.core.node_messages import NodeMessage


class Envelope(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Message between two processes with its sender.

    Attributes:
        fleet: Name of the fleet; envelopes of other fleets are dropped.
        sender: Peer address of the sender, to which answers are sent.
        incarnation: Incarnation of the sending process.
        body: The message.
    """

    fleet: str
    sender: str
    incarnation: int
    body: (
        NodeMessage
        | ConfigMessage
        | FeedMessage
        | KeyMessage
        | BrokerMessage
        | EntryMessage
        | VerdictPush
        | PoisonNotice
        | MemberMessage
        | QuotaMessage
    )


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Envelope)


def encode_envelope(envelope: Envelope) -> bytes:
    """Encode an envelope as msgpack."""
    return _ENCODER.encode(envelope)


def decode_envelope(data: bytes) -> Envelope:
    """Decode an envelope.

    Raises:
        msgspec.MsgspecError: If the bytes are not an envelope with a known message.
    """
    return _DECODER.decode(data)


__all__ = ["Envelope", "Message", "decode_envelope", "encode_envelope"]
