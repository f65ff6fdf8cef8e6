"""Collects the log lines of a fleet that concern one request, and their context.

Lines come from any process, in any order, and may carry a prefix of a log collector
before the JSON object. Context lines name no request; they report states of targets,
brokers and configurations, and which peers and services were reachable.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import datetime

import msgspec

from citronspan.utils.validation import DECODING_ERRORS

CONTEXT_SECONDS = 10.0
"""Time before the first line of a request from which context lines are included."""

_NOTICE_EVENTS = frozenset({"target-leaves", "target-paused", "pause-unreadable"})
"""Events of targets that a request's own lines may not name: it was kept from them."""

_CONTEXT_EVENTS = _NOTICE_EVENTS | frozenset(
    {
        "target-state-changed",
        "target-doubt-changed",
        "broker-started",
        "broker-handed-over",
        "broker-unreachable",
        "configuration-applied",
        "log-service-away",
        "log-service-back",
        "peer-state-changed",
        "process-started",
        "process-stopping",
        "request-quarantined",
        "lines-left-out",
    }
)
_DECODER = msgspec.json.Decoder(dict[str, object])


@dataclass(frozen=True, kw_only=True, slots=True)
class LogLine:
    """A parsed log line.

    Attributes:
        at: Time in seconds since the epoch, by the clock of the host.
        source: Text before the JSON object, such as the name of the host.
        fields: The decoded JSON object.
    """

    at: float
    source: str
    fields: dict[str, object]

    @property
    def event(self) -> str:
        """Name of the event, empty if the line has none."""
        return str(self.fields.get("event", ""))


@dataclass(frozen=True, kw_only=True, slots=True)
class Explanation:
    """The log lines that explain one request.

    Attributes:
        lines: Lines that name the request, sorted by time.
        context_lines: Lines about its targets, shards and hosts, from
            ``CONTEXT_SECONDS`` before its first line to its last, sorted by time.
    """

    lines: tuple[LogLine, ...]
    context_lines: tuple[LogLine, ...]


def read_line(text: str) -> LogLine | None:
    """Parse a log line; return None if it has no JSON object with a time."""
    start = text.find("{")
    if start < 0:
        return None
    try:
        fields = _DECODER.decode(text[start:].strip())
        at = msgspec.convert(fields.get("at"), type=datetime).timestamp()
    except DECODING_ERRORS:
        # Ignored: collected logs also contain lines of other programs.
        return None
    return LogLine(at=at, source=text[:start].strip(), fields=fields)


def explain(request_id: str, lines: Iterable[LogLine]) -> Explanation:
    """Collect the lines of a request and their context.

    Args:
        request_id: Id of the request.
        lines: Lines of all processes, in any order.

    Returns:
        The explanation, without any lines if no line names the request.
    """
    ordered = sorted(lines, key=lambda line: line.at)
    own_lines = tuple(line for line in ordered if line.fields.get("id") == request_id)
    if not own_lines:
        return Explanation(lines=(), context_lines=())
    names = {
        str(line.fields.get(key)) for line in own_lines for key in ("target", "shard")
    }
    names -= {"", "None"}
    hosts = {_find_host(line) for line in own_lines}
    first, last = own_lines[0].at - CONTEXT_SECONDS, own_lines[-1].at
    context_lines = tuple(
        line
        for line in ordered
        if line.event in _CONTEXT_EVENTS
        and first <= line.at <= last
        and _is_relevant(line, names, hosts)
    )
    return Explanation(lines=own_lines, context_lines=context_lines)


def _is_relevant(line, names, hosts):
    names_of_line = {str(line.fields.get(key)) for key in ("target", "shard")} - {
        "None"
    }
    if names_of_line and line.event not in _NOTICE_EVENTS:
        return bool(names_of_line & names)
    return _find_host(line) in hosts


def _find_host(line):
    """Return the last word before the JSON object, where collectors put the host."""
    return line.source.split()[-1] if line.source else ""


def format_line(line: LogLine) -> str:
    """Format a line for display: time, host, event number, event and fields."""
    fields = {
        key: value
        for key, value in line.fields.items()
        if key not in ("at", "level", "channel", "event", "number")
    }
    pairs = " ".join(f"{key}={value}" for key, value in fields.items())
    at = str(line.fields["at"])[11:23]
    number = line.fields.get("number", "")
    return f"{at} {_find_host(line)} {number} {line.event} {pairs}"
