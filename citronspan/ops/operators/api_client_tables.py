"""Formats tables of resources and status for a terminal."""

from collections.abc import Iterable

import msgspec

from citronspan.ops.operators.agent_status import FleetStatus, TargetStatus
from citronspan.ops.operators.resource_api_types import ResourceAnswer

# Limits the node table to about one screen; nodes with problems come first.
MAXIMUM_NODE_ROWS = 40


def format_table(titles: tuple[str, ...], rows: Iterable[tuple[str, ...]]) -> str:
    """Return a table whose columns are as wide as their longest cell.

    Args:
        titles: The column titles.
        rows: The cells of each row, as many as titles.
    """
    lines = [titles, *rows]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def format_resources(items: tuple[ResourceAnswer, ...], *, wide: bool) -> str:
    """Return a table of resources.

    Args:
        items: The resources.
        wide: Whether to add the states of targets and the specifications.
    """
    titles = ("KIND", "NAME", "VERSION", "WARNINGS")
    if wide:
        titles += ("STATE", "SINCE", "SLOTS", "EVIDENCE", "SPEC")
    rows = []
    for item in items:
        warnings = " ".join(item.status.warnings) or "-"
        row = (item.kind, item.name, str(item.version), warnings)
        if wide:
            row += _format_target_state(item.status.target)
            row += (msgspec.json.encode(item.spec).decode(),)
        rows.append(row)
    return format_table(titles, rows)


def format_status(status: FleetStatus) -> str:
    """Return the status as one screen: the problems, then targets and nodes."""
    problems = find_problems(status)
    lines = [
        f"as seen by {status.node}: {len(status.nodes)} nodes live,"
        f" log {status.log}, configuration offset {status.offset}"
        f" ({status.resources} resources, {status.void_records} void records)",
        f"WRONG NOW ({len(problems)})" if problems else "no known problems",
    ]
    lines.extend(f"  {problem}" for problem in problems)
    if status.targets:
        lines.extend(["", _format_targets(status.targets)])
    lines.extend(["", _format_nodes(status.nodes)])
    return "\n".join(lines)


def find_problems(status: FleetStatus) -> list[str]:
    """Return the problems that need an operator's attention, most urgent first.

    Args:
        status: The status returned by an agent.

    Returns:
        One sentence for each problem.
    """
    problems = []
    if not status.ready:
        problems.append(
            f"{status.node} has not loaded its configuration yet and serves no requests"
        )
    if status.configuration_problem:
        problems.append(
            f"the newest configuration is invalid: {status.configuration_problem}"
        )
    if status.log == "away":
        problems.append(
            "the log is unavailable: changes are rejected (2004), the fleet continues"
            f" with offset {status.offset}"
        )
    for target in status.targets:
        if target.state == "healthy":
            continue
        problems.append(
            f"target {target.name} of {target.service} is {target.state} for"
            f" {target.since_seconds:.0f} s: {target.evidence or 'no reason given'}"
            f" (reported by {target.by or 'its broker'})"
        )
    for node in status.nodes:
        if node.entry != "serving":
            problems.append(
                f"entry of {node.name} ({node.data_centre}) is {node.entry}"
            )
        if node.behind:
            problems.append(f"{node.name} is {node.behind} offsets behind")
    if 0 <= status.entry_offset < status.offset:
        problems.append(
            f"entry of {status.node} is at offset {status.entry_offset},"
            f" its agent at {status.offset}"
        )
    problems.extend(
        f"{name} is unreachable from {status.node}, but not from other nodes"
        for name in status.unreachable
    )
    problems.extend(f"{name} is dead or has left" for name in status.gone)
    problems.extend(status.warnings)
    if status.warnings_left_out:
        problems.append(
            f"and {status.warnings_left_out} more warnings, see get -o wide"
        )
    return problems


def _format_target_state(target: TargetStatus | None) -> tuple[str, ...]:
    if target is None:
        return ("-", "-", "-", "-")
    slots = f"{target.slots_in_use}/{target.slots}"
    since = f"{target.since_seconds:.0f} s"
    return (target.state, since, slots, target.evidence or "-")


def _format_targets(targets) -> str:
    titles = ("TARGET", "SERVICE", "STATE", "SINCE", "SLOTS", "EVIDENCE", "BY")
    rows = []
    for target in sorted(targets, key=lambda target: (target.service, target.name)):
        state = _format_target_state(target)
        rows.append((target.name, target.service, *state, target.by or "-"))
    return format_table(titles, rows)


def _format_nodes(nodes) -> str:
    titles = ("NODE", "REGION", "DATA CENTRE", "ENTRY", "OFFSET", "BEHIND")
    ordered = sorted(
        nodes, key=lambda node: (node.entry == "serving", -node.behind, node.name)
    )
    rows = [
        (
            node.name,
            node.region,
            node.data_centre,
            node.entry,
            str(node.offset),
            str(node.behind),
        )
        for node in ordered[:MAXIMUM_NODE_ROWS]
    ]
    table = format_table(titles, rows)
    if len(ordered) > MAXIMUM_NODE_ROWS:
        table += f"\n... and {len(ordered) - MAXIMUM_NODE_ROWS} more"
    return table
