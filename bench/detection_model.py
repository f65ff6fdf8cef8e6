"""Seeded discrete-event model of one service, for bench/detection.py.

The model has one list of targets with slots, Poisson arrivals at random entries,
log-normal service times, and an ejection policy that limits the targets and observes
the outcomes. There is no network and no queue: a request that finds no free slot counts
as unserved.
"""

import heapq
import math
import random
from dataclasses import dataclass
from typing import Protocol

from citronspan.core.detection import service_health
from citronspan.core.detection.health import TargetInfo
from citronspan.core.outcomes import Outcome, OutcomeClass
from citronspan.core.resources import DetectionCosts, ServiceSpec

LATENCY_SIGMA = 0.5
BASE_ERROR_SHARE = 0.01
DEADLINE_IN_MEDIANS = 40
IDEMPOTENT_SHARE = 0.7
FLOOR = 0.5
# Delay until the broker's periodic check finds an overdue attempt.
OVERDUE_DELAY_SECONDS = 0.1


class SimulatedClock:
    """Replaces the module ``time`` in the decision core."""

    now = 0.0

    def monotonic(self):
        """Return the simulated time in seconds."""
        return self.now


CLOCK = SimulatedClock()
service_health.time = CLOCK


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceShape:
    """Size and speed of one service.

    Attributes:
        name: Name of the service.
        targets: Number of targets.
        slots: Slots of each target.
        entries: Number of entries.
        median_seconds: Median service time.
        costs: Costs of late detection and of false ejections.
    """

    name: str
    targets: int
    slots: int
    entries: int
    median_seconds: float
    costs: DetectionCosts

    @property
    def mean_seconds(self):
        """Mean service time in seconds."""
        return self.median_seconds * math.exp(LATENCY_SIGMA**2 / 2)

    def compute_rate(self, load):
        """Return the requests per second at a load, given as a share of all slots."""
        return load * self.targets * self.slots / self.mean_seconds


@dataclass(frozen=True, kw_only=True, slots=True)
class Fault:
    """Partial failure of a gray target.

    Attributes:
        name: Name for the tables.
        error_share: Share of its requests that fail.
        latency_factor: Factor on its service times.
        flap_seconds: Length of each faulty and of each healthy period, 0 for a fault
            without interruption.
    """

    name: str
    error_share: float = BASE_ERROR_SHARE
    latency_factor: float = 1.0
    flap_seconds: float = 0.0

    def is_active(self, age_seconds):
        """Return whether the fault is active at this time after it began."""
        if not self.flap_seconds:
            return True
        return int(age_seconds / self.flap_seconds) % 2 == 0


class Policy(Protocol):
    """Decides which targets may be used, from the outcomes of requests.

    Attributes:
        choosers: Number of choosers that decide independently: 1 for a broker, or the
            number of entries if every entry decides alone.
        ejections: Number of ejections of each target by all choosers. An ejection that
            follows a failed trial does not count.
        suspicions: Number of times that a target became suspect.
    """

    def find_slots(self, entry: int) -> list[int]:
        """Return the number of slots that an entry may use at each target."""

    def is_trial(self, target: int) -> bool:
        """Return whether a target receives trial requests only."""

    def record_sent(self, entry: int, target: int) -> None:
        """Record that an entry sent a request to a target."""

    def record_outcome(
        self, entry: int, target: int, failed: bool, latency: float
    ) -> None:
        """Record an outcome; the latency is in seconds."""

    def find_overdue_seconds(self) -> float:
        """Return the age at which an unanswered attempt counts as overdue."""

    def record_overdue(self, target: int) -> None:
        """Record an attempt that is overdue."""

    def count_choosers_using(self, target: int) -> int:
        """Return the number of choosers that still use a target."""


class CitronspanPolicy:
    """The product's decision core at one broker that receives every outcome."""

    choosers = 1

    def __init__(self, shape, seed):
        spec = ServiceSpec(floor=FLOOR, costs=shape.costs)
        self.health = service_health.ServiceHealth(name=shape.name, spec=spec)
        self.names = [f"t{index}" for index in range(shape.targets)]
        self.health.set_targets(
            tuple(
                TargetInfo(
                    name=name,
                    address=f"127.0.0.1:{9000 + index}",
                    region="north",
                    data_centre="north-1",
                    slots=shape.slots,
                )
                for index, name in enumerate(self.names)
            )
        )
        self.index_by_name = {name: index for index, name in enumerate(self.names)}
        self.deadline_seconds = shape.median_seconds * DEADLINE_IN_MEDIANS
        self.random = random.Random(seed)
        self.ejections = [0] * shape.targets
        self.suspicions = 0
        self.states = ["healthy"] * shape.targets
        self._limits = None
        self._slots = [shape.slots] * shape.targets
        self._trials = [False] * shape.targets

    def find_slots(self, entry):
        """Return the number of slots that an entry may use at each target."""
        limits = self.health.find_limits()
        if limits is not self._limits:
            self._limits = limits
            self._trials = [limits[name].trial for name in self.names]
            self._slots = [limits[name].slots for name in self.names]
            for change in self.health.drain_changes():
                self._handle_change(change)
        return self._slots

    def _handle_change(self, change):
        target = self.index_by_name[change.target]
        self.states[target] = change.after
        if change.after == "suspect":
            self.suspicions += 1
        if change.after == "ejected" and change.before != "trial":
            self.ejections[target] += 1

    def is_trial(self, target):
        """Return whether a target receives trial requests only."""
        return self._trials[target]

    def record_sent(self, entry, target):
        """Record that an entry sent a request to a target."""
        if self._trials[target]:
            self.health.record_trial(self.names[target])

    def record_outcome(self, entry, target, failed, latency):
        """Record an outcome; the latency is in seconds."""
        outcome_class = OutcomeClass.TARGET_ERROR if failed else OutcomeClass.OK
        if latency >= self.deadline_seconds:
            outcome_class = OutcomeClass.TIMED_OUT
        self.health.observe(
            Outcome(
                target=self.names[target],
                outcome_class=outcome_class,
                latency_seconds=latency,
                deadline_seconds=self.deadline_seconds,
                request_kind="browse",
            )
        )

    def find_overdue_seconds(self):
        """Return the age at which an unanswered attempt counts as overdue."""
        return self.health.find_overdue_seconds("browse")

    def record_overdue(self, target):
        """Record an attempt that is overdue."""
        self.health.record_overdue(self.names[target])

    def count_choosers_using(self, target):
        """Return the number of choosers that still use a target."""
        self.find_slots(0)
        return int(self.states[target] in ("healthy", "suspect"))


class NeverPolicy:
    """Never ejects."""

    suspicions = 0

    def __init__(self, shape, seed):
        self.choosers = shape.entries
        self.shape = shape
        self.ejections = [0] * shape.targets
        self._slots = [shape.slots] * shape.targets

    def find_slots(self, entry):
        """Return the number of slots that an entry may use at each target."""
        return self._slots

    def is_trial(self, target):
        """Return whether a target receives trial requests only."""
        return False

    def record_sent(self, entry, target):
        """Record that an entry sent a request to a target."""
        pass

    def record_outcome(self, entry, target, failed, latency):
        """Record an outcome; the latency is in seconds."""
        pass

    def find_overdue_seconds(self):
        """Return the age at which an unanswered attempt counts as overdue."""
        return math.inf

    def record_overdue(self, target):
        """Record an attempt that is overdue."""

    def count_choosers_using(self, target):
        """Return the number of choosers that still use a target."""
        return self.choosers


class EntryPolicy(NeverPolicy):
    """Base of policies with which every entry ejects targets alone.

    The first ejection of a target lasts 30 s, and each further one 30 s longer than the
    last. An answer that takes more than four times the usual median counts as failed,
    which favours these policies. The floor is the same as for the decision core.
    """

    EJECTION_SECONDS = 30.0
    SLOW_IN_MEDIANS = 4.0

    def __init__(self, shape, seed):
        super().__init__(shape, seed)
        self.ejected_until = [[0.0] * shape.targets for _ in range(shape.entries)]
        self.ejection_counts = [[0] * shape.targets for _ in range(shape.entries)]
        self.slow_seconds = self.SLOW_IN_MEDIANS * shape.median_seconds

    def find_slots(self, entry):
        """Return the number of slots that an entry may use at each target."""
        ejected_until = self.ejected_until[entry]
        if max(ejected_until) <= CLOCK.now:
            return self._slots
        return [
            0 if end > CLOCK.now else slots
            for end, slots in zip(ejected_until, self._slots, strict=True)
        ]

    def record_outcome(self, entry, target, failed, latency):
        """Record an outcome; the latency is in seconds."""
        degraded = failed or latency > self.slow_seconds
        if self.ejected_until[entry][target] > CLOCK.now:
            return
        if not self.should_eject(entry, target, degraded):
            return
        ejected_targets = sum(end > CLOCK.now for end in self.ejected_until[entry])
        if ejected_targets + 1 > (1 - FLOOR) * self.shape.targets:
            return
        self.ejection_counts[entry][target] += 1
        ejection_seconds = self.EJECTION_SECONDS * self.ejection_counts[entry][target]
        self.ejected_until[entry][target] = CLOCK.now + ejection_seconds
        self.ejections[target] += 1

    def should_eject(self, entry, target, degraded):
        """Return whether an outcome makes an entry eject a target."""
        raise NotImplementedError

    def count_choosers_using(self, target):
        """Return the number of choosers that still use a target."""
        return sum(ends[target] <= CLOCK.now for ends in self.ejected_until)


class ConsecutivePolicy(EntryPolicy):
    """Ejects a target after five consecutive failures."""

    CONSECUTIVE_FAILURES = 5

    def __init__(self, shape, seed):
        super().__init__(shape, seed)
        self.consecutive_failures = [[0] * shape.targets for _ in range(shape.entries)]

    def should_eject(self, entry, target, degraded):
        """Return whether an outcome makes an entry eject a target."""
        consecutive_failures = self.consecutive_failures[entry]
        consecutive_failures[target] = (
            consecutive_failures[target] + 1 if degraded else 0
        )
        if consecutive_failures[target] < self.CONSECUTIVE_FAILURES:
            return False
        consecutive_failures[target] = 0
        return True


class RatioPolicy(EntryPolicy):
    """Ejects a target on a failure if at least half of its last ten answers failed.

    All ten answers must be from the last 30 s.
    """

    WINDOW_OUTCOMES = 10
    FAILURE_RATIO = 0.5
    WINDOW_SECONDS = 30.0

    def __init__(self, shape, seed):
        super().__init__(shape, seed)
        self.recent = [[[] for _ in range(shape.targets)] for _ in range(shape.entries)]

    def should_eject(self, entry, target, degraded):
        """Return whether an outcome makes an entry eject a target."""
        recent = self.recent[entry][target]
        recent.append((CLOCK.now, degraded))
        if len(recent) > self.WINDOW_OUTCOMES:
            recent.pop(0)
        if not degraded or len(recent) < self.WINDOW_OUTCOMES:
            return False
        if recent[0][0] < CLOCK.now - self.WINDOW_SECONDS:
            return False
        if (
            sum(was_degraded for _, was_degraded in recent)
            < self.FAILURE_RATIO * self.WINDOW_OUTCOMES
        ):
            return False
        recent.clear()
        return True


POLICY_BY_NAME = {
    "citronspan": CitronspanPolicy,
    "consecutive": ConsecutivePolicy,
    "ratio": RatioPolicy,
    "never": NeverPolicy,
}


@dataclass(frozen=True, kw_only=True, slots=True)
class EpisodeResult:
    """Effects of one fault.

    Attributes:
        detection_seconds: Time until each chooser stopped using the gray target,
            infinite for choosers that did not stop.
        degraded_share: Requests to the gray target that failed or were slow, as a share
            of all requests since the fault began.
        unserved_share: Requests that found no free slot, as a share of all requests
            since the fault began.
        last_sent_seconds: Time from the start of the fault to the last request that was
            sent to the gray target, trials excluded.
        false_ejections: Ejections of healthy targets, averaged over the choosers.
    """

    detection_seconds: tuple[float, ...]
    degraded_share: float
    unserved_share: float
    last_sent_seconds: float
    false_ejections: float


class Model:
    """One service under one policy."""

    def __init__(self, *, shape, load, policy_name, seed):
        CLOCK.now = 0.0
        self.shape = shape
        self.rate = shape.compute_rate(load)
        self.policy = POLICY_BY_NAME[policy_name](shape, seed)
        self.random = random.Random(seed)
        self.in_use = [0] * shape.targets
        # Heap of (time, target, entry, failed, latency). The entry is -1 for an attempt
        # that is overdue.
        self.events = []
        self.fault = None
        self.gray_target = -1
        self.fault_began_at = 0.0
        self.counts = {"requests": 0, "degraded": 0, "unserved": 0}
        self.last_sent_at = 0.0

    def run(self, until, on_outcome=None):
        """Run until a simulated time.

        Args:
            until: Simulated time in seconds.
            on_outcome: Called after each answer and each overdue attempt; the run ends
                early if it returns true.
        """
        now = CLOCK.now
        while True:
            now += self.random.expovariate(self.rate)
            while self.events and self.events[0][0] <= now:
                event = heapq.heappop(self.events)
                if event[2] < 0:
                    CLOCK.now = event[0]
                    self.policy.record_overdue(event[1])
                else:
                    self._complete(event)
                if on_outcome is not None and on_outcome():
                    return
            if now > until:
                CLOCK.now = until
                return
            CLOCK.now = now
            self._start_request(now)

    def _start_request(self, now):
        entry = self.random.randrange(self.shape.entries)
        target = self._choose_target(entry)
        self.counts["requests"] += 1
        if target < 0:
            self.counts["unserved"] += 1
            return
        self.in_use[target] += 1
        latency = self.shape.median_seconds * self.random.lognormvariate(
            0, LATENCY_SIGMA
        )
        error_share = BASE_ERROR_SHARE
        is_slow = False
        if target == self.gray_target and self.fault.is_active(
            now - self.fault_began_at
        ):
            error_share = self.fault.error_share
            latency *= self.fault.latency_factor
            is_slow = self.fault.latency_factor > 1
        failed = self.random.random() < error_share
        latency = min(latency, self.shape.median_seconds * DEADLINE_IN_MEDIANS)
        if target == self.gray_target:
            self.counts["degraded"] += failed or is_slow
            if not self.policy.is_trial(target):
                self.last_sent_at = now
        self.policy.record_sent(entry, target)
        heapq.heappush(self.events, (now + latency, target, entry, failed, latency))
        overdue_seconds = self.policy.find_overdue_seconds() + OVERDUE_DELAY_SECONDS
        if latency > overdue_seconds:
            heapq.heappush(self.events, (now + overdue_seconds, target, -1, False, 0.0))

    def _choose_target(self, entry):
        slots = self.policy.find_slots(entry)
        in_use = self.in_use
        best_target = -1
        best_free = 0.0
        idempotent = self.random.random() < IDEMPOTENT_SHARE
        for target, limit in enumerate(slots):
            free = limit - in_use[target]
            if free <= 0:
                continue
            if self.policy.is_trial(target):
                if idempotent:
                    return target
                continue
            free += self.random.random()
            if free > best_free:
                best_target = target
                best_free = free
        return best_target

    def _complete(self, event):
        CLOCK.now, target, entry, failed, latency = event
        self.in_use[target] -= 1
        self.policy.record_outcome(entry, target, failed, latency)

    def run_episode(self, *, fault, horizon_seconds, stop_early):
        """Start a fault at a random target and run the model.

        Args:
            fault: The fault.
            horizon_seconds: Maximum length of the run.
            stop_early: Whether to stop once no chooser uses the gray target.

        Returns:
            The effects of the fault.
        """
        self.gray_target = self.random.randrange(self.shape.targets)
        self.fault = fault
        self.fault_began_at = CLOCK.now
        self.counts = dict.fromkeys(self.counts, 0)
        choosers = self.policy.choosers
        detection_times = [math.inf] * choosers
        detected = 0
        ejections_before = (
            sum(self.policy.ejections) - self.policy.ejections[self.gray_target]
        )

        def update_detection():
            nonlocal detected
            still_using = self.policy.count_choosers_using(self.gray_target)
            while detected < choosers - still_using:
                detection_times[detected] = CLOCK.now - self.fault_began_at
                detected += 1
            return stop_early and detected == choosers

        until = CLOCK.now + horizon_seconds
        self.run(until, on_outcome=update_detection)
        requests = max(self.counts["requests"], 1)
        ejections_after = (
            sum(self.policy.ejections) - self.policy.ejections[self.gray_target]
        )
        return EpisodeResult(
            detection_seconds=tuple(detection_times),
            degraded_share=self.counts["degraded"] / requests,
            unserved_share=self.counts["unserved"] / requests,
            last_sent_seconds=self.last_sent_at - self.fault_began_at,
            false_ejections=(ejections_after - ejections_before) / choosers,
        )
