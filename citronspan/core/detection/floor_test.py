from hypothesis import given, strategies as st

from citronspan.core.detection.floor import apply_floor

NAMES = st.sampled_from([f"t{index}" for index in range(12)])
SLOTS = st.dictionaries(NAMES, st.integers(1, 6))
EVIDENCE = st.dictionaries(NAMES, st.floats(0, 100))
LEAVING = st.frozensets(NAMES)
FLOOR = st.floats(0, 1)


@given(SLOTS, EVIDENCE, LEAVING, FLOOR)
def test_ejection_never_breaks_the_floor(slots, evidence, leaving, floor):
    result = apply_floor(
        slots_by_target=slots,
        evidence_by_target=evidence,
        leaving=leaving,
        floor=floor,
    )
    in_use = sum(
        count
        for name, count in slots.items()
        if name not in leaving and name not in result.ejected
    )
    assert in_use == result.slots_in_use
    if in_use < floor * sum(slots.values()):
        assert not result.ejected
        assert result.is_broken_by_leaving
    assert not result.ejected & leaving
    assert not set(result.kept_by_floor) & leaving
    assert (
        set(result.kept_by_floor) | result.ejected
        == (set(evidence) & set(slots)) - leaving
    )


@given(SLOTS, EVIDENCE, LEAVING, FLOOR)
def test_no_ejection_is_ignored_without_need(slots, evidence, leaving, floor):
    result = apply_floor(
        slots_by_target=slots,
        evidence_by_target=evidence,
        leaving=leaving,
        floor=floor,
    )
    for name in result.kept_by_floor:
        assert all(evidence[name] <= evidence[other] for other in result.ejected)
    if result.kept_by_floor:
        last = result.kept_by_floor[-1]
        assert result.slots_in_use - slots[last] < result.floor_slots
