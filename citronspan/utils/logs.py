"""Structured logging through logbook: one JSON object with a numbered event per line.

A logging call only puts a record into a bounded queue, and a single thread writes. A
reader that stops reading therefore blocks only that thread. While the
queue is full, further records are dropped and counted. Lines of level INFO and below
are rate-limited, so that they are dropped before any line that reports a failure.
"""

import atexit
import sys
import threading
import time
from collections import deque
from datetime import UTC, datetime
from typing import Protocol

import logbook
import msgspec

from citronspan.utils.token_bucket import TokenBucket

MAXIMUM_QUEUED_LINES = 2000
LOW_SEVERITY_LINES_PER_SECOND = 50.0
LOW_SEVERITY_BURST_LINES = 500.0
FLUSH_TIMEOUT_SECONDS = 0.3
"""Longest wait at process exit for queued lines to be written."""


class NumberedEvent(Protocol):
    """An event that can be logged.

    Attributes:
        number: Stable number of the event.
        name: Name of the event.
        level: Name of the log level.
    """

    number: int
    name: str
    level: str


def write_event(logger: logbook.Logger, event: NumberedEvent, **fields) -> None:
    """Log a numbered event.

    Args:
        logger: The logger of the channel.
        event: The event.
        **fields: Further fields of the line; values that JSON can represent.
    """
    level = logbook.lookup_level(event.level)
    logger.log(level, event.name, extra={"number": event.number, **fields})


def format_record(record, handler) -> str:
    """Format a log record as one line of JSON.

    Args:
        record: The logbook record.
        handler: The handler, unused.

    Returns:
        The line without a newline.
    """
    return _format_line(time.time(), record)


def _format_line(at: float, record) -> str:
    timestamp = datetime.fromtimestamp(at, UTC)
    line = {
        "at": timestamp.isoformat(timespec="milliseconds"),
        "level": record.level_name,
        "channel": record.channel,
        "event": record.message,
        **record.extra,
    }
    if record.exc_info:
        line["error"] = record.formatted_exception
    return msgspec.json.encode(line, enc_hook=str).decode()


class BoundedHandler(logbook.Handler):
    """Writes queued lines from one thread; never blocks the caller that logs."""

    def __init__(self, *, stream, level: str):
        super().__init__(level=level)
        self._stream = stream
        self._low_severity_bucket = TokenBucket(
            rate=LOW_SEVERITY_LINES_PER_SECOND, burst=LOW_SEVERITY_BURST_LINES
        )
        self._queue: deque = deque()
        self._queue_changed = threading.Condition()
        self._dropped_lines = 0
        self._is_writing = False
        threading.Thread(target=self._write_forever, name="log", daemon=True).start()

    @property
    def dropped_lines(self) -> int:
        """Number of dropped lines that no log line has reported yet."""
        return self._dropped_lines

    def emit(self, record) -> None:
        """Queue a record, or count it as dropped."""
        if record.exc_info:
            record.pull_information()
        with self._queue_changed:
            exceeds_rate = (
                record.level <= logbook.INFO and not self._low_severity_bucket.take()
            )
            if exceeds_rate or len(self._queue) >= MAXIMUM_QUEUED_LINES:
                self._dropped_lines += 1
                return
            self._queue.append((time.time(), record))
            self._queue_changed.notify()

    def flush(self, seconds: float = FLUSH_TIMEOUT_SECONDS) -> None:
        """Wait until all queued lines are written, for at most ``seconds``."""
        deadline = time.monotonic() + seconds
        while (self._queue or self._is_writing) and time.monotonic() < deadline:
            time.sleep(0.01)

    def _write_forever(self):
        while True:
            with self._queue_changed:
                self._is_writing = False
                self._queue_changed.wait_for(lambda: self._queue)
                self._is_writing = True
                records = list(self._queue)
                self._queue.clear()
                dropped_lines, self._dropped_lines = self._dropped_lines, 0
            lines = [_format_any_line(at, record) for at, record in records]
            if dropped_lines:
                lines.append(_format_dropped_lines(dropped_lines))
            self._write("".join(f"{line}\n" for line in lines))

    def _write(self, text):
        try:
            self._stream.write(text)
            self._stream.flush()
        except (OSError, ValueError):
            # Ignored: the error could only be reported on the stream that failed.
            with self._queue_changed:
                self._dropped_lines += text.count("\n")


def _format_any_line(at: float, record) -> str:
    """Format a record, with its fields as plain ASCII if they cannot be encoded."""
    try:
        return _format_line(at, record)
    except Exception as error:
        timestamp = datetime.fromtimestamp(at, UTC)
        line = {
            "at": timestamp.isoformat(timespec="milliseconds"),
            "level": record.level_name,
            "channel": record.channel,
            "event": ascii(record.message),
            "number": record.extra.get("number", 0),
            "fields": ascii(dict(record.extra)),
            "error": ascii(error),
        }
        return msgspec.json.encode(line, enc_hook=ascii).decode()


def _format_dropped_lines(count: int) -> str:
    line = {
        "at": datetime.now(UTC).isoformat(timespec="milliseconds"),
        "level": "WARNING",
        "channel": "log",
        "event": "lines-left-out",
        "number": 108,
        "lines": count,
    }
    return msgspec.json.encode(line).decode()


def start_logging(level: str) -> BoundedHandler:
    """Start writing log lines of at least a level to standard output."""
    handler = BoundedHandler(stream=sys.stdout, level=level)
    handler.push_application()
    atexit.register(handler.flush)
    return handler
