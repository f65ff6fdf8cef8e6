"""Replication over a network that loses, repeats, delays and reorders messages."""

from unittest import mock

import pytest
from freezegun import freeze_time
from hypothesis import given, settings, strategies as st

from citronspan.core.configuration import config_snapshots, config_spread
from citronspan.core.configuration.config_record import LogBatch, encode_record
from citronspan.core.configuration.config_snapshots import make_snapshot, split_snapshot
from citronspan.core.configuration.config_spread import ConfigSpread
from citronspan.core.configuration.config_spread_tree import (
    FAN_OUT,
    READERS_PER_REGION,
    TREES_PER_REGION,
    find_readers,
    make_plan,
)
from citronspan.core.configuration.config_state import ConfigState, apply_batch
from citronspan.core.configuration.config_state_test import (
    NaiveReader,
    make_change,
    make_records,
)
from citronspan.core.node_messages import NodeInfo

CONVERGENCE_ROUNDS = 40


@pytest.fixture(autouse=True)
def reduce_size_limits():
    with (
        mock.patch.object(config_spread, "RECENT_BATCH_BYTES", 500),
        mock.patch.object(config_spread, "PULL_ANSWER_BYTES", 300),
        mock.patch.object(config_snapshots, "SNAPSHOT_PART_BYTES", 120),
    ):
        yield


def make_node(number, regions=2):
    return NodeInfo(
        name=f"n{number}",
        incarnation=1,
        region=f"r{number % regions}",
        data_centre="d",
        agent_peer_address=f"127.0.0.{number + 1}:7100",
        entry_peer_address="",
        entry_callers_address="",
        api_address="",
    )


def make_log(size):
    """Return records that each create a resource, and one part of a snapshot."""
    encoded_records = []
    while len(encoded_records) < size:
        number = len(encoded_records)
        change = make_change(
            NaiveReader(), number, number, f"s-{number}", "new", 0, 0.5, False
        )
        encoded_records.append(encode_record(change))
        if number == size // 2:
            state = replay(make_records(encoded_records))
            part = split_snapshot(make_snapshot(state), at_seconds=0)[0]
            encoded_records.append(encode_record(part))
    return make_records(encoded_records)


def replay(records):
    batch = LogBatch(from_offset=0, next_offset=len(records), records=tuple(records))
    return apply_batch(ConfigState(), batch).state


class Network:
    """Simulates agents, a log and the messages in flight."""

    def __init__(self, records, size):
        self.records = records
        self.nodes = tuple(make_node(number) for number in range(size))
        self.spread_by_address = {}
        self.state_by_offset = {
            offset: replay(records[:offset]) for offset in range(len(records) + 1)
        }
        self.in_flight = []
        for node in self.nodes:
            self.restart(node)

    def restart(self, node):
        spread = ConfigSpread(own=node)
        spread.set_nodes(self.nodes)
        self.spread_by_address[node.agent_peer_address] = spread

    def read_log(self, node, size):
        spread = self.spread_by_address[node.agent_peer_address]
        from_offset = spread.state.offset
        next_offset = min(from_offset + size, len(self.records))
        batch = LogBatch(
            from_offset=from_offset,
            next_offset=next_offset,
            records=tuple(self.records[from_offset:next_offset]),
        )
        self._step(node.agent_peer_address, lambda: spread.apply_log_batch(batch))

    def tick(self, node):
        spread = self.spread_by_address[node.agent_peer_address]
        self._step(node.agent_peer_address, spread.tick)

    def deliver(self, index, keep):
        sender, outgoing = self.in_flight[index]
        if not keep:
            del self.in_flight[index]
        spread = self.spread_by_address[outgoing.to]
        self._step(outgoing.to, lambda: spread.handle_message(outgoing.message, sender))

    def _step(self, address, step):
        spread = self.spread_by_address[address]
        before = spread.state.offset
        result = step()
        assert spread.state.offset >= before, "an offset decreased"
        assert spread.state == self.state_by_offset[spread.state.offset]
        self.in_flight.extend((address, outgoing) for outgoing in result.outgoing)

    def get_offsets(self):
        return {spread.state.offset for spread in self.spread_by_address.values()}


ACTIONS = st.lists(
    st.tuples(
        st.sampled_from(
            ["read", "tick", "deliver", "deliver", "repeat", "lose", "restart", "wait"]
        ),
        st.integers(0, 1000),
    ),
    max_size=60,
)


def execute_action(network, clock, action, number):
    node = network.nodes[number % len(network.nodes)]
    index = number % len(network.in_flight) if network.in_flight else None
    if action == "read":
        network.read_log(node, 1 + number % 3)
    elif action == "tick":
        network.tick(node)
    elif action == "restart":
        network.restart(node)
    elif action == "wait":
        clock.tick(0.6)
    elif index is None:
        return
    elif action == "lose":
        del network.in_flight[index]
    else:
        network.deliver(index, keep=action == "repeat")


@settings(max_examples=60)
@given(actions=ACTIONS, size=st.integers(2, 9))
def test_offsets_never_decrease_and_all_nodes_converge(actions, size):
    with freeze_time("2026-01-01") as clock:
        network = Network(make_log(8), size)
        for action, number in actions:
            execute_action(network, clock, action, number)
        # From here on no message is lost, and one node has read the whole log.
        network.read_log(network.nodes[0], len(network.records))
        for _ in range(CONVERGENCE_ROUNDS):
            clock.tick(1.1)
            for node in network.nodes:
                network.tick(node)
            while network.in_flight:
                network.deliver(0, keep=False)
        assert network.get_offsets() == {len(network.records)}


@given(size=st.integers(1, 60), regions=st.integers(1, 3))
def test_records_reach_whole_region_through_trees_alone(size, regions):
    nodes = tuple(make_node(number, regions) for number in range(size))
    plan_by_address = {
        node.agent_peer_address: make_plan(node, nodes) for node in nodes
    }
    readers = {node.agent_peer_address for node in find_readers(nodes)}
    for node in nodes:
        plan = plan_by_address[node.agent_peer_address]
        assert len(plan.receivers) <= TREES_PER_REGION * FAN_OUT + READERS_PER_REGION
        assert plan.is_reader == (node.agent_peer_address in readers)
    region_addresses = {
        node.agent_peer_address for node in nodes if node.region == "r0"
    }
    reached = find_reached_addresses(region_addresses & readers, plan_by_address)
    assert reached == region_addresses


def find_reached_addresses(readers, plan_by_address):
    """Return the addresses that records forwarded by the readers reach."""
    reached, pending = set(readers), list(readers)
    while pending:
        for to in plan_by_address[pending.pop()].receivers:
            if to not in reached:
                reached.add(to)
                pending.append(to)
    return reached


@given(size=st.integers(2, 120))
def test_comparison_peers_connect_whole_region(size):
    nodes = tuple(make_node(number, 1) for number in range(size))
    compared_by_address = {
        node.agent_peer_address: set(make_plan(node, nodes).comparison_peers)
        for node in nodes
    }
    for address, compared in list(compared_by_address.items()):
        assert address not in compared
        for other in compared:
            compared_by_address[other].add(address)
    reached, pending = set(), [nodes[0].agent_peer_address]
    while pending:
        address = pending.pop()
        if address not in reached:
            reached.add(address)
            pending.extend(compared_by_address[address])
    assert reached == set(compared_by_address)


@settings(max_examples=40)
@given(size=st.integers(8, 60), data=st.data())
def test_records_reach_all_other_nodes_after_one_node_fails(size, data):
    nodes = tuple(make_node(number, 1) for number in range(size))
    plan_by_address = {
        node.agent_peer_address: make_plan(node, nodes) for node in nodes
    }
    readers = {node.agent_peer_address for node in find_readers(nodes)}
    failed = data.draw(st.sampled_from(sorted(plan_by_address)))
    plan_by_address[failed] = make_plan(nodes[0], nodes[:1])
    reached = find_reached_addresses(readers - {failed}, plan_by_address)
    assert reached | {failed} == set(plan_by_address)
