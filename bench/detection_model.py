"""Small seeded event model of one service, for bench/detection.py.

One list of targets with slots, Poisson arrivals at random entries, log-normal service
times, and a policy that chooses and learns. There is no network and no queue: a
request that finds no slot is counted as unserved.
"""

import heapq
import math
import random
from dataclasses import dataclass
from typing import Protocol

from citronspan.core import service_health
from citronspan.core.health import TargetInfo
from citronspan.core.outcomes import Outcome, OutcomeClass
from citronspan.core.resources import DetectionCosts, ServiceSpec

LATENCY_SIGMA = 0.5
BASE_ERROR_SHARE = 0.01
DEADLINE_MEDIANS = 40
IDEMPOTENT_SHARE = 0.7
FLOOR = 0.5
# How late the broker's sweep finds an overdue attempt.
OVERDUE_DELAY_SECONDS = 0.1


class SimulatedClock:
    """Stands in for the module ``time`` in the decision core."""

    now = 0.0

    def monotonic(self):
        """Return the simulated time in seconds."""
        return self.now


CLOCK = SimulatedClock()
service_health.time = CLOCK


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceShape:
    """Size of one service.

    Attributes:
        name: Name of the service.
        targets: Number of targets.
        slots: Slots of each target.
        entries: Number of entries.
        median_seconds: Median service time.
        costs: Costs of detection.
    """

    name: str
    targets: int
    slots: int
    entries: int
    median_seconds: float
    costs: DetectionCosts

    @property
    def mean_seconds(self):
        """Mean service time."""
        return self.median_seconds * math.exp(LATENCY_SIGMA**2 / 2)

    def compute_rate(self, load):
        """Return requests per second at a load from 0 to 1."""
        return load * self.targets * self.slots / self.mean_seconds


@dataclass(frozen=True, kw_only=True, slots=True)
class Fault:
    """What is wrong with a gray target.

    Attributes:
        name: Name for the tables.
        error_share: Share of its requests that fail.
        slowness: Factor on its service times.
        flap_seconds: Length of the sick and of the well periods, 0 for always sick.
    """

    name: str
    error_share: float = BASE_ERROR_SHARE
    slowness: float = 1.0
    flap_seconds: float = 0.0

    def is_sick(self, age_seconds):
        """Return whether the target is sick so long after the fault began."""
        if not self.flap_seconds:
            return True
        return int(age_seconds / self.flap_seconds) % 2 == 0


class Policy(Protocol):
    """Chooses what may be used, and learns from outcomes."""

    def find_slots(self, entry: int) -> list[int]:
        """Return slots that the entry may use at each target."""

    def is_trial(self, target: int) -> bool:
        """Return whether a target gets trial requests only."""

    def note_sent(self, entry: int, target: int) -> None:
        """Note that a request was sent."""

    def learn(self, entry: int, target: int, failed: bool, latency: float) -> None:
        """Take an outcome."""

    def find_overdue_seconds(self) -> float:
        """Return the age at which an unanswered attempt is noted."""

    def record_overdue(self, target: int) -> None:
        """Note an unanswered attempt."""

    def count_blind(self, target: int) -> int:
        """Return how many choosers still use a target."""


class CitronspanPolicy:
    """The decision core at one broker that sees every outcome."""

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
        self.deadline = shape.median_seconds * DEADLINE_MEDIANS
        self.random = random.Random(seed)
        self.ejections = [0] * shape.targets
        self.suspicions = 0
        self.states = ["healthy"] * shape.targets
        self._limits = None
        self._slots = [shape.slots] * shape.targets
        self._trials = [False] * shape.targets

    def find_slots(self, entry):
        """Return slots that the entry may use at each target."""
        limits = self.health.find_limits()
        if limits is not self._limits:
            self._limits = limits
            self._trials = [limits[name].trial for name in self.names]
            self._slots = [limits[name].slots for name in self.names]
            for change in self.health.drain_changes():
                self._take_change(change)
        return self._slots

    def _take_change(self, change):
        target = self.index_by_name[change.target]
        self.states[target] = change.after
        if change.after == "suspect":
            self.suspicions += 1
        if change.after == "ejected" and change.before != "trial":
            self.ejections[target] += 1

    def is_trial(self, target):
        """Return whether a target gets trial requests only."""
        return self._trials[target]

    def note_sent(self, entry, target):
        """Note that a request was sent."""
        if self._trials[target]:
            self.health.record_trial(self.names[target])

    def learn(self, entry, target, failed, latency):
        """Take an outcome."""
        outcome_class = OutcomeClass.TARGET_ERROR if failed else OutcomeClass.OK
        if latency >= self.deadline:
            outcome_class = OutcomeClass.TIMED_OUT
        self.health.observe(
            Outcome(
                target=self.names[target],
                outcome_class=outcome_class,
                latency_seconds=latency,
                deadline_seconds=self.deadline,
                request_kind="browse",
            )
        )

    def find_overdue_seconds(self):
        """Return the age at which an unanswered attempt is noted."""
        return self.health.find_overdue_seconds("browse")

    def record_overdue(self, target):
        """Note an unanswered attempt."""
        self.health.record_overdue(self.names[target])

    def count_blind(self, target):
        """Return how many choosers still use a target."""
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
        """Return slots that the entry may use at each target."""
        return self._slots

    def is_trial(self, target):
        """Return whether a target gets trial requests only."""
        return False

    def note_sent(self, entry, target):
        """Note that a request was sent."""
        pass

    def learn(self, entry, target, failed, latency):
        """Take an outcome."""
        pass

    def find_overdue_seconds(self):
        """Return the age at which an unanswered attempt is noted."""
        return math.inf

    def record_overdue(self, target):
        """Note an unanswered attempt."""

    def count_blind(self, target):
        """Return how many choosers still use a target."""
        return self.choosers


class EntryPolicy(NeverPolicy):
    """Base of the policies by which each entry judges alone.

    An ejection lasts 30 s, and longer by as much each time. An answer that takes more
    than four times the usual median counts as failed, which is kind to the policy.
    The floor is the same as for the decision core.
    """

    EJECTION_SECONDS = 30.0
    SLOW_MEDIANS = 4.0

    def __init__(self, shape, seed):
        super().__init__(shape, seed)
        self.until = [[0.0] * shape.targets for _ in range(shape.entries)]
        self.times = [[0] * shape.targets for _ in range(shape.entries)]
        self.slow_seconds = self.SLOW_MEDIANS * shape.median_seconds

    def find_slots(self, entry):
        """Return slots that the entry may use at each target."""
        until = self.until[entry]
        if max(until) <= CLOCK.now:
            return self._slots
        return [
            0 if end > CLOCK.now else slots
            for end, slots in zip(until, self._slots, strict=True)
        ]

    def learn(self, entry, target, failed, latency):
        """Take an outcome."""
        bad = failed or latency > self.slow_seconds
        if self.until[entry][target] > CLOCK.now:
            return
        if not self.judge(entry, target, bad):
            return
        ejected = sum(end > CLOCK.now for end in self.until[entry])
        if ejected + 1 > (1 - FLOOR) * self.shape.targets:
            return
        self.times[entry][target] += 1
        lasting = self.EJECTION_SECONDS * self.times[entry][target]
        self.until[entry][target] = CLOCK.now + lasting
        self.ejections[target] += 1

    def judge(self, entry, target, bad):
        """Return whether an outcome makes an entry eject a target."""
        raise NotImplementedError

    def count_blind(self, target):
        """Return how many choosers still use a target."""
        return sum(until[target] <= CLOCK.now for until in self.until)


class ConsecutivePolicy(EntryPolicy):
    """Ejects after five failures in a row."""

    FAILURES = 5

    def __init__(self, shape, seed):
        super().__init__(shape, seed)
        self.row = [[0] * shape.targets for _ in range(shape.entries)]

    def judge(self, entry, target, bad):
        """Return whether an outcome makes an entry eject a target."""
        row = self.row[entry]
        row[target] = row[target] + 1 if bad else 0
        if row[target] < self.FAILURES:
            return False
        row[target] = 0
        return True


class RatioPolicy(EntryPolicy):
    """Ejects when half of the last ten answers of 30 s failed."""

    OUTCOMES = 10
    RATIO = 0.5
    WINDOW_SECONDS = 30.0

    def __init__(self, shape, seed):
        super().__init__(shape, seed)
        self.recent = [[[] for _ in range(shape.targets)] for _ in range(shape.entries)]

    def judge(self, entry, target, bad):
        """Return whether an outcome makes an entry eject a target."""
        recent = self.recent[entry][target]
        recent.append((CLOCK.now, bad))
        if len(recent) > self.OUTCOMES:
            recent.pop(0)
        if not bad or len(recent) < self.OUTCOMES:
            return False
        if recent[0][0] < CLOCK.now - self.WINDOW_SECONDS:
            return False
        if sum(other for _, other in recent) < self.RATIO * self.OUTCOMES:
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
    """What came of one fault.

    Attributes:
        detection_seconds: Time until each chooser stopped using the gray target,
            infinite for those that did not.
        bad_share: Requests of the gray target that failed or were slow, as a share of
            all requests since the fault began.
        unserved_share: Requests that found no slot, likewise.
        last_sent_seconds: When work was last sent to the target other than trials.
        false_ejections: Ejections of healthy targets, in choosers' shares.
    """

    detection_seconds: tuple[float, ...]
    bad_share: float
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
        self.ends = []
        self.fault = None
        self.gray = -1
        self.began_at = 0.0
        self.counts = {"sent": 0, "bad": 0, "unserved": 0}
        self.last_sent_at = 0.0

    def run(self, until, on_outcome=None):
        """Run until a time, calling back after each outcome of the gray target."""
        now = CLOCK.now
        while True:
            now += self.random.expovariate(self.rate)
            while self.ends and self.ends[0][0] <= now:
                end = heapq.heappop(self.ends)
                if end[2] < 0:
                    CLOCK.now = end[0]
                    self.policy.record_overdue(end[1])
                else:
                    self._end(end)
                if on_outcome is not None and on_outcome():
                    return
            if now > until:
                CLOCK.now = until
                return
            CLOCK.now = now
            self._arrive(now)

    def _arrive(self, now):
        entry = self.random.randrange(self.shape.entries)
        target = self._choose(entry)
        self.counts["sent"] += 1
        if target < 0:
            self.counts["unserved"] += 1
            return
        self.in_use[target] += 1
        latency = self.shape.median_seconds * self.random.lognormvariate(
            0, LATENCY_SIGMA
        )
        error_share = BASE_ERROR_SHARE
        slow = False
        if target == self.gray and self.fault.is_sick(now - self.began_at):
            error_share = self.fault.error_share
            latency *= self.fault.slowness
            slow = self.fault.slowness > 1
        failed = self.random.random() < error_share
        latency = min(latency, self.shape.median_seconds * DEADLINE_MEDIANS)
        if target == self.gray:
            self.counts["bad"] += failed or slow
            if not self.policy.is_trial(target):
                self.last_sent_at = now
        self.policy.note_sent(entry, target)
        heapq.heappush(self.ends, (now + latency, target, entry, failed, latency))
        overdue = self.policy.find_overdue_seconds() + OVERDUE_DELAY_SECONDS
        if latency > overdue:
            heapq.heappush(self.ends, (now + overdue, target, -1, False, 0.0))

    def _choose(self, entry):
        slots = self.policy.find_slots(entry)
        in_use = self.in_use
        best = -1
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
                best = target
                best_free = free
        return best

    def _end(self, end):
        CLOCK.now, target, entry, failed, latency = end
        self.in_use[target] -= 1
        self.policy.learn(entry, target, failed, latency)

    def run_episode(self, *, fault, horizon_seconds, stop_early):
        """Let a fault begin at a random target and run on."""
        self.gray = self.random.randrange(self.shape.targets)
        self.fault = fault
        self.began_at = CLOCK.now
        self.counts = dict.fromkeys(self.counts, 0)
        choosers = self.policy.choosers
        times = [math.inf] * choosers
        detected = 0
        before = sum(self.policy.ejections) - self.policy.ejections[self.gray]

        def look():
            nonlocal detected
            blind = self.policy.count_blind(self.gray)
            while detected < choosers - blind:
                times[detected] = CLOCK.now - self.began_at
                detected += 1
            return stop_early and detected == choosers

        until = CLOCK.now + horizon_seconds
        self.run(until, on_outcome=look)
        sent = max(self.counts["sent"], 1)
        after = sum(self.policy.ejections) - self.policy.ejections[self.gray]
        return EpisodeResult(
            detection_seconds=tuple(times),
            bad_share=self.counts["bad"] / sent,
            unserved_share=self.counts["unserved"] / sent,
            last_sent_seconds=self.last_sent_at - self.began_at,
            false_ejections=(after - before) / choosers,
        )
