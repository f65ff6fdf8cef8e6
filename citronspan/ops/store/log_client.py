"""The interface of the platform's append-only log and its HTTP client.

docs/INTERFACES.md describes the service. A site with another log provides an HTTP
service with this interface as an adapter, or implements another ``LogStore``.
"""

import base64
import time
from dataclasses import dataclass
from typing import Protocol

import msgspec
import urllib3

from citronspan.core.configuration.config_record import LogRecord
from citronspan.utils.bounded_http import AnswerBounds, BoundedHttpClient
from citronspan.utils.validation import DECODING_ERRORS

CONNECT_TIMEOUT_SECONDS = 1.0
ANSWER_TIMEOUT_SECONDS = 3.0
READ_LIMIT_RECORDS = 500
ANSWER_BOUNDS = AnswerBounds(body_bytes=72 << 20, seconds=20.0)
"""A page of nothing but parts of snapshots has 64 MB in base64."""


class LogUnavailableError(Exception):
    """The log gave no valid answer.

    Attributes:
        may_have_appended: Whether an append may have taken effect nevertheless.
    """

    def __init__(self, message: str, *, may_have_appended: bool):
        super().__init__(message)
        self.may_have_appended = may_have_appended


class LogTruncatedError(Exception):
    """The requested offset is older than the log's retention.

    Attributes:
        first_offset: The oldest retained offset.
        next_offset: The offset of the next append.
    """

    def __init__(self, *, first_offset: int, next_offset: int):
        super().__init__(f"the oldest offset in the log is {first_offset}")
        self.first_offset = first_offset
        self.next_offset = next_offset


@dataclass(frozen=True, kw_only=True, slots=True)
class LogPage:
    """Result of one read of the log.

    Attributes:
        first_offset: The oldest retained offset.
        next_offset: The offset of the next append.
        records: Records from the requested offset on, in order.
    """

    first_offset: int
    next_offset: int
    records: tuple[LogRecord, ...]


class LogStore(Protocol):
    """An append-only log with offsets, limited retention and outages."""

    def append(self, data: bytes) -> int:
        """Append a record.

        Args:
            data: Bytes of the record.

        Returns:
            The offset of the record.

        Raises:
            LogUnavailableError: If the log gave no valid answer. The record may have
                been appended.
        """

    def read(self, from_offset: int, *, wait_seconds: float = 0.0) -> LogPage:
        """Read records.

        Args:
            from_offset: The first offset to read.
            wait_seconds: Maximum time that the log waits for a first record.

        Returns:
            A part of the records from the offset on, empty only if there are none.

        Raises:
            LogUnavailableError: If the log gave no valid answer.
            LogTruncatedError: If the offset is older than the log's retention.
        """


class _AppendAnswer(msgspec.Struct, frozen=True):
    offset: int


class _RecordAnswer(msgspec.Struct, frozen=True):
    offset: int
    data: str


class _ReadAnswer(msgspec.Struct, frozen=True):
    first: int
    next: int
    records: tuple[_RecordAnswer, ...] = ()


class HttpLogStore:
    """Client of the log service of docs/INTERFACES.md."""

    def __init__(self, *, url: str):
        self._url = url.rstrip("/")
        self._client = BoundedHttpClient(bounds=ANSWER_BOUNDS, connections=8)

    def append(self, data: bytes) -> int:
        """Append a record; see ``LogStore``."""
        answer = self._request("POST", f"{self._url}/records", body=data)
        if answer.status != 201:
            raise LogUnavailableError(f"status {answer.status}", may_have_appended=True)
        return _decode(answer.data, _AppendAnswer).offset

    def read(self, from_offset: int, *, wait_seconds: float = 0.0) -> LogPage:
        """Read records; see ``LogStore``."""
        fields = {
            "from": str(from_offset),
            "limit": str(READ_LIMIT_RECORDS),
            "waitSeconds": str(wait_seconds),
        }
        answer = self._request(
            "GET", f"{self._url}/records", fields=fields, wait_seconds=wait_seconds
        )
        if answer.status not in (200, 410):
            raise LogUnavailableError(
                f"status {answer.status}", may_have_appended=False
            )
        page = _decode(answer.data, _ReadAnswer)
        if answer.status == 410:
            raise LogTruncatedError(first_offset=page.first, next_offset=page.next)
        return LogPage(
            first_offset=page.first,
            next_offset=page.next,
            records=tuple(_read_record(record) for record in page.records),
        )

    def _request(self, method, url, *, wait_seconds=0.0, **arguments):
        timeout = urllib3.Timeout(
            connect=CONNECT_TIMEOUT_SECONDS,
            read=ANSWER_TIMEOUT_SECONDS + wait_seconds,
        )
        started_at = time.monotonic()
        try:
            return self._client.request(method, url, timeout=timeout, **arguments)
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            raise LogUnavailableError(str(error), may_have_appended=False) from error
        except urllib3.exceptions.HTTPError as error:
            seconds = time.monotonic() - started_at
            raise LogUnavailableError(
                f"{error} after {seconds:.3f} s", may_have_appended=True
            ) from error


def _decode(data, answer_type):
    try:
        return msgspec.json.decode(data, type=answer_type)
    except DECODING_ERRORS as error:
        raise LogUnavailableError(f"answer: {error}", may_have_appended=True) from error


def _read_record(answer: _RecordAnswer) -> LogRecord:
    try:
        data = base64.b64decode(answer.data, validate=True)
    except ValueError as error:
        raise LogUnavailableError(
            f"answer: {error}", may_have_appended=False
        ) from error
    return LogRecord(offset=answer.offset, data=data)
