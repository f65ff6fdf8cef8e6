"""Tests that hosts and keepers together keep an account's limit, and what they refuse.

The rule is the oracle: in any window, no more admitted requests than (rate x window +
burst) x (1 + excess) + slack, over hosts that are lost, cut off, paused and started
again, and messages that are late, lost and repeated.
"""

import heapq
import itertools
import random
import time

import freezegun
import msgspec
import pytest
from hypothesis import example, given, settings, strategies as st

from citronspan.core.accounts.quota_holder import QuotaHolder
from citronspan.core.accounts.quota_keeper import QuotaKeeper
from citronspan.core.accounts.quota_messages import (
    QuotaAnswer,
    QuotaAsk,
    QuotaHandover,
    QuotaReturn,
)
from citronspan.core.accounts.quota_request import (
    ADMITTED,
    Decision,
    charge_request,
)
from citronspan.core.accounts.quota_seats import QuotaSeats
from citronspan.core.accounts.quota_terms import SEATS
from citronspan.core.brokering.shards_test import make_node
from citronspan.core.resources import AccountSpec
from citronspan.core.settings import QuotaRules

RULES = QuotaRules(window_seconds=5.0, excess=0.1, slack=20.0)
STEP_SECONDS = 0.025
VIEW_SECONDS = 4.0
START_SECONDS = 10
"""Time from the start of the hosts to their first callers."""


class Host:
    """Decisions of one host, as the service wires them."""

    def __init__(self, fleet, name, region, rules):
        self.fleet = fleet
        self.name = name
        self.address = f"{name}:2"
        self.region = region
        self.rules = rules
        self.starts = 0
        self.is_paused = False
        self.is_cut = False
        self.is_up = True
        self.part = 0
        self.start()

    def start(self):
        self.starts += 1
        self.incarnation = int(time.time() * 1000) << 8
        self.seats = QuotaSeats(
            name=self.name, region=self.region, incarnation=self.incarnation
        )
        self.keeper = QuotaKeeper(
            rules=self.rules, seats=self.seats, find_spec=self.fleet.spec_by_name.get
        )
        self.holder = QuotaHolder(
            name=self.name, region=self.region, rules=self.rules, seats=self.seats
        )
        self.returned_at = 0.0
        self.has_met = False

    def receive(self, sender, starts, message):
        if isinstance(message, QuotaAsk):
            self.fleet.send(self, sender, self.keeper.ask(message))
        elif isinstance(message, QuotaAnswer):
            self.holder.receive(message)
        elif isinstance(message, QuotaReturn):
            self.keeper.take_back(sender, starts, message)
        elif isinstance(message, QuotaHandover):
            self.keeper.take_over(message)

    def advance(self):
        self.keeper.note_tick()
        for item in self.holder.collect_returns():
            self.fleet.send(self, item.to, item.message)

    def request(self, account):
        """Admit or refuse one request; yields while it waits for a keeper."""
        starts = self.starts
        spec = self.fleet.spec_by_name[account]
        charge = charge_request(self.holder, account, spec, time.monotonic() + 3.0)
        while True:
            try:
                wait = next(charge)
            except StopIteration as stop:
                decision = stop.value
                break
            for ask in wait.asks:
                self.fleet.send(self, ask.address, ask.message)
            if wait.until <= time.monotonic():
                continue
            if any(self.holder.find_answer(ask) for ask in wait.asks):
                continue
            yield
            if starts != self.starts:
                return
        self.fleet.count(account, decision)
        if decision not in ADMITTED:
            assert self.holder.compute_retry_after(account, spec) > 0


class Fleet:
    """Hosts, their network and their callers."""

    def __init__(self, clock, host_count, spec_by_name, *, rules=RULES, seed=0):
        self.clock = clock
        self.draw = random.Random(seed)
        self.spec_by_name = dict(spec_by_name)
        self.lost_share = 0.0
        self.repeated_share = 0.0
        self.delay_seconds = 0.005
        self.admitted_at_by_name = {name: [] for name in spec_by_name}
        self.count_by_decision = {}
        self.messages = 0
        self._queue = []
        self._order = itertools.count()
        self._running = []
        self._views = []
        self.hosts = [
            Host(self, f"n-{number}", f"r-{number % 2}", rules)
            for number in range(host_count)
        ]
        self.host_by_address = {host.address: host for host in self.hosts}
        for host in self.hosts:
            self.show(host, self.hosts)
        for _ in range(START_SECONDS):
            self.step(seconds=1.0)

    def show(self, host, hosts):
        host.has_met = host.has_met or len(hosts) > 1
        has_changed = host.seats.set_nodes(
            [
                msgspec.structs.replace(
                    make_node(item.name, region=item.region),
                    entry_incarnation=item.incarnation,
                )
                for item in hosts
            ],
            awaits_peers=not host.has_met,
        )
        if has_changed:
            for item in host.keeper.move_seats():
                self.send(host, item.to, item.message)

    def show_later(self):
        """Let each host see the hosts it can reach, at a time of its own."""
        for host in self.hosts:
            due = time.monotonic() + self.draw.uniform(0, VIEW_SECONDS)
            heapq.heappush(self._views, (due, next(self._order), host))

    def send(self, sender, address, message):
        self.messages += address != sender.address
        receiver = self.host_by_address.get(address)
        if receiver is None:
            return
        if receiver is sender:
            sender.receive(sender.address, sender.starts, message)
            return
        if self.draw.random() < self.lost_share:
            return
        copies = 1 + (self.draw.random() < self.repeated_share)
        for _ in range(copies):
            due = time.monotonic() + self.delay_seconds * self.draw.uniform(0.5, 1.5)
            item = (due, next(self._order), sender, sender.starts, receiver, message)
            heapq.heappush(self._queue, item)

    def count(self, account, decision):
        key = (account, decision)
        self.count_by_decision[key] = self.count_by_decision.get(key, 0) + 1
        if decision in ADMITTED:
            self.admitted_at_by_name[account].append(time.monotonic())

    def call(self, host, account):
        if host.is_up and not host.is_paused:
            self._run(host, host.request(account))

    def step(self, seconds=STEP_SECONDS):
        self.clock.tick(seconds)
        now = time.monotonic()
        while self._views and self._views[0][0] <= now:
            host = heapq.heappop(self._views)[2]
            self.show(host, [other for other in self.hosts if self._links(host, other)])
        held = []
        while self._queue and self._queue[0][0] <= now:
            item = heapq.heappop(self._queue)
            _, _, sender, starts, receiver, message = item
            if not receiver.is_up or not self._links(sender, receiver):
                continue
            if receiver.is_paused:
                held.append(item)
                continue
            receiver.receive(sender.address, starts, message)
        for item in held:
            heapq.heappush(self._queue, item)
        for host in self.hosts:
            if host.is_up and not host.is_paused:
                host.advance()
        running, self._running = self._running, []
        for host, request in running:
            self._run(host, request)

    def count_refused(self, account):
        return sum(
            self.count_by_decision.get((account, decision), 0)
            for decision in Decision
            if decision not in ADMITTED
        )

    def find_excess(self, account, *, spec=None, rules=RULES):
        """Return by how many requests the fullest window exceeds the rule, at most."""
        spec = spec or self.spec_by_name[account]
        nominal = spec.requests_per_second * rules.window_seconds + spec.burst_requests
        allowed = nominal * (1 + rules.excess) + rules.slack
        times = self.admitted_at_by_name[account]
        fullest, first = 0, 0
        for last, at in enumerate(times):
            while times[first] < at - rules.window_seconds:
                first += 1
            fullest = max(fullest, last - first + 1)
        return fullest - allowed

    def _links(self, sender, receiver):
        if sender is receiver:
            return True
        if sender.is_cut or receiver.is_cut or sender.part != receiver.part:
            return False
        return sender.is_up and receiver.is_up

    def _run(self, host, request):
        if host.is_up and host.is_paused:
            self._running.append((host, request))
            return
        if not host.is_up:
            return
        if next(request, "ended") != "ended":
            self._running.append((host, request))


def make_spec(rate, burst):
    return AccountSpec(requests_per_second=rate, burst_requests=burst)


def run(fleet, seconds, rate_by_name, *, hosts=None):
    """Let callers send at a rate to hosts drawn at random."""
    hosts = hosts or fleet.hosts
    steps = round(seconds / STEP_SECONDS)
    for _ in range(steps):
        # Half of the callers stay with hosts that are cut off, where there are any.
        odd = [host for host in hosts if host.is_cut] or hosts
        for name, rate in rate_by_name.items():
            calls = rate * STEP_SECONDS
            count = int(calls) + (fleet.draw.random() < calls % 1)
            for _ in range(count):
                fleet.call(fleet.draw.choice(fleet.draw.choice([hosts, odd])), name)
        fleet.step()


FAULTS = st.lists(
    st.tuples(
        st.sampled_from(
            ["kill", "restart", "pause", "resume", "cut", "mend", "lower", "returns"]
        ),
        st.integers(0, 15),
        st.floats(0.0, 3.0),
    ),
    max_size=8,
)


def find_target(fleet, number):
    """Return a host, keepers first."""
    seats = fleet.hosts[0].seats
    names = [seats.find_keeper("shop", seat).name for seat in range(SEATS)]
    if number < len(names):
        return next(host for host in fleet.hosts if host.name == names[number])
    return fleet.hosts[number % len(fleet.hosts)]


def apply_fault(fleet, kind, host):
    if kind == "lower":
        spec = fleet.spec_by_name["shop"]
        fleet.spec_by_name["shop"] = make_spec(
            spec.requests_per_second / 4, spec.burst_requests / 4
        )
        return
    if kind == "returns":
        for _ in range(10):
            host.holder.give_back("shop")
        return
    if kind in ("kill", "pause", "cut"):
        host.is_up = kind != "kill" and host.is_up
        host.is_paused = kind == "pause" or host.is_paused
        host.is_cut = kind == "cut" or host.is_cut
    if kind == "restart":
        host.is_up = host.is_paused = False
        host.is_up = True
        host.start()
        fleet.show(host, [host])
    if kind in ("resume", "mend"):
        host.is_paused = host.is_paused and kind != "resume"
        host.is_cut = host.is_cut and kind != "mend"
    fleet.show_later()


@settings(max_examples=60)
@given(
    faults=FAULTS,
    rate=st.sampled_from([1.0, 6.0, 30.0]),
    burst=st.sampled_from([0.0, 5.0, 60.0]),
    times=st.sampled_from([0.6, 2.0, 6.0]),
    lost=st.sampled_from([0.0, 0.1]),
    delay=st.sampled_from([0.005, 0.06, 0.4]),
    seed=st.integers(0, 1000),
)
def test_more_requests_run_in_a_window_than_the_rule_allows(
    faults, rate, burst, times, lost, delay, seed
):
    spec = make_spec(rate, burst)
    with freezegun.freeze_time("2026-01-01") as clock:
        fleet = Fleet(clock, 12, {"shop": spec}, seed=seed)
        fleet.lost_share = fleet.repeated_share = lost
        fleet.delay_seconds = delay
        demand = {"shop": rate * times}
        run(fleet, 5.0, demand)
        for kind, number, seconds in faults:
            apply_fault(fleet, kind, find_target(fleet, number))
            run(fleet, seconds, demand)
        run(fleet, 3.0, demand)
    assert fleet.find_excess("shop", spec=spec) <= 0


@settings(max_examples=10)
@given(
    rate=st.sampled_from([1.0, 6.0, 30.0]),
    burst=st.sampled_from([4.0, 60.0]),
    delay=st.sampled_from([0.005, 0.06]),
    seed=st.integers(0, 1000),
)
def test_more_than_rate_and_burst_run_without_a_margin(rate, burst, delay, seed):
    rules = QuotaRules()
    spec = make_spec(rate, burst)
    with freezegun.freeze_time("2026-01-01") as clock:
        fleet = Fleet(clock, 12, {"shop": spec}, rules=rules, seed=seed)
        fleet.delay_seconds = delay
        run(fleet, 12.0, {"shop": rate * 4})
    assert fleet.find_excess("shop", rules=rules) <= 0
    assert len(fleet.admitted_at_by_name["shop"]) >= 0.8 * rate * 9.0


LOSSES = st.lists(
    st.tuples(
        st.sampled_from(["kill", "pause", "cut", "resume"]),
        st.integers(1, 16),
        st.sampled_from([0.0, 0.2, 1.0, 4.0]),
    ),
    min_size=1,
    max_size=4,
)


def lose(fleet, kind, count):
    """Lose a number of hosts at once, the keepers first, or let them go on."""
    for number in range(count):
        host = find_target(fleet, number)
        host.is_up = host.is_up and kind != "kill"
        host.is_cut = host.is_cut or kind == "cut"
        host.is_paused = kind == "pause" or (host.is_paused and kind != "resume")
    fleet.show_later()


@settings(max_examples=25)
@given(
    losses=LOSSES,
    rate=st.sampled_from([1.0, 6.0, 30.0]),
    burst=st.sampled_from([0.0, 2.0, 60.0]),
    times=st.sampled_from([2.0, 32.0]),
    seed=st.integers(0, 1000),
)
@example(losses=[("kill", 2, 4.0)], rate=1.0, burst=2.0, times=32.0, seed=1)
@example(losses=[("pause", 2, 4.0)], rate=6.0, burst=0.0, times=32.0, seed=1)
@example(losses=[("cut", 16, 4.0)], rate=1.0, burst=2.0, times=32.0, seed=1)
def test_hosts_that_lose_all_keepers_admit_more_than_the_rule(
    losses, rate, burst, times, seed
):
    """Each of them decides alone, any number of them at the same time."""
    spec = make_spec(rate, burst)
    with freezegun.freeze_time("2026-01-01") as clock:
        fleet = Fleet(clock, 16, {"shop": spec}, seed=seed)
        demand = {"shop": rate * times}
        run(fleet, 5.0, demand)
        for kind, count, seconds in losses:
            lose(fleet, kind, count)
            run(fleet, seconds, demand)
        run(fleet, 4.0, demand)
    assert fleet.find_excess("shop", spec=spec) <= 0


@pytest.mark.parametrize("parts", [2, 4, 16])
@pytest.mark.parametrize(("rate", "burst"), [(1.0, 2.0), (0.2, 0.0), (6.0, 10.0)])
def test_parts_of_a_fleet_that_were_idle_lend_more_than_the_rule(parts, rate, burst):
    """A part whose capacity is below one request may not round it up."""
    spec = make_spec(rate, burst)
    with freezegun.freeze_time("2026-01-01") as clock:
        fleet = Fleet(clock, 16, {"shop": spec})
        run(fleet, 5.0, {"shop": rate})
        for host in fleet.hosts:
            host.part = int(host.name[2:]) % parts
        for host in fleet.hosts:
            fleet.show(host, [item for item in fleet.hosts if item.part == host.part])
        for _ in range(60):
            fleet.step(seconds=1.0)
        run(fleet, 8.0, {"shop": 100.0})
    assert fleet.find_excess("shop") <= 0
    assert fleet.admitted_at_by_name["shop"]


def test_small_account_is_refused_for_a_minute_after_a_host_has_left():
    """Its capacity without a margin is below one request at each seat."""
    rules = QuotaRules()
    with freezegun.freeze_time("2026-01-01") as clock:
        fleet = Fleet(clock, 16, {"shop": make_spec(1.0, 1.0)}, rules=rules)
        run(fleet, 5.0, {"shop": 0.5})
        leaving = fleet.hosts[15]
        leaving.is_up = False
        hosts = fleet.hosts[:15]
        for host in hosts:
            fleet.show(host, hosts)
        run(fleet, 5.0, {"shop": 0.5}, hosts=hosts)
        fleet.admitted_at_by_name["shop"].clear()
        run(fleet, 20.0, {"shop": 2.0}, hosts=hosts)
    assert len(fleet.admitted_at_by_name["shop"]) >= 0.8 * 20.0
