"""Tables that operators read on a terminal."""

from collections.abc import Iterable

import msgspec

from citronspan.ops.agent_status import FleetStatus
from citronspan.ops.resource_api import ResourceAnswer


def format_table(head: tuple[str, ...], rows: Iterable[tuple[str, ...]]) -> str:
    """Return rows under a head, in columns as wide as they must be."""
    lines = [head, *rows]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def format_resources(items: tuple[ResourceAnswer, ...], *, wide: bool) -> str:
    """Return a table of resources, with their specifications if wide."""
    head = ("KIND", "NAME", "VERSION", "WARNINGS")
    if wide:
        head += ("SPEC",)
    rows = []
    for item in items:
        warnings = " ".join(item.status.warnings) or "-"
        row = (item.kind, item.name, str(item.version), warnings)
        if wide:
            row += (msgspec.json.encode(item.spec).decode(),)
        rows.append(row)
    return format_table(head, rows)


def format_status(status: FleetStatus) -> str:
    """Return the status as one screen, what is wrong first."""
    lines = [f"as seen by {status.node}; log {status.log}"]
    rows = [
        (
            node.name,
            node.region,
            node.data_centre,
            node.entry,
            str(node.offset),
            str(node.behind),
        )
        for node in sorted(
            status.nodes,
            key=lambda node: (node.entry == "serving", -node.behind, node.name),
        )
    ]
    head = ("NODE", "REGION", "DATA CENTRE", "ENTRY", "OFFSET", "BEHIND")
    lines.append(
        f"configuration: offset {status.offset}, {status.resources} resources,"
        f" {status.void_records} void records"
    )
    lines.append(format_table(head, rows))
    return "\n".join(lines)
