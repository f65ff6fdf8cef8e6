"""Messages between agents about the configuration and their offsets."""

from citronspan.core.config_record import LogBatch
from citronspan.core.message_base import Message


class ConfigOffset(Message, kw_only=True):
    """How far the sender's configuration has got.

    Attributes:
        offset: Next offset that it has not applied.
        is_answer: Whether this answers a message, and wants no answer itself.
    """

    offset: int
    is_answer: bool = False


class ConfigRecords(Message, kw_only=True):
    """Records that the sender has applied.

    Attributes:
        batch: The records.
        offset: Next offset that the sender has not applied.
    """

    batch: LogBatch
    offset: int


class ConfigPull(Message, kw_only=True):
    """Asks for what follows an offset.

    Attributes:
        from_offset: Next offset that the sender has not applied.
    """

    from_offset: int


class ConfigStateChunk(Message, kw_only=True, tag="ConfigStatePart"):
    """One part of a whole state, for a receiver that is too far behind.

    Attributes:
        at_offset: First offset that the state does not contain.
        digest: Digest of the whole state.
        part: Number of this part, from 0.
        parts: Number of parts.
        data: The part's share of the compressed state.
    """

    at_offset: int
    digest: str
    part: int
    parts: int
    data: bytes


ConfigMessage = ConfigOffset | ConfigPull | ConfigRecords | ConfigStateChunk
