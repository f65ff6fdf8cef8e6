"""Settings of the processes: one JSON file per process, validated when read.

A process takes its addresses, its location and its parameters only from its settings.
Everything that operators change while the fleet runs is a resource instead.
"""

import enum
from pathlib import Path
from typing import Annotated

import msgspec

from citronspan.core import result_codes
from citronspan.core.errors import CitronspanError
from citronspan.core.node_messages import HostRoom
from citronspan.core.resources import parse_address
from citronspan.utils.validation import (
    DECODING_ERRORS,
    describe_error,
    describe_value_error,
)

MAXIMUM_SECONDS = 1e7
"""Longest time in settings; the runtime's waits fail beyond some hundred days."""

MAXIMUM_THREADS = 4096
MAXIMUM_QUOTA_MARGIN = 1e9

Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
Seconds = Annotated[float, msgspec.Meta(ge=0, le=MAXIMUM_SECONDS)]
ThreadCount = Annotated[int, msgspec.Meta(ge=1, le=MAXIMUM_THREADS)]
Name = Annotated[str, msgspec.Meta(min_length=1)]
Amount = Annotated[float, msgspec.Meta(ge=0, le=1e9)]
Port = Annotated[int, msgspec.Meta(ge=1, le=65535)]


class Section(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
    rename="camel",
):
    """Base of all sections of the settings; their keys are in camel case."""


class Exporter(enum.StrEnum):
    """Destination of finished spans."""

    NONE = "none"
    CONSOLE = "console"
    FILE_DESCRIPTOR = "file-descriptor"


class NodeIdentity(Section, kw_only=True):
    """Identity and location of a node.

    Attributes:
        name: Name of the host, unique in the fleet.
        region: Region of the host.
        data_centre: Data centre of the host.
        fleet: Name of the fleet; keys and peers of another fleet are rejected.
        secret: Secret of the fleet with which keys are authenticated, the same on all
            hosts. Without a secret, the check detects damage but no forgery.
    """

    name: Name
    region: Name
    data_centre: Name
    fleet: Name = "citronspan"
    secret: str = ""


class HostLimits(Section, kw_only=True):
    """What a host may use; a value that is missing or 0 is not stated.

    Attributes:
        cores: Cores of the host.
        processor_share: Share of each core that its processes may use.
        link_mbit: Megabits per second of its link, in each direction.
    """

    cores: Amount = 0.0
    processor_share: Amount = 1.0
    link_mbit: Amount = 0.0

    @property
    def link_bytes_per_second(self) -> float:
        """Bytes per second of the link in each direction, 0 if not stated."""
        return self.link_mbit * 1e6 / 8

    def make_room(self) -> HostRoom | None:
        """Return what other hosts are told, None if nothing is stated."""
        room = HostRoom(
            processor_millicores=round(self.cores * self.processor_share * 1000),
            link_kbit=round(self.link_mbit * 1000),
        )
        return None if room == HostRoom() else room


class Tracing(Section, kw_only=True):
    """Export of spans.

    Attributes:
        exporter: Destination of finished spans.
        file_descriptor: Number of the open descriptor to which the exporter
            ``file-descriptor`` writes.
        sampled_share: Share of the traces begun in this process that is recorded, 0 to
            1.
    """

    exporter: Exporter = Exporter.NONE
    file_descriptor: int = 2
    sampled_share: Share = 1.0


class QuotaRules(Section, kw_only=True):
    """Bounds within which the limits of accounts are kept over the fleet.

    Attributes:
        window_seconds: Length of each window in which requests are counted.
        excess: Part of rate and burst by which a window may exceed them.
        slack: Requests by which a window may exceed them besides.
    """

    window_seconds: Annotated[float, msgspec.Meta(gt=0, le=MAXIMUM_SECONDS)] = 5.0
    excess: Annotated[float, msgspec.Meta(ge=0, le=MAXIMUM_QUOTA_MARGIN)] = 0.0
    slack: Annotated[float, msgspec.Meta(ge=0, le=MAXIMUM_QUOTA_MARGIN)] = 0.0


class EntrySettings(Section, kw_only=True):
    """Settings of ``citronspan-entry``.

    Attributes:
        place: Identity and location of the node.
        callers_address: ``IP:PORT`` to which callers connect.
        peer_address: ``IP:PORT`` for messages from other processes of the fleet.
        agent_peer_address: Peer address of this host's agent.
        metrics_address: ``IP:PORT`` of ``/metrics``.
        readiness_address: ``IP:PORT`` of ``/readiness``, empty for none.
        relay_address: ``IP:PORT`` for peers that reach no target, empty for none.
        worker_threads: Maximum number of concurrent requests.
        drain_seconds: Timeout of a graceful stop.
        leave_seconds: Time between removal from the directory and refusal of new
            connections.
        reuse_seconds: Longest idle time of a connection to a target that is reused for
            a non-idempotent request; 0 for a new connection for each.
        broker_wait_seconds: Timeout of one request to a broker, excluding time in its
            queue.
        quota_rules: Bounds for the limits of accounts.
        tracing: Export of spans.
        log_level: Name of a logbook level.
        limits: What the host may use.
        region_link_mbit: Megabits per second that the requests of all services and
            hosts together may use of the links between regions, 0 for no such budget.
    """

    place: NodeIdentity
    callers_address: str
    peer_address: str
    agent_peer_address: str
    metrics_address: str
    readiness_address: str = ""
    relay_address: str = ""
    worker_threads: ThreadCount = 64
    drain_seconds: Seconds = 600.0
    leave_seconds: Seconds = 5.0
    reuse_seconds: Seconds = 0.0
    broker_wait_seconds: Seconds = 0.05
    quota_rules: QuotaRules = QuotaRules()
    tracing: Tracing = Tracing()
    log_level: str = "INFO"
    limits: HostLimits = HostLimits()
    region_link_mbit: Amount = 0.0

    @property
    def region_link_bytes_per_second(self) -> float:
        """Bytes per second of the budget of the links between regions, or 0."""
        return self.region_link_mbit * 1e6 / 8


class AgentSettings(Section, kw_only=True):
    """Settings of ``citronspan-agent``.

    Attributes:
        place: Identity and location of the node.
        peer_address: ``IP:PORT`` for messages from other processes of the fleet.
        api_address: ``IP:PORT`` of the resource API and the address directory.
        entry_peer_address: Peer address of this host's entry.
        entry_callers_address: Address of this host's entry for callers.
        metrics_address: ``IP:PORT`` of ``/metrics``.
        entry_relay_address: Address at which this host's entry relays connections to
            targets for peers, empty for none.
        directory_address: ``IP:PORT`` of a second listener of the API, for callers that
            query addresses; empty for none.
        log_url: Base URL of the platform's log service.
        host_list_url: URL of the platform's list of hosts, or empty.
        seeds: Peer addresses of the agents that are contacted first.
        keep_seconds: Time for which callers may cache a directory answer.
        snapshot_seconds: Interval between snapshots in the log; the log must retain
            records for at least three times as long.
        log_level: Name of a logbook level.
        limits: What the host may use.
    """

    place: NodeIdentity
    peer_address: str
    api_address: str
    entry_peer_address: str
    entry_callers_address: str
    metrics_address: str
    log_url: str
    entry_relay_address: str = ""
    directory_address: str = ""
    host_list_url: str = ""
    seeds: tuple[str, ...] = ()
    keep_seconds: Seconds = 5.0
    snapshot_seconds: Seconds = 21600.0
    log_level: str = "INFO"
    limits: HostLimits = HostLimits()


ProcessSettings = EntrySettings | AgentSettings


def _make_invalid_error(detail: str) -> CitronspanError:
    return CitronspanError(code=result_codes.SETTINGS_INVALID, detail=detail)


_OPTIONAL_ADDRESSES = frozenset(
    {
        "readiness_address",
        "directory_address",
        "relay_address",
        "entry_relay_address",
    }
)


def _check_addresses(settings, path):
    for name in settings.__struct_fields__:
        if not name.endswith("_address"):
            continue
        fields = msgspec.structs.fields(settings)
        encoded = next(field.encode_name for field in fields if field.name == name)
        if not getattr(settings, name) and name in _OPTIONAL_ADDRESSES:
            continue
        parse_address(getattr(settings, name), path=f"{path}: $.{encoded}")


def _check_log_level(level, path):
    if level in {"DEBUG", "INFO", "NOTICE", "WARNING", "ERROR", "CRITICAL"}:
        return
    raise _make_invalid_error(
        f"{path}: $.logLevel: {level!r} is not a level of logbook"
    )


def read_settings(path: str, settings_type: type) -> ProcessSettings:
    """Read and validate the settings of one process.

    Args:
        path: Path of the JSON file.
        settings_type: ``EntrySettings`` or ``AgentSettings``.

    Returns:
        The validated settings.

    Raises:
        CitronspanError: With code 1001, 1002 or 1003; the detail names the file
            and the key.
    """
    try:
        data = Path(path).read_bytes()
    except OSError as error:
        raise CitronspanError(
            code=result_codes.SETTINGS_UNREADABLE, detail=f"{path}: {error.strerror}"
        ) from error
    return decode_settings(data, settings_type, path=path)


def _drop_nulls(value):
    """Return decoded JSON without the keys whose value is null."""
    if not isinstance(value, dict):
        return value
    return {key: _drop_nulls(item) for key, item in value.items() if item is not None}


def decode_settings(data: bytes, settings_type: type, *, path: str) -> ProcessSettings:
    """Decode and validate settings from bytes.

    A key with the value null counts as missing: a template gives null for a value that
    a deployment does not have.

    Args:
        data: The encoded JSON.
        settings_type: ``EntrySettings`` or ``AgentSettings``.
        path: Name of the source, for error messages.

    Returns:
        The validated settings.

    Raises:
        CitronspanError: With code 1002 or 1003.
    """
    try:
        content = _drop_nulls(msgspec.json.decode(data))
    except DECODING_ERRORS as error:
        raise _make_invalid_error(f"{path}: {describe_error(error)}") from error
    try:
        settings = msgspec.convert(content, type=settings_type)
    except msgspec.ValidationError as error:
        description = describe_value_error(error, content)
        raise _make_invalid_error(f"{path}: {description}") from error
    _check_addresses(settings, path)
    _check_log_level(settings.log_level, path)
    return settings
