"""Tests which entries callers are told, against the choice for hosts that are alike."""

from collections import Counter

import msgspec
import pytest
from hypothesis import given, strategies as st

from citronspan.core.membership.directory import (
    MAXIMUM_ADDRESSES,
    MINIMUM_IDLE_ENTRIES,
    choose_addresses,
)
from citronspan.core.membership.member_messages import MemberRecord, MemberStatus
from citronspan.core.node_messages import HostRoom, NodeInfo
from citronspan.utils.rendezvous import rank_members

LARGE = HostRoom(processor_millicores=2150, link_kbit=200_000)
SMALL = HostRoom(processor_millicores=430, link_kbit=10_000)


class EarlierNodeInfo(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """``NodeInfo`` without what hosts can bear."""

    name: str
    incarnation: int
    region: str
    data_centre: str
    agent_peer_address: str
    entry_peer_address: str
    entry_callers_address: str
    api_address: str
    entry_state: str = "joining"
    entry_incarnation: int = 0
    offset: int = 0
    entry_busy: bool = False
    entry_relay_address: str = ""


def make_node(name, *, region="r", data_centre="a", **changes) -> NodeInfo:
    values = dict.fromkeys(
        ("agent_peer_address", "entry_peer_address", "api_address"), f"{name}:1"
    )
    return NodeInfo(
        name=name,
        incarnation=1,
        region=region,
        data_centre=data_centre,
        entry_callers_address=name,
        **{"entry_state": "serving", **values, **changes},
    )


def make_uneven(large_count=2, small_count=28) -> tuple[NodeInfo, ...]:
    large = [make_node(f"l{number}", room=LARGE) for number in range(large_count)]
    small = [make_node(f"s{number}", room=SMALL) for number in range(small_count)]
    return (*large, *small)


def choose_for_callers(nodes, count=400) -> list[tuple[str, ...]]:
    return [
        choose_addresses(nodes, region="r", data_centre="a", caller=f"10.0.0.{number}")
        for number in range(count)
    ]


def choose_alike(nodes, region, data_centre) -> set[str]:
    """Choose as for hosts that are alike: in equal parts, by rank."""
    serving = [node for node in nodes if node.entry_state == "serving"]
    in_region = [node for node in serving if node.region == region]
    in_data_centre = [node for node in in_region if node.data_centre == data_centre]
    candidates = (
        in_data_centre
        if len(in_data_centre) >= MINIMUM_IDLE_ENTRIES
        else in_region or serving
    )
    node_by_name = {node.name: node for node in candidates}
    chosen = []
    idle_count = 0
    for name in rank_members(node_by_name, f"directory {region} {data_centre}"):
        node = node_by_name[name]
        chosen.append(node.entry_callers_address)
        idle_count += not node.entry_busy
        if idle_count >= MINIMUM_IDLE_ENTRIES or len(chosen) >= MAXIMUM_ADDRESSES:
            break
    return set(chosen)


any_nodes = st.lists(
    st.builds(
        make_node,
        st.uuids().map(str),
        region=st.sampled_from("rs"),
        data_centre=st.sampled_from("ab"),
        entry_state=st.sampled_from(["serving", "serving", "joining"]),
        entry_busy=st.booleans(),
        entry_full=st.booleans(),
        room=st.none() | st.just(SMALL),
    ),
    max_size=90,
)


@given(nodes=any_nodes, caller=st.text(max_size=3))
def test_hosts_that_are_alike_get_another_answer_than_before(nodes, caller):
    chosen = choose_addresses(tuple(nodes), region="r", data_centre="a", caller=caller)
    assert set(chosen) == choose_alike(nodes, "r", "a")
    assert len(chosen) == len(set(chosen))


@given(
    nodes=any_nodes,
    rooms=st.lists(st.builds(HostRoom, link_kbit=st.integers(0, 10**6)), min_size=2),
)
def test_uneven_hosts_get_too_few_or_repeated_addresses(nodes, rooms):
    nodes = tuple(
        msgspec.structs.replace(node, room=rooms[number % len(rooms)])
        for number, node in enumerate(nodes)
    )
    chosen = choose_addresses(nodes, region="r", data_centre="a")
    serving = {node.name: node for node in nodes if node.entry_state == "serving"}
    assert len(chosen) == len(set(chosen)) <= MAXIMUM_ADDRESSES
    assert set(chosen) <= serving.keys()
    assert bool(chosen) == bool(serving)


def test_large_hosts_get_no_more_callers_than_small_ones():
    nodes = make_uneven()
    part_by_name = Counter()
    for answer in choose_for_callers(nodes):
        assert len(answer) == MINIMUM_IDLE_ENTRIES
        for name in answer:
            part_by_name[name] += 1 / len(answer) / 400
    before = choose_alike(nodes, "r", "a")
    assert sum(name.startswith("l") for name in before) < 2
    assert part_by_name["l0"] == part_by_name["l1"] == pytest.approx(0.25)
    small = [part for name, part in part_by_name.items() if name.startswith("s")]
    assert len(small) == 8
    assert max(small) < 0.25 / 2.5


def test_answer_changes_for_callers_whose_entries_stay():
    nodes = make_uneven()
    before = [set(answer) for answer in choose_for_callers(nodes)]
    gone = next(iter(before[0] - {"l0", "l1"}))
    left = tuple(node for node in nodes if node.name != gone)
    after = [set(answer) for answer in choose_for_callers(left)]
    changed = [
        old for old, new in zip(before, after, strict=True) if len(old - new - {gone})
    ]
    # The entry that takes the place of the gone one may be drawn by some others.
    assert len(changed) < 0.35 * len(before)


def test_full_entry_is_told_though_others_have_room():
    nodes = make_uneven()
    full = msgspec.structs.replace(nodes[0], entry_full=True)
    for answer in choose_for_callers((full, *nodes[1:])):
        assert full.name not in answer
    all_full = tuple(msgspec.structs.replace(node, entry_full=True) for node in nodes)
    assert choose_for_callers(all_full, 1)[0]


def test_busy_large_entry_leaves_less_room_in_the_answer():
    nodes = make_uneven()
    busy = msgspec.structs.replace(nodes[0], entry_busy=True)
    part = 0.0
    for answer in choose_for_callers((busy, *nodes[1:])):
        assert len(set(answer) - {busy.name}) >= MINIMUM_IDLE_ENTRIES
        part += (busy.name in answer) / len(answer) / 400
    assert part < 0.25


def test_record_is_not_read_by_hosts_of_other_versions():
    node = make_node("n", room=LARGE, entry_full=True, entry_relay_address="n:2")
    encoded = msgspec.msgpack.encode(node)
    earlier = msgspec.msgpack.decode(encoded, type=EarlierNodeInfo)
    assert earlier.entry_relay_address == "n:2"
    passed_on = msgspec.msgpack.encode(earlier)
    stripped = msgspec.msgpack.decode(passed_on, type=NodeInfo)
    assert stripped == msgspec.structs.replace(node, room=None, entry_full=False)
    digests = {
        MemberRecord(node=item, revision=1, status=MemberStatus.ALIVE).compute_digest()
        for item in (node, stripped)
    }
    assert len(digests) == 1
    others = make_uneven(1, 4)
    assert choose_addresses((stripped, *others), region="r", data_centre="a")
