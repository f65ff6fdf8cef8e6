import msgspec

from citronspan.ops.operators.agent_status import FleetStatus, NodeStatus, TargetStatus
from citronspan.ops.operators.api_client_tables import (
    find_problems,
    format_resources,
    format_status,
)
from citronspan.ops.operators.resource_api_types import ResourceAnswer, ResourceStatus


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


def test_healthy_fleet_has_no_problems():
    assert find_problems(make_status()) == []
    assert "no known problems" in format_status(make_status())


def test_status_lists_each_problem_with_subject_and_reason():
    status = make_status(
        configuration_problem="$.routes[2].kind",
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
        "newest configuration is invalid: $.routes[2].kind",
        "log is unavailable",
        "t2 of a is ejected for 42 s: errors (reported by n2)",
        "n2 (d) is draining",
        "n2 is 3 offsets behind",
        "entry of n1 is at offset 5",
        "n4 is unreachable from n1",
        "n3 is dead or has left",
        "There is no Service",
    ):
        assert any(part in line for line in lines), part
    assert not any("t1" in line for line in lines[:9])


def test_status_of_large_fleet_shows_node_with_problem():
    nodes = tuple(make_node(f"n{number:03}") for number in range(470))
    nodes += (make_node("z", entry="stopped"),)
    text = format_status(make_status(nodes=nodes))
    assert "entry of z (d) is stopped" in text
    assert len(text.splitlines()) < 60


def test_wide_table_shows_target_state_and_evidence():
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
