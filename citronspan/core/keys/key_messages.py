"""Messages of the key protocol between entries.

In the key protocol, an attempt is one submission of a request through one entry, not
one dispatch to a target as in ``outcomes``. Its id is unique in the fleet. Every answer
names the attempt or the generation that it belongs to, so that the receiver can drop
late, duplicated and reordered answers.
"""

import enum

import msgspec

from citronspan.core.keys.key_token import KeyToken
from citronspan.core.message_base import Message


class StoredAnswer(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The answer of a target, stored to be replayed.

    Attributes:
        status: HTTP status.
        headers: Pairs of name and value.
        length: Length of the body in bytes.
        digest: Digest of the body.
        body: The body, None if it was too long to store or was dropped later.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    length: int
    digest: bytes
    body: bytes | None


class ReportKind(enum.StrEnum):
    """Outcome of a permitted attempt."""

    NOT_RUN = "not-run"
    ANSWERED = "answered"
    LOST = "lost"


class KeyClaim(Message, kw_only=True):
    """Request of an attempt to the owner to run a key; resent until answered.

    Attributes:
        attempt: Id of the attempt.
        token: The key.
        fingerprint: Hash of the request.
    """

    attempt: bytes
    token: KeyToken
    fingerprint: int


class KeyPermitted(Message, kw_only=True):
    """The owner permits an attempt to run; owner and witness have recorded the key."""

    attempt: bytes


class KeyRunning(Message, kw_only=True):
    """Another attempt at the key is in progress, or this one is being recorded."""

    attempt: bytes


class KeyResolved(Message, kw_only=True):
    """Final result of an attempt, sent by the owner or the witness.

    Attributes:
        attempt: Id of the attempt.
        code: Number of the result code, 0 for a stored answer to replay.
        answer: The stored answer, if the key ran and its answer is known.
        retry_after_seconds: Delay before a retry with the same key, 0 if a retry does
            not help.
    """

    attempt: bytes
    code: int = 0
    answer: StoredAnswer | None = None
    retry_after_seconds: float = 0.0


class KeyStaleIncarnation(Message, kw_only=True, tag="KeyForgotten"):
    """The addressed process is not the incarnation that the key names.

    Attributes:
        attempt: Id of the requesting attempt.
        by_owner: Whether the process was addressed as the owner, not as the witness.
    """

    attempt: bytes
    by_owner: bool


class KeyRecord(Message, kw_only=True):
    """Request of the owner to the witness to record a key.

    Attributes:
        token: The key.
        generation: Number that increases with each record of this owner.
        attempt: Id of the attempt that may run once the key is recorded.
        fingerprint: Hash of the request.
    """

    token: KeyToken
    generation: int
    attempt: bytes
    fingerprint: int


class KeyRecorded(Message, kw_only=True):
    """The witness has recorded a key."""

    token: KeyToken
    generation: int


class KeyRecordRefused(Message, kw_only=True):
    """The witness has closed the key or cannot record it."""

    token: KeyToken
    generation: int


class KeyClose(Message, kw_only=True):
    """Query of an attempt that cannot reach the owner to the witness of a key.

    The witness closes the key permanently unless the key was recorded.

    Attributes:
        attempt: Id of the attempt.
        token: The key.
        fingerprint: Hash of the request.
    """

    attempt: bytes
    token: KeyToken
    fingerprint: int


class KeyReport(Message, kw_only=True):
    """Outcome of a permitted attempt; the owner forwards it to the witness.

    Attributes:
        attempt: Id of the attempt.
        token: The key.
        kind: Outcome of the attempt.
        code: For ``NOT_RUN``, number of the result code that attempts waiting for
            the same key receive.
        answer: For ``ANSWERED``, the answer of the target.
    """

    attempt: bytes
    token: KeyToken
    kind: ReportKind
    code: int = 0
    answer: StoredAnswer | None = None


class KeyReportAck(Message, kw_only=True, tag="KeyReportTaken"):
    """The owner has received the report of an attempt."""

    attempt: bytes


KeyMessage = (
    KeyClaim
    | KeyPermitted
    | KeyRunning
    | KeyResolved
    | KeyStaleIncarnation
    | KeyRecord
    | KeyRecorded
    | KeyRecordRefused
    | KeyClose
    | KeyReport
    | KeyReportAck
)
