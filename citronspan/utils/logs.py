"""Structured log lines by logbook: one JSON object a line, one numbered event each.

Whoever logs only puts a record into a bounded queue; one thread writes. A reader that
has stopped reading so holds up nothing but that thread. What finds the queue full is
left out and counted, and so are calm lines beyond a rate, before any line on a failure
is.
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
"""Longest wait at the end of a process for what is still to be written."""


class NumberedEvent(Protocol):
    """What a numbered event must have."""

    number: int
    name: str
    level: str


def write_event(logger: logbook.Logger, event: NumberedEvent, **fields) -> None:
    """Log a numbered event.

    Args:
        logger: Where to log.
        event: The event.
        **fields: What the reader needs to know; values that JSON can carry.
    """
    level = logbook.lookup_level(event.level)
    logger.log(level, event.name, extra={"number": event.number, **fields})


def format_record(record, handler) -> str:
    """Format a log record as one line of JSON.

    Args:
        record: The logbook record.
        handler: The handler, unused.

    Returns:
        The line without its end.
    """
    return _format_line(time.time(), record)


def _format_line(at: float, record) -> str:
    moment = datetime.fromtimestamp(at, UTC)
    line = {
        "at": moment.isoformat(timespec="milliseconds"),
        "level": record.level_name,
        "channel": record.channel,
        "event": record.message,
        **record.extra,
    }
    if record.exc_info:
        line["error"] = record.formatted_exception
    return msgspec.json.encode(line, enc_hook=str).decode()


class BoundedHandler(logbook.Handler):
    """Writes lines from one thread; never blocks whoever logs."""

    def __init__(self, *, stream, level: str):
        super().__init__(level=level)
        self._stream = stream
        self._calm = TokenBucket(
            rate=LOW_SEVERITY_LINES_PER_SECOND, burst=LOW_SEVERITY_BURST_LINES
        )
        self._queue: deque = deque()
        self._news = threading.Condition()
        self._left_out = 0
        self._is_writing = False
        threading.Thread(target=self._write_forever, name="log", daemon=True).start()

    @property
    def dropped_lines(self) -> int:
        """Lines left out and not yet told of."""
        return self._left_out

    def emit(self, record) -> None:
        """Queue a record."""
        if record.exc_info:
            record.pull_information()
        with self._news:
            is_calm = record.level <= logbook.INFO and not self._calm.take()
            if is_calm or len(self._queue) >= MAXIMUM_QUEUED_LINES:
                self._left_out += 1
                return
            self._queue.append((time.time(), record))
            self._news.notify()

    def flush(self, seconds: float = FLUSH_TIMEOUT_SECONDS) -> None:
        """Wait for a bounded time until all is written."""
        until = time.monotonic() + seconds
        while (self._queue or self._is_writing) and time.monotonic() < until:
            time.sleep(0.01)

    def _write_forever(self):
        while True:
            with self._news:
                self._is_writing = False
                self._news.wait_for(lambda: self._queue)
                self._is_writing = True
                waiting = list(self._queue)
                self._queue.clear()
                dropped_lines, self._left_out = self._left_out, 0
            lines = [_format_line(at, record) for at, record in waiting]
            if dropped_lines:
                lines.append(_format_left_out(dropped_lines))
            self._write("".join(f"{line}\n" for line in lines))

    def _write(self, text):
        try:
            self._stream.write(text)
            self._stream.flush()
        except (OSError, ValueError):
            # Ignored: the stream is where one would say so.
            with self._news:
                self._left_out += text.count("\n")


def _format_left_out(lines: int) -> str:
    line = {
        "at": datetime.now(UTC).isoformat(timespec="milliseconds"),
        "level": "WARNING",
        "channel": "log",
        "event": "lines-left-out",
        "number": 108,
        "lines": lines,
    }
    return msgspec.json.encode(line).decode()


def start_logging(level: str) -> BoundedHandler:
    """Send log lines of a level and above to standard output."""
    handler = BoundedHandler(stream=sys.stdout, level=level)
    handler.push_application()
    atexit.register(handler.flush)
    return handler
