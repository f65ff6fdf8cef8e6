"""Compares the replay with a naive reference replay that keeps the whole history."""

from dataclasses import dataclass, field
from unittest import mock

import msgspec
import pytest
from hypothesis import given, settings, strategies as st

from citronspan.core.configuration import config_snapshots, config_state
from citronspan.core.configuration.config_record import (
    ChangeRecord,
    LogBatch,
    LogRecord,
    decode_record,
    encode_record,
)
from citronspan.core.configuration.config_snapshots import (
    Snapshot,
    SnapshotError,
    TruncatedLogReader,
    load_snapshot,
    make_snapshot,
    split_snapshot,
)
from citronspan.core.configuration.config_state import (
    ConfigState,
    ResourceKey,
    apply_batch,
    compare_states,
    find_warnings,
)
from citronspan.core.resources import Kind, decode_resource

WINDOW_OFFSETS = 6


REPLAY_SETTINGS = settings(max_examples=80)


@pytest.fixture(autouse=True)
def reduce_size_limits():
    with (
        mock.patch.object(config_state, "CHANGE_WINDOW_OFFSETS", WINDOW_OFFSETS),
        mock.patch.object(config_snapshots, "SNAPSHOT_PART_BYTES", 40),
    ):
        yield


@dataclass
class NaiveReader:
    """Reference replay that keeps the whole history, independent of the tested code."""

    version_by_key: dict = field(default_factory=dict)
    floor_by_key: dict = field(default_factory=dict)
    change_id_by_offset: dict = field(default_factory=dict)
    accepted: list = field(default_factory=list)

    def apply(self, offset, change, floor):
        key = ResourceKey(change.kind.value, change.name)
        if change.seen_offset > offset or change.seen_offset < offset - WINDOW_OFFSETS:
            return
        recent_offsets = range(offset - WINDOW_OFFSETS, offset)
        if any(
            self.change_id_by_offset.get(recent_offset) == change.change_id
            for recent_offset in recent_offsets
        ):
            return
        self.change_id_by_offset[offset] = change.change_id
        if change.expected_version != self.version_by_key.get(key, -1):
            return
        if change.deleted:
            if key not in self.version_by_key:
                return
            del self.version_by_key[key]
            del self.floor_by_key[key]
        else:
            if not 0 <= floor <= 1:
                return
            self.version_by_key[key] = offset
            self.floor_by_key[key] = floor
        self.accepted.append((offset, change.change_id))


def choose_mostly(usual_value, *other_values):
    return st.integers(0, 2 * len(other_values) + 3).map(
        lambda number: (
            other_values[number] if number < len(other_values) else usual_value
        )
    )


CHANGES = st.tuples(
    st.integers(0, 40),  # change id; few values, so that some repeat
    st.sampled_from(["a", "b"]),
    choose_mostly("current", "new", "stale"),
    choose_mostly(0, 1, 3, 6, 7, -1),  # offsets since the change was composed
    choose_mostly(0.5, 0.25, 7.0),  # floor; 7 is invalid
    st.booleans(),  # whether the change deletes the resource
)
MALFORMED_RECORDS = st.sampled_from(
    [b"", b"{", b"\xff\x00", b'{"type":"change"}', b"[1]"]
)
SNAPSHOTS = st.tuples(
    st.just("snapshot"), st.integers(0, 5), st.sets(st.integers(0, 5), max_size=1)
)
DUPLICATES = st.tuples(st.just("again"), st.integers(0, 30))
STEPS = st.lists(
    st.integers(0, 9).flatmap(
        lambda number: {0: MALFORMED_RECORDS, 1: SNAPSHOTS, 2: DUPLICATES}.get(
            number, CHANGES
        )
    ),
    min_size=8,
    max_size=30,
)


def build_log(steps):
    """Return the records of a log and a naive reader that has applied them."""
    naive = NaiveReader()
    encoded_records = []
    change_and_floor_by_record = {}
    for step in steps:
        before = len(encoded_records)
        if isinstance(step, bytes):
            encoded_records.append(step)
        elif step[0] == "snapshot":
            encoded_records.extend(make_snapshot_records(encoded_records, *step[1:]))
        elif step[0] == "again" and encoded_records:
            encoded_records.append(encoded_records[step[1] % len(encoded_records)])
        elif step[0] != "again":
            change = make_change(naive, len(encoded_records), *step)
            change_and_floor_by_record[encode_record(change)] = (change, step[4])
            encoded_records.append(encode_record(change))
        for offset in range(before, len(encoded_records)):
            if encoded_records[offset] in change_and_floor_by_record:
                naive.apply(
                    offset, *change_and_floor_by_record[encoded_records[offset]]
                )
    return make_records(encoded_records), naive


def make_change(
    naive, offset, number, name, expected_version_kind, age, floor, deleted
):
    key = ResourceKey("Service", name)
    current = naive.version_by_key.get(key, -1)
    expected = {"current": current, "new": -1, "stale": max(0, offset - 3)}[
        expected_version_kind
    ]
    return ChangeRecord(
        change_id=f"change-{number}",
        kind=Kind.SERVICE,
        name=name,
        expected_version=expected,
        seen_offset=offset - age,
        spec=msgspec.Raw(b"null" if deleted else b'{"floor":%r}' % floor),
        deleted=deleted,
    )


def make_snapshot_records(encoded_records, age, missing):
    """Return the snapshot records of an earlier prefix, without the missing parts."""
    prefix = max(0, len(encoded_records) - age)
    state = replay(make_records(encoded_records[:prefix]))
    parts = split_snapshot(make_snapshot(state), at_seconds=0)
    return [encode_record(part) for part in parts if part.part not in missing]


def make_records(encoded_records):
    return [LogRecord(offset=at, data=data) for at, data in enumerate(encoded_records)]


def replay(records, state=None, first=0, cuts=()):
    state = state or ConfigState()
    boundaries = sorted({first, *(cut for cut in cuts if cut > first)})
    boundaries = [
        boundary for boundary in boundaries if boundary < first + len(records)
    ]
    boundaries.append(first + len(records))
    for begin, end in zip(boundaries, boundaries[1:], strict=False):
        batch_records = tuple(
            record for record in records if begin <= record.offset < end
        )
        batch = LogBatch(from_offset=begin, next_offset=end, records=batch_records)
        state = apply_batch(state, batch).state
    return state


def describe_state(state):
    return {
        key: (stored.version, decode_resource(stored.data).spec.floor)
        for key, stored in state.resource_by_key.items()
    }


def describe_naive(naive):
    return {
        key: (version, naive.floor_by_key[key])
        for key, version in naive.version_by_key.items()
    }


@REPLAY_SETTINGS
@given(steps=STEPS, cuts=st.sets(st.integers(0, 60)))
def test_replay_in_any_batches_matches_naive_replay(steps, cuts):
    records, naive = build_log(steps)
    state = replay(records, cuts=cuts)
    assert describe_state(state) == describe_naive(naive)
    assert state.offset == len(records)
    assert state == replay(records)


@REPLAY_SETTINGS
@given(
    steps=STEPS,
    spans=st.lists(st.tuples(st.integers(0, 30), st.integers(1, 15)), max_size=12),
)
def test_overlapping_or_gapped_batches_never_skip_records(steps, spans):
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
def test_late_copy_of_creation_does_not_restore_deleted_resource(distance):
    naive = NaiveReader()
    create = encode_record(make_change(naive, 0, 0, "a", "new", 0, 0.5, False))
    naive.version_by_key[ResourceKey("Service", "a")] = 0
    delete = encode_record(make_change(naive, 1, 1, "a", "current", 0, 0.5, True))
    filler = [b"not a record"] * (distance - 2)
    # In the second log, a change of another resource just before the copy moves the
    # window of retained change ids by one.
    other = encode_record(make_change(naive, distance, 2, "b", "new", 0, 0.5, False))
    for encoded_records in (
        [create, delete, *filler],
        [create, delete, *filler[1:], other],
    ):
        state = replay(make_records([*encoded_records, create]))
        assert ResourceKey("Service", "a") not in state.resource_by_key


@REPLAY_SETTINGS
@given(steps=STEPS)
def test_accepted_changes_take_effect_once_and_in_order(steps):
    records, naive = build_log(steps)
    batch = LogBatch(from_offset=0, next_offset=len(records), records=tuple(records))
    applied = apply_batch(ConfigState(), batch)
    change_id_by_log_offset = {
        record.offset: decode_change_id(record) for record in records
    }
    accepted = [
        (change.version, change_id_by_log_offset[change.version])
        for change in applied.changes
    ]
    assert accepted == naive.accepted
    rejected_offsets = {rejected.offset for rejected in applied.rejected_records}
    assert rejected_offsets.isdisjoint(offset for offset, _ in accepted)
    applied_records = [records[change.version].data for change in applied.changes]
    assert len(set(applied_records)) == len(applied_records), (
        "a copy of a record took effect"
    )


def decode_change_id(record):
    try:
        return getattr(decode_record(record.data), "change_id", None)
    except Exception:
        return None


@REPLAY_SETTINGS
@given(
    steps=STEPS,
    first=st.integers(0, 40),
    size=st.integers(1, 7),
)
def test_truncated_log_with_snapshot_yields_same_state(steps, first, size):
    records, _ = build_log(steps)
    first = min(first, len(records))
    reader = TruncatedLogReader(first_offset=first)
    for begin in range(first, len(records), size):
        batch_records = tuple(records[begin : begin + size])
        next_offset = begin + len(batch_records)
        reader.add(
            LogBatch(from_offset=begin, next_offset=next_offset, records=batch_records)
        )
    if reader.state is None:
        assert not has_complete_snapshot(records[first:], first)
        return
    assert reader.state == replay(records)


def has_complete_snapshot(records, first):
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
    return any(
        len(parts) == identity[2] for identity, parts in parts_by_identity.items()
    )


@REPLAY_SETTINGS
@given(steps=STEPS, at=st.integers(0, 40))
def test_snapshot_with_remaining_records_equals_full_replay(steps, at):
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


@REPLAY_SETTINGS
@given(steps=STEPS, at=st.integers(0, 40))
def test_comparing_states_yields_net_changes(steps, at):
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


def test_damaged_snapshot_raises_error():
    snapshot = make_snapshot(ConfigState(offset=3))
    for data in (snapshot.data[:-3], b"", snapshot.data.replace(b"x", b"y", 1)):
        damaged = Snapshot(at_offset=3, digest="0" * 32, data=data)
        with pytest.raises(SnapshotError):
            load_snapshot(damaged)


def test_route_without_service_yields_warning():
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
