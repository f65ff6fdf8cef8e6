"""An event model of one service, for comparing ways to choose a target.

One region, one service, no network: entries, targets with slots, log-normal service
times and Poisson arrivals. All ways see the same arrivals and service times. A
request is served when its whole answer is at the entry by the deadline.
"""

import math
import random
from collections.abc import Callable
from dataclasses import dataclass

from bench.event_loop import EventLoop
from citronspan.core.health import TargetInfo

MEAN_SERVICE_SECONDS = 0.05
SERVICE_SIGMA = 0.6
MAXIMUM_ATTEMPTS = 3
SEED = 20


@dataclass(frozen=True, kw_only=True, slots=True)
class Case:
    """What is modelled.

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
    """One request of the model."""

    number: int
    at: float
    entry: int
    service_seconds: float
    worth: float
    idempotent: bool


class Model(EventLoop):
    """Clock, events, targets and counts of one run."""

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
        self.in_use_by_target = dict.fromkeys([t.name for t in self.targets], 0)
        self.sheds = 0
        self.messages = 0
        self.served = 0
        self.served_worth = 0.0
        self.offered_worth = 0.0
        self.latencies: list[float] = []
        self.refusal_delays: list[float] = []

    def run(self, make: Callable) -> None:
        """Run all arrivals and what follows from them.

        Args:
            make: Makes the way to choose; its ``start`` takes each request when it
                arrives at its entry.
        """
        arrivals = draw_arrivals(self.case)
        self.run_events(lambda: self._arrive(arrivals, make(self).start))

    def _arrive(self, arrivals, start):
        arrival = next(arrivals, None)
        if arrival is None:
            self.is_arriving = False
            return
        self.at(arrival.at - self.now, self._begin, arrivals, arrival, start)

    def _begin(self, arrivals, arrival, start):
        self.offered_worth += arrival.worth
        start(arrival)
        self._arrive(arrivals, start)

    def try_target(self, name: str) -> bool:
        """Occupy a slot of a target; it sheds when all are in use."""
        if self.in_use_by_target[name] >= self.case.slots:
            self.sheds += 1
            return False
        self.in_use_by_target[name] += 1
        return True

    def leave_target(self, name: str) -> None:
        """Free a slot of a target."""
        self.in_use_by_target[name] -= 1

    def finish(self, arrival: Arrival) -> None:
        """Count an answer that is now whole at the entry."""
        latency = self.now - arrival.at
        if latency > self.case.deadline_seconds:
            return
        self.served += 1
        self.served_worth += arrival.worth
        self.latencies.append(latency - arrival.service_seconds)


def draw_arrivals(case: Case):
    """Draw the requests of a case; the same ones each time."""
    draw = random.Random(SEED)
    rate = case.load * case.targets * case.slots / MEAN_SERVICE_SECONDS
    mu = math.log(MEAN_SERVICE_SECONDS) - SERVICE_SIGMA**2 / 2
    at = 0.0
    for number in range(case.requests):
        at += draw.expovariate(rate)
        is_order = draw.random() < 0.2
        yield Arrival(
            number=number,
            at=at,
            entry=draw.randrange(case.entries),
            service_seconds=draw.lognormvariate(mu, SERVICE_SIGMA),
            worth=5.0 if is_order else 1.0,
            idempotent=not is_order,
        )
