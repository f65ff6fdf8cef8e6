"""Tests that all entries together keep to the request rate that a target states."""

import random
import time

import freezegun
import pytest
from hypothesis import Phase, given, settings, strategies as st

from citronspan.core.brokering.shards_test import make_node
from citronspan.core.detection.health import TargetInfo
from citronspan.core.outcomes import Outcome, OutcomeClass
from citronspan.core.rate_limits import RateLimit
from citronspan.core.resources import Detection, ServiceSpec
from citronspan.ops.slots import broker_client
from citronspan.ops.slots.slot_service import SlotService
from citronspan.ops.slots.slot_source import SlotQuery, SlotRefused

HOSTS_PER_REGION = 18
REGIONS = ("r-1", "r-2")
TARGETS_PER_REGION = 8
LIMITED = ("t-r-1-0", "t-r-1-1", "t-r-2-0")
# The bound on a target with a limit, as its operators state it.
WINDOW_SECONDS = 4.0
BOUND_FACTOR = 1.5
BOUND_REQUESTS = 5
NOTICE_SECONDS = 4.0
TOLD_SECONDS = 0.5
# Requests under way when a target lowers its limit.
CHANGE_SECONDS = 2.0

ADVANCE_SECONDS = 0.1
DEADLINE_SECONDS = 5.0
SPEC = ServiceSpec(
    detection=Detection.FAILURE_EPISODES,
    floor=0.7,
    retry_ratio=0.2,
    retry_slack=58,
    retry_window_seconds=10.0,
)


class FleetLink:
    """Peer link that delivers at once, unless the path between two hosts is cut."""

    incarnation = 1

    def __init__(self, *, fleet, address):
        self.address = address
        self._fleet = fleet

    def send(self, to, message):
        if not self._fleet.is_cut(self.address, to):
            self._fleet.slots_by_address[to].handle(self.address, message)
        return True

    def is_connected(self, to):
        return True

    def replace_connection(self, to):
        return False


class LimitedTarget:
    """Stands in for a target; it states its limit in each answer.

    Attributes:
        arrivals: Times of its requests and the hosts that sent them.
        limits: Times from which each limit holds, and the limit, None for none.
    """

    def __init__(self):
        self.arrivals = []
        self.limits = [(0.0, None)]
        self.sheds = False

    def set_limit(self, limit):
        self.limits.append((time.monotonic(), limit))

    def find_limit(self, at):
        return next(limit for since, limit in reversed(self.limits) if since <= at)

    def find_largest_limit(self, at):
        recent = [
            limit for since, limit in self.limits if at - CHANGE_SECONDS < since <= at
        ]
        limits = [*recent, self.find_limit(at - CHANGE_SECONDS)]
        return None if None in limits else max(limits)


class Fleet:
    """Entries of 36 hosts under load, with stand-ins for links and targets."""

    def __init__(self, clock, *, seed=0, requests_per_second=150.0):
        self.clock = clock
        self.draw = random.Random(seed)
        self.interval = 1 / requests_per_second
        self.targets = {
            f"t-{region}-{number}": LimitedTarget()
            for region in REGIONS
            for number in range(TARGETS_PER_REGION)
        }
        self.nodes = tuple(
            make_node(f"n-{region}-{number}", region=region)
            for region in REGIONS
            for number in range(HOSTS_PER_REGION)
        )
        self.slots_by_address = {}
        self.told_at = {}
        self.refused = 0
        self._cut_pairs = set()
        self._down = set()
        self._running = []
        self._views = []
        for node in self.nodes:
            self.start(node)

    def start(self, node):
        """Start a host that knows nothing but the configuration and the fleet."""
        address = node.entry_peer_address
        slots = SlotService(
            name=node.name,
            region=node.region,
            link=FleetLink(fleet=self, address=address),
            wait_seconds=0.0,
        )
        self.slots_by_address[address] = slots
        slots.set_nodes(self._list_live_nodes())
        slots.set_services({"s": SPEC}, {"s": make_targets()}, frozenset())
        self.told_at = {
            (host, target): at
            for (host, target), at in self.told_at.items()
            if host != address
        }

    def is_cut(self, one, other):
        if one == other:
            return False
        if {one, other} & self._down:
            return True
        return (one, other) in self._cut_pairs or (other, one) in self._cut_pairs

    def cut(self, *, share):
        """Cut a share of the paths between hosts, all with 1.0, none with 0.0."""
        addresses = list(self.slots_by_address)
        self._cut_pairs = {
            (one, other)
            for one in addresses
            for other in addresses
            if one < other and self.draw.random() < share
        }

    def find_broker(self, region):
        """Return the host that is the broker of a region's targets now."""
        slots = next(
            slots
            for address, slots in self.slots_by_address.items()
            if address not in self._down
        )
        key = slots.brokers.shards_by_group["s", region][0].key
        return slots.brokers.table.find_broker(key)

    def lose(self, node):
        """Silence a host; the others find that out one after another."""
        self._down.add(node.entry_peer_address)
        self._spread_view(seconds=4.0)

    def part(self):
        """Cut all hosts off from each other, and let them find that out."""
        self.cut(share=1.0)
        for node in self.nodes:
            at = time.monotonic() + self.draw.uniform(0.0, 4.0)
            self._views.append((at, node.entry_peer_address, (node,)))

    def restart(self, node):
        """Start a host again; the others learn of it one after another."""
        self._down.discard(node.entry_peer_address)
        self.start(node)
        self._spread_view(seconds=2.0)

    def run(self, seconds):
        end = time.monotonic() + seconds
        advanced_at = time.monotonic()
        while time.monotonic() < end:
            self.clock.tick(self.interval)
            self._apply_views()
            self._answer_finished()
            self._send_request()
            if time.monotonic() - advanced_at < ADVANCE_SECONDS:
                continue
            advanced_at = time.monotonic()
            for address, slots in self.slots_by_address.items():
                if address not in self._down:
                    slots.advance()

    def check_limits(self):
        """Check the bound in each window of each target that states a limit."""
        for name, target in self.targets.items():
            named_at = next(
                (at for at, limit in target.limits if limit is not None), None
            )
            if named_at is None:
                continue
            counted = [
                at
                for at, host in target.arrivals
                if at >= named_at + NOTICE_SECONDS
                and self.told_at.get((host, name), at) <= at - TOLD_SECONDS
            ]
            for start in counted:
                limit = target.find_largest_limit(start)
                end_limit = target.find_largest_limit(start + WINDOW_SECONDS)
                if limit is None or end_limit is None:
                    continue
                count = sum(start <= at < start + WINDOW_SECONDS for at in counted)
                allowed = BOUND_FACTOR * WINDOW_SECONDS * max(limit, end_limit)
                assert count <= allowed + BOUND_REQUESTS, (
                    name,
                    start - named_at,
                    limit,
                )

    def count_arrivals(self, name, seconds):
        since = time.monotonic() - seconds
        return sum(at > since for at, _ in self.targets[name].arrivals)

    def _list_live_nodes(self):
        return tuple(
            node for node in self.nodes if node.entry_peer_address not in self._down
        )

    def _spread_view(self, seconds):
        live = self._list_live_nodes()
        for address in self.slots_by_address:
            at = time.monotonic() + self.draw.uniform(0.0, seconds)
            self._views.append((at, address, live))

    def _apply_views(self):
        now = time.monotonic()
        due = [view for view in self._views if view[0] <= now]
        self._views = [view for view in self._views if view[0] > now]
        for _, address, live in sorted(due, key=lambda view: view[0]):
            self.slots_by_address[address].set_nodes(live)

    def _send_request(self):
        node = self.draw.choice(self._list_live_nodes())
        self._attempt(node, tried=())

    def _attempt(self, node, tried):
        now = time.monotonic()
        address = node.entry_peer_address
        query = make_query(now, tried)
        slot = self.slots_by_address[address].acquire(query)
        if isinstance(slot, SlotRefused):
            self.refused += 1
            return
        target = self.targets[slot.target]
        target.arrivals.append((now, address))
        seconds = 0.01 if target.sheds else self.draw.uniform(0.1, 0.6)
        self._running.append((now + seconds, now, node, slot, tried))

    def _answer_finished(self):
        now = time.monotonic()
        finished = [item for item in self._running if item[0] <= now]
        self._running = [item for item in self._running if item[0] > now]
        for _, sent_at, node, slot, tried in finished:
            self._answer(node, slot, tried, now - sent_at)

    def _answer(self, node, slot, tried, latency_seconds):
        now = time.monotonic()
        target = self.targets[slot.target]
        limit = target.find_limit(now)
        address = node.entry_peer_address
        if limit is None:
            self.told_at.pop((address, slot.target), None)
        else:
            self.told_at.setdefault((address, slot.target), now)
        outcome = Outcome(
            target=slot.target,
            outcome_class=OutcomeClass.SHED if target.sheds else OutcomeClass.OK,
            latency_seconds=latency_seconds,
            deadline_seconds=DEADLINE_SECONDS,
            rate_limit=RateLimit(requests_per_second=limit),
        )
        self.slots_by_address[address].release(slot, outcome, 100)
        if target.sheds and not tried:
            self._attempt(node, tried=(slot.target,))


def make_targets():
    return tuple(
        TargetInfo(
            name=f"t-{region}-{number}",
            address=f"t-{region}-{number}:1",
            region=region,
            data_centre=region,
            slots=6,
        )
        for region in REGIONS
        for number in range(TARGETS_PER_REGION)
    )


def make_query(now, tried):
    return SlotQuery(
        service="s",
        request_kind="k",
        worth=1.0,
        deadline=now + DEADLINE_SECONDS,
        idempotent=True,
        excluded=tried,
        fingerprint=0,
        body_bytes=0,
        is_retry=bool(tried),
        goal_time=now + 3.0,
        is_disconnected=lambda: True,
    )


@pytest.fixture(autouse=True, scope="module")
def end_waits_at_once():
    """Let entries end their waits at once, since the clock stands still meanwhile."""
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(broker_client, "SLOT_RETRY_SECONDS", 0.0)
        patch.setattr(broker_client, "CROSS_REGION_WAIT_SECONDS", 0.0)
        yield


@pytest.fixture
def clock():
    with freezegun.freeze_time("2026-01-01") as frozen:
        yield frozen


def start_limited(clock, limit, **fields):
    """Return a fleet some seconds after targets have stated a limit."""
    fleet = Fleet(clock, **fields)
    fleet.run(5.0)
    for name in LIMITED:
        fleet.targets[name].set_limit(limit)
    fleet.run(6.0)
    return fleet


@pytest.mark.parametrize("limit", [0.3, 1.0, 2.3, 8.0])
def test_target_does_not_get_more_than_its_limit_through_its_broker(clock, limit):
    fleet = start_limited(clock, limit)
    fleet.run(12.0)
    fleet.check_limits()


@pytest.mark.parametrize("limit", [1.0, 4.0])
def test_target_with_a_limit_does_not_stay_unused(clock, limit):
    fleet = start_limited(clock, limit)
    fleet.run(10.0)
    for name in LIMITED:
        assert fleet.count_arrivals(name, 10.0) >= 0.5 * limit * 10.0


def test_limit_holds_while_brokers_are_lost_one_after_another(clock):
    fleet = start_limited(clock, 2.3)
    for _ in range(5):
        lost = fleet.find_broker("r-1")
        fleet.lose(lost)
        fleet.run(5.0)
        fleet.restart(lost)
        fleet.run(1.5)
    fleet.check_limits()


@pytest.mark.parametrize("limit", [1.0, 2.3, 8.0])
def test_limit_holds_while_entries_use_different_fallback_brokers(clock, limit):
    fleet = start_limited(clock, limit)
    for share in (0.3, 0.6, 0.9):
        fleet.cut(share=share)
        fleet.run(6.0)
    fleet.check_limits()


@pytest.mark.parametrize("limit", [1.0, 2.3, 8.0])
def test_limit_holds_while_entries_choose_without_a_broker(clock, limit):
    fleet = start_limited(clock, limit)
    fleet.cut(share=1.0)
    fleet.run(12.0)
    fleet.cut(share=0.0)
    fleet.run(5.0)
    fleet.check_limits()


@pytest.mark.parametrize("limit", [1.0, 2.3, 8.0])
def test_hosts_that_see_only_themselves_exceed_a_limit(clock, limit):
    """Each is its own broker, any number of them at the same time."""
    fleet = start_limited(clock, limit)
    fleet.part()
    fleet.run(16.0)
    fleet.check_limits()


def test_retries_do_not_exceed_a_limit(clock):
    fleet = start_limited(clock, 1.0)
    for name in list(fleet.targets)[2:6]:
        fleet.targets[name].sheds = True
    fleet.run(10.0)
    fleet.check_limits()


def test_lowered_limit_is_kept(clock):
    fleet = start_limited(clock, 6.0)
    for name in LIMITED:
        fleet.targets[name].set_limit(1.0)
    fleet.run(10.0)
    fleet.check_limits()


def test_target_is_not_held_to_a_limit_that_it_withdrew(clock):
    fleet = start_limited(clock, 1.0)
    for name in LIMITED:
        fleet.targets[name].set_limit(None)
    fleet.run(8.0)
    for name in LIMITED:
        assert fleet.count_arrivals(name, 4.0) > 8


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["calm", "lose", "restart", "cut", "alone", "change"]),
        st.floats(0.5, 5.0),
    ),
    min_size=2,
    max_size=6,
)


def run_steps(fleet, steps):
    lost = []
    for kind, seconds in steps:
        if kind == "lose":
            lost.append(fleet.find_broker(fleet.draw.choice(REGIONS)))
            fleet.lose(lost[-1])
        elif kind == "restart" and lost:
            fleet.restart(lost.pop())
        elif kind in ("cut", "alone", "calm"):
            share = {"cut": fleet.draw.random(), "alone": 1.0, "calm": 0.0}
            fleet.cut(share=share[kind])
        elif kind == "change":
            limit = fleet.draw.choice([0.5, 1.0, 3.0, 10.0])
            for name in LIMITED:
                fleet.targets[name].set_limit(limit)
        fleet.run(seconds)


@settings(max_examples=8, phases=(Phase.explicit, Phase.generate))
@given(steps=STEPS, seed=st.integers(0, 10_000))
def test_limit_holds_whichever_brokers_are_lost_and_paths_are_cut(steps, seed):
    with freezegun.freeze_time("2026-01-01") as clock:
        fleet = start_limited(clock, 2.3, seed=seed)
        run_steps(fleet, steps)
        fleet.check_limits()
