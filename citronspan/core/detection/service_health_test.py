import random
from itertools import pairwise

import pytest
from freezegun import freeze_time
from hypothesis import given, settings, strategies as st

from citronspan.core.detection.health import TargetInfo
from citronspan.core.detection.service_health import ServiceHealth
from citronspan.core.detection.verdicts import VerdictTable
from citronspan.core.outcomes import Outcome, OutcomeClass
from citronspan.core.resources import ServiceSpec


def make_targets(count, *, slots=2, leaving=()):
    return tuple(
        TargetInfo(
            name=f"t{index}",
            address=f"127.0.2.{index}:9000",
            region="north",
            data_centre="north-1",
            slots=slots,
            leaving=index in leaving,
        )
        for index in range(count)
    )


def make_health(count, **spec):
    health = ServiceHealth(name="a", spec=ServiceSpec(**spec))
    health.set_targets(make_targets(count))
    return health


def make_outcome(target, outcome_class=OutcomeClass.OK, latency=0.04, fingerprint=0):
    return Outcome(
        target=f"t{target}",
        outcome_class=outcome_class,
        latency_seconds=latency,
        deadline_seconds=5.0,
        fingerprint=fingerprint,
    )


def get_states(health):
    return {status.target: status.state for status in health.describe().targets}


def observe_failures(health, frozen, target, count=20):
    for _ in range(count):
        frozen.tick(0.05)
        health.observe(make_outcome(target, OutcomeClass.TARGET_ERROR, 0.002))


def observe_successes(health, frozen, targets, count=30):
    for _ in range(count):
        for target in targets:
            frozen.tick(0.01)
            health.observe(make_outcome(target))


def answer_trials(health, frozen, target, outcome_class, seconds):
    """Answer each trial request of a target at once and return their number."""
    sent = 0
    for _ in range(int(seconds / 0.05)):
        frozen.tick(0.05)
        limit = health.find_limits()[f"t{target}"]
        if not limit.trial or not limit.slots:
            continue
        sent += 1
        health.record_trial(f"t{target}")
        health.observe(make_outcome(target, outcome_class, 0.0))
    return sent


SEGMENTS = st.lists(
    st.tuples(
        st.floats(0, 1), st.sampled_from([0.5, 1, 2, 5, 20]), st.integers(20, 300)
    ),
    min_size=1,
    max_size=6,
)


@settings(max_examples=60)
@given(SEGMENTS, st.integers(2, 9), st.integers(0, 2**32))
def test_fault_common_to_all_targets_ejects_none(segments, count, seed):
    rng = random.Random(seed)
    with freeze_time("2026-01-01") as frozen:
        health = make_health(count, floor=0.0)
        for share, factor, length in segments:
            for _ in range(length):
                frozen.tick(0.01)
                failed = rng.random() < share
                outcome_class = OutcomeClass.TIMED_OUT if failed else OutcomeClass.OK
                latency = 0.04 * factor * rng.lognormvariate(0, 0.5)
                target = rng.randrange(count)
                health.observe(make_outcome(target, outcome_class, latency))
        assert set(get_states(health).values()) <= {"healthy", "suspect"}


@settings(max_examples=60)
@given(
    st.lists(
        st.tuples(
            st.sampled_from([OutcomeClass.OK, OutcomeClass.ANSWER_LOST]),
            st.floats(0.001, 10),
        ),
        max_size=100,
    ),
    st.integers(2, 9),
    st.randoms(),
)
def test_equal_outcomes_in_any_order_never_eject(outcomes, count, random):
    with freeze_time("2026-01-01") as frozen:
        health = make_health(count, floor=0.0)
        for outcome_class, latency in outcomes:
            order = random.sample(range(count), count)
            for target in order:
                frozen.tick(0.01)
                health.observe(make_outcome(target, outcome_class, latency))
            assert set(get_states(health).values()) <= {"healthy", "suspect"}


@pytest.mark.parametrize("failing", [1, 3, 5])
def test_failing_targets_are_ejected_down_to_the_floor(failing):
    with freeze_time("2026-01-01") as frozen:
        health = make_health(6, floor=0.5)
        observe_successes(health, frozen, range(6))
        for _ in range(200):
            frozen.tick(0.05)
            for target in range(6):
                if not health.find_limits()[f"t{target}"].slots:
                    continue
                bad = target < failing
                outcome_class = OutcomeClass.CONNECT_FAILED if bad else OutcomeClass.OK
                health.observe(make_outcome(target, outcome_class, 0.0))
        limits = health.find_limits()
        in_use = sum(limit.slots for limit in limits.values() if not limit.trial)
        assert in_use == 12 - 2 * min(failing, 3)
        assert health.describe().slots_in_use == in_use


@settings(max_examples=40)
@given(st.lists(st.tuples(st.integers(0, 4), st.integers(0, 9)), max_size=300))
def test_limits_never_fall_below_the_floor(steps):
    classes = list(OutcomeClass)
    with freeze_time("2026-01-01") as frozen:
        health = make_health(5, floor=0.6)
        for target, number in steps:
            frozen.tick(0.3)
            for _ in range(5):
                health.observe(make_outcome(target, classes[number], 0.0))
            status = health.describe()
            limits = health.find_limits()
            in_use = sum(limit.slots for limit in limits.values() if not limit.trial)
            unable = sum(
                2 for other in status.targets if "it reported that" in other.reason
            )
            assert in_use >= min(6, 10 - unable)


def test_draining_starting_or_leaving_target_gets_no_requests():
    with freeze_time("2026-01-01"):
        health = make_health(4)
        health.observe(make_outcome(0, OutcomeClass.DRAINING))
        health.observe(make_outcome(1, OutcomeClass.STARTING))
        health.set_targets(make_targets(4, leaving={2}))
        limits = health.find_limits()
        assert [limits[f"t{index}"].slots for index in range(4)] == [0, 0, 0, 2]


def test_failed_trials_back_off_and_passed_trial_returns_target():
    with freeze_time("2026-01-01") as frozen:
        health = make_health(6)
        observe_successes(health, frozen, range(6))
        observe_failures(health, frozen, 0)
        assert get_states(health)["t0"] == "ejected"
        trial_counts = [
            answer_trials(health, frozen, 0, OutcomeClass.TARGET_ERROR, 32)
            for _ in range(3)
        ]
        assert trial_counts[0] >= trial_counts[1] >= trial_counts[2] >= 1
        assert sum(trial_counts) < 32
        assert answer_trials(health, frozen, 0, OutcomeClass.OK, 40) < 10
        assert get_states(health)["t0"] == "healthy"
        frozen.tick(10)
        assert health.find_limits()["t0"].slots == 2


def test_back_off_grows_with_each_relapse():
    with freeze_time("2026-01-01") as frozen:
        health = make_health(6)
        observe_successes(health, frozen, range(6))
        waits = []
        for _ in range(4):
            observe_failures(health, frozen, 0)
            waited = 0
            while not health.find_limits()["t0"].trial:
                frozen.tick(0.5)
                waited += 0.5
            waits.append(waited)
            answer_trials(health, frozen, 0, OutcomeClass.OK, 3)
            assert get_states(health)["t0"] == "healthy"
        assert all(late > 1.8 * early for early, late in pairwise(waits))


def test_successor_starts_with_verdicts_of_its_predecessor():
    with freeze_time("2026-01-01") as frozen:
        before = make_health(6)
        observe_successes(before, frozen, range(6))
        observe_failures(before, frozen, 0)
        before.observe(make_outcome(1, OutcomeClass.DRAINING))
        table = VerdictTable()
        table.merge(before.export_verdicts(issuer="n1", incarnation=1))
        after = make_health(6)
        after.import_verdicts(table)
        assert get_states(after) == get_states(before)
        assert after.find_limits() == before.find_limits()


def test_withdrawn_failures_clear_only_targets_without_other_failures():
    with freeze_time("2026-01-01") as frozen:
        health = make_health(6)
        observe_successes(health, frozen, range(6))
        for _ in range(15):
            health.observe(make_outcome(0, OutcomeClass.ANSWER_LOST, 0.0, 7))
            health.observe(make_outcome(1, OutcomeClass.ANSWER_LOST, 0.0, 8))
            observe_successes(health, frozen, range(2, 6), 1)
        assert get_states(health)["t0"] == "ejected"
        health.withdraw(7)
        states = get_states(health)
        assert (states["t0"], states["t1"]) == ("healthy", "ejected")


def test_slow_start_ends_when_floor_requires_slots():
    with freeze_time("2026-01-01") as frozen:
        health = make_health(4, floor=0.75)
        health.observe(make_outcome(0, OutcomeClass.STARTING))
        frozen.tick(1)
        answer_trials(health, frozen, 0, OutcomeClass.OK, 2)
        assert health.find_limits()["t0"].slots == 1
        health.observe(make_outcome(1, OutcomeClass.DRAINING))
        assert health.find_limits()["t0"].slots == 2


def test_overdue_attempt_counts_once():
    with freeze_time("2026-01-01") as frozen:
        waiting, answered = make_health(6), make_health(6)
        for health in (waiting, answered):
            observe_successes(health, frozen, range(6))
        for _ in range(3):
            frozen.tick(1)
            waiting.record_overdue("t0")
            for health in (waiting, answered):
                health.observe(make_outcome(0, latency=0.9))
        for health in (waiting, answered):
            health.observe(make_outcome(0, latency=0.9))
        evidence = [
            health.describe().targets[0].evidence for health in (waiting, answered)
        ]
        assert evidence[0] == pytest.approx(evidence[1], rel=0.01)


def test_suspect_gets_only_trials_while_there_are_spare_slots():
    with freeze_time("2026-01-01") as frozen:
        idle, busy = make_health(6), make_health(6)
        for _ in range(100):
            frozen.tick(0.1)
            for target in range(6):
                idle.observe(make_outcome(target, latency=0.01))
                busy.observe(make_outcome(target, latency=0.18))
        for health in (idle, busy):
            for _ in range(3):
                health.observe(make_outcome(0, OutcomeClass.TARGET_ERROR))
        assert get_states(idle)["t0"] == get_states(busy)["t0"] == "suspect"
        limit = idle.find_limits()["t0"]
        assert (limit.slots, limit.trial) == (1, True)
        idle.record_trial("t0")
        assert idle.find_limits()["t0"].slots == 0
        assert busy.find_limits()["t0"].slots == 2
        assert not busy.find_limits()["t0"].trial


def test_target_returns_without_idempotent_requests():
    with freeze_time("2026-01-01") as frozen:
        health = make_health(6)
        observe_successes(health, frozen, range(6))
        observe_failures(health, frozen, 0)
        for _ in range(400):
            frozen.tick(0.1)
            limit = health.find_limits()["t0"]
            if limit.slots and limit.allow_non_idempotent:
                health.record_trial("t0")
                health.observe(make_outcome(0, latency=0.04))
        assert get_states(health)["t0"] == "healthy"


def test_floor_does_not_use_draining_target():
    with freeze_time("2026-01-01") as frozen:
        health = make_health(2, floor=1.0)
        health.observe(make_outcome(0, OutcomeClass.DRAINING))
        assert health.find_limits()["t0"].slots == 0
        frozen.tick(121)
        assert get_states(health)["t0"] == "trial"
        assert health.find_limits()["t0"].slots == 1
        assert health.describe().floor_broken_by_leaving


def test_slow_answers_of_cold_target_are_not_evidence():
    with freeze_time("2026-01-01") as frozen:
        health = make_health(5)
        observe_successes(health, frozen, range(5))
        health.set_targets(make_targets(6))
        assert health.find_limits()["t5"].slots == 1
        for _ in range(40):
            frozen.tick(0.15)
            observe_successes(health, frozen, range(5), 1)
            health.observe(make_outcome(5, latency=0.15))
        assert get_states(health)["t5"] == "healthy"
        frozen.tick(5)
        for _ in range(40):
            observe_successes(health, frozen, range(5), 1)
            health.observe(make_outcome(5, latency=0.15))
        assert get_states(health)["t5"] == "ejected"


def test_cancelled_attempt_counts_only_when_overdue():
    with freeze_time("2026-01-01") as frozen:
        early, late = make_health(6), make_health(6)
        for health, latency in ((early, 0.05), (late, 0.9)):
            observe_successes(health, frozen, range(6))
            for _ in range(5):
                health.observe(make_outcome(0, OutcomeClass.CANCELLED, latency))
        assert early.describe().targets[0].evidence == 0
        assert late.describe().targets[0].evidence > 7
