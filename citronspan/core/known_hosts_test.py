"""Tests that the parts of all hosts together stay within the whole."""

import freezegun
import msgspec
from hypothesis import given, strategies as st

from citronspan.core.brokering.shards_test import make_node
from citronspan.core.known_hosts import (
    MAJORITY_MEMORY_SECONDS,
    MEETING_SECONDS,
    KnownHosts,
)

NAMES = tuple(f"n-{number}" for number in range(9))


def show(known, names, region="r-0"):
    known.set_nodes([make_node(name, region=region) for name in names])


@given(total=st.floats(0.0, 40.0), key=st.text(max_size=4))
def test_parts_of_hosts_that_are_all_alone_exceed_the_total(total, key):
    parts = []
    for name in NAMES:
        known = KnownHosts()
        show(known, NAMES)
        show(known, [name])
        parts.append(known.divide(total, name, key))
    assert total - 1 < sum(parts) <= total


@given(st.lists(st.integers(0, 3), min_size=len(NAMES), max_size=len(NAMES)))
def test_shares_of_the_parts_of_a_parted_fleet_exceed_one(part_by_host):
    shares = []
    for part in set(part_by_host):
        known = KnownHosts()
        show(known, NAMES)
        pairs = zip(NAMES, part_by_host, strict=True)
        show(known, [name for name, number in pairs if number == part])
        shares.append(known.compute_share())
    assert abs(sum(shares) - 1.0) < 1e-9


def test_lost_host_counts_for_ever_or_not_at_all():
    with freezegun.freeze_time("2026-01-01") as clock:
        known = KnownHosts()
        show(known, NAMES)
        show(known, NAMES[1:])
        assert known.count() == len(NAMES)
        clock.tick(MAJORITY_MEMORY_SECONDS + 1.0)
        assert known.count() == len(NAMES) - 1
        assert known.compute_share() == 1.0


def test_hosts_that_are_cut_off_forget_the_others_soon():
    with freezegun.freeze_time("2026-01-01") as clock:
        known = KnownHosts()
        show(known, NAMES)
        show(known, NAMES[:2])
        clock.tick(MAJORITY_MEMORY_SECONDS + 1.0)
        assert known.count() == len(NAMES)


def test_host_that_stops_counts_as_serving():
    known = KnownHosts()
    stopping = msgspec.structs.replace(make_node("n-0"), entry_state="draining")
    known.set_nodes([stopping, make_node("n-1")])
    assert known.count() == 1


def test_hosts_of_other_regions_count_in_one():
    known = KnownHosts()
    nodes = [make_node(name, region=f"r-{n % 2}") for n, name in enumerate(NAMES)]
    known.set_nodes(nodes)
    known.set_nodes(nodes[:1])
    assert (known.count("r-0"), known.count("r-1")) == (5, 4)
    assert (known.compute_share("r-0"), known.compute_share("r-1")) == (1 / 5, 0.0)


def test_host_that_has_met_nobody_speaks_for_the_fleet():
    """Others may have started apart from each other, too."""
    with freezegun.freeze_time("2026-01-01") as clock:
        known = KnownHosts()
        known.set_nodes([make_node("n-0")], awaits_peers=True)
        assert (known.compute_share(), known.divide(20.0, "n-0", "k")) == (0.0, 0)
        clock.tick(MEETING_SECONDS)
        assert (known.compute_share(), known.divide(20.0, "n-0", "k")) == (1.0, 20)
        clock.tick(-MEETING_SECONDS)
        known.set_nodes([make_node("n-0"), make_node("n-1")])
        assert known.compute_share() == 1.0
