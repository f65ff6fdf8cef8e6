"""Tests that all brokers of a shard together keep the budget of the region link."""

import time

import freezegun
import pytest
from hypothesis import Phase, given, settings, strategies as st

from citronspan.core.brokering.broker_messages import SlotGrant
from citronspan.core.brokering.broker_set import BrokerSet
from citronspan.core.brokering.broker_test import (
    KEY,
    FakeHealth,
    make_release,
    make_request,
    make_target,
)
from citronspan.core.brokering.link_budget import BURST_SECONDS, CONTROL_RESERVE_SHARE
from citronspan.core.brokering.rate_pacer import FALLBACK_SHARE, NEW_BROKER_RATE_SHARE
from citronspan.core.brokering.shards_test import make_node
from citronspan.core.resources import ServiceSpec
from citronspan.utils.rendezvous import rank_members

HOSTS = tuple(f"n-{number}" for number in range(300))
FIRST_BROKERS = tuple(rank_members(HOSTS, KEY.format())[:5])
BYTES_PER_SECOND = 100_000
BODY_BYTES = 2_000
REQUEST_INTERVAL_SECONDS = 0.05
REQUESTS_AT_ONCE = 20
SPEC = ServiceSpec(link_bytes_per_second=BYTES_PER_SECOND)

# The broker, its predecessor, and all fallback brokers together.
LARGEST_SHARE = 1.0 + NEW_BROKER_RATE_SHARE.share + FALLBACK_SHARE


def make_broker_set(host):
    brokers = BrokerSet(address=f"{host}:2", make_health=lambda key, spec: FakeHealth())
    brokers.set_service("shop", SPEC, [make_target("a", slots=50)])
    return brokers


class BrokerFleet:
    """Broker sets of the entries that are the broker at some time."""

    def __init__(self, clock):
        self._clock = clock
        self._attempt_id = 0
        self._spent_at = []
        self._brokers_by_host = {}
        self._live_hosts = ()
        for host in FIRST_BROKERS:
            self.restart(host)
        self.set_live_hosts(HOSTS)

    def restart(self, host):
        brokers = make_broker_set(host)
        brokers.set_nodes([make_node(name) for name in self._live_hosts])
        self._brokers_by_host[host] = brokers

    def set_live_hosts(self, hosts):
        self._live_hosts = hosts
        nodes = [make_node(host) for host in hosts]
        for brokers in self._brokers_by_host.values():
            brokers.set_nodes(nodes)

    def part(self, *, has_started):
        """Let all hosts see nobody but themselves, at will after a start."""
        for host in FIRST_BROKERS:
            if has_started:
                self._brokers_by_host[host] = make_broker_set(host)
            brokers = self._brokers_by_host[host]
            brokers.set_nodes([make_node(host)], awaits_peers=has_started)

    def run(self, seconds, *, force_at=None, is_forced=True):
        """Ask for more than the budget holds, and give the slots back."""
        end = time.monotonic() + seconds
        broker = force_at or self.find_broker()
        while time.monotonic() < end:
            for _ in range(REQUESTS_AT_ONCE):
                self._request_slot(broker, force=bool(force_at) and is_forced)
            self._clock.tick(REQUEST_INTERVAL_SECONDS)

    def find_broker(self):
        live = set(self._live_hosts)
        return next(host for host in FIRST_BROKERS if host in live)

    def lose(self, host):
        self.set_live_hosts(tuple(name for name in self._live_hosts if name != host))

    def count_bytes(self, start, end):
        return BODY_BYTES * sum(start <= at < end for at in self._spent_at)

    def check_budget(self):
        for start in self._spent_at:
            for seconds in (1.0, 4.0, 10.0):
                spent = self.count_bytes(start, start + seconds)
                allowed = BYTES_PER_SECOND * (seconds + BURST_SECONDS)
                assert spent <= LARGEST_SHARE * allowed + BODY_BYTES

    def _request_slot(self, host, *, force):
        self._attempt_id += 1
        brokers = self._brokers_by_host[host]
        request = make_request(
            self._attempt_id, from_region="far", body_bytes=BODY_BYTES, force=force
        )
        outgoing = brokers.handle("entry", request)
        for item in outgoing:
            if not isinstance(item.message, SlotGrant):
                continue
            self._spent_at.append(time.monotonic())
            release = make_release(item.message.attempt_id, item.message.target)
            brokers.handle("entry", release)


def test_each_new_broker_spends_a_whole_burst():
    with freezegun.freeze_time("2026-01-01") as clock:
        fleet = BrokerFleet(clock)
        start = time.monotonic()
        for _ in range(10):
            for host in FIRST_BROKERS:
                fleet.restart(host)
            fleet.run(0.2)
        assert fleet.count_bytes(start, start + 2.0) <= BYTES_PER_SECOND * 2.0


def test_broker_that_stays_spends_less_than_its_budget():
    with freezegun.freeze_time("2026-01-01") as clock:
        fleet = BrokerFleet(clock)
        fleet.run(8.0)
        start = time.monotonic()
        fleet.run(4.0)
        spent = fleet.count_bytes(start, start + 4.0)
        assert spent >= (1 - CONTROL_RESERVE_SHARE) * BYTES_PER_SECOND * 4.0


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["restart", "lose", "return all", "fallback"]),
        st.sampled_from(FIRST_BROKERS),
        st.sampled_from([0.1, 0.3, 1.0]),
    ),
    max_size=20,
)


@settings(max_examples=25, phases=(Phase.explicit, Phase.generate))
@given(STEPS)
def test_bytes_exceed_the_budget_while_brokers_are_lost_and_return(steps):
    with freezegun.freeze_time("2026-01-01") as clock:
        fleet = BrokerFleet(clock)
        for kind, fallback, seconds in steps:
            broker = fleet.find_broker()
            if kind == "restart":
                fleet.restart(broker)
            if kind == "lose" and broker != FIRST_BROKERS[-1]:
                fleet.lose(broker)
            if kind == "return all":
                fleet.set_live_hosts(HOSTS)
            fleet.run(seconds, force_at=fallback if kind == "fallback" else None)
        fleet.check_budget()


@pytest.mark.parametrize("has_started", [False, True])
def test_hosts_that_see_only_themselves_exceed_the_budget(has_started):
    """Each is its own broker, any number of them at the same time."""
    with freezegun.freeze_time("2026-01-01") as clock:
        fleet = BrokerFleet(clock)
        fleet.run(1.0)
        fleet.part(has_started=has_started)
        for _ in range(40):
            for host in FIRST_BROKERS:
                fleet.run(REQUEST_INTERVAL_SECONDS, force_at=host, is_forced=False)
        fleet.check_budget()
