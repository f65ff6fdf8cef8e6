"""State of a stand-in target: switches, slots and records of its requests."""

import enum
import math
import random
import threading
import time

import msgspec


class RunStatus(enum.StrEnum):
    """Progress of a request that the target accepted.

    Attributes:
        INCOMPLETE: The body has not arrived completely.
        RUNNING: The body has arrived and the request runs.
        COMPLETED: The request ran to its end.
        CANCELLED: The caller disconnected or the deadline passed first.
    """

    INCOMPLETE = "incomplete"
    RUNNING = "running"
    COMPLETED = "completed"
    CANCELLED = "cancelled"


class Refusal(enum.StrEnum):
    """Reason for not running a request, sent in the header ``Target-Not-Run``.

    Attributes:
        SHED: All slots are in use.
        DRAINING: The target takes no new requests.
        STARTING: The target was started or crashed a short time ago.
    """

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
    """Settings and faults that can be changed while a target runs.

    The faults from ``error_share`` to ``reset_share`` take effect only while the target
    is faulty: always, or in every second period of ``flap_seconds`` if that is set.

    Attributes:
        slots: Maximum number of requests that run at the same time.
        service_seconds: Median service time.
        service_sigma: Standard deviation of the logarithm of the service time.
        draining: Whether new requests are refused.
        starting_seconds: Time after a start during which requests are refused.
        warming_seconds: Time after ``starting_seconds`` during which requests take
            longer.
        warming_factor: Factor of the service time at the beginning of warming; it
            decays exponentially to 1.
        load_lag_seconds: Maximum age of the load that ``/load`` reports.
        load_in_use: Slots in use that ``/load`` reports, or -1 for the actual number.
        health_lies: Whether ``/health`` answers 200 although the target is faulty.
        flap_seconds: Time after which the target changes between faulty and healthy,
            or 0 for a target that does not flap.
        error_share: Share of the requests that are run and then answered with 500.
        slow_factor: Factor of the service time while the target is faulty.
        hang: Whether requests hang until their deadline.
        cut_after_bytes: Size at which the body of an answer is truncated, or -1.
        reset_share: Share of the requests that are run and whose connection is then
            reset.
        crash_path: Text that makes a request crash the target if its path contains it,
            or an empty string.
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
        """Return whether any fault that makes the target faulty is switched on."""
        faults = (self.error_share, self.slow_factor != 1.0, self.hang)
        return any(faults) or self.cut_after_bytes >= 0 or self.reset_share > 0


class RunRecord(
    msgspec.Struct, frozen=True, kw_only=True, rename="camel", omit_defaults=False
):
    """Record of one request that a target accepted.

    Attributes:
        number: Sequence number of the request at this target.
        key: Idempotency key of the request, or an empty string.
        method: HTTP method.
        path: Path of the request.
        status: Progress of the request.
        body_bytes: Number of received bytes of the body.
        body_digest: SHA-256 of the received bytes in hexadecimal digits.
    """

    number: int
    key: str
    method: str
    path: str
    status: RunStatus
    body_bytes: int = 0
    body_digest: str = ""


class LoadReport(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    """Body of an answer of ``/load``."""

    in_use: int
    slots: int
    draining: bool


class RunList(msgspec.Struct, frozen=True, kw_only=True):
    """Body of an answer of ``/ran``.

    Attributes:
        next: Number of the next request, from which a later call can continue.
        ran: Records of the accepted requests.
    """

    next: int
    ran: tuple[RunRecord, ...]


class TargetState:
    """Thread-safe slots, request records and simulated faults of a target."""

    def __init__(self, *, name: str, switches: TargetSwitches, seed: int = 0):
        self.name = name
        self._switches = switches
        self._random = random.Random(seed)
        self._lock = threading.Lock()
        self._in_use = 0
        self._records: list[RunRecord] = []
        self._started_at = time.monotonic()
        self._switched_at = self._started_at
        self._crash_count = 0
        self._cached_report: tuple[float, LoadReport] | None = None

    @property
    def switches(self) -> TargetSwitches:
        """The current switches."""
        return self._switches

    def replace_switches(self, switches: TargetSwitches) -> None:
        """Replace the switches; flapping restarts with a faulty period."""
        with self._lock:
            self._switches = switches
            self._switched_at = time.monotonic()

    def is_faulty(self) -> bool:
        """Return whether the faults take effect now."""
        switches = self._switches
        if not switches.has_fault():
            return False
        if not switches.flap_seconds:
            return True
        periods = (time.monotonic() - self._switched_at) / switches.flap_seconds
        return int(periods) % 2 == 0

    def acquire_slot(self) -> Refusal | None:
        """Acquire a slot.

        Returns:
            None, or the reason for which no slot was given.
        """
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

    def release_slot(self) -> None:
        """Release an acquired slot."""
        with self._lock:
            self._in_use -= 1

    def add_record(self, *, key: str, method: str, path: str) -> RunRecord:
        """Add the record of an accepted request whose body has not arrived yet."""
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
        """Replace fields of a request's record and return the new record."""
        changed = msgspec.structs.replace(record, **changes)
        with self._lock:
            self._records[record.number] = changed
        return changed

    def list_records(self, start: int) -> RunList:
        """Return the records of the requests numbered ``start`` and higher."""
        with self._lock:
            return RunList(
                next=len(self._records), ran=tuple(self._records[max(start, 0) :])
            )

    def draw_event(self, share: float) -> bool:
        """Return True with a probability of ``share``."""
        with self._lock:
            return self._random.random() < share

    def draw_service_seconds(self) -> float:
        """Draw the service time of one request, in seconds."""
        switches = self._switches
        with self._lock:
            factor = self._random.lognormvariate(0.0, switches.service_sigma)
        seconds = switches.service_seconds * factor * self._compute_warming_factor()
        if self.is_faulty():
            seconds *= switches.slow_factor
        return seconds

    def _compute_warming_factor(self):
        switches = self._switches
        warm_seconds = time.monotonic() - self._started_at - switches.starting_seconds
        if warm_seconds >= switches.warming_seconds:
            return 1.0
        remaining_share = 1.0 - warm_seconds / switches.warming_seconds
        return math.pow(switches.warming_factor, remaining_share)

    def crash(self) -> None:
        """Simulate a crash and restart, which loses the requests in flight."""
        with self._lock:
            self._crash_count += 1
            self._started_at = time.monotonic()

    @property
    def crash_count(self) -> int:
        """Number of crashes so far."""
        return self._crash_count

    def get_actual_load(self) -> LoadReport:
        """Return the actual load."""
        switches = self._switches
        with self._lock:
            return LoadReport(
                in_use=self._in_use, slots=switches.slots, draining=switches.draining
            )

    def get_reported_load(self) -> LoadReport:
        """Return the load that ``/load`` reports, which may be outdated or wrong."""
        switches = self._switches
        now = time.monotonic()
        if (
            self._cached_report
            and now - self._cached_report[0] < switches.load_lag_seconds
        ):
            return self._cached_report[1]
        load = self.get_actual_load()
        if switches.load_in_use >= 0:
            load = msgspec.structs.replace(load, in_use=switches.load_in_use)
        self._cached_report = (now, load)
        return load
