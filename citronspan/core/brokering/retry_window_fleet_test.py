"""Tests that all brokers of a service together keep its retry budget."""

import time

import freezegun
import pytest
from hypothesis import Phase, given, settings, strategies as st

from citronspan.core.brokering.broker_messages import SlotGrant
from citronspan.core.brokering.broker_set import BrokerSet
from citronspan.core.brokering.broker_test import (
    KEY,
    FakeHealth,
    make_cancel,
    make_release,
    make_request,
    make_target,
)
from citronspan.core.brokering.shards_test import make_node
from citronspan.core.outcomes import OutcomeClass
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
        unused_count: Slots of retries that are given back unused before each retry.
        unused_class: Outcome with which they are given back, None to cancel them.
        is_impatient: Whether an entry gives up each retry at its broker, asks another
            one, and then uses whichever grant there is.
        requested_at: Times of the requests.
        retried_at: Times of the granted retries.
    """

    def __init__(self, clock):
        self.unused_count = 0
        self.unused_class = None
        self.is_impatient = False
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

    def part(self, hosts=HOSTS):
        """Let some hosts see nobody but themselves."""
        for host in hosts:
            self._brokers_by_host[host].set_nodes([make_node(host)])

    def start_apart(self):
        """Start all hosts, none of which has met another one yet."""
        for host in HOSTS:
            self._brokers_by_host[host] = make_broker_set(host)
            self._brokers_by_host[host].set_nodes([make_node(host)], awaits_peers=True)

    def restart(self, host):
        self._brokers_by_host[host] = make_broker_set(host)
        self.set_live_hosts(self._live_hosts)

    def run_apart(self, seconds, hosts=HOSTS):
        """Send requests and retries at each host, which is its own broker."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            for host in hosts:
                self._serve(host, force=False)
            self._advance()

    def run(self, seconds, *, force_at=None):
        """Send requests and retries to the broker, or to a fallback broker."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            host = force_at or rank_members(self._live_hosts, KEY.format())[0]
            self._serve(host, force=bool(force_at))
            self._advance()

    def _serve(self, host, *, force):
        self.requested_at.append(time.monotonic())
        self._request_slot(host, force=force, is_retry=False)
        for _ in range(self.unused_count):
            self._give_back_slot(host, force=force)
        if self._retry(host, force=force):
            self.retried_at.append(time.monotonic())

    def _advance(self):
        self._clock.tick(REQUEST_INTERVAL_SECONDS)
        for brokers in self._brokers_by_host.values():
            brokers.advance()

    def _retry(self, host, *, force):
        if not self.is_impatient:
            return self._request_slot(host, force=force, is_retry=True)
        late_grants = self._ask(host, force=force, is_retry=True)
        self._brokers_by_host[host].handle("entry", make_cancel(self._attempt_id))
        other = HOSTS[(HOSTS.index(host) + 1) % len(HOSTS)]
        request = make_request(self._attempt_id, force=True, is_retry=True)
        grants = self._handle(other, request)
        self._release_all(other, grants)
        return bool(late_grants or grants)

    def _give_back_slot(self, host, *, force):
        grants = self._ask(host, force=force, is_retry=True)
        for grant in grants:
            message = (
                make_cancel(grant.attempt_id, is_abandoned=True)
                if self.unused_class is None
                else make_release(grant.attempt_id, grant.target, self.unused_class)
            )
            # A message may be sent twice.
            for _ in range(2):
                self._brokers_by_host[host].handle("entry", message)

    def _request_slot(self, host, **fields):
        grants = self._ask(host, **fields)
        self._release_all(host, grants)
        return bool(grants)

    def _ask(self, host, **fields):
        self._attempt_id += 1
        return self._handle(host, make_request(self._attempt_id, **fields))

    def _handle(self, host, request):
        outgoing = self._brokers_by_host[host].handle("entry", request)
        return [i.message for i in outgoing if isinstance(i.message, SlotGrant)]

    def _release_all(self, host, grants):
        for grant in grants:
            release = make_release(grant.attempt_id, grant.target)
            self._brokers_by_host[host].handle("entry", release)

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


def count_retries(unused_count, unused_class, steps):
    """Return the number of retries that reach a target within some steps.

    Args:
        unused_count: Slots that are given back before each retry.
        unused_class: Outcome with which they are given back, None to cancel them.
        steps: Seconds, and the host that is forced to serve as a fallback broker.
    """
    with freezegun.freeze_time("2026-01-01") as clock:
        fleet = BrokerFleet(clock)
        fleet.unused_count, fleet.unused_class = unused_count, unused_class
        for seconds, force_at in steps:
            fleet.run(seconds, force_at=force_at)
        fleet.check_budget()
        return len(fleet.retried_at)


@pytest.mark.parametrize("unused_class", [None, OutcomeClass.NOT_USED])
def test_slots_that_are_given_back_unused_use_up_the_retries(unused_class):
    steps = [(25.0, None), (3.0, HOSTS[0]), (3.0, HOSTS[3]), (12.0, None)]
    expected = count_retries(0, unused_class, steps)
    assert expected > 50
    assert count_retries(3, unused_class, steps) == expected


@pytest.mark.parametrize(
    "outcome_class", [c for c in OutcomeClass if c is not OutcomeClass.NOT_USED]
)
def test_retry_that_may_have_reached_a_target_is_not_counted(outcome_class):
    used = count_retries(3, outcome_class, [(25.0, None)])
    assert used < count_retries(0, outcome_class, [(25.0, None)]) / 2


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["calm", "restart", "lose", "force"]),
        st.sampled_from(HOSTS),
        st.floats(0.3, 8.0),
        st.sampled_from([0, 1, 3]),
        st.sampled_from([None, OutcomeClass.NOT_USED]),
        st.booleans(),
    ),
    max_size=12,
)


@settings(max_examples=25, phases=(Phase.explicit, Phase.generate))
@given(STEPS)
def test_retries_stay_in_budget_whichever_brokers_restart_or_are_lost(steps):
    with freezegun.freeze_time("2026-01-01") as clock:
        fleet = BrokerFleet(clock)
        fleet.run(11.0)
        for kind, host, seconds, unused_count, unused_class, is_impatient in steps:
            fleet.unused_count, fleet.unused_class = unused_count, unused_class
            fleet.is_impatient = is_impatient
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


@pytest.mark.parametrize("parted", [2, 3, 6])
def test_hosts_that_see_only_themselves_exceed_the_retries(parted):
    """Each is its own broker, any number of them at the same time."""
    with freezegun.freeze_time("2026-01-01") as clock:
        fleet = BrokerFleet(clock)
        fleet.run(WINDOW_SECONDS + 1.0)
        hosts = HOSTS[:parted]
        fleet.part(hosts)
        fleet.run_apart(2.5 * WINDOW_SECONDS, hosts)
        fleet.check_budget()


def test_hosts_that_start_apart_exceed_the_retries():
    with freezegun.freeze_time("2026-01-01") as clock:
        fleet = BrokerFleet(clock)
        fleet.run(WINDOW_SECONDS + 1.0)
        fleet.start_apart()
        fleet.run_apart(2.5 * WINDOW_SECONDS)
        fleet.check_budget()
