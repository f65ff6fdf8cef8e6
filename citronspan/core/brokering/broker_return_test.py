"""Tests of a broker with real detection: suspicion of a target, and its recovery.

A recovered target gets grants again whatever kind of requests its shard receives.
"""

import pytest
from freezegun import freeze_time

from citronspan.core.brokering.broker import Broker
from citronspan.core.brokering.broker_messages import (
    SlotGrant,
    SlotRelease,
    SlotRequest,
)
from citronspan.core.brokering.shards import ShardKey
from citronspan.core.detection.health import TargetInfo
from citronspan.core.detection.service_health import ServiceHealth
from citronspan.core.outcomes import Outcome, OutcomeClass
from citronspan.core.resources import ServiceSpec

KEY = ShardKey(service="s", region="r", number=0)
TARGETS = tuple(
    TargetInfo(
        name=f"t{number}", address=f"a{number}", region="r", data_centre="d", slots=6
    )
    for number in range(5)
)
REQUEST_SECONDS = 0.05
PHASE_SECONDS = 30
RECOVERY_SECONDS = 600
CONCURRENT_REQUESTS = 12


def run_requests(broker, clock, seconds, idempotent, find_outcome_class):
    """Send requests one after another; return the number of grants by target."""
    grants_by_target = dict.fromkeys([target.name for target in TARGETS], 0)
    for number in range(int(seconds / REQUEST_SECONDS)):
        request = SlotRequest(
            attempt_id=int(clock().timestamp() * 1e6) + number,
            service="s",
            region="r",
            shard=0,
            deadline_seconds=5.0,
            idempotent=idempotent,
        )
        grant = broker.handle("entry", request)[0].message
        assert isinstance(grant, SlotGrant)
        clock.tick(REQUEST_SECONDS)
        grants_by_target[grant.target] += 1
        outcome = Outcome(
            target=grant.target,
            outcome_class=find_outcome_class(grant.target),
            latency_seconds=REQUEST_SECONDS,
            deadline_seconds=5.0,
        )
        release = SlotRelease(
            attempt_id=request.attempt_id,
            service="s",
            region="r",
            shard=0,
            outcome=outcome,
        )
        broker.handle("entry", release)
        broker.advance()
    return grants_by_target


@pytest.mark.parametrize("idempotent", [True, False])
def test_target_gets_grants_again_after_gray_failure_ends(idempotent):
    with freeze_time("2026-01-01") as clock:
        health = ServiceHealth(name="s", spec=ServiceSpec())
        broker = Broker(key=KEY, health=health, targets=TARGETS)

        def fail_first_target(name):
            return OutcomeClass.TARGET_ERROR if name == "t0" else OutcomeClass.OK

        run_requests(
            broker, clock, PHASE_SECONDS, idempotent, lambda _: OutcomeClass.OK
        )
        run_requests(broker, clock, PHASE_SECONDS, idempotent, fail_first_target)
        assert health.describe().targets[0].state != "healthy"
        run_requests(
            broker, clock, RECOVERY_SECONDS, idempotent, lambda _: OutcomeClass.OK
        )
        assert health.describe().targets[0].state == "healthy"
        grants_by_target = run_requests(
            broker, clock, PHASE_SECONDS, idempotent, lambda _: OutcomeClass.OK
        )
        assert grants_by_target["t0"] > 0


def make_request(attempt_id):
    return SlotRequest(
        attempt_id=attempt_id,
        service="s",
        region="r",
        shard=0,
        deadline_seconds=600.0,
        idempotent=True,
    )


def make_release(grant):
    outcome = Outcome(
        target=grant.target,
        outcome_class=OutcomeClass.OK,
        latency_seconds=REQUEST_SECONDS,
        deadline_seconds=600.0,
    )
    return SlotRelease(
        attempt_id=grant.attempt_id,
        service="s",
        region="r",
        shard=0,
        outcome=outcome,
    )


def test_unresponsive_target_is_suspected_before_any_deadline():
    with freeze_time("2026-01-01") as clock:
        health = ServiceHealth(name="s", spec=ServiceSpec())
        broker = Broker(key=KEY, health=health, targets=TARGETS)
        run_requests(broker, clock, PHASE_SECONDS, True, lambda _: OutcomeClass.OK)
        running = []
        for number in range(3000):
            grant = broker.handle("entry", make_request(number))[0].message
            assert isinstance(grant, SlotGrant)
            if grant.target != "t0":
                running.append(grant)
            # Several requests run concurrently, so that the target is granted again.
            clock.tick(REQUEST_SECONDS / CONCURRENT_REQUESTS)
            if len(running) > CONCURRENT_REQUESTS:
                broker.handle("entry", make_release(running.pop(0)))
            broker.advance()
        assert health.describe().targets[0].state != "healthy"
