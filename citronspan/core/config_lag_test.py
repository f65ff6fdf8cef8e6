from freezegun import freeze_time
from hypothesis import given, strategies as st

from citronspan.core.config_lag import PROPAGATION_GRACE_SECONDS, LagTracker

STEPS = st.lists(
    st.tuples(st.sampled_from(["own", "peer", "wait"]), st.integers(0, 9)), max_size=40
)


@given(steps=STEPS)
def test_a_peer_lags_by_what_was_due_when_it_was_heard(steps):
    with freeze_time("2026-01-01") as clock:
        tracker = LagTracker()
        now, own, expected = 0.0, [(0.0, 0)], 0
        for step, number in steps:
            if step == "wait":
                now += number
                clock.tick(number)
            elif step == "own":
                tracker.record_own_offset(number)
                own.append((now, max(number, own[-1][1])))
            else:
                tracker.record_peer_offset("a", number)
                due = [
                    offset
                    for at, offset in own
                    if at <= now - PROPAGATION_GRACE_SECONDS
                ]
                expected = max(0, max(due, default=0) - number)
            assert tracker.find_peer_lag("a") == expected
        tracker.retain_peers(set())
        assert tracker.find_peer_lag("a") == 0
