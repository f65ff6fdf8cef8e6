from citronspan.ops.target_reachability import TargetReachability


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
