"""Messages by which agents replicate the configuration among themselves."""

from citronspan.core.configuration.config_record import LogBatch
from citronspan.core.message_base import Message


class ConfigOffset(Message, kw_only=True):
    """Reports the offset of the sender's configuration.

    Attributes:
        offset: Next offset that the sender has not applied.
        is_answer: Whether this answers another message; the receiver of an answer
            sends no answer to it, but may pull.
    """

    offset: int
    is_answer: bool = False


class ConfigRecords(Message, kw_only=True):
    """Carries records that the sender has applied.

    Attributes:
        batch: The records.
        offset: Next offset that the sender has not applied.
    """

    batch: LogBatch
    offset: int


class ConfigPull(Message, kw_only=True):
    """Requests the records from an offset on, or a whole state instead.

    Attributes:
        from_offset: Next offset that the sender has not applied.
    """

    from_offset: int


class ConfigStatePart(Message, kw_only=True):
    """One part of a snapshot of the state, for a receiver that lags too far behind.

    Attributes:
        at_offset: First offset that the state does not contain.
        digest: Digest of the whole state before compression, in hexadecimal.
        part: Number of this part, from 0.
        parts: Number of parts.
        data: This part's bytes of the compressed state.
    """

    at_offset: int
    digest: str
    part: int
    parts: int
    data: bytes


ConfigMessage = ConfigOffset | ConfigPull | ConfigRecords | ConfigStatePart
