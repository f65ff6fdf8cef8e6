"""Tests that all brokers of a service together keep the operator's share of hedges."""

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
from citronspan.core.brokering.hedge_budget import MAXIMUM_SAVED_HEDGES
from citronspan.core.brokering.shards_test import make_node
from citronspan.core.resources import ServiceSpec
from citronspan.utils.rendezvous import rank_members

HOSTS = tuple(f"n-{number}" for number in range(5))
SHARE = 0.1
WINDOW_SECONDS = 10.0
REQUEST_INTERVAL_SECONDS = 0.05
SLACK_RETRIES = 30.0
RETRY_RATIO = 0.2
SPEC = ServiceSpec(
    retry_ratio=RETRY_RATIO,
    retry_slack=SLACK_RETRIES,
    retry_window_seconds=WINDOW_SECONDS,
    hedge_share=SHARE,
    hedge_delay_seconds=0.1,
)


class HedgingFleet:
    """Broker sets of several entries; each request is followed by retries and a hedge.

    Attributes:
        retries: Retries that follow each request.
        duplicates: Whether an entry sends each request for a hedge twice.
        requested_at: Times of the requests.
        hedged_at: Times of the granted hedges.
        repeated_at: Times of the granted hedges and retries.
    """

    def __init__(self, clock):
        self.retries = 0
        self.duplicates = False
        self.requested_at = []
        self.hedged_at = []
        self.repeated_at = []
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
        """Send requests, retries and hedges to the broker, or to a fallback broker."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            host = force_at or rank_members(self._live_hosts, KEY.format())[0]
            self.requested_at.append(time.monotonic())
            self._ask(host, force=bool(force_at))
            for _ in range(self.retries):
                if self._ask(host, force=bool(force_at), is_retry=True):
                    self.repeated_at.append(time.monotonic())
            # The first target is one that left, so that none counts as late.
            hedge = {"is_retry": True, "is_hedge": True, "excluded": ("gone",)}
            if self._ask(host, force=bool(force_at), has_other_region=True, **hedge):
                self.hedged_at.append(time.monotonic())
                self.repeated_at.append(time.monotonic())
            self._clock.tick(REQUEST_INTERVAL_SECONDS)
            for brokers in self._brokers_by_host.values():
                brokers.advance()

    def _ask(self, host, **fields):
        """Acquire a slot and release it; return the name of its target, or empty."""
        self._attempt_id += 1
        request = make_request(self._attempt_id, **fields)
        brokers = self._brokers_by_host[host]
        for _ in range(1 + self.duplicates):
            outgoing = brokers.handle("entry", request)
        grants = [i.message for i in outgoing if isinstance(i.message, SlotGrant)]
        for grant in grants:
            brokers.handle("entry", make_release(grant.attempt_id, grant.target))
        return grants[0].target if grants else ""

    def check_limits(self):
        """Compare all hedges, and the repeats of each window, with their limits."""
        requests = 0
        for hedges, at in enumerate(self.hedged_at, start=1):
            while requests < len(self.requested_at) and (
                self.requested_at[requests] <= at
            ):
                requests += 1
            assert hedges <= SHARE * requests + 1e-6, at
        for start in self.repeated_at:
            end = start + WINDOW_SECONDS
            repeats = sum(start <= at < end for at in self.repeated_at)
            asked = sum(start - 0.5 <= at < end for at in self.requested_at)
            assert repeats <= RETRY_RATIO * asked + SLACK_RETRIES, start


def make_broker_set(host):
    brokers = BrokerSet(address=f"{host}:2", make_health=lambda key, spec: FakeHealth())
    targets = [make_target(name, slots=20) for name in "abcdef"]
    brokers.set_service("shop", SPEC, targets)
    return brokers


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["calm", "restart", "lose", "force"]),
        st.sampled_from(HOSTS),
        st.floats(0.3, 8.0),
        st.sampled_from([0, 1, 3]),
        st.booleans(),
    ),
    max_size=10,
)


@settings(max_examples=20, deadline=None, phases=(Phase.explicit, Phase.generate))
@given(STEPS)
def test_hedges_stay_in_the_limits_whichever_brokers_restart_or_are_lost(steps):
    with freezegun.freeze_time("2026-01-01") as clock:
        fleet = HedgingFleet(clock)
        fleet.run(5.0)
        for kind, host, seconds, retries, duplicates in steps:
            fleet.retries, fleet.duplicates = retries, duplicates
            if kind == "restart":
                fleet.restart(host)
            others = tuple(name for name in HOSTS if name != host)
            fleet.set_live_hosts(others if kind == "lose" else HOSTS)
            fleet.run(seconds, force_at=host if kind == "force" else None)
        fleet.check_limits()


def test_hedges_use_the_share_in_calm_times():
    with freezegun.freeze_time("2026-01-01") as clock:
        fleet = HedgingFleet(clock)
        fleet.run(60.0)
        fleet.check_limits()
        allowed = SHARE * len(fleet.requested_at)
        assert allowed - MAXIMUM_SAVED_HEDGES <= len(fleet.hedged_at) <= allowed
