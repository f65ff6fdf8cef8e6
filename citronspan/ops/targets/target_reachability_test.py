import freezegun

from citronspan.ops.targets.target_reachability import (
    FAILURE_SECONDS,
    TargetReachability,
)


def test_one_dead_target_is_not_taken_for_a_cut():
    reachability = TargetReachability()
    for _ in range(5):
        reachability.record_failed("t-1")
    assert not reachability.is_cut_off


def test_failures_of_long_ago_do_not_add_up_to_a_cut():
    reachability = TargetReachability()
    for number in range(5):
        reachability.record_failed(f"t-{number}")
        reachability.record_connected()
    assert not reachability.is_cut_off


def test_cut_of_a_fleet_with_two_targets_is_noticed():
    reachability = TargetReachability(count_targets=lambda: 2)
    reachability.record_failed("t-1")
    reachability.record_failed("t-2")
    assert reachability.is_cut_off
    reachability.record_connected()
    assert not reachability.is_cut_off


def test_targets_that_died_at_different_times_are_not_taken_for_a_cut():
    with freezegun.freeze_time("2026-01-01") as clock:
        reachability = TargetReachability()
        for number in range(5):
            reachability.record_failed(f"t-{number}")
            clock.tick(FAILURE_SECONDS / 2)
        assert not reachability.is_cut_off


def test_open_connections_that_still_answer_are_not_given_up():
    with freezegun.freeze_time("2026-01-01") as clock:
        reachability = TargetReachability()
        reachability.record_answered()
        for number in range(3):
            clock.tick(0.1)
            reachability.record_failed(f"t-{number}")
        assert reachability.is_cut_off
        assert not reachability.has_answers
        clock.tick(0.1)
        reachability.record_answered()
        assert reachability.has_answers
