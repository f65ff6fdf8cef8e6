"""Replays a burst at a shard of which most targets fail what they get, and at once."""

import heapq
import itertools
import math
import random
import time

import freezegun
import pytest

from citronspan.core.brokering import broker as broker_module
from citronspan.core.brokering.broker import Broker
from citronspan.core.brokering.broker_messages import (
    SlotGrant,
    SlotRefusal,
    SlotRelease,
    SlotRequest,
)
from citronspan.core.brokering.placement import ACCEPTABLE_COST
from citronspan.core.detection.episode_health_test import (
    KEY,
    make_health,
    make_targets,
)
from citronspan.core.outcomes import Outcome, OutcomeClass

TARGETS = 8
FAILING = frozenset(f"t-{number}" for number in range(5))
FAILURE_SHARE = 0.85
FAILURE_SECONDS = 0.005
MEDIAN_SECONDS, DEVIATION = 0.36, 0.5
GOAL_SECONDS = 1.5
DEADLINE_SECONDS = 5.0
STEP_SECONDS = 0.01
PHASES = ((5.0, 25), (3.0, 80), (8.0, 25))
"""Length in seconds and requests per second; targets fail from the second one on."""

RETURN_SHARE = 1 / 3
"""Share of the time left within which a refused caller comes back."""


class Replay:
    """Sends requests that may run once only to one broker.

    Attributes:
        sent: Number of callers.
        in_time: Callers that were answered within the goal.
        late: Callers that were answered after it.
        failed: Callers whose request a target failed.
    """

    def __init__(self, clock, *, seed):
        self.sent = self.in_time = self.late = self.failed = 0
        self._clock = clock
        self._random = random.Random(seed)
        self._broker = Broker(
            key=KEY, health=make_health(), targets=make_targets(TARGETS), floor=0.7
        )
        self._failing = frozenset()
        self._events = []
        self._numbers = itertools.count(1)
        self._sent_at_by_id = {}
        self._returned = set()

    def run(self):
        for number, (seconds, rate) in enumerate(PHASES):
            self._failing = FAILING if number else frozenset()
            end = time.monotonic() + seconds
            while time.monotonic() < end:
                self._clock.tick(STEP_SECONDS)
                self._handle_answers(self._broker.advance())
                self._run_events()
                if self._random.random() < rate * STEP_SECONDS:
                    self.sent += 1
                    self._send(time.monotonic())
        for _ in range(math.ceil(DEADLINE_SECONDS / STEP_SECONDS)):
            self._clock.tick(STEP_SECONDS)
            self._handle_answers(self._broker.advance())
            self._run_events()

    def _send(self, sent_at, *, is_return=False):
        attempt_id = next(self._numbers)
        self._sent_at_by_id[attempt_id] = sent_at
        if is_return:
            self._returned.add(attempt_id)
        age = time.monotonic() - sent_at
        request = SlotRequest(
            attempt_id=attempt_id,
            service="s",
            region="r",
            shard=0,
            deadline_seconds=DEADLINE_SECONDS - age,
            goal_seconds=max(GOAL_SECONDS - age, 0.01),
        )
        self._handle_answers(self._broker.handle("e", request))

    def _handle_answers(self, outgoing):
        for item in outgoing:
            if isinstance(item.message, SlotGrant):
                self._start(item.message)
            if isinstance(item.message, SlotRefusal):
                self._return_later(item.message)

    def _start(self, grant):
        seconds = math.exp(self._random.gauss(math.log(MEDIAN_SECONDS), DEVIATION))
        outcome_class = OutcomeClass.OK
        if grant.target in self._failing and self._random.random() < FAILURE_SHARE:
            seconds = FAILURE_SECONDS
            outcome_class = OutcomeClass.TARGET_ERROR
        end = time.monotonic() + seconds
        event = (end, grant.attempt_id, grant.target, seconds, outcome_class)
        heapq.heappush(self._events, event)

    def _return_later(self, refusal):
        sent_at = self._sent_at_by_id[refusal.attempt_id]
        left = sent_at + DEADLINE_SECONDS - time.monotonic()
        seconds = refusal.retry_after_seconds
        if refusal.attempt_id in self._returned or seconds > left * RETURN_SHARE:
            return
        event = (time.monotonic() + seconds, refusal.attempt_id, "", sent_at, None)
        heapq.heappush(self._events, event)

    def _run_events(self):
        while self._events and self._events[0][0] <= time.monotonic():
            _, attempt_id, target, value, outcome_class = heapq.heappop(self._events)
            if outcome_class is None:
                self._send(value, is_return=True)
            else:
                self._finish(attempt_id, target, value, outcome_class)

    def _finish(self, attempt_id, target, seconds, outcome_class):
        age = time.monotonic() - self._sent_at_by_id[attempt_id]
        if outcome_class is not OutcomeClass.OK:
            self.failed += 1
        elif age <= GOAL_SECONDS:
            self.in_time += 1
        elif age <= DEADLINE_SECONDS:
            self.late += 1
        release = SlotRelease(
            attempt_id=attempt_id,
            service="s",
            region="r",
            shard=0,
            outcome=Outcome(
                target=target,
                outcome_class=outcome_class,
                latency_seconds=seconds,
                deadline_seconds=DEADLINE_SECONDS,
            ),
        )
        self._handle_answers(self._broker.handle("e", release))


def replay(seed):
    with freezegun.freeze_time("2026-01-01") as clock:
        run = Replay(clock, seed=seed)
        run.run()
        return run


def accept_any_target_after_the_wait(request, waited, wait_limit, healthy_share):
    """Compute the acceptable cost of the baseline."""
    if waited >= wait_limit:
        return math.inf
    return ACCEPTABLE_COST + (1 - ACCEPTABLE_COST) * waited / wait_limit


@pytest.mark.parametrize("seed", [1, 2])
def test_burst_is_sent_to_targets_that_are_known_to_fail(seed, monkeypatch):
    run = replay(seed)
    naive = accept_any_target_after_the_wait
    monkeypatch.setattr(broker_module, "compute_acceptable_cost", naive)
    baseline = replay(seed)
    assert run.failed < 0.7 * baseline.failed
    assert run.in_time + run.late > baseline.in_time + baseline.late
