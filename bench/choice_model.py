"""Discrete-event model of one service, for comparing target selection strategies.

The model has one region and one service: entries, targets with slots, log-normal
service times and Poisson arrivals, and no network. All strategies get the same
arrivals and service times. A request counts as served if its complete answer reaches
the entry by the deadline.
"""

import math
import random
from collections.abc import Callable
from dataclasses import dataclass

from bench.event_loop import EventLoop
from citronspan.core.detection.health import TargetInfo

MEAN_SERVICE_SECONDS = 0.05
SERVICE_SIGMA = 0.6
MAXIMUM_ATTEMPTS = 3
SEED = 20


@dataclass(frozen=True, kw_only=True, slots=True)
class Case:
    """Parameters of one run of the model.

    Attributes:
        name: Name for the table.
        targets: Number of targets.
        slots: Slots of each target.
        entries: Number of entries.
        load: Offered work as a share of all slots.
        deadline_seconds: Deadline of each request.
        requests: Number of requests.
    """

    name: str
    targets: int
    slots: int
    entries: int
    load: float
    deadline_seconds: float
    requests: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Arrival:
    """One request of the model.

    Attributes:
        number: Sequence number of the request.
        arrived_at: Simulated time at which it reaches its entry, in seconds.
        entry: Index of the entry.
        service_seconds: Time that a target needs for it.
        worth: Worth of an answer by the deadline.
        idempotent: Whether it may run more than once.
    """

    number: int
    arrived_at: float
    entry: int
    service_seconds: float
    worth: float
    idempotent: bool


class Model(EventLoop):
    """Clock, events, targets and counts of one run.

    Attributes:
        case: Parameters of the run.
        is_arriving: Whether requests are still arriving.
        targets: Targets of the service.
        used_slots_by_target: Slots in use by the name of the target.
        sheds: Attempts that a target rejected because all its slots were in use.
        messages: Messages between entries and the broker.
        served: Requests answered by the deadline.
        served_worth: Sum of the worth of served requests.
        offered_worth: Sum of the worth of all requests.
        added_latencies: Latency of each served request minus its service time, in
            seconds.
        refusal_delays: Time from arrival to refusal of each refused request, in
            seconds.
    """

    def __init__(self, *, case: Case):
        super().__init__()
        self.case = case
        self.is_arriving = True
        self.targets = tuple(
            TargetInfo(
                name=f"t-{number}",
                address=f"127.0.2.{number + 1}:9000",
                region="svea",
                data_centre="svea-1",
                slots=case.slots,
            )
            for number in range(case.targets)
        )
        self.used_slots_by_target = dict.fromkeys([t.name for t in self.targets], 0)
        self.sheds = 0
        self.messages = 0
        self.served = 0
        self.served_worth = 0.0
        self.offered_worth = 0.0
        self.added_latencies: list[float] = []
        self.refusal_delays: list[float] = []

    def run(self, make_strategy: Callable) -> None:
        """Run until no event is left.

        Args:
            make_strategy: Makes the strategy for this model. Its ``start`` is called
                with each request when the request arrives at its entry.
        """
        arrivals = draw_arrivals(self.case)
        self.run_events(
            lambda: self._schedule_next_arrival(arrivals, make_strategy(self).start)
        )

    def _schedule_next_arrival(self, arrivals, start):
        arrival = next(arrivals, None)
        if arrival is None:
            self.is_arriving = False
            return
        self.call_later(
            arrival.arrived_at - self.now, self._start_request, arrivals, arrival, start
        )

    def _start_request(self, arrivals, arrival, start):
        self.offered_worth += arrival.worth
        start(arrival)
        self._schedule_next_arrival(arrivals, start)

    def try_acquire_slot(self, name: str) -> bool:
        """Occupy a slot of a target.

        Returns:
            Whether a slot was free; if not, the attempt counts as shed.
        """
        if self.used_slots_by_target[name] >= self.case.slots:
            self.sheds += 1
            return False
        self.used_slots_by_target[name] += 1
        return True

    def release_slot(self, name: str) -> None:
        """Free one slot of a target."""
        self.used_slots_by_target[name] -= 1

    def record_answer(self, arrival: Arrival) -> None:
        """Count a complete answer that reached the entry, unless it is late."""
        latency = self.now - arrival.arrived_at
        if latency > self.case.deadline_seconds:
            return
        self.served += 1
        self.served_worth += arrival.worth
        self.added_latencies.append(latency - arrival.service_seconds)


def draw_arrivals(case: Case):
    """Yield the requests of a case; the seed is fixed, so they are always the same."""
    rng = random.Random(SEED)
    rate = case.load * case.targets * case.slots / MEAN_SERVICE_SECONDS
    mu = math.log(MEAN_SERVICE_SECONDS) - SERVICE_SIGMA**2 / 2
    arrived_at = 0.0
    for number in range(case.requests):
        arrived_at += rng.expovariate(rate)
        is_order = rng.random() < 0.2
        yield Arrival(
            number=number,
            arrived_at=arrived_at,
            entry=rng.randrange(case.entries),
            service_seconds=rng.lognormvariate(mu, SERVICE_SIGMA),
            worth=5.0 if is_order else 1.0,
            idempotent=not is_order,
        )
