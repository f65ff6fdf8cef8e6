"""Tests that an entry that was started again is told what the others know."""

import pytest
from freezegun import freeze_time

from citronspan.core.detection.new_entries import NEW_SECONDS, TELLERS, NewEntries
from citronspan.core.node_messages import NodeInfo


def make_node(number, *, incarnation=1, state="serving"):
    return NodeInfo(
        name=f"n{number}",
        incarnation=incarnation,
        region="r",
        data_centre="d",
        agent_peer_address=f"agent-{number}",
        entry_peer_address=f"entry-{number}",
        entry_callers_address=f"callers-{number}",
        api_address=f"api-{number}",
        entry_state=state,
        entry_incarnation=incarnation,
    )


def tell(views):
    """Return who tells whom, by the numbers of the nodes."""
    return [
        (number, int(address.partition("-")[2]))
        for number, view in views.items()
        for address in view.list_due()
    ]


def make_views(count):
    views = {number: NewEntries(name=f"n{number}") for number in range(count)}
    for view in views.values():
        view.set_nodes([make_node(number) for number in range(count)])
    return views


@pytest.mark.parametrize("count", [2, 3, 4, 40])
@pytest.mark.parametrize("state", ["joining", "serving"])
def test_entry_started_again_is_told_by_nobody_or_by_all(count, state):
    with freeze_time("2026-01-01") as frozen:
        views = make_views(count)
        frozen.tick(NEW_SECONDS + 1)
        assert tell(views) == []
        again = make_node(1, incarnation=2, state=state)
        nodes = [again if n == 1 else make_node(n) for n in range(count)]
        views[1] = NewEntries(name="n1")
        for view in views.values():
            view.set_nodes(nodes)
        told = tell(views)
        assert sum(to == 1 for _, to in told) == min(count - 1, TELLERS)
        assert all(number == 1 or to == 1 for number, to in told)
        # The first messages to a new entry are often lost.
        assert tell(views) == []
        frozen.tick(1)
        assert sum(to == 1 for _, to in tell(views)) == min(count - 1, TELLERS)
        frozen.tick(NEW_SECONDS)
        assert tell(views) == []


def test_entry_that_was_cut_off_is_not_told_when_it_is_back():
    with freeze_time("2026-01-01") as frozen:
        views = make_views(3)
        frozen.tick(NEW_SECONDS + 1)
        views[0].set_nodes([make_node(0), make_node(1)])
        assert views[0].list_due() == []
        views[0].set_nodes([make_node(number) for number in range(3)])
        assert views[0].list_due() == ["entry-2"]
