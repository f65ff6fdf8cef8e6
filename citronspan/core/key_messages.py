"""Messages of the key protocol between entries.

An attempt is one sending of a request as one entry carries it; its id is unique in
the fleet. Every answer names the attempt or the generation that it is for, so that
late, doubled and crossed ones can be dropped by the receiver.
"""

import enum

import msgspec

from citronspan.core.key_token import KeyToken
from citronspan.core.message_base import Message


class StoredAnswer(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The answer of a target, kept to be given again.

    Attributes:
        status: HTTP status.
        headers: Names and values.
        length: Length of the body in bytes.
        digest: Digest of the body.
        body: The body, or None where it was too long to keep.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    length: int
    digest: bytes
    body: bytes | None


class ReportKind(enum.StrEnum):
    """What an attempt that was permitted came to."""

    NOT_RUN = "not-run"
    ANSWERED = "answered"
    LOST = "lost"


class KeyClaim(Message, kw_only=True):
    """An attempt asks the owner to run a key; repeated until it is answered.

    Attributes:
        attempt: Id of the attempt.
        token: The key.
        fingerprint: Hash of the request.
    """

    attempt: bytes
    token: KeyToken
    fingerprint: int


class KeyPermitted(Message, kw_only=True):
    """The owner permits an attempt to run; the key is recorded in two places."""

    attempt: bytes


class KeyRunning(Message, kw_only=True):
    """The owner has another attempt at the key under way, or this one recorded."""

    attempt: bytes


class KeyResolved(Message, kw_only=True):
    """What an attempt tells its caller, from the owner or the witness.

    Attributes:
        attempt: Id of the attempt.
        code: Number of the result code, 0 for a kept answer.
        answer: The kept answer, where the key ran and it is known.
        retry_after_seconds: When the same key may be sent again, 0 where that
            does not help.
    """

    attempt: bytes
    code: int = 0
    answer: StoredAnswer | None = None
    retry_after_seconds: float = 0.0


class KeyStaleIncarnation(Message, kw_only=True, tag="KeyForgotten"):
    """The receiver is not the process that the key names.

    Attributes:
        attempt: Id of the attempt that asked.
        by_owner: Whether it was asked as owner, else as witness.
    """

    attempt: bytes
    by_owner: bool


class KeyRecord(Message, kw_only=True):
    """The owner asks the witness to record a key.

    Attributes:
        token: The key.
        generation: Number that grows with each record of this owner.
        attempt: Attempt that may run once this is recorded.
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
    """An attempt that cannot reach the owner asks the witness about a key.

    The witness closes the key for good unless it was recorded.

    Attributes:
        attempt: Id of the attempt.
        token: The key.
        fingerprint: Hash of the request.
    """

    attempt: bytes
    token: KeyToken
    fingerprint: int


class KeyReport(Message, kw_only=True):
    """What a permitted attempt came to, to the owner and from there to the witness.

    Attributes:
        attempt: Id of the attempt.
        token: The key.
        kind: What it came to.
        code: Result code of ``NOT_RUN``, for those that wait for the same answer.
        answer: The answer of ``ANSWERED``.
    """

    attempt: bytes
    token: KeyToken
    kind: ReportKind
    code: int = 0
    answer: StoredAnswer | None = None


class KeyReportAck(Message, kw_only=True, tag="KeyReportTaken"):
    """The owner has taken the report of an attempt."""

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
