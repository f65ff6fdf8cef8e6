import itertools
import random

from freezegun import freeze_time
from hypothesis import given, settings, strategies as st

from citronspan.core.detection.poison import (
    QUARANTINE_SECONDS,
    CrashReport,
    PoisonNotice,
    PoisonTable,
)
from citronspan.core.detection.service_health_test import (
    get_states,
    make_health,
    observe_successes,
)
from citronspan.core.outcomes import Outcome, OutcomeClass

CRASHING_FINGERPRINT = 99


def make_outcome(target, outcome_class, fingerprint):
    return Outcome(
        target=f"t{target}",
        outcome_class=outcome_class,
        latency_seconds=0.0,
        deadline_seconds=5.0,
        fingerprint=fingerprint,
    )


class CrashSimulation:
    """Targets that a request crashes, with the detection that observes them."""

    def __init__(self, *, count, frozen):
        self.count = count
        self.frozen = frozen
        self.table = PoisonTable(service="a")
        self.health = make_health(count)
        self.fingerprints = itertools.count(1000)
        observe_successes(self.health, frozen, range(count))

    def observe(self, target, outcome_class, fingerprint):
        outcome = make_outcome(target, outcome_class, fingerprint)
        self.table.observe(outcome)
        self.health.observe(outcome)

    def crash(self, target, bystander_count):
        lost = [CRASHING_FINGERPRINT] + [
            next(self.fingerprints) for _ in range(bystander_count)
        ]
        for fingerprint in lost:
            self.observe(target, OutcomeClass.ANSWER_LOST, fingerprint)
        self.frozen.tick(0.1)
        self.observe(target, OutcomeClass.CONNECT_FAILED, next(self.fingerprints))
        for other in range(self.count):
            if other != target:
                self.observe(other, OutcomeClass.OK, next(self.fingerprints))
        return lost


@settings(max_examples=40)
@given(st.integers(4, 9), st.integers(0, 5), st.integers(0, 2**32))
def test_crashing_request_is_quarantined_and_its_targets_stay_in_use(
    count, bystander_count, seed
):
    with freeze_time("2026-01-01") as frozen:
        simulation = CrashSimulation(count=count, frozen=frozen)
        order = random.Random(seed).sample(range(count), count)
        bystanders = set()
        crashes = 0
        while not simulation.table.is_quarantined(CRASHING_FINGERPRINT):
            bystanders.update(simulation.crash(order[crashes], bystander_count))
            crashes += 1
            frozen.tick(1)
        assert crashes <= 3
        assert simulation.table.list_quarantined() == (CRASHING_FINGERPRINT,)
        simulation.health.withdraw(CRASHING_FINGERPRINT)
        assert "ejected" not in get_states(simulation.health).values()
        bystanders.remove(CRASHING_FINGERPRINT)
        assert not any(map(simulation.table.is_quarantined, bystanders))
        frozen.tick(QUARANTINE_SECONDS + 1)
        assert simulation.table.list_quarantined() == ()


@given(st.lists(st.tuples(st.integers(0, 1), st.integers(1, 3)), max_size=200))
def test_losses_on_one_gray_target_quarantine_no_request(steps):
    with freeze_time("2026-01-01") as frozen:
        table = PoisonTable(service="a")
        for target, fingerprint in steps:
            frozen.tick(0.1)
            gray = target == 0
            outcome_class = OutcomeClass.ANSWER_LOST if gray else OutcomeClass.OK
            table.observe(make_outcome(target, outcome_class, fingerprint))
        assert table.list_quarantined() == ()


@given(st.integers(0, 2**32))
def test_frequent_request_with_random_losses_is_not_quarantined(seed):
    rng = random.Random(seed)
    with freeze_time("2026-01-01") as frozen:
        table = PoisonTable(service="a")
        for number in range(1000):
            frozen.tick(0.02)
            lost = number > 20 and rng.random() < 0.02
            outcome_class = OutcomeClass.ANSWER_LOST if lost else OutcomeClass.OK
            table.observe(make_outcome(rng.randrange(8), outcome_class, 5))
            assert not table.is_quarantined(5)


NOTICES = st.builds(
    lambda fingerprint, crashes, quarantine_seconds: PoisonNotice(
        service="a",
        fingerprint=fingerprint,
        quarantine_seconds=quarantine_seconds,
        crashes=tuple(
            CrashReport(target=f"t{target}", nats=nats, age_seconds=age)
            for target, nats, age in crashes
        ),
    ),
    st.integers(1, 3),
    st.lists(st.tuples(st.integers(0, 3), st.floats(0, 9), st.floats(0, 70))),
    st.sampled_from([0.0, 0.0, 20.0, 299.0]),
)


@given(st.lists(NOTICES), st.randoms())
def test_notices_merge_to_same_state_in_any_order_with_duplicates(notices, random):
    with freeze_time("2026-01-01"):
        first = PoisonTable(service="a")
        second = PoisonTable(service="a")
        for notice in notices:
            first.merge(notice)
        again = notices + random.sample(notices, len(notices) // 2)
        random.shuffle(again)
        for notice in again:
            second.merge(notice)
        by_fingerprint = [
            {notice.fingerprint: notice for notice in table.export_notices()}
            for table in (first, second)
        ]
        assert by_fingerprint[0] == by_fingerprint[1]
        assert set(first.list_quarantined()) == set(second.list_quarantined())


def test_evidence_of_one_crash_is_divided_among_its_requests():
    table = PoisonTable(service="a")
    for target in range(2):
        for fingerprint in range(1, 7):
            outcome_class = OutcomeClass.ANSWER_LOST
            table.observe(make_outcome(target, outcome_class, fingerprint))
    assert table.list_quarantined() == ()
    table = PoisonTable(service="a")
    for target in range(2):
        table.observe(make_outcome(target, OutcomeClass.ANSWER_LOST, 1))
    assert table.list_quarantined() == (1,)


def test_table_size_is_bounded():
    table = PoisonTable(service="a")
    for fingerprint in range(1, 5000):
        table.observe(make_outcome(0, OutcomeClass.ANSWER_LOST, fingerprint))
    assert len(table.export_notices()) <= 1024
