"""Writes the tables of docs/CAPACITY.md from the results of the benchmarks.

The page holds a pair of marker comments for each table, and this program writes the
text between them, so that the page always agrees with the results.
``python -m bench.capacity`` writes the page and the plots.
``python -m bench.capacity check`` only compares the page: it exits with status 1 if
the page is out of date.
"""

import json
import sys
from dataclasses import dataclass
from pathlib import Path

import matplotlib as mpl

mpl.use("svg")
mpl.rcParams["svg.hashsalt"] = "citronspan"

import numpy as np  # noqa: E402
from matplotlib import pyplot as plt  # noqa: E402

ROOT = Path(__file__).parents[1]
RESULTS = ROOT / "bench" / "results"
PAGE = ROOT / "docs" / "CAPACITY.md"
PLOTS = ROOT / "docs" / "plots"


@dataclass(frozen=True, kw_only=True)
class Table:
    """One table of the page.

    Attributes:
        name: Name in the marker comments and in the file name of the plot.
        file: Name of the file in ``bench/results``.
        path: Keys that lead to the list of rows; empty if the whole file is the list.
        nested_key: Key of a list in each row. Its items become the rows of the table,
            each merged with the row that contains it. Empty if there is none.
        columns: Columns, with dots for nested keys. The first one is the size.
        slope_columns: Columns for which a linear fit over the first column is given.
    """

    name: str
    file: str
    path: tuple[str, ...] = ()
    nested_key: str = ""
    columns: tuple[str, ...]
    slope_columns: tuple[str, ...] = ()


TABLES = (
    Table(
        name="membership",
        file="membership.json",
        path=("rows",),
        columns=(
            "nodes",
            "least_known",
            "idle.messages_per_second",
            "idle.bytes_per_second",
            "idle.core_share_percent",
            "churn.bytes_per_second",
            "churn.core_share_percent",
        ),
        slope_columns=("idle.bytes_per_second", "idle.core_share_percent"),
    ),
    Table(
        name="detection",
        file="detection-cost.json",
        path=("cost",),
        columns=(
            "targets",
            "observeMicroseconds",
            "findLimitsMicroseconds",
            "recomputeMicroseconds",
            "poisonMicroseconds",
            "bytesPerTarget",
        ),
        slope_columns=("recomputeMicroseconds",),
    ),
    Table(
        name="spells",
        file="spells.json",
        path=(),
        columns=(
            "service",
            "load",
            "served",
            "worth",
            "failedAttempts",
            "failedAttemptsPerSpell",
        ),
    ),
    Table(
        name="decisions",
        file="choice-costs.json",
        path=("decisions",),
        columns=("targets", "waiting", "requestMicroseconds", "releaseMicroseconds"),
    ),
    Table(
        name="views",
        file="choice-costs.json",
        path=("views",),
        columns=(
            "nodes",
            "services",
            "formMilliseconds",
            "firstViewMilliseconds",
            "changeMilliseconds",
        ),
    ),
    Table(
        name="hop",
        file="hop.json",
        path=("rows",),
        columns=(
            "tracing",
            "rate_per_second",
            "requests",
            "failed",
            "bare_p50_ms",
            "bare_p99_ms",
            "entry_p50_ms",
            "entry_p99_ms",
            "added_p50_ms",
            "added_p99_ms",
            "entry_cpu_ms_per_request",
            "entry_rss_mb",
        ),
    ),
    Table(
        name="idle",
        file="hop.json",
        path=("idle",),
        columns=("process", "core_share", "rss_mb", "peer_bytes_per_second"),
    ),
    Table(
        name="spread",
        file="spread.json",
        columns=(
            "agents",
            "load_average",
            "ready_seconds",
            "spread.samples",
            "spread.from_accepted.p50",
            "spread.from_accepted.p99",
        ),
    ),
    Table(
        name="control",
        file="spread.json",
        nested_key="costs",
        columns=(
            "agents",
            "phase",
            "cpu_percent_mean",
            "cpu_percent_max",
            "sent_bytes_per_second_mean",
            "sent_bytes_per_second_max",
            "sent_messages_per_second_mean",
            "rss_mb_max",
        ),
    ),
    Table(
        name="resources",
        file="spread-resources.json",
        nested_key="costs",
        columns=(
            "agents",
            "resources",
            "phase",
            "cpu_percent_mean",
            "cpu_percent_max",
            "sent_bytes_per_second_mean",
            "rss_mb_max",
        ),
    ),
    Table(
        name="keys",
        file="keys.json",
        path=("latency",),
        columns=(
            "label",
            "roundTrip.p50Milliseconds",
            "roundTrip.p99Milliseconds",
            "claim.p50Milliseconds",
            "claim.p99Milliseconds",
            "messagesPerRequest",
            "bytesPerRequest",
        ),
    ),
)


def read_rows(table: Table) -> list[dict]:
    """Return the rows of a table, each flattened to dotted keys.

    A mapping of labels to rows becomes rows with a ``label`` column.
    """
    data = json.loads((RESULTS / table.file).read_text())
    for key in table.path:
        data = data[key]
    if isinstance(data, dict):
        data = [{"label": label, **row} for label, row in data.items()]
    if table.nested_key:
        data = [{**row, **item} for row in data for item in row[table.nested_key]]
    return [flatten(row) for row in data]


def flatten(row: dict, prefix: str = "") -> dict:
    """Return a nested mapping as one level with dotted keys."""
    flat = {}
    for key, value in row.items():
        if isinstance(value, dict):
            flat.update(flatten(value, f"{prefix}{key}."))
            continue
        flat[prefix + key] = value
    return flat


def format_value(value) -> str:
    """Return the text of a cell; floats get at most four significant digits."""
    if isinstance(value, float):
        return f"{value:.4g}"
    return str(value)


def format_table(table: Table) -> str:
    """Return the table in Markdown, with its linear fits below it."""
    rows = read_rows(table)
    lines = [
        "| " + " | ".join(table.columns) + " |",
        "|" + "---|" * len(table.columns),
    ]
    for row in rows:
        cells = [format_value(row[column]) for column in table.columns]
        lines.append("| " + " | ".join(cells) + " |")
    for column in table.slope_columns:
        lines.append("")
        lines.append(format_slope(table, rows, column))
    return "\n".join(lines)


def format_slope(table: Table, rows: list[dict], column: str) -> str:
    """Return the least-squares line of a column over the first column."""
    sizes = [row[table.columns[0]] for row in rows]
    slope, intercept = np.polyfit(sizes, [row[column] for row in rows], 1)
    return f"`{column}` = {intercept:.4g} + {slope:.4g} x {table.columns[0]}"


def replace_tables(text: str) -> str:
    """Return the page with the tables between its markers regenerated."""
    for table in TABLES:
        begin = f"<!-- begin {table.name} -->"
        end = f"<!-- end {table.name} -->"
        if begin not in text:
            continue
        head, _, rest = text.partition(begin)
        _, _, tail = rest.partition(end)
        text = f"{head}{begin}\n{format_table(table)}\n{end}{tail}"
    return text


def write_plots() -> None:
    """Write a plot for each table that has linear fits."""
    PLOTS.mkdir(exist_ok=True)
    for table in TABLES:
        if not table.slope_columns:
            continue
        rows = read_rows(table)
        sizes = [row[table.columns[0]] for row in rows]
        figure, axes = plt.subplots(
            len(table.slope_columns),
            1,
            figsize=(6, 3 * len(table.slope_columns)),
            squeeze=False,
        )
        for axis, column in zip(axes[:, 0], table.slope_columns, strict=True):
            axis.plot(sizes, [row[column] for row in rows], marker="o")
            axis.set_xlabel(table.columns[0])
            axis.set_ylabel(column)
            axis.set_ylim(bottom=0)
        figure.tight_layout()
        figure.savefig(PLOTS / f"{table.name}.svg", metadata={"Date": None})
        plt.close(figure)


def main() -> int:
    """Write the page and the plots, or only compare the page.

    Returns:
        The exit status.
    """
    text = PAGE.read_text()
    updated = replace_tables(text)
    if "check" in sys.argv[1:]:
        return 0 if updated == text else 1
    PAGE.write_text(updated)
    write_plots()
    return 0


if __name__ == "__main__":
    sys.exit(main())
