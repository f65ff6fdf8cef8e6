"""Replays a service of several shards whose targets fail most requests for seconds."""

import heapq
import random
import time

import freezegun
import pytest

from citronspan.core.brokering import broker_pool
from citronspan.core.brokering.broker_messages import (
    SlotGrant,
    SlotRelease,
    SlotRequest,
)
from citronspan.core.brokering.broker_set import BrokerSet
from citronspan.core.brokering.shards_test import make_node
from citronspan.core.detection.episode_health import EpisodeHealth
from citronspan.core.detection.health import TargetInfo
from citronspan.core.detection.verdicts import VerdictTable
from citronspan.core.outcomes import Outcome, OutcomeClass
from citronspan.core.resources import Detection, ServiceSpec

FLOOR = 0.7
TARGETS = 66
REQUESTS_PER_SECOND = 200
REQUEST_SECONDS = 0.5
FAILURE_SECONDS = 0.01
EPISODE_SECONDS = 10.0
EPISODE_SHARE = 0.2
FAILURE_SHARE = 0.8
WINDOW_SECONDS = 2.0
WARM_UP_SECONDS = 5.0
REPLAY_SECONDS = 30.0


def make_health(key, spec):
    return EpisodeHealth(
        name=key.format(),
        spec=spec,
        issuer="host-1",
        incarnation=1,
        received_verdicts=VerdictTable(),
    )


class Service:
    """All shards of a service at one broker, and requests of which some may run again.

    Attributes:
        granted: Time and target of each grant.
        failed: Time and target of each failure.
        lost: Number of requests that failed and may run once only.
    """

    def __init__(self, clock, *, seed, idempotent_share=0.0):
        self.granted = []
        self.failed = []
        self.lost = 0
        self._idempotent_share = idempotent_share
        self._idempotent_ids = set()
        self._clock = clock
        self._random = random.Random(seed)
        self._running = []
        self._attempt_id = 0
        names = [f"t-{number:02d}" for number in range(TARGETS)]
        infos = [
            TargetInfo(name=name, address=name, region="r", data_centre="d", slots=6)
            for name in names
        ]
        self.brokers = BrokerSet(address="host-1:2", make_health=make_health)
        self.brokers.set_nodes([make_node("host-1", region="r")])
        spec = ServiceSpec(detection=Detection.FAILURE_EPISODES, floor=FLOOR)
        self.brokers.set_service("s", spec, infos)
        self._number_by_name = {
            target.name: shard.key.number
            for shard in self.brokers.shards_by_group["s", "r"]
            for target in shard.targets
        }
        # Each target is in an episode for a part of each period, from its own start on.
        period = EPISODE_SECONDS / EPISODE_SHARE
        self._start_by_name = {name: self._random.uniform(0, period) for name in names}
        self._period = period

    def run(self, seconds):
        end = time.monotonic() + seconds
        numbers = list(self._number_by_name.values())
        while time.monotonic() < end:
            self._clock.tick(1 / REQUESTS_PER_SECOND)
            self._release_finished()
            self._attempt_id += 1
            idempotent = self._random.random() < self._idempotent_share
            if idempotent:
                self._idempotent_ids.add(self._attempt_id)
            request = SlotRequest(
                idempotent=idempotent,
                attempt_id=self._attempt_id,
                service="s",
                region="r",
                shard=self._random.choice(numbers),
                deadline_seconds=5.0,
                goal_seconds=3.0,
                data_centre="d",
            )
            self._record_grants(self.brokers.handle("e", request))
            self._record_grants(self.brokers.advance())

    def find_smallest_share(self, start):
        """Return the smallest share of targets that got requests in a window."""
        end = self.granted[-1][0] - WINDOW_SECONDS
        shares = []
        while start < end:
            names = {
                name
                for at, name in self.granted
                if start < at <= start + WINDOW_SECONDS
            }
            names |= {
                name
                for at, name in self.failed
                if start - WINDOW_SECONDS < at <= start + WINDOW_SECONDS
            }
            shares.append(len(names) / TARGETS)
            start += WINDOW_SECONDS / 4
        return min(shares)

    def _is_failing(self, name):
        phase = (time.monotonic() - self._start_by_name[name]) % self._period
        return phase < EPISODE_SECONDS and self._random.random() < FAILURE_SHARE

    def _record_grants(self, outgoing):
        now = time.monotonic()
        for item in outgoing:
            if not isinstance(item.message, SlotGrant):
                continue
            grant = item.message
            self.granted.append((now, grant.target))
            failed = self._is_failing(grant.target)
            end = now + (FAILURE_SECONDS if failed else REQUEST_SECONDS)
            heapq.heappush(self._running, (end, grant.attempt_id, grant.target, failed))

    def _release_finished(self):
        now = time.monotonic()
        while self._running and self._running[0][0] <= now:
            _, attempt_id, name, failed = heapq.heappop(self._running)
            if failed:
                self.failed.append((now, name))
                self.lost += attempt_id not in self._idempotent_ids
            outcome = Outcome(
                target=name,
                outcome_class=OutcomeClass.TARGET_ERROR if failed else OutcomeClass.OK,
                latency_seconds=FAILURE_SECONDS if failed else REQUEST_SECONDS,
                deadline_seconds=5.0,
            )
            release = SlotRelease(
                attempt_id=attempt_id,
                service="s",
                region="r",
                shard=self._number_by_name[name],
                outcome=outcome,
            )
            self._record_grants(self.brokers.handle("e", release))


def replay(seed, *, rounds_by_shard=False):
    """Return the share of failed requests and the smallest share of used targets."""
    with freezegun.freeze_time("2026-01-01") as clock:
        service = Service(clock, seed=seed)
        if rounds_by_shard:
            service.brokers._preceding_targets_by_key.clear()
        service.run(WARM_UP_SECONDS)
        start = time.monotonic()
        service.run(REPLAY_SECONDS)
        failed = len(service.failed) / len(service.granted)
        return failed, service.find_smallest_share(start)


@pytest.mark.parametrize("seed", [1, 2])
def test_floor_of_a_service_costs_more_requests_than_it_asks_for(seed):
    failed, used = replay(seed)
    baseline, _ = replay(seed, rounds_by_shard=True)
    assert used >= FLOOR
    assert failed < baseline


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_requests_that_run_once_explore_though_others_may_run_again(seed, monkeypatch):
    lost = {}
    for seconds in (0.0, broker_pool.EXPLORING_SECONDS):
        monkeypatch.setattr(broker_pool, "EXPLORING_SECONDS", seconds)
        with freezegun.freeze_time("2026-01-01") as clock:
            service = Service(clock, seed=seed, idempotent_share=0.5)
            service.run(WARM_UP_SECONDS)
            start = time.monotonic()
            service.run(REPLAY_SECONDS)
            lost[seconds] = service.lost
            assert service.find_smallest_share(start) >= FLOOR
    before, after = lost.values()
    assert after < 0.9 * before
