"""Puts together what the logs of a fleet say of one request, and what was held then.

Lines come from any processes, in any order, and may have words of a collector before
the JSON object. Beliefs are lines that name no request: states of targets, brokers,
configurations, what could be reached.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import datetime

import msgspec

CONTEXT_SECONDS = 10.0
"""Time before a request from which beliefs are shown."""

_BELIEFS = frozenset(
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
    """One line of a log.

    Attributes:
        at: Time in seconds since 1970, by the clock of its host.
        source: What stood before the JSON object, such as the host's name.
        fields: The object.
    """

    at: float
    source: str
    fields: dict[str, object]

    @property
    def event(self) -> str:
        """Name of the event."""
        return str(self.fields.get("event", ""))


@dataclass(frozen=True, kw_only=True, slots=True)
class Explanation:
    """What the logs say of one request.

    Attributes:
        lines: Lines that name the request, by time.
        context_lines: Lines on its targets and shards, and on its hosts, from shortly
            before it to its end, by time.
    """

    lines: tuple[LogLine, ...]
    context_lines: tuple[LogLine, ...]


def read_line(text: str) -> LogLine | None:
    """Read one line, None if it holds no JSON object with a time."""
    begin = text.find("{")
    if begin < 0:
        return None
    try:
        fields = _DECODER.decode(text[begin:].strip())
        at = msgspec.convert(fields.get("at"), type=datetime).timestamp()
    except (msgspec.MsgspecError, ValueError):
        # Ignored: lines of other programs are no lines of the fleet.
        return None
    return LogLine(at=at, source=text[:begin].strip(), fields=fields)


def explain(request_id: str, lines: Iterable[LogLine]) -> Explanation:
    """Put together what lines say of a request.

    Args:
        request_id: What identifies the request.
        lines: Lines of all processes, in any order.

    Returns:
        The lines on it, none if it is not named.
    """
    ordered = sorted(lines, key=lambda line: line.at)
    own = tuple(line for line in ordered if line.fields.get("id") == request_id)
    if not own:
        return Explanation(lines=(), context_lines=())
    names = {str(line.fields.get(key)) for line in own for key in ("target", "shard")}
    names -= {"", "None"}
    hosts = {_find_host(line) for line in own}
    first, last = own[0].at - CONTEXT_SECONDS, own[-1].at
    context_lines = tuple(
        line
        for line in ordered
        if line.event in _BELIEFS
        and first <= line.at <= last
        and _concerns(line, names, hosts)
    )
    return Explanation(lines=own, context_lines=context_lines)


def _concerns(line, names, hosts):
    told = {str(line.fields.get(key)) for key in ("target", "shard")} - {"None"}
    if told:
        return bool(told & names)
    return _find_host(line) in hosts


def _find_host(line):
    """Return the last word before the object, where collectors put the host."""
    return line.source.split()[-1] if line.source else ""


def format_line(line: LogLine) -> str:
    """Format a line for people."""
    fields = {
        key: value
        for key, value in line.fields.items()
        if key not in ("at", "level", "channel", "event", "number")
    }
    words = " ".join(f"{key}={value}" for key, value in fields.items())
    at = str(line.fields["at"])[11:23]
    number = line.fields.get("number", "")
    return f"{at} {_find_host(line)} {number} {line.event} {words}"
