import random

import msgspec
import pytest
from freezegun import freeze_time
from hypothesis import given, settings, strategies as st

from citronspan.core.membership.member_messages import (
    MemberRecord,
    MemberStatus,
    MemberSync,
)
from citronspan.core.membership.membership import Membership
from citronspan.core.message_base import Outgoing
from citronspan.core.node_messages import NodeInfo

STEP_SECONDS = 0.25
# Well above the sum of the times for detection, suspicion and gossip.
SETTLE_SECONDS = 40


def make_node(name, incarnation=1):
    return NodeInfo(
        name=name,
        incarnation=incarnation,
        region="r",
        data_centre="d",
        agent_peer_address=name,
        entry_peer_address=f"{name}-entry",
        entry_callers_address=f"{name}-callers",
        api_address=f"{name}-api",
        entry_state="serving",
    )


class Network:
    """Members that deliver messages to each other, except in cut directions."""

    def __init__(self, clock, count):
        self.clock = clock
        self.cuts = set()
        names = [f"n{number}" for number in range(count)]
        self.member_by_name = {
            name: Membership(own=make_node(name), seeds=("n0", "n1"), seed=number)
            for number, name in enumerate(names)
        }

    def run(self, seconds):
        for _ in range(int(seconds / STEP_SECONDS)):
            self.clock.tick(STEP_SECONDS)
            for name, member in list(self.member_by_name.items()):
                self.deliver(name, member.tick())

    def deliver(self, sender, outgoing):
        for item in outgoing:
            receiver = self.member_by_name.get(item.to)
            if receiver is None or (sender, item.to) in self.cuts:
                continue
            self.deliver(item.to, receiver.handle(sender, item.message))

    def views(self):
        return {
            name: {node.name for node in member.live_nodes()}
            for name, member in self.member_by_name.items()
        }


def test_all_members_discover_each_other_from_seeds():
    with freeze_time("2026-01-01") as clock:
        network = Network(clock, 7)
        network.run(SETTLE_SECONDS)
        assert all(
            view == set(network.member_by_name) for view in network.views().values()
        )


@settings(max_examples=25)
@given(st.data())
def test_one_way_cuts_at_one_observer_keep_members_in_all_other_views(data):
    with freeze_time("2026-01-01") as clock:
        network = Network(clock, 6)
        network.run(SETTLE_SECONDS)
        names = list(network.member_by_name)
        observer = data.draw(st.sampled_from(names))
        others = [name for name in names if name != observer]
        blocked_senders = data.draw(st.sets(st.sampled_from(others), max_size=3))
        blocked_receivers = data.draw(st.sets(st.sampled_from(others), max_size=3))
        network.cuts = {(name, observer) for name in blocked_senders}
        network.cuts |= {(observer, name) for name in blocked_receivers}
        network.run(SETTLE_SECONDS)
        for name, view in network.views().items():
            if name != observer:
                assert set(others) <= view


def test_member_with_cut_direction_is_unreachable_until_restored():
    with freeze_time("2026-01-01") as clock:
        network = Network(clock, 5)
        network.run(SETTLE_SECONDS)
        network.cuts = {("n3", "n2")}
        network.run(SETTLE_SECONDS)
        views = network.views()
        assert "n3" not in views["n2"]
        assert {"n2", "n3"} <= views["n1"]
        unreachable = network.member_by_name["n2"].unreachable_nodes()
        assert [node.name for node in unreachable] == ["n3"]
        network.cuts = set()
        network.run(SETTLE_SECONDS)
        assert "n3" in network.views()["n2"]


def test_stopped_member_leaves_all_views_and_old_incarnation_is_rejected():
    with freeze_time("2026-01-01") as clock:
        network = Network(clock, 6)
        network.run(SETTLE_SECONDS)
        del network.member_by_name["n4"]
        network.run(SETTLE_SECONDS)
        assert all("n4" not in view for view in network.views().values())
        stale_record = MemberRecord(
            node=make_node("n4", incarnation=0),
            revision=99,
            status=MemberStatus.ALIVE,
        )
        for member in network.member_by_name.values():
            member.handle("n0", MemberSync(records=(stale_record,)))
        assert all("n4" not in view for view in network.views().values())
        restarted_member = Membership(
            own=make_node("n4", incarnation=2), seeds=("n0",), seed=9
        )
        network.member_by_name["n4"] = restarted_member
        network.run(SETTLE_SECONDS)
        assert all(
            view == set(network.member_by_name) for view in network.views().values()
        )


def test_partitioned_halves_rejoin_without_seeds():
    with freeze_time("2026-01-01") as clock:
        network = Network(clock, 6)
        network.run(SETTLE_SECONDS)
        for member in network.member_by_name.values():
            member._seeds = ()
        west = {"n0", "n1", "n2"}
        east = {"n3", "n4", "n5"}
        network.cuts = {(a, b) for a in west for b in east}
        network.cuts |= {(b, a) for a in west for b in east}
        network.run(120)
        assert network.views()["n0"] == west
        assert network.views()["n5"] == east
        network.cuts = set()
        network.run(2 * SETTLE_SECONDS)
        assert all(view == west | east for view in network.views().values())


RECORD = st.builds(
    lambda name, incarnation, revision, status: MemberRecord(
        node=make_node(name, incarnation), revision=revision, status=status
    ),
    st.sampled_from(["a", "b"]),
    st.integers(0, 2),
    st.integers(0, 2),
    st.sampled_from(MemberStatus),
)


@given(st.lists(RECORD, max_size=8), st.integers())
def test_merge_result_is_independent_of_order_and_duplicates(records, seed):
    shuffled = records + records[::2]
    random.Random(seed).shuffle(shuffled)
    views = []
    for batch in (records, shuffled):
        member = Membership(own=make_node("own"), seed=1)
        for record in batch:
            member.handle("x", MemberSync(records=(record,)))
        views.append((member.live_nodes(), member.departed_nodes()))
    assert views[0] == views[1]


class LandedMembership(Membership):
    """Compares records as version 170e430 did: by sending all of them."""

    def __init__(self, **arguments):
        super().__init__(**arguments)
        self._comparison.make_question = self._make_question

    def _handle_sync(self, sender, sync, now):
        self._merge_records(sync.records, now)
        return [self._send_all_records(sender, False)] if sync.wants_answer else []

    def _make_question(self, to):
        return self._send_all_records(to, True)

    def _send_all_records(self, to, wants_answer):
        records = tuple(self._comparison._map_records().values())
        message = MemberSync(records=records, wants_answer=wants_answer)
        return Outgoing(to=to, message=message)


class MixedNetwork(Network):
    """Members of two versions, which drop the fields that they do not know."""

    def __init__(self, clock, count, landed):
        super().__init__(clock, count)
        for name in landed:
            self.member_by_name[name] = LandedMembership(
                own=make_node(name), seeds=("n0", "n1"), seed=len(name)
            )


@pytest.mark.parametrize("landed", [{"n0"}, {"n0", "n2", "n4", "n6"}, {"n5"}])
def test_members_of_two_versions_do_not_discover_each_other(landed):
    with freeze_time("2026-01-01") as clock:
        network = MixedNetwork(clock, 8, landed)
        network.run(SETTLE_SECONDS)
        everyone = set(network.member_by_name)
        assert all(view == everyone for view in network.views().values())
        del network.member_by_name["n7"]
        network.run(SETTLE_SECONDS)
        assert all(view == everyone - {"n7"} for view in network.views().values())


def test_members_with_equal_records_send_them_to_each_other():
    with freeze_time("2026-01-01") as clock:
        network = Network(clock, 12)
        network.run(SETTLE_SECONDS)
        first, second = (network.member_by_name[name] for name in ("n3", "n4"))
        question = first._comparison.make_question("n4").message
        assert second.handle("n3", question) == []
        assert len(question.known) == 12


def test_comparison_leaves_a_record_at_one_of_two_members_only():
    with freeze_time("2026-01-01"):
        first = Membership(own=make_node("a"), seed=1)
        second = Membership(own=make_node("b"), seed=2)
        records = [
            MemberRecord(node=make_node(f"m{number}"), revision=1, status=status)
            for number, status in enumerate([MemberStatus.ALIVE] * 40)
        ]
        first.handle("x", MemberSync(records=tuple(records[:30])))
        second.handle("y", MemberSync(records=tuple(records[20:])))
        (answer,) = second.handle("a", first._comparison.make_question("b").message)
        (rest,) = first.handle("b", answer.message)
        assert second.handle("a", rest.message) == []
        names = {"a", "b", *(record.node.name for record in records)}
        for member in (first, second):
            assert {node.name for node in member.live_nodes()} == names


def test_fleet_that_starts_at_once_is_not_known_to_all_when_traffic_starts():
    traffic_starts_after_seconds = 12
    members = 96
    with freeze_time("2026-01-01") as clock:
        network = Network(clock, members)
        sent_bytes = 0
        deliver = network.deliver

        def count(sender, outgoing):
            nonlocal sent_bytes
            for item in outgoing:
                sent_bytes += len(msgspec.msgpack.encode(item.message))
            deliver(sender, outgoing)

        network.deliver = count
        network.run(traffic_starts_after_seconds)
        assert all(len(view) == members for view in network.views().values())
        record_bytes = len(
            msgspec.msgpack.encode(network.member_by_name["n0"]._make_own_record())
        )
        # Each member has to hear of each other one once.
        assert sent_bytes < 4 * members * members * record_bytes


def test_started_member_takes_the_first_records_for_the_whole_view():
    """Heartbeats and announcements tell a few records; an answer tells all."""
    with freeze_time("2026-01-01") as clock:
        network = Network(clock, 5)
        network.run(SETTLE_SECONDS)
        own = make_node("n4", incarnation=2)
        started = Membership(own=own, seeds=("n0", "n1"), seed=9)
        assert started.awaits_peers
        questions = started.tick()
        announcement = network.member_by_name["n2"].announce_to_region()[0]
        started.handle("n2", announcement.message)
        assert len(started.live_nodes()) == 2
        assert started.awaits_peers
        version = started.version
        for item in questions:
            answers = network.member_by_name[item.to].handle("n4", item.message)
            for answer in answers:
                started.handle(item.to, answer.message)
        assert not started.awaits_peers
        assert started.version > version
        assert len(started.live_nodes()) == 5


def test_member_without_seeds_waits_for_peers():
    assert not Membership(own=make_node("n0"), seeds=("n0",)).awaits_peers
