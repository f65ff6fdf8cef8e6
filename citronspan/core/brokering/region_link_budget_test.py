"""Tests that all services at all hosts keep one budget of the links between regions."""

import time

from freezegun import freeze_time
from hypothesis import given, settings, strategies as st
from msgspec.structs import replace

from citronspan.core.brokering.broker_messages import SlotGrant
from citronspan.core.brokering.broker_set import BrokerSet
from citronspan.core.brokering.broker_test import (
    FakeHealth,
    make_release,
    make_request,
    make_target,
)
from citronspan.core.brokering.link_budget import BURST_SECONDS, CONTROL_RESERVE_SHARE
from citronspan.core.brokering.rate_pacer import NEW_BROKER_RATE_SHARE
from citronspan.core.brokering.shards_test import make_node
from citronspan.core.resources import ServiceSpec

BYTES_PER_SECOND = 40_000.0
BODY_BYTES = 500
SERVICE_BYTES_PER_SECOND = 30_000
SECONDS = 6.0
INTERVAL_SECONDS = 0.1
HOSTS = tuple(f"n-{number}" for number in range(8))


def make_brokers(host, targets_by_service, budget) -> BrokerSet:
    brokers = BrokerSet(
        address=f"{host}:2",
        make_health=lambda key, spec: FakeHealth(),
        region_link_bytes_per_second=budget,
    )
    spec = ServiceSpec(link_bytes_per_second=SERVICE_BYTES_PER_SECOND)
    for service, targets in targets_by_service.items():
        brokers.set_service(service, spec, targets)
    brokers.set_nodes([make_node(name) for name in HOSTS])
    return brokers


def count_bytes(slots_by_service, budget) -> int:
    """Ask all brokers of a fleet for more than they may grant; return what crossed."""
    targets_by_service = {
        service: [
            make_target(f"{service}-{number}", slots=slots)
            for number, slots in enumerate(slot_counts)
        ]
        for service, slot_counts in slots_by_service.items()
    }
    fleet = {
        f"{host}:2": make_brokers(host, targets_by_service, budget) for host in HOSTS
    }
    some = fleet[f"{HOSTS[0]}:2"]
    keys = [shard.key for group in some.shards_by_group.values() for shard in group]
    crossed_bytes = attempt_id = 0
    with freeze_time() as clock:
        end = time.monotonic() + SECONDS
        while time.monotonic() < end:
            for key in keys * 10:
                attempt_id += 1
                place = {
                    "service": key.service,
                    "region": key.region,
                    "shard": key.number,
                }
                request = make_request(
                    attempt_id, from_region="far", body_bytes=BODY_BYTES
                )
                brokers = fleet[some.table.find_address(key)]
                for item in brokers.handle("entry", replace(request, **place)):
                    if not isinstance(item.message, SlotGrant):
                        continue
                    crossed_bytes += BODY_BYTES
                    release = make_release(attempt_id, item.message.target)
                    brokers.handle("entry", replace(release, **place))
            clock.tick(INTERVAL_SECONDS)
    return crossed_bytes


@settings(max_examples=15, deadline=None)
@given(
    slots_by_service=st.dictionaries(
        st.sampled_from("abcde"),
        st.lists(st.integers(1, 50), min_size=1, max_size=30),
        min_size=1,
    )
)
def test_services_together_exceed_the_budget_of_the_fleet(slots_by_service):
    crossed = count_bytes(slots_by_service, BYTES_PER_SECOND)
    assert crossed <= BYTES_PER_SECOND * (SECONDS + BURST_SECONDS)


def test_services_together_use_little_of_the_budget_or_are_bound_without_one():
    slots_by_service = {service: [10] * 24 for service in "abcde"}
    unbound = count_bytes(slots_by_service, 0.0)
    assert unbound > 2 * BYTES_PER_SECOND * SECONDS
    bound = count_bytes(slots_by_service, BYTES_PER_SECOND)
    usable = (1 - CONTROL_RESERVE_SHARE) * NEW_BROKER_RATE_SHARE.share
    assert bound > usable * BYTES_PER_SECOND * (SECONDS - BURST_SECONDS)
