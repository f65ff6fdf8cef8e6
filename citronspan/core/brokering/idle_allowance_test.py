"""Tests that the shards of a service together keep its floor, and no more than that."""

import math

from hypothesis import given, strategies as st

from citronspan.core.brokering.broker_set import BrokerSet
from citronspan.core.brokering.idle_allowance import (
    IDLE_SHARE,
    count_allowed_idle_targets,
)
from citronspan.core.detection.health import TargetInfo
from citronspan.core.resources import Detection, ServiceSpec

FLOOR = 0.7
SHARD_TARGETS = st.lists(st.integers(0, 20), max_size=20)


def count_by_shard(shard_targets, floor=FLOOR):
    allowed = []
    preceding = 0
    for targets in shard_targets:
        allowed.append(
            count_allowed_idle_targets(
                floor=floor, targets=targets, preceding_targets=preceding
            )
        )
        preceding += targets
    return allowed


@given(SHARD_TARGETS, st.floats(0.0, 1.0))
def test_shards_together_let_more_targets_idle_than_the_floor_leaves(
    shard_targets, floor
):
    allowed = sum(count_by_shard(shard_targets, floor))
    assert allowed <= (1 - floor) * sum(shard_targets) + 1e-9


@given(SHARD_TARGETS)
def test_each_shard_rounds_its_allowance_down(shard_targets):
    allowed = count_by_shard(shard_targets)
    whole = (1 - FLOOR) * IDLE_SHARE * sum(shard_targets)
    assert abs(sum(allowed) - whole) < 1 + 1e-9
    for targets, count in zip(shard_targets, allowed, strict=True):
        assert count >= math.floor((1 - FLOOR) * IDLE_SHARE * targets)


def test_single_shard_may_let_more_targets_idle_than_before():
    assert [count_by_shard([targets])[0] for targets in (5, 7, 12, 14)] == [0, 1, 1, 2]


def test_leaving_targets_count_for_the_allowance():
    brokers = BrokerSet(address="host-1:2", make_health=None)
    targets = [
        TargetInfo(
            name=f"t-{number:03d}",
            address=f"10.0.0.{number}:1",
            region="east" if number % 2 else "west",
            data_centre="d",
            slots=6,
            leaving=number < 30,
        )
        for number in range(90)
    ]
    spec = ServiceSpec(detection=Detection.FAILURE_EPISODES, floor=FLOOR)
    brokers.set_service("s", spec, targets)
    keys = sorted(
        (shard.key for group in brokers.shards_by_group.values() for shard in group),
        key=lambda key: (key.region, key.number),
    )
    preceding = [brokers.count_preceding_targets(key) for key in keys]
    assert preceding == sorted(preceding)
    assert preceding[0] == 0
    assert preceding[-1] < 60
    brokers.remove_service("s")
    assert brokers.count_preceding_targets(keys[-1]) == 0
