"""Messages that spread the feeds of the platform among agents."""

import msgspec

from citronspan.core.feeds import FeedBatch
from citronspan.core.message_base import Message


class FeedOffsets(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """How far a node has got in each feed.

    Attributes:
        configuration: Next offset of the feed of configurations.
        targets: Next offset of the feed of targets.
    """

    configuration: int = 0
    targets: int = 0

    def find(self, feed: str) -> int:
        """Return the next offset of a feed by its name."""
        return getattr(self, feed)


class FeedUpdate(Message, kw_only=True, tag="FeedNews"):
    """What a node holds, with batches that the receiver may lack.

    Attributes:
        offsets: How far the sender has got.
        age_seconds: Time since the store, read to its end, held no more than this;
            infinite if that is not known.
        batches: Batches of any feeds.
        wants_answer: Whether the receiver is to send what the sender lacks.
    """

    offsets: FeedOffsets
    age_seconds: float
    batches: tuple[FeedBatch, ...] = ()
    wants_answer: bool = False


class FeedPull(Message, kw_only=True):
    """A question for what comes after some offsets.

    Attributes:
        offsets: How far the sender has got.
    """

    offsets: FeedOffsets


FeedMessage = FeedUpdate | FeedPull
