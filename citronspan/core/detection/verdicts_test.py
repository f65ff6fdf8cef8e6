import itertools

from freezegun import freeze_time
from hypothesis import given, strategies as st

from citronspan.core.detection.floor import apply_floor
from citronspan.core.detection.verdicts import (
    VERDICT_TTL_SECONDS,
    Verdict,
    VerdictTable,
)

TARGETS = {f"t{index}": f"127.0.0.{index}:1" for index in range(5)}
VERDICTS = st.builds(
    lambda number, issuer, incarnation, sequence, state, evidence, age, remaining: (
        Verdict(
            target=f"t{number}",
            address=TARGETS[f"t{number}"],
            issuer=issuer,
            issuer_incarnation=incarnation,
            sequence=sequence,
            state=state,
            evidence=evidence,
            age_seconds=age,
            remaining_seconds=remaining,
        )
    ),
    st.integers(0, 4),
    st.sampled_from(["a", "b"]),
    st.integers(1, 2),
    st.integers(1, 3),
    st.sampled_from(["healthy", "ejected", "trial", "draining"]),
    st.floats(0, 60),
    st.floats(0, 20),
    st.floats(0, 20),
)


def merge_all(verdicts):
    table = VerdictTable()
    for verdict in verdicts:
        table.merge((verdict,))
    return table


def join_tables(*tables):
    joined = VerdictTable()
    for table in tables:
        joined.merge_table(table)
    return joined.verdict_by_key


@given(st.lists(VERDICTS), st.lists(VERDICTS), st.lists(VERDICTS))
def test_merge_is_commutative_associative_and_idempotent(first, second, third):
    with freeze_time("2026-01-01"):
        tables = [merge_all(verdicts) for verdicts in (first, second, third)]
    expected = join_tables(*tables)
    for order in itertools.permutations(tables):
        assert join_tables(*order, *order) == expected
    left = VerdictTable()
    left.verdict_by_key = join_tables(*tables[:2])
    right = VerdictTable()
    right.verdict_by_key = join_tables(*tables[1:])
    assert join_tables(left, tables[2]) == join_tables(tables[0], right) == expected


@given(st.lists(VERDICTS, max_size=30), st.randoms(), st.floats(0, 1))
def test_floor_holds_for_any_verdicts_in_any_order(verdicts, random, floor):
    slots = dict.fromkeys(TARGETS, 2)
    arriving = verdicts + random.sample(verdicts, len(verdicts) // 2)
    random.shuffle(arriving)
    with freeze_time("2026-01-01") as frozen:
        table = VerdictTable()
        for verdict in arriving:
            frozen.tick(random.choice([0.0, 0.1, 5.0]))
            table.merge((verdict,))
            combined = table.combine(TARGETS)
            result = apply_floor(
                slots_by_target=slots,
                evidence_by_target=combined.evidence_by_target,
                leaving=combined.leaving,
                floor=floor,
            )
            in_use = 2 * len(set(TARGETS) - combined.leaving - result.ejected)
            assert in_use >= floor * 10 or not result.ejected


@given(VERDICTS, st.floats(0, 500))
def test_late_copy_does_not_renew_expired_verdict(verdict, later):
    with freeze_time("2026-01-01") as frozen:
        table = merge_all([verdict])
        frozen.tick(VERDICT_TTL_SECONDS)
        assert not table.combine(TARGETS).verdict_by_target
        frozen.tick(later)
        table.drop_expired()
        table.merge((verdict,))
        assert not table.combine(TARGETS).verdict_by_target


def make_verdict(issuer, sequence, state, age=0.0):
    return Verdict(
        target="t1",
        address=TARGETS["t1"],
        issuer=issuer,
        issuer_incarnation=1,
        sequence=sequence,
        state=state,
        evidence=30.0,
        age_seconds=age,
    )


def test_newer_verdict_overrides_older_ones():
    table = merge_all([make_verdict("a", 1, "ejected", 5.0)])
    assert table.combine(TARGETS).evidence_by_target == {"t1": 30.0}
    table.merge((make_verdict("b", 1, "healthy", 1.0),))
    assert not table.combine(TARGETS).evidence_by_target
    table.merge((make_verdict("a", 2, "ejected", 0.5),))
    assert table.combine(TARGETS).evidence_by_target == {"t1": 30.0}


def test_verdict_on_another_address_is_ignored():
    table = merge_all([make_verdict("a", 1, "ejected")])
    assert not table.combine({"t1": "127.0.0.9:1"}).verdict_by_target
