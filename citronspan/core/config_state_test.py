"""Replay against a naive replay that remembers the whole history."""

from dataclasses import dataclass, field
from unittest import mock

import msgspec
import pytest
from hypothesis import given, settings, strategies as st

from citronspan.core import config_snapshots, config_state
from citronspan.core.config_record import (
    ChangeRecord,
    LogBatch,
    LogRecord,
    decode_record,
    encode_record,
)
from citronspan.core.config_snapshots import (
    Snapshot,
    SnapshotError,
    TruncatedLogReader,
    load_snapshot,
    make_snapshot,
    split_snapshot,
)
from citronspan.core.config_state import (
    ConfigState,
    ResourceKey,
    apply_batch,
    compare_states,
    find_warnings,
)
from citronspan.core.resources import Kind, decode_resource

WINDOW_OFFSETS = 6


MANY = settings(max_examples=80)


@pytest.fixture(autouse=True)
def small_sizes():
    with (
        mock.patch.object(config_state, "CHANGE_WINDOW_OFFSETS", WINDOW_OFFSETS),
        mock.patch.object(config_snapshots, "SNAPSHOT_PART_BYTES", 40),
    ):
        yield


@dataclass
class NaiveReader:
    """Remembers everything and copies nothing of the code under test."""

    version_by_key: dict = field(default_factory=dict)
    worth_by_key: dict = field(default_factory=dict)
    id_by_offset: dict = field(default_factory=dict)
    accepted: list = field(default_factory=list)

    def apply(self, offset, change, worth):
        key = ResourceKey(change.kind.value, change.name)
        if change.seen_offset > offset or change.seen_offset < offset - WINDOW_OFFSETS:
            return
        lately = range(offset - WINDOW_OFFSETS, offset)
        if any(self.id_by_offset.get(at) == change.change_id for at in lately):
            return
        self.id_by_offset[offset] = change.change_id
        if change.expected_version != self.version_by_key.get(key, -1):
            return
        if change.deleted:
            if key not in self.version_by_key:
                return
            del self.version_by_key[key]
            del self.worth_by_key[key]
        else:
            if not 0 <= worth <= 1:
                return
            self.version_by_key[key] = offset
            self.worth_by_key[key] = worth
        self.accepted.append((offset, change.change_id))


def choose_mostly(usual, *others):
    return st.integers(0, 2 * len(others) + 3).map(
        lambda number: others[number] if number < len(others) else usual
    )


CHANGES = st.tuples(
    st.integers(0, 40),  # change id, so that ids repeat now and then
    st.sampled_from(["a", "b"]),
    choose_mostly("current", "new", "stale"),
    choose_mostly(0, 1, 3, 6, 7, -1),  # offsets since it was composed
    choose_mostly(0.5, 0.25, 7.0),  # floor; 7 is not valid
    st.booleans(),  # whether it deletes
)
GARBAGE = st.sampled_from([b"", b"{", b"\xff\x00", b'{"type":"change"}', b"[1]"])
SNAPSHOTS = st.tuples(
    st.just("snapshot"), st.integers(0, 5), st.sets(st.integers(0, 5), max_size=1)
)
COPIES = st.tuples(st.just("again"), st.integers(0, 30))
STEPS = st.lists(
    st.integers(0, 9).flatmap(
        lambda number: {0: GARBAGE, 1: SNAPSHOTS, 2: COPIES}.get(number, CHANGES)
    ),
    min_size=8,
    max_size=30,
)


def build_log(steps):
    """Return the records of a log and what a naive reader makes of them."""
    naive = NaiveReader()
    datas = []
    plans = {}
    for step in steps:
        before = len(datas)
        if isinstance(step, bytes):
            datas.append(step)
        elif step[0] == "snapshot":
            datas.extend(make_parts(datas, *step[1:]))
        elif step[0] == "again" and datas:
            datas.append(datas[step[1] % len(datas)])
        elif step[0] != "again":
            change = make_change(naive, len(datas), *step)
            plans[encode_record(change)] = (change, step[4])
            datas.append(encode_record(change))
        for offset in range(before, len(datas)):
            if datas[offset] in plans:
                naive.apply(offset, *plans[datas[offset]])
    return make_records(datas), naive


def make_change(naive, offset, number, name, expects, age, floor, deleted):
    key = ResourceKey("Service", name)
    current = naive.version_by_key.get(key, -1)
    expected = {"current": current, "new": -1, "stale": max(0, offset - 3)}[expects]
    return ChangeRecord(
        change_id=f"change-{number}",
        kind=Kind.SERVICE,
        name=name,
        expected_version=expected,
        seen_offset=offset - age,
        spec=msgspec.Raw(b"null" if deleted else b'{"floor":%r}' % floor),
        deleted=deleted,
    )


def make_parts(datas, age, missing):
    """Return the records of a snapshot of an earlier prefix, some missing."""
    prefix = max(0, len(datas) - age)
    state = replay(make_records(datas[:prefix]))
    parts = split_snapshot(make_snapshot(state), at_seconds=0)
    return [encode_record(part) for part in parts if part.part not in missing]


def make_records(datas):
    return [LogRecord(offset=at, data=data) for at, data in enumerate(datas)]


def replay(records, state=None, first=0, cuts=()):
    state = state or ConfigState()
    bounds = sorted({first, *(cut for cut in cuts if cut > first)})
    bounds = [bound for bound in bounds if bound < first + len(records)]
    bounds.append(first + len(records))
    for begin, end in zip(bounds, bounds[1:], strict=False):
        piece = tuple(record for record in records if begin <= record.offset < end)
        batch = LogBatch(from_offset=begin, next_offset=end, records=piece)
        state = apply_batch(state, batch).state
    return state


def describe(state):
    return {
        key: (stored.version, decode_resource(stored.data).spec.floor)
        for key, stored in state.resource_by_key.items()
    }


def describe_naive(naive):
    return {
        key: (version, naive.worth_by_key[key])
        for key, version in naive.version_by_key.items()
    }


@MANY
@given(steps=STEPS, cuts=st.sets(st.integers(0, 60)))
def test_replay_in_any_batches_equals_a_naive_replay(steps, cuts):
    records, naive = build_log(steps)
    state = replay(records, cuts=cuts)
    assert describe(state) == describe_naive(naive)
    assert state.offset == len(records)
    assert state == replay(records)


@MANY
@given(
    steps=STEPS,
    spans=st.lists(st.tuples(st.integers(0, 30), st.integers(1, 15)), max_size=12),
)
def test_batches_that_overlap_or_leave_gaps_never_skip_a_record(steps, spans):
    records, _ = build_log(steps)
    state = ConfigState()
    for begin, size in spans:
        end = min(begin + size, len(records))
        batch = LogBatch(
            from_offset=begin, next_offset=end, records=tuple(records[begin:end])
        )
        before = state
        state = apply_batch(state, batch).state
        assert state.offset >= before.offset
        assert state == replay(records[: state.offset])


@pytest.mark.parametrize("distance", range(2, WINDOW_OFFSETS + 3))
def test_a_late_copy_of_a_creation_brings_nothing_back(distance):
    naive = NaiveReader()
    create = encode_record(make_change(naive, 0, 0, "a", "new", 0, 0.5, False))
    naive.version_by_key[ResourceKey("Service", "a")] = 0
    delete = encode_record(make_change(naive, 1, 1, "a", "current", 0, 0.5, True))
    filler = [b"not a record"] * (distance - 2)
    # A last change of something else makes the window move by one before the copy.
    other = encode_record(make_change(naive, distance, 2, "b", "new", 0, 0.5, False))
    for datas in ([create, delete, *filler], [create, delete, *filler[1:], other]):
        state = replay(make_records([*datas, create]))
        assert ResourceKey("Service", "a") not in state.resource_by_key


@MANY
@given(steps=STEPS)
def test_what_was_accepted_is_in_force_in_order(steps):
    records, naive = build_log(steps)
    batch = LogBatch(from_offset=0, next_offset=len(records), records=tuple(records))
    applied = apply_batch(ConfigState(), batch)
    ids = {record.offset: decode_id(record) for record in records}
    accepted = [(change.version, ids[change.version]) for change in applied.changes]
    assert accepted == naive.accepted
    void_offsets = {void.offset for void in applied.rejected_records}
    assert void_offsets.isdisjoint(offset for offset, _ in accepted)
    in_force = [records[change.version].data for change in applied.changes]
    assert len(set(in_force)) == len(in_force), "a copy of a record took effect"


def decode_id(record):
    try:
        return getattr(decode_record(record.data), "change_id", None)
    except Exception:
        return None


@MANY
@given(
    steps=STEPS,
    first=st.integers(0, 40),
    size=st.integers(1, 7),
)
def test_a_reader_of_a_truncated_log_gets_the_same_state(steps, first, size):
    records, _ = build_log(steps)
    first = min(first, len(records))
    reader = TruncatedLogReader(first_offset=first)
    for begin in range(first, len(records), size):
        piece = tuple(records[begin : begin + size])
        next_offset = begin + len(piece)
        reader.add(LogBatch(from_offset=begin, next_offset=next_offset, records=piece))
    if reader.state is None:
        assert not has_whole_snapshot(records[first:], first)
        return
    assert reader.state == replay(records)


def has_whole_snapshot(records, first):
    parts_by_identity = {}
    for record in records:
        try:
            part = decode_record(record.data)
        except Exception:
            continue
        if isinstance(part, ChangeRecord) or part.at_offset < first:
            continue
        identity = (part.at_offset, part.digest, part.parts)
        parts_by_identity.setdefault(identity, set()).add(part.part)
    return any(len(parts) == at[2] for at, parts in parts_by_identity.items())


@MANY
@given(steps=STEPS, at=st.integers(0, 40))
def test_a_snapshot_and_the_rest_equal_the_whole(steps, at):
    records, _ = build_log(steps)
    at = min(at, len(records))
    prefix = replay(records[:at])
    snapshot = make_snapshot(prefix)
    assert snapshot == make_snapshot(replay(records[:at], cuts=range(at)))
    restored = load_snapshot(snapshot)
    assert restored == prefix
    continued = replay(records[at:], state=restored, first=at)
    assert continued == replay(records)
    assert make_snapshot(continued) == make_snapshot(replay(records))


@MANY
@given(steps=STEPS, at=st.integers(0, 40))
def test_comparing_states_gives_the_net_changes(steps, at):
    records, _ = build_log(steps)
    old, new = replay(records[:at]), replay(records)
    data_by_key = {key: stored.data for key, stored in old.resource_by_key.items()}
    for change in compare_states(old, new):
        if change.data is None:
            del data_by_key[change.key]
            continue
        data_by_key[change.key] = change.data
    assert data_by_key == {
        key: stored.data for key, stored in new.resource_by_key.items()
    }


def test_a_damaged_snapshot_is_refused():
    snapshot = make_snapshot(ConfigState(offset=3))
    for data in (snapshot.data[:-3], b"", snapshot.data.replace(b"x", b"y", 1)):
        damaged = Snapshot(at_offset=3, digest="0" * 32, data=data)
        with pytest.raises(SnapshotError):
            load_snapshot(damaged)


def test_a_route_without_its_service_is_warned_of():
    change = ChangeRecord(
        change_id="change-1",
        kind=Kind.ROUTE,
        name="r",
        expected_version=-1,
        seen_offset=0,
        spec=msgspec.Raw(b'{"pathPrefix":"/","service":"gone","requestKind":"x"}'),
    )
    state = replay([LogRecord(offset=0, data=encode_record(change))])
    key = ResourceKey("Route", "r")
    assert find_warnings(state, key) == ("There is no Service 'gone'.",)
    assert find_warnings(state, ResourceKey("Route", "other")) == ()
