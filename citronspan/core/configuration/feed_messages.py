"""Messages with which agents replicate the feeds of the platform."""

import msgspec

from citronspan.core.configuration.feeds import FeedBatch
from citronspan.core.message_base import Message


class FeedOffsets(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Next offset to read in each feed at one node.

    Attributes:
        configuration: Next offset of the feed of configurations.
        targets: Next offset of the feed of targets.
    """

    configuration: int = 0
    targets: int = 0

    def get_offset(self, feed: str) -> int:
        """Return the next offset of the feed with the given name."""
        return getattr(self, feed)


class FeedUpdate(Message, kw_only=True, tag="FeedNews"):
    """The offsets of a node, with batches that the receiver may lack.

    Attributes:
        offsets: Next offsets of the sender.
        age_seconds: Time since the sender's copy was known to be up to date with
            the store; infinite if it never was.
        batches: Batches of any feeds.
        wants_answer: Whether the receiver should send the batches that the sender
            lacks.
        clock: Number of the sender's clock, drawn at its start; 0 if it states no
            time, as earlier versions do.
        sent_at: Time of that clock, in seconds, at which the message was sent.
    """

    offsets: FeedOffsets
    age_seconds: float
    batches: tuple[FeedBatch, ...] = ()
    wants_answer: bool = False
    clock: int = 0
    sent_at: float = 0.0


class FeedPull(Message, kw_only=True):
    """A request for all batches from the given offsets on.

    Attributes:
        offsets: Next offsets of the sender.
    """

    offsets: FeedOffsets


FeedMessage = FeedUpdate | FeedPull
