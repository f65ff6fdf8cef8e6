"""Records of the configuration log: typed JSON, one record per change.

The log is the only durable storage. A record holds a requested change and its
precondition. Whether the change takes effect depends only on the records before it
(see ``config_state``), so every reader reaches the same result.
"""

import re

import msgspec

from citronspan.core import result_codes
from citronspan.core.errors import CitronspanError
from citronspan.core.resources import Kind, Resource, decode_resource
from citronspan.utils.validation import DECODING_ERRORS, describe_error

CHANGE_ID_PATTERN = re.compile(r"[A-Za-z0-9_-]{8,64}")
NO_VERSION = -1


class Record(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    rename="camel",
    tag_field="type",
    omit_defaults=True,
):
    """Base of all records; the field ``type`` names the type in JSON."""


class ChangeRecord(Record, kw_only=True, tag="change"):
    """A change that an operator requested.

    Attributes:
        change_id: Identity of the change; a record that repeats it is rejected.
        kind: Kind of the resource.
        name: Name of the resource.
        expected_version: Version that the change replaces, -1 for a new resource.
        seen_offset: Next offset that the author's agent had not applied; limits
            how late a copy of the record can still be evaluated.
        spec: Specification in JSON, ``null`` with ``deleted``.
        deleted: Whether the change deletes the resource.
        author: Who requested the change; informational only.
        at_seconds: When it was requested, in Unix time; informational only.
    """

    change_id: str
    kind: Kind
    name: str
    expected_version: int
    seen_offset: int
    spec: msgspec.Raw = msgspec.Raw(b"null")
    deleted: bool = False
    author: str = ""
    at_seconds: int = 0


class SnapshotRecord(Record, kw_only=True, tag="snapshot"):
    """One part of a snapshot of the state after a prefix of the log.

    Attributes:
        at_offset: First offset that the snapshot does not contain.
        digest: Digest of the whole snapshot before compression, in hexadecimal.
        part: Number of this part, from 0.
        parts: Number of parts.
        data: This part's bytes of the compressed snapshot.
        at_seconds: When the part was appended, in Unix time.
    """

    at_offset: int
    digest: str
    part: int
    parts: int
    data: bytes
    at_seconds: int = 0


class LogRecord(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The bytes of a record and its offset in the log.

    Attributes:
        offset: Offset of the record.
        data: Encoded record.
    """

    offset: int
    data: bytes


class LogBatch(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """All records of a range of offsets that change the state.

    Attributes:
        from_offset: First offset of the range.
        next_offset: First offset after the range.
        records: Records in order of their offsets. Missing offsets hold nothing
            that changes the state.
    """

    from_offset: int
    next_offset: int
    records: tuple[LogRecord, ...] = ()


class _ResourceParts(msgspec.Struct, frozen=True, kw_only=True):
    kind: Kind
    name: str
    spec: msgspec.Raw


_DECODER = msgspec.json.Decoder(ChangeRecord | SnapshotRecord)
_ENCODER = msgspec.json.Encoder()


def encode_record(record: Record) -> bytes:
    """Encode a record as JSON."""
    return _ENCODER.encode(record)


def decode_record(data: bytes) -> ChangeRecord | SnapshotRecord:
    """Decode a record.

    Args:
        data: Bytes from the log.

    Returns:
        The record; its specification has not been validated.

    Raises:
        CitronspanError: With code 2001 if the bytes are not a valid record.
    """
    try:
        return _DECODER.decode(data)
    except DECODING_ERRORS as error:
        raise CitronspanError(
            code=result_codes.RESOURCE_INVALID, detail=describe_error(error)
        ) from error


def check_change_id(change_id: str) -> None:
    """Validate the format of a change id.

    Raises:
        CitronspanError: With code 2007 if the change id is malformed.
    """
    if CHANGE_ID_PATTERN.fullmatch(change_id):
        return
    raise CitronspanError(
        code=result_codes.API_REQUEST_INVALID,
        detail=f"Change-Id: {change_id!r} does not match {CHANGE_ID_PATTERN.pattern}",
    )


def read_resource(record: ChangeRecord, *, version: int) -> Resource:
    """Decode and validate the resource that a change sets.

    Args:
        record: A change that does not delete.
        version: Version to assign to the resource.

    Returns:
        The resource.

    Raises:
        CitronspanError: With code 2001 or 1003; the detail names the field.
    """
    parts = _ResourceParts(kind=record.kind, name=record.name, spec=record.spec)
    resource = decode_resource(_ENCODER.encode(parts))
    return msgspec.structs.replace(resource, version=version)
