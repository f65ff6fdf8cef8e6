"""Generates the tables of result codes and log events in docs/."""

from pathlib import Path

from citronspan.core.log_events import LOG_EVENT_BY_NUMBER
from citronspan.core.result_codes import RESULT_CODE_BY_NUMBER

DOCS = Path("docs")

_RESULT_CODES_HEAD = """# Result codes

Every refusal names its code in the header `Citronspan-Result` and whether the
request was run in `Citronspan-Ran`. For codes below 2000 the status is the exit
status of the program. Written by `make tables` from `core/result_codes.py`.

| code | name | status | ran | meaning |
|---|---|---|---|---|
"""

_LOG_EVENTS_HEAD = """# Log events

Each log line is one JSON object; `number` names the event. Written by
`make tables` from `core/log_events.py`.

| number | name | level | meaning |
|---|---|---|---|
"""


def format_result_codes() -> str:
    """Return the content of docs/RESULT_CODES.md."""
    rows = [
        f"| {code.number} | {code.name} | {code.http_status} | {code.ran}"
        f" | {code.meaning} |\n"
        for _, code in sorted(RESULT_CODE_BY_NUMBER.items())
    ]
    return _RESULT_CODES_HEAD + "".join(rows)


def format_log_events() -> str:
    """Return the content of docs/LOG_EVENTS.md."""
    rows = [
        f"| {event.number} | {event.name} | {event.level} | {event.meaning} |\n"
        for _, event in sorted(LOG_EVENT_BY_NUMBER.items())
    ]
    return _LOG_EVENTS_HEAD + "".join(rows)


def main() -> None:
    """Write both files."""
    (DOCS / "RESULT_CODES.md").write_text(format_result_codes())
    (DOCS / "LOG_EVENTS.md").write_text(format_log_events())


if __name__ == "__main__":
    main()
