from freezegun import freeze_time
from hypothesis import given, strategies as st

from citronspan.core.configuration.config_lag import (
    PROPAGATION_GRACE_SECONDS,
    LagTracker,
)

STEPS = st.lists(
    st.tuples(st.sampled_from(["own", "peer", "wait"]), st.integers(0, 9)), max_size=40
)


@given(steps=STEPS)
def test_peer_lag_counts_offsets_past_grace_at_its_last_report(steps):
    # Guards against lag for changes that are still propagating.
    with freeze_time("2026-01-01") as clock:
        tracker = LagTracker()
        now, own_offsets, expected = 0.0, [(0.0, 0)], 0
        for step, number in steps:
            if step == "wait":
                now += number
                clock.tick(number)
            elif step == "own":
                tracker.record_own_offset(number)
                own_offsets.append((now, max(number, own_offsets[-1][1])))
            else:
                tracker.record_peer_offset("a", number)
                due_offsets = [
                    offset
                    for recorded_at, offset in own_offsets
                    if recorded_at <= now - PROPAGATION_GRACE_SECONDS
                ]
                expected = max(0, max(due_offsets, default=0) - number)
            assert tracker.find_peer_lag("a") == expected
        tracker.retain_peers(set())
        assert tracker.find_peer_lag("a") == 0
