"""Measures target selection under failure episodes.

In an episode, a target fails most requests for some seconds. The model has two regions
with a broker each, as in a fleet. An entry asks the broker of its own region, then
that of the other region, then its own again, and retries idempotent requests once.
Everything is simulated with fixed seeds, and ``time.monotonic`` returns the simulated
time. Run ``python -m bench.spells OUT.json``.
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
from citronspan.core.brokering.broker import Broker
from citronspan.core.brokering.broker_messages import (
    SlotGrant,
    SlotRelease,
    SlotRequest,
)
from citronspan.core.brokering.retry_window import RetryWindow
from citronspan.core.brokering.shards import ShardKey
from citronspan.core.detection.episode_health import EpisodeHealth
from citronspan.core.detection.health import TargetInfo
from citronspan.core.detection.verdicts import VerdictTable
from citronspan.core.outcomes import Outcome, OutcomeClass
from citronspan.core.resources import Detection, ServiceSpec

REGIONS = ("east", "west")
CROSS_REGION_RTT_SECONDS = 0.06
FAILURE_LATENCY_SECONDS = 0.005
REDRAW_INTERVAL_SECONDS = 12.0
"""Interval at which the model redraws whether a target is in a failure episode."""

EPISODE_FAILURE_SHARE = 0.9
BASE_FAILURE_SHARE = 0.012
ADVANCE_INTERVAL_SECONDS = 0.1
SIMULATED_SECONDS = 60.0
SEEDS = 2
WORKER_PROCESSES = 3


@dataclass(frozen=True, kw_only=True)
class Case:
    """One service and its load.

    Attributes:
        name: Name for the table.
        targets: Targets of each region.
        slots: Slots of a target.
        rate: Requests per second, in both regions together.
        work_seconds: Mean service time of a target.
        work_sigma: Standard deviation of the logarithm of the service time.
        goal_seconds: Age up to which an answer has its full worth of 1.
        deadline_seconds: Age at which the caller gives up.
        late_worth: Worth of an answer between the goal and the deadline.
        idempotent: Whether requests may run more than once.
        episode_share: Share of the time that a target is in a failure episode.
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
    episode_share: float = 0.3


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
    """Counts of one run.

    Attributes:
        requests: Requests that arrived.
        served: Requests answered by the deadline.
        in_goal: Requests answered within the goal.
        worth: Sum of the worth of the answers.
        attempts: Attempts that were sent to a target.
        failed_attempts: Attempts that failed.
        suspect_attempts: Unused, always 0.
        refused: Requests that were never sent to a target.
        episodes: Failure episodes that began.
    """

    requests: int = 0
    served: int = 0
    in_goal: int = 0
    worth: float = 0.0
    attempts: int = 0
    failed_attempts: int = 0
    suspect_attempts: int = 0
    refused: int = 0
    episodes: int = 0


class Model(EventLoop):
    """Clock, events, targets and brokers of one run."""

    def __init__(self, *, case: Case, seed: int):
        super().__init__()
        self.case = case
        self._seed = seed
        # Arrivals and the episodes of each target have their own generators, so that a
        # change of the target selection changes as few draws as possible.
        self.random = random.Random(seed)
        self._arrival_random = random.Random(seed + 1000)
        self._episode_random_by_target = {}
        self.counts = Counts()
        self._ids = itertools.count(1)
        self._request_by_attempt = {}
        self._in_episode_by_target = {}
        self._broker_by_region = {}

    def run(self) -> Counts:
        """Run the model and return its counts."""
        self.run_events(self._begin)
        return self.counts

    def _begin(self):
        for region in REGIONS:
            self._broker_by_region[region] = self._make_broker(region)
        self._start_next_request()
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
            self._in_episode_by_target[target.name] = False
            rng = random.Random(f"{self._seed} {target.name}")
            self._episode_random_by_target[target.name] = rng
            self.call_later(
                rng.uniform(0, REDRAW_INTERVAL_SECONDS),
                self._redraw_episode,
                target.name,
            )
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
            retry_window=RetryWindow(ratio=0.2, slack=28.0, window_seconds=10.0),
        )

    def _redraw_episode(self, target):
        was_in_episode = self._in_episode_by_target[target]
        rng = self._episode_random_by_target[target]
        in_episode = rng.random() < self.case.episode_share
        self._in_episode_by_target[target] = in_episode
        self.counts.episodes += in_episode and not was_in_episode
        if self.now < SIMULATED_SECONDS:
            self.call_later(REDRAW_INTERVAL_SECONDS, self._redraw_episode, target)

    def _advance(self):
        for region, broker in self._broker_by_region.items():
            self._deliver_to_entries(region, broker.advance())
        if self.now < SIMULATED_SECONDS:
            self.call_later(ADVANCE_INTERVAL_SECONDS, self._advance)

    def _start_next_request(self):
        if self.now > SIMULATED_SECONDS:
            return
        Request(model=self, home_region=self._arrival_random.choice(REGIONS)).begin()
        self.call_later(
            self._arrival_random.expovariate(self.case.rate), self._start_next_request
        )

    def request_slot(self, request, region, **fields):
        """Send a slot request to the broker of a region."""
        attempt_id = next(self._ids)
        message = SlotRequest(
            attempt_id=attempt_id, service="s", region=region, shard=0, **fields
        )
        self._request_by_attempt[attempt_id] = request
        delay = CROSS_REGION_RTT_SECONDS / 2 if message.from_region else 0.0
        self.call_later(delay, self._deliver_to_broker, region, message)

    def release(self, region, attempt_id, outcome):
        """Release a slot at the broker of a region."""
        message = SlotRelease(
            attempt_id=attempt_id, service="s", region=region, shard=0, outcome=outcome
        )
        self._deliver_to_broker(region, message)

    def _deliver_to_broker(self, region, message):
        self._deliver_to_entries(
            region, self._broker_by_region[region].handle("e", message)
        )

    def _deliver_to_entries(self, region, outgoing):
        for item in outgoing:
            request = self._request_by_attempt.get(item.message.attempt_id)
            if request is not None:
                delay = (
                    0.0
                    if region == request.home_region
                    else CROSS_REGION_RTT_SECONDS / 2
                )
                self.call_later(delay, request.handle_message, region, item.message)

    def draw_outcome(self, target) -> tuple[OutcomeClass, float]:
        """Draw the outcome of a request at a target, and its latency in seconds."""
        in_episode = self._in_episode_by_target[target]
        share = EPISODE_FAILURE_SHARE if in_episode else BASE_FAILURE_SHARE
        if self.random.random() < share:
            return OutcomeClass.TARGET_ERROR, FAILURE_LATENCY_SECONDS
        mu = math.log(self.case.work_seconds) - self.case.work_sigma**2 / 2
        return OutcomeClass.OK, self.random.lognormvariate(mu, self.case.work_sigma)


class Request:
    """One request at its entry, with all its attempts."""

    def __init__(self, *, model: Model, home_region: str):
        self._model = model
        self._case = model.case
        self._began_at = model.now
        self._tried = ()
        self._remaining_queries = []
        self.home_region = home_region

    def begin(self) -> None:
        """Request a slot for the first attempt."""
        self._model.counts.requests += 1
        self._begin_attempt()

    def _begin_attempt(self):
        other_region = next(region for region in REGIONS if region != self.home_region)
        self._remaining_queries = [
            (self.home_region, True),
            (other_region, False),
            (self.home_region, False),
        ]
        self._query_next_broker(first=True)

    def _query_next_broker(self, *, first=False):
        age = self._model.now - self._began_at
        remaining_seconds = self._case.deadline_seconds - age
        if not self._remaining_queries or remaining_seconds <= 0:
            self._model.counts.refused += not self._tried
            return
        region, has_other_region = self._remaining_queries.pop(0)
        self._model.request_slot(
            self,
            region,
            deadline_seconds=remaining_seconds,
            goal_seconds=max(self._case.goal_seconds - age, 0.0),
            idempotent=self._case.idempotent,
            request_kind="k",
            excluded=self._tried,
            is_retry=bool(self._tried),
            from_region=self.home_region if region != self.home_region else "",
            has_other_region=has_other_region,
            asked_before=not first,
            data_centre=f"{self.home_region}-0",
        )

    def handle_message(self, region, message) -> None:
        """Handle a broker's answer: a grant, or a refusal with a code."""
        if isinstance(message, SlotGrant):
            self._dispatch(region, message)
        elif hasattr(message, "code"):
            self._query_next_broker()

    def _dispatch(self, region, grant):
        model = self._model
        model.counts.attempts += 1
        self._tried = (*self._tried, grant.target)
        outcome_class, seconds = model.draw_outcome(grant.target)
        if region != self.home_region:
            seconds += CROSS_REGION_RTT_SECONDS
        model.call_later(seconds, self._finish, region, grant, outcome_class, seconds)

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
                self._begin_attempt()
            return
        if age > self._case.deadline_seconds:
            return
        in_goal = age <= self._case.goal_seconds
        model.counts.served += 1
        model.counts.in_goal += in_goal
        model.counts.worth += 1.0 if in_goal else self._case.late_worth


def run_cell(case: Case, load: float) -> dict:
    """Run one service at one load and return a row of the table."""
    case = dataclasses.replace(case, rate=case.rate * load)
    total = Counts()
    for seed in range(SEEDS):
        counts = Model(case=case, seed=seed).run()
        for name, value in dataclasses.asdict(counts).items():
            setattr(total, name, getattr(total, name) + value)
    return {
        "service": case.name,
        "load": load,
        "served": round(total.served / total.requests, 4),
        "worth": round(total.worth / total.requests, 4),
        "refused": round(total.refused / total.requests, 4),
        "failedAttempts": round(total.failed_attempts / total.attempts, 4),
        "failedAttemptsPerSpell": round(total.failed_attempts / total.episodes, 2),
    }


def main() -> None:
    """Run all services at all loads and write the rows."""
    cells = list(itertools.product(CASES, LOADS))
    with multiprocessing.Pool(WORKER_PROCESSES) as pool:
        rows = pool.starmap(run_cell, cells)
    for row in rows:
        print(row)
    with open(sys.argv[1], "w") as out:
        json.dump(rows, out, indent=1)


if __name__ == "__main__":
    main()
