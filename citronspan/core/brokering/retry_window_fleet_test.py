"""Tests that all brokers of a service together keep its retry budget."""

import time

import freezegun
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
from citronspan.core.brokering.shards_test import make_node
from citronspan.core.resources import ServiceSpec
from citronspan.utils.rendezvous import rank_members

RETRY_RATIO = 0.2
RETRY_SLACK = 30.0
WINDOW_SECONDS = 10.0
WINDOW_TOLERANCE_SECONDS = 0.5
REQUEST_INTERVAL_SECONDS = 0.1
HOSTS = tuple(f"n-{number}" for number in range(6))
SPEC = ServiceSpec(
    retry_ratio=RETRY_RATIO,
    retry_slack=RETRY_SLACK,
    retry_window_seconds=WINDOW_SECONDS,
)


class BrokerFleet:
    """Broker sets of several entries; each request is followed by a retry.

    Attributes:
        requested_at: Times of the requests.
        retried_at: Times of the granted retries.
    """

    def __init__(self, clock):
        self.requested_at = []
        self.retried_at = []
        self._clock = clock
        self._attempt_id = 0
        self._brokers_by_host = {host: make_broker_set(host) for host in HOSTS}
        self.set_live_hosts(HOSTS)

    def set_live_hosts(self, hosts):
        self._live_hosts = hosts
        for brokers in self._brokers_by_host.values():
            brokers.set_nodes([make_node(host) for host in hosts])

    def restart(self, host):
        self._brokers_by_host[host] = make_broker_set(host)
        self.set_live_hosts(self._live_hosts)

    def run(self, seconds, *, force_at=None):
        """Send requests and retries to the broker, or to a fallback broker."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            host = force_at or rank_members(self._live_hosts, KEY.format())[0]
            self.requested_at.append(time.monotonic())
            self._request_slot(host, force=bool(force_at), is_retry=False)
            if self._request_slot(host, force=bool(force_at), is_retry=True):
                self.retried_at.append(time.monotonic())
            self._clock.tick(REQUEST_INTERVAL_SECONDS)
            for brokers in self._brokers_by_host.values():
                brokers.advance()

    def _request_slot(self, host, **fields):
        self._attempt_id += 1
        brokers = self._brokers_by_host[host]
        request = make_request(self._attempt_id, **fields)
        outgoing = brokers.handle("entry", request)
        grants = [i.message for i in outgoing if isinstance(i.message, SlotGrant)]
        for grant in grants:
            brokers.handle("entry", make_release(grant.attempt_id, grant.target))
        return bool(grants)

    def check_budget(self):
        for start in self.retried_at:
            end = start + WINDOW_SECONDS
            retries = sum(start <= at < end for at in self.retried_at)
            first = start - WINDOW_TOLERANCE_SECONDS
            requests = sum(first <= at < end for at in self.requested_at)
            assert retries <= RETRY_RATIO * requests + RETRY_SLACK, start


def make_broker_set(host):
    brokers = BrokerSet(address=f"{host}:2", make_health=lambda key, spec: FakeHealth())
    brokers.set_service("shop", SPEC, [make_target("a", slots=50)])
    return brokers


def test_retries_stay_in_budget_while_brokers_are_lost_one_after_another():
    with freezegun.freeze_time("2026-01-01") as clock:
        fleet = BrokerFleet(clock)
        ranking = rank_members(HOSTS, KEY.format())
        for lost in range(len(HOSTS)):
            fleet.set_live_hosts(tuple(ranking[lost:]))
            fleet.run(1.5)
        fleet.check_budget()


def test_retries_stay_in_budget_while_entries_use_different_fallback_brokers():
    with freezegun.freeze_time("2026-01-01") as clock:
        fleet = BrokerFleet(clock)
        fleet.run(12.0)
        for host in HOSTS:
            fleet.run(1.5, force_at=host)
        fleet.check_budget()


def test_retries_stay_in_budget_while_starting_hosts_learn_of_each_other():
    with freezegun.freeze_time("2026-01-01") as clock:
        fleet = BrokerFleet(clock)
        for host in HOSTS:
            fleet.set_live_hosts((host,))
            fleet.run(0.2)
        for host in HOSTS:
            fleet.set_live_hosts(HOSTS)
            fleet.run(1.5, force_at=host)
        fleet.check_budget()


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["calm", "restart", "lose", "force"]),
        st.sampled_from(HOSTS),
        st.floats(0.3, 8.0),
    ),
    max_size=12,
)


@settings(max_examples=25, phases=(Phase.explicit, Phase.generate))
@given(STEPS)
def test_retries_stay_in_budget_whichever_brokers_restart_or_are_lost(steps):
    with freezegun.freeze_time("2026-01-01") as clock:
        fleet = BrokerFleet(clock)
        fleet.run(11.0)
        for kind, host, seconds in steps:
            if kind == "restart":
                fleet.restart(host)
            others = tuple(name for name in HOSTS if name != host)
            fleet.set_live_hosts(others if kind == "lose" else HOSTS)
            fleet.run(seconds, force_at=host if kind == "force" else None)
        fleet.check_budget()


def test_retries_use_slack_after_a_window_under_the_same_broker():
    with freezegun.freeze_time("2026-01-01") as clock:
        fleet = BrokerFleet(clock)
        fleet.run(WINDOW_SECONDS + 1.0)
        before = len(fleet.retried_at)
        fleet.run(1.0)
        assert len(fleet.retried_at) - before > RETRY_RATIO * 10
