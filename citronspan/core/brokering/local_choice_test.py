import random

from hypothesis import given, strategies as st

from citronspan.core.brokering.broker_test import make_target
from citronspan.core.brokering.local_choice import choose_target_without_broker

NAMES = [f"t-{number}" for number in range(5)]
names = st.frozensets(st.sampled_from(NAMES))
counts = st.dictionaries(st.sampled_from(NAMES), st.integers(0, 3))


@given(names, names, names, counts, counts, st.integers(0, 99))
def test_only_usable_targets_are_chosen(
    leaving, ejected, excluded, in_flight, load, seed
):
    targets = tuple(make_target(name, leaving=name in leaving) for name in NAMES)
    usable = {
        name
        for name in NAMES
        if name not in leaving | ejected | excluded and in_flight.get(name, 0) < 2
    }
    target = choose_target_without_broker(
        targets,
        ejected=ejected,
        excluded=excluded,
        in_flight_by_target=in_flight,
        load_by_target=load,
        draw=random.Random(seed),
    )
    assert (target is not None) == bool(usable)
    assert target is None or target.name in usable


def test_target_with_lower_utilization_is_chosen():
    targets = (make_target("t-0"), make_target("t-1"))
    for seed in range(20):
        target = choose_target_without_broker(
            targets,
            ejected=frozenset(),
            excluded=frozenset(),
            in_flight_by_target={},
            load_by_target={"t-0": 1},
            draw=random.Random(seed),
        )
        assert target.name == "t-1"
