from hypothesis import given, strategies as st

from citronspan.core.config_record import SnapshotRecord
from citronspan.core.config_retention import (
    MINIMUM_SNAPSHOT_INTERVAL_SECONDS,
    RANK_STAGGER_SECONDS,
    RetentionFacts,
    SnapshotObserver,
    is_snapshot_due,
)

HOUR_SECONDS = 3600.0


def make_facts(**changes):
    fields = {
        "rank": 0,
        "offset": 500,
        "first_offset": 0,
        "next_offset": 500,
        "snapshot_offset": 400,
        "seconds_since_snapshot": 0.0,
        "interval_seconds": HOUR_SECONDS,
        **changes,
    }
    return RetentionFacts(**fields)


@given(
    rank=st.integers(0, 6),
    seconds=st.floats(0, 2 * HOUR_SECONDS),
    first=st.integers(0, 500),
    snapshot=st.none() | st.integers(0, 500),
)
def test_a_lower_rank_is_always_due_first(rank, seconds, first, snapshot):
    facts = {"first_offset": first, "snapshot_offset": snapshot}
    if not is_snapshot_due(
        make_facts(rank=rank, seconds_since_snapshot=seconds, **facts)
    ):
        return
    assert seconds >= MINIMUM_SNAPSHOT_INTERVAL_SECONDS + rank * RANK_STAGGER_SECONDS
    for lower in range(rank):
        assert is_snapshot_due(
            make_facts(rank=lower, seconds_since_snapshot=seconds, **facts)
        )


def test_a_snapshot_is_due_after_the_interval_or_when_it_ages_out():
    assert not is_snapshot_due(make_facts(seconds_since_snapshot=HOUR_SECONDS - 1))
    assert is_snapshot_due(make_facts(seconds_since_snapshot=HOUR_SECONDS))
    ageing = make_facts(
        seconds_since_snapshot=MINIMUM_SNAPSHOT_INTERVAL_SECONDS, first_offset=320
    )
    assert is_snapshot_due(ageing)
    fresh = make_facts(
        seconds_since_snapshot=MINIMUM_SNAPSHOT_INTERVAL_SECONDS, first_offset=200
    )
    assert not is_snapshot_due(fresh)
    nothing = make_facts(offset=0, seconds_since_snapshot=HOUR_SECONDS)
    assert not is_snapshot_due(nothing)


@given(order=st.permutations([0, 1, 2, 0, 1, 2, 2]))
def test_a_snapshot_is_noted_once_however_often_its_parts_come(order):
    witness = SnapshotObserver()
    noted = [
        witness.record_part(
            SnapshotRecord(at_offset=3, digest="d", part=part, parts=3, data=b"")
        )
        for part in order
    ]
    assert noted.count(True) == 1
