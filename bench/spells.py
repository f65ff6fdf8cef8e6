"""Measure choosing where targets fail most requests for some seconds at a time.

Run ``python -m bench.spells OUT.json``. Two regions with a broker each, as
in a fleet; entries ask at home, then in the other region, then at home again, and try
idempotent requests again. Everything is simulated with fixed seeds; the clock of
``time.monotonic`` is the model's.
"""

import dataclasses
import itertools
import json
import math
import multiprocessing
import random
import sys
from dataclasses import dataclass

from bench.event_loop import EventLoop
from citronspan.core.broker import Broker
from citronspan.core.broker_messages import SlotGrant, SlotRelease, SlotRequest
from citronspan.core.episode_health import EpisodeHealth
from citronspan.core.health import TargetInfo
from citronspan.core.outcomes import Outcome, OutcomeClass
from citronspan.core.resources import Detection, ServiceSpec
from citronspan.core.retry_window import RetryWindow
from citronspan.core.shards import ShardKey
from citronspan.core.verdicts import VerdictTable

REGIONS = ("east", "west")
FAR_SECONDS = 0.06
FAILURE_SECONDS = 0.005
WINDOW_SECONDS = 12.0
"""Time for which a target stays bad or sound before that is drawn again."""

EPISODE_FAILURE_SHARE = 0.9
BASE_FAILURE_SHARE = 0.012
ADVANCE_SECONDS = 0.1
MODEL_SECONDS = 60.0
SEEDS = 2
PROCESSES = 3


@dataclass(frozen=True, kw_only=True)
class Case:
    """One service and its load.

    Attributes:
        name: Name for the table.
        targets: Targets of each region.
        slots: Slots of a target.
        rate: Requests a second, of both regions.
        work_seconds: Mean time at a target.
        work_sigma: Deviation of its logarithm.
        goal_seconds: Time in which an answer is worth most.
        deadline_seconds: Time after which the caller is gone.
        late_worth: Worth of an answer between the two, of 1.
        idempotent: Whether requests may run more than once.
        bad_share: Share of the time that a target is in a bad spell.
    """

    name: str
    targets: int
    slots: int
    rate: float
    work_seconds: float
    work_sigma: float
    goal_seconds: float
    deadline_seconds: float
    late_worth: float
    idempotent: bool
    bad_share: float = 0.3


STOCK = Case(
    name="stock reads",
    targets=5,
    slots=2,
    rate=27.0,
    work_seconds=0.21,
    work_sigma=0.7,
    goal_seconds=0.8,
    deadline_seconds=1.5,
    late_worth=0.3,
    idempotent=True,
)
ORDERS = dataclasses.replace(
    STOCK, name="kit orders", targets=6, rate=49.0, work_seconds=0.16, idempotent=False
)
BROWSING = Case(
    name="pack reads",
    targets=5,
    slots=6,
    rate=31.0,
    work_seconds=0.62,
    work_sigma=0.7,
    goal_seconds=3.0,
    deadline_seconds=6.0,
    late_worth=0.1,
    idempotent=True,
)
PURCHASES = dataclasses.replace(
    BROWSING,
    name="purchases",
    targets=7,
    rate=60.0,
    work_seconds=0.46,
    idempotent=False,
)
CASES = (STOCK, ORDERS, BROWSING, PURCHASES)
LOADS = (1.0, 1.7)


@dataclass(kw_only=True)
class Counts:
    """What came of the requests of one run."""

    asked: int = 0
    served: int = 0
    in_goal: int = 0
    worth: float = 0.0
    attempts: int = 0
    failed_attempts: int = 0
    doubted_attempts: int = 0
    refused: int = 0
    spells: int = 0


class Model(EventLoop):
    """Clock, events, targets and brokers of one run."""

    def __init__(self, *, case: Case, seed: int):
        super().__init__()
        self.case = case
        self._seed = seed
        # Draws of their own, so that a change of choosing alters as little as may be.
        self.random = random.Random(seed)
        self._arrivals = random.Random(seed + 1000)
        self._random_by_target = {}
        self.counts = Counts()
        self._ids = itertools.count(1)
        self._asker_by_attempt = {}
        self._is_bad_by_target = {}
        self._broker_by_region = {}

    def run(self) -> Counts:
        """Run the model; return what came of the requests."""
        self.run_events(self._begin)
        return self.counts

    def _begin(self):
        for region in REGIONS:
            self._broker_by_region[region] = self._make_broker(region)
        self._arrive()
        self._advance()

    def _make_broker(self, region):
        targets = tuple(
            TargetInfo(
                name=f"{region}-{number}",
                address=f"127.0.2.{number + 1}:9000",
                region=region,
                data_centre=f"{region}-{number % 2}",
                slots=self.case.slots,
            )
            for number in range(self.case.targets)
        )
        for target in targets:
            self._is_bad_by_target[target.name] = False
            draw = random.Random(f"{self._seed} {target.name}")
            self._random_by_target[target.name] = draw
            self.at(draw.uniform(0, WINDOW_SECONDS), self._turn, target.name)
        spec = ServiceSpec(detection=Detection.FAILURE_EPISODES)
        health = EpisodeHealth(
            name=region,
            spec=spec,
            issuer="n",
            incarnation=1,
            received_verdicts=VerdictTable(),
        )
        return Broker(
            key=ShardKey(service="s", region=region, number=0),
            health=health,
            targets=targets,
            retries=RetryWindow(ratio=0.2, slack=28.0, window_seconds=10.0),
        )

    def _turn(self, target):
        was_bad = self._is_bad_by_target[target]
        draw = self._random_by_target[target]
        is_bad = draw.random() < self.case.bad_share
        self._is_bad_by_target[target] = is_bad
        self.counts.spells += is_bad and not was_bad
        if self.now < MODEL_SECONDS:
            self.at(WINDOW_SECONDS, self._turn, target)

    def _advance(self):
        for region, broker in self._broker_by_region.items():
            self._deliver(region, broker.advance())
        if self.now < MODEL_SECONDS:
            self.at(ADVANCE_SECONDS, self._advance)

    def _arrive(self):
        if self.now > MODEL_SECONDS:
            return
        Request(model=self, home=self._arrivals.choice(REGIONS)).begin()
        self.at(self._arrivals.expovariate(self.case.rate), self._arrive)

    def ask(self, request, region, **fields):
        """Send a question to a region's broker."""
        attempt_id = next(self._ids)
        message = SlotRequest(
            attempt_id=attempt_id, service="s", region=region, shard=0, **fields
        )
        self._asker_by_attempt[attempt_id] = request
        delay = FAR_SECONDS / 2 if message.from_region else 0.0
        self.at(delay, self._tell, region, message)

    def release(self, region, attempt_id, outcome):
        """Give a slot back."""
        message = SlotRelease(
            attempt_id=attempt_id, service="s", region=region, shard=0, outcome=outcome
        )
        self._tell(region, message)

    def _tell(self, region, message):
        self._deliver(region, self._broker_by_region[region].handle("e", message))

    def _deliver(self, region, outgoing):
        for item in outgoing:
            asker = self._asker_by_attempt.get(item.message.attempt_id)
            if asker is not None:
                delay = 0.0 if region == asker.home else FAR_SECONDS / 2
                self.at(delay, asker.take, region, item.message)

    def draw_answer(self, target) -> tuple[OutcomeClass, float]:
        """Draw what a target makes of a request, and the time that it takes."""
        is_bad = self._is_bad_by_target[target]
        share = EPISODE_FAILURE_SHARE if is_bad else BASE_FAILURE_SHARE
        if self.random.random() < share:
            return OutcomeClass.TARGET_ERROR, FAILURE_SECONDS
        mu = math.log(self.case.work_seconds) - self.case.work_sigma**2 / 2
        return OutcomeClass.OK, self.random.lognormvariate(mu, self.case.work_sigma)


class Request:
    """One request at its entry."""

    def __init__(self, *, model: Model, home: str):
        self._model = model
        self._case = model.case
        self._began_at = model.now
        self._tried = ()
        self._questions = []
        self.home = home

    def begin(self) -> None:
        """Ask for a slot for the first attempt."""
        self._model.counts.asked += 1
        self._try()

    def _try(self):
        far = next(region for region in REGIONS if region != self.home)
        self._questions = [(self.home, True), (far, False), (self.home, False)]
        self._ask_next(first=True)

    def _ask_next(self, *, first=False):
        age = self._model.now - self._began_at
        left = self._case.deadline_seconds - age
        if not self._questions or left <= 0:
            self._model.counts.refused += not self._tried
            return
        region, has_other_region = self._questions.pop(0)
        self._model.ask(
            self,
            region,
            deadline_seconds=left,
            goal_seconds=max(self._case.goal_seconds - age, 0.0),
            idempotent=self._case.idempotent,
            request_kind="k",
            excluded=self._tried,
            is_retry=bool(self._tried),
            from_region=self.home if region != self.home else "",
            has_other_region=has_other_region,
            asked_before=not first,
            data_centre=f"{self.home}-0",
        )

    def take(self, region, message) -> None:
        """Take a broker's word."""
        if isinstance(message, SlotGrant):
            self._dispatch(region, message)
        elif hasattr(message, "code"):
            self._ask_next()

    def _dispatch(self, region, grant):
        model = self._model
        model.counts.attempts += 1
        self._tried = (*self._tried, grant.target)
        outcome_class, seconds = model.draw_answer(grant.target)
        if region != self.home:
            seconds += FAR_SECONDS
        model.at(seconds, self._finish, region, grant, outcome_class, seconds)

    def _finish(self, region, grant, outcome_class, seconds):
        model = self._model
        age = model.now - self._began_at
        outcome = Outcome(
            target=grant.target,
            outcome_class=outcome_class,
            latency_seconds=seconds,
            deadline_seconds=self._case.deadline_seconds - age + seconds,
            request_kind="k",
        )
        model.release(region, grant.attempt_id, outcome)
        if outcome_class is not OutcomeClass.OK:
            model.counts.failed_attempts += 1
            if self._case.idempotent and len(self._tried) < 2:
                self._try()
            return
        if age > self._case.deadline_seconds:
            return
        in_goal = age <= self._case.goal_seconds
        model.counts.served += 1
        model.counts.in_goal += in_goal
        model.counts.worth += 1.0 if in_goal else self._case.late_worth


def run_cell(case: Case, load: float) -> dict:
    """Run one service at one load; return a row of the table."""
    case = dataclasses.replace(case, rate=case.rate * load)
    total = Counts()
    for seed in range(SEEDS):
        counts = Model(case=case, seed=seed).run()
        for name, value in dataclasses.asdict(counts).items():
            setattr(total, name, getattr(total, name) + value)
    return {
        "service": case.name,
        "load": load,
        "served": round(total.served / total.asked, 4),
        "worth": round(total.worth / total.asked, 4),
        "refused": round(total.refused / total.asked, 4),
        "failedAttempts": round(total.failed_attempts / total.attempts, 4),
        "failedAttemptsPerSpell": round(total.failed_attempts / total.spells, 2),
    }


def main() -> None:
    """Run all cells and write the table."""
    cells = list(itertools.product(CASES, LOADS))
    with multiprocessing.Pool(PROCESSES) as pool:
        rows = pool.starmap(run_cell, cells)
    for row in rows:
        print(row)
    with open(sys.argv[1], "w") as out:
        json.dump(rows, out, indent=1)


if __name__ == "__main__":
    main()
