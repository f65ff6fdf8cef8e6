from hypothesis import given, strategies as st

from citronspan.core.configuration.config_record import SnapshotRecord
from citronspan.core.configuration.config_retention import (
    MINIMUM_SNAPSHOT_INTERVAL_SECONDS,
    RANK_STAGGER_SECONDS,
    RetentionStatus,
    SnapshotObserver,
    is_snapshot_due,
)

HOUR_SECONDS = 3600.0


def make_status(**changes):
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
    return RetentionStatus(**fields)


@given(
    rank=st.integers(0, 6),
    seconds=st.floats(0, 2 * HOUR_SECONDS),
    first=st.integers(0, 500),
    snapshot=st.none() | st.integers(0, 500),
)
def test_snapshot_is_due_at_lower_ranks_first(rank, seconds, first, snapshot):
    fields = {"first_offset": first, "snapshot_offset": snapshot}
    if not is_snapshot_due(
        make_status(rank=rank, seconds_since_snapshot=seconds, **fields)
    ):
        return
    assert seconds >= MINIMUM_SNAPSHOT_INTERVAL_SECONDS + rank * RANK_STAGGER_SECONDS
    for lower_rank in range(rank):
        assert is_snapshot_due(
            make_status(rank=lower_rank, seconds_since_snapshot=seconds, **fields)
        )


def test_snapshot_is_due_after_interval_or_when_ageing_out():
    assert not is_snapshot_due(make_status(seconds_since_snapshot=HOUR_SECONDS - 1))
    assert is_snapshot_due(make_status(seconds_since_snapshot=HOUR_SECONDS))
    ageing_out = make_status(
        seconds_since_snapshot=MINIMUM_SNAPSHOT_INTERVAL_SECONDS, first_offset=320
    )
    assert is_snapshot_due(ageing_out)
    recent = make_status(
        seconds_since_snapshot=MINIMUM_SNAPSHOT_INTERVAL_SECONDS, first_offset=200
    )
    assert not is_snapshot_due(recent)
    without_records = make_status(offset=0, seconds_since_snapshot=HOUR_SECONDS)
    assert not is_snapshot_due(without_records)


@given(order=st.permutations([0, 1, 2, 0, 1, 2, 2]))
def test_observer_reports_complete_snapshot_once_despite_repeated_parts(order):
    observer = SnapshotObserver()
    completed = [
        observer.record_part(
            SnapshotRecord(at_offset=3, digest="d", part=part, parts=3, data=b"")
        )
        for part in order
    ]
    assert completed.count(True) == 1
