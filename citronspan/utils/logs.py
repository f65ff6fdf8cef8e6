"""Structured log lines by logbook: one JSON object a line, one numbered event each."""

import sys
from datetime import UTC, datetime
from typing import Protocol

import logbook
import msgspec


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
    line = {
        "at": datetime.now(UTC).isoformat(timespec="milliseconds"),
        "level": record.level_name,
        "channel": record.channel,
        "event": record.message,
        **record.extra,
    }
    if record.exc_info:
        line["error"] = record.formatted_exception
    return msgspec.json.encode(line, enc_hook=str).decode()


def start_logging(level: str) -> None:
    """Send log lines of a level and above to standard error."""
    handler = logbook.StreamHandler(sys.stderr, level=level)
    handler.formatter = format_record
    handler.push_application()
