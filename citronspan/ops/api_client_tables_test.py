import msgspec

from citronspan.ops.agent_status import FleetStatus, NodeStatus, TargetStatus
from citronspan.ops.api_client_tables import (
    find_problems,
    format_resources,
    format_status,
)
from citronspan.ops.resource_api_types import ResourceAnswer, ResourceStatus


def make_node(name, **changes):
    fields = {"entry": "serving", "offset": 7, "behind": 0, **changes}
    return NodeStatus(name=name, region="r", data_centre="d", **fields)


def make_status(**changes):
    fields = {
        "node": "n1",
        "ready": True,
        "offset": 7,
        "entry_offset": 7,
        "log": "reachable",
        "log_offset": 7,
        "resources": 3,
        "void_records": 0,
        "warnings": (),
        "warnings_left_out": 0,
        "nodes": (make_node("n1"),),
        **changes,
    }
    return FleetStatus(**fields)


def test_a_healthy_fleet_has_no_problems():
    assert find_problems(make_status()) == []
    assert "nothing is known to be wrong" in format_status(make_status())


def test_each_problem_is_on_the_first_screen_and_names_who_and_why():
    status = make_status(
        log="away",
        entry_offset=5,
        nodes=(make_node("n1"), make_node("n2", entry="draining", behind=3)),
        targets=(
            TargetStatus(name="t1", service="a", state="healthy", slots_in_use=1),
            TargetStatus(
                name="t2",
                service="a",
                state="ejected",
                since_seconds=42,
                evidence="errors",
                by="n2",
            ),
        ),
        unreachable=("n4",),
        gone=("n3",),
        warnings=("Route/x: There is no Service 'y'.",),
    )
    lines = format_status(status).splitlines()[1:12]
    for part in (
        "log is away",
        "t2 of a is ejected for 42 s: errors (says n2)",
        "n2 (d) is draining",
        "n2 is 3 offsets behind",
        "offset 5 in force",
        "n4 cannot be heard",
        "n3 is gone",
        "There is no Service",
    ):
        assert any(part in line for line in lines), part
    assert not any("t1" in line for line in lines[:9])


def test_a_node_with_a_problem_is_shown_however_many_there_are():
    nodes = tuple(make_node(f"n{number:03}") for number in range(470))
    nodes += (make_node("z", entry="stopped"),)
    text = format_status(make_status(nodes=nodes))
    assert "entry of z (d) is stopped" in text
    assert len(text.splitlines()) < 60


def test_a_wide_table_shows_the_state_of_a_target_and_why():
    target = TargetStatus(
        name="t",
        service="a",
        state="ejected",
        since_seconds=3,
        evidence="slow",
        slots_in_use=0,
        slots=6,
    )
    item = ResourceAnswer(
        kind="Target",
        name="t",
        version=4,
        spec=msgspec.Raw(b"{}"),
        status=ResourceStatus(target=target),
    )
    wide = format_resources((item,), wide=True).splitlines()[1].split("  ")
    assert [cell.strip() for cell in wide if cell] == [
        *("Target", "t", "4", "-", "ejected", "3 s", "0/6", "slow", "{}")
    ]
    assert "slow" not in format_resources((item,), wide=False)
