"""State of a stand-in target: its switches, its slots and the record of what ran."""

import enum
import math
import random
import threading
import time

import msgspec


class RunStatus(enum.StrEnum):
    """How far a request got that the target did not refuse."""

    INCOMPLETE = "incomplete"
    RUNNING = "running"
    COMPLETED = "completed"
    CANCELLED = "cancelled"


class Refusal(enum.StrEnum):
    """Why the target did not run a request, as in ``Target-Not-Run``."""

    SHED = "shed"
    DRAINING = "draining"
    STARTING = "starting"


class TargetSwitches(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
    rename="camel",
):
    """What can be changed while a target runs.

    The faults from ``error_share`` on hold only while the target is sick: always,
    or in every second period of ``flap_seconds`` if that is set.

    Attributes:
        slots: Requests that run at once.
        service_seconds: Median service time.
        service_sigma: Sigma of the logarithm of the service time.
        draining: Whether new requests are refused.
        starting_seconds: Time after a start in which requests are refused.
        warming_seconds: Time after that in which requests are slower.
        warming_factor: Factor of the service time at the start of warming.
        load_lag_seconds: Age that ``/load`` and ``/health`` may reach.
        load_in_use: Slots in use that ``/load`` claims, -1 for the truth.
        health_lies: Whether ``/health`` answers 200 although the target is sick.
        flap_seconds: Period after which the target changes between well and sick.
        error_share: Share of the requests that are run and answered with 500.
        slow_factor: Factor of the service time.
        hang: Whether requests are never answered.
        cut_after_bytes: Bytes of the body after which answers are cut, -1 never.
        reset_share: Share of the requests that are run and then reset.
        crash_path: Requests with this in their path crash the target, if not empty.
    """

    slots: int = 6
    service_seconds: float = 0.005
    service_sigma: float = 0.3
    draining: bool = False
    starting_seconds: float = 0.0
    warming_seconds: float = 0.0
    warming_factor: float = 4.0
    load_lag_seconds: float = 0.0
    load_in_use: int = -1
    health_lies: bool = True
    flap_seconds: float = 0.0
    error_share: float = 0.0
    slow_factor: float = 1.0
    hang: bool = False
    cut_after_bytes: int = -1
    reset_share: float = 0.0
    crash_path: str = ""

    def has_fault(self) -> bool:
        """Return whether any fault is switched on."""
        faults = (self.error_share, self.slow_factor != 1.0, self.hang)
        return any(faults) or self.cut_after_bytes >= 0 or self.reset_share > 0


class RunRecord(
    msgspec.Struct, frozen=True, kw_only=True, rename="camel", omit_defaults=False
):
    """What a target knows of one request that it did not refuse.

    Attributes:
        number: Number of the request at this target.
        key: Idempotency key of the request, or empty.
        method: HTTP method.
        path: Path of the request.
        status: How far it got.
        body_bytes: Bytes of the body that arrived.
        body_digest: SHA-256 of them in hexadecimal digits.
    """

    number: int
    key: str
    method: str
    path: str
    status: RunStatus
    body_bytes: int = 0
    body_digest: str = ""


class LoadReport(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    """Answer of ``/load``."""

    in_use: int
    slots: int
    draining: bool


class RunList(msgspec.Struct, frozen=True, kw_only=True):
    """Answer of ``/ran``.

    Attributes:
        next: Number of the next request, to ask for newer ones only.
        ran: The requests.
    """

    next: int
    ran: tuple[RunRecord, ...]


class TargetState:
    """Slots in use, requests that ran, and what the switches make of them."""

    def __init__(self, *, name: str, switches: TargetSwitches, seed: int = 0):
        self.name = name
        self._switches = switches
        self._random = random.Random(seed)
        self._lock = threading.Lock()
        self._in_use = 0
        self._records: list[RunRecord] = []
        self._started_at = time.monotonic()
        self._switched_at = self._started_at
        self._crashes = 0
        self._reported: tuple[float, LoadReport] | None = None

    @property
    def switches(self) -> TargetSwitches:
        """The switches in force."""
        return self._switches

    def replace_switches(self, switches: TargetSwitches) -> None:
        """Put other switches in force; flapping starts with a sick period."""
        with self._lock:
            self._switches = switches
            self._switched_at = time.monotonic()

    def is_sick(self) -> bool:
        """Return whether the faults hold now."""
        switches = self._switches
        if not switches.has_fault():
            return False
        if not switches.flap_seconds:
            return True
        periods = (time.monotonic() - self._switched_at) / switches.flap_seconds
        return int(periods) % 2 == 0

    def take_slot(self) -> Refusal | None:
        """Take a slot, or say why not."""
        with self._lock:
            age_seconds = time.monotonic() - self._started_at
            if age_seconds < self._switches.starting_seconds:
                return Refusal.STARTING
            if self._switches.draining:
                return Refusal.DRAINING
            if self._in_use >= self._switches.slots:
                return Refusal.SHED
            self._in_use += 1
            return None

    def give_slot_back(self) -> None:
        """Give a slot back that was taken."""
        with self._lock:
            self._in_use -= 1

    def begin_record(self, *, key: str, method: str, path: str) -> RunRecord:
        """Record a request that was taken, before its body has arrived."""
        with self._lock:
            record = RunRecord(
                number=len(self._records),
                key=key,
                method=method,
                path=path,
                status=RunStatus.INCOMPLETE,
            )
            self._records.append(record)
            return record

    def update_record(self, record: RunRecord, **changes) -> RunRecord:
        """Record how far a request has got and return the changed record."""
        changed = msgspec.structs.replace(record, **changes)
        with self._lock:
            self._records[record.number] = changed
        return changed

    def list_records(self, start: int) -> RunList:
        """Return the records from a number on."""
        with self._lock:
            return RunList(
                next=len(self._records), ran=tuple(self._records[max(start, 0) :])
            )

    def draw(self, share: float) -> bool:
        """Return True for about that share of the calls."""
        with self._lock:
            return self._random.random() < share

    def draw_service_seconds(self) -> float:
        """Draw the service time of one request."""
        switches = self._switches
        with self._lock:
            spread = self._random.lognormvariate(0.0, switches.service_sigma)
        seconds = switches.service_seconds * spread * self._get_warming_factor()
        if self.is_sick():
            seconds *= switches.slow_factor
        return seconds

    def _get_warming_factor(self):
        switches = self._switches
        warm_seconds = time.monotonic() - self._started_at - switches.starting_seconds
        if warm_seconds >= switches.warming_seconds:
            return 1.0
        left_share = 1.0 - warm_seconds / switches.warming_seconds
        return math.pow(switches.warming_factor, left_share)

    def crash(self) -> None:
        """Start anew, as after a crash: requests in flight are lost."""
        with self._lock:
            self._crashes += 1
            self._started_at = time.monotonic()

    @property
    def crashes(self) -> int:
        """Number of crashes so far."""
        return self._crashes

    def get_true_load(self) -> LoadReport:
        """Return the load as it is."""
        switches = self._switches
        with self._lock:
            return LoadReport(
                in_use=self._in_use, slots=switches.slots, draining=switches.draining
            )

    def get_reported_load(self) -> LoadReport:
        """Return the load as ``/load`` tells it: late, or not the truth."""
        switches = self._switches
        now = time.monotonic()
        if self._reported and now - self._reported[0] < switches.load_lag_seconds:
            return self._reported[1]
        load = self.get_true_load()
        if switches.load_in_use >= 0:
            load = msgspec.structs.replace(load, in_use=switches.load_in_use)
        self._reported = (now, load)
        return load
