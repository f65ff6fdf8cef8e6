"""Records of a feed, and batches of them, as agents send them to peers."""

import msgspec

TRANSLATION_GENERATION = 1
"""Generation of this version's translations, which a change to what they hold raises.
1: client accounts with keys."""


class FeedRecord(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The newest record of one key of a feed.

    Attributes:
        offset: Offset in the feed.
        key: The key.
        data: Resources encoded by ``encode_resources``, None if the key was removed.
        lapsed: Whether the key was removed while the store was unavailable. Its last
            data then stays in force for ``REMOVAL_GRACE_SECONDS``, in case the key
            comes back.
        version: Number that the writer of the key raises with each record, 0 if it
            has none. A store that was restored from a copy may hold an older version
            at a later offset. A removal may have the version that it removed.
        generation: Generation of the translation into resources. Hosts of an earlier
            version write, and pass on, 0.
    """

    offset: int
    key: str
    data: bytes | None = None
    lapsed: bool = False
    version: int = 0
    generation: int = 0


class FeedBatch(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A range of offsets of one feed, with its records.

    Attributes:
        feed: Name of the feed.
        from_offset: First offset that was read.
        next_offset: Offset after the last one that was read.
        records: The records, in order of their offsets.
        whole: Whether the batch holds the newest record of every key, so that a
            key without a record no longer exists. Removals in it have the version
            that was removed.
        is_after_outage: Whether the store came back so recently that a key without a
            record may still come back. A whole batch then lets the key lapse, and
            otherwise removes it.
    """

    feed: str
    from_offset: int
    next_offset: int
    records: tuple[FeedRecord, ...] = ()
    whole: bool = False
    is_after_outage: bool = False
