"""Base types of all messages between processes of the fleet."""

from dataclasses import dataclass

import msgspec


class Message(msgspec.Struct, frozen=True, kw_only=True, tag=True, omit_defaults=True):
    """Base of all messages; the tag on the wire defaults to the class name."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Outgoing:
    """A message that a decision module returns for sending.

    Attributes:
        to: Peer address of the receiver.
        message: Message to send.
    """

    to: str
    message: Message


@dataclass(frozen=True, kw_only=True, slots=True)
class Multicast:
    """A message for several receivers, which is encoded only once.

    Attributes:
        receivers: Peer addresses of the receivers.
        message: Message to send.
    """

    receivers: tuple[str, ...]
    message: Message
