import random

from hypothesis import given, settings, strategies as st

from citronspan.core.brokering.broker_test import make_target
from citronspan.core.brokering.shards import (
    BrokerTable,
    ShardKey,
    assign_targets_to_shards,
    choose_shard,
    form_shards,
)
from citronspan.core.node_messages import NodeInfo
from citronspan.utils.rendezvous import choose_member


def make_node(name, *, region="svea", state="serving"):
    return NodeInfo(
        name=name,
        incarnation=1,
        region=region,
        data_centre=f"{region}-1",
        agent_peer_address="127.0.0.1:1",
        entry_peer_address=f"{name}:2",
        entry_callers_address="127.0.0.1:3",
        api_address="127.0.0.1:4",
        entry_state=state,
    )


@given(st.integers(1, 200), st.integers(1, 40))
def test_each_target_is_in_one_shard_of_bounded_size(target_count, shard_size):
    targets = [make_target(f"t-{number}") for number in range(target_count)]
    (shards,) = form_shards("shop", targets, shard_size).values()
    names = [target.name for shard in shards for target in shard.targets]
    assert sorted(names) == sorted(target.name for target in targets)
    mean = target_count / max(1, round(target_count / shard_size))
    assert max(len(shard.targets) for shard in shards) <= 1.25 * mean + 1
    shuffled = random.sample(targets, target_count)
    assert form_shards("shop", shuffled, shard_size)["svea"] == shards


def test_added_target_moves_few_others():
    moved_count = 0
    for target_count in range(40, 52):
        names = tuple(sorted(f"t-{number}" for number in range(target_count)))
        grown = tuple(sorted([*names, "t-new"]))
        before = dict(zip(names, assign_targets_to_shards(names, 12), strict=True))
        after = dict(zip(grown, assign_targets_to_shards(grown, 12), strict=True))
        if len(set(after.values())) == len(set(before.values())):
            moved_count += sum(before[name] != after[name] for name in names)
    assert moved_count <= 12


nodes = st.dictionaries(
    st.sampled_from([f"n-{number}" for number in range(8)]),
    st.tuples(
        st.sampled_from(["svea", "gota"]), st.sampled_from(["serving", "draining"])
    ),
)


@settings(max_examples=200)
@given(st.lists(nodes, min_size=1, max_size=6))
def test_cached_brokers_equal_a_fresh_choice_in_each_view(views):
    table = BrokerTable()
    keys = [
        ShardKey(service="shop", region=region, number=number)
        for region in ("svea", "gota")
        for number in range(4)
    ]
    for view in views:
        table.set_nodes(
            make_node(name, region=region, state=state)
            for name, (region, state) in view.items()
        )
        for key in keys:
            names = [
                name
                for name, region_and_state in view.items()
                if region_and_state == (key.region, "serving")
            ]
            node = table.find_broker(key)
            expected = choose_member(names, key.format())
            assert (node and node.name) == expected


def test_shard_with_more_known_free_slots_is_preferred():
    targets = [make_target(f"t-{number}") for number in range(24)]
    (shards,) = form_shards("shop", targets, 12).values()
    draw = random.Random(1)
    free_by_key = {shards[0].key: 0}
    chosen = [choose_shard(shards, free_by_key, draw).key.number for _ in range(200)]
    assert chosen.count(1) > chosen.count(0) > 0


def test_table_forgets_the_hosts_that_just_left_its_view():
    """What is divided among hosts would be whole at each that sees only itself."""
    table = BrokerTable()
    names = [f"n-{number}" for number in range(4)]
    table.set_nodes([make_node(name, region="r") for name in names])
    table.set_nodes([make_node("n-0", region="r")])
    assert (table.count_known(), table.count_known("r")) == (4, 4)
    assert table.compute_share("r") == 1 / 4
