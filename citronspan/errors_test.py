"""Checks that no exception is ignored silently.

Each ``except`` raises, logs, uses the exception by its name, or has a comment that
begins with "Ignored:" and gives the reason.
"""

import ast
from pathlib import Path

ROOT = Path(__file__).parent
REPORTING_CALL_PREFIXES = (
    "write_event",
    "print",
    "exception",
    "_note",
    "_refuse",
    "_fail",
)
MARKER = "# Ignored:"


def accounts_for_error(handler: ast.ExceptHandler, lines: list[str]) -> bool:
    """Return whether a handler raises, reports, uses the error or gives a reason."""
    for node in ast.walk(handler):
        if isinstance(node, ast.Raise):
            return True
        if isinstance(node, ast.Name) and node.id == handler.name:
            return True
        if isinstance(node, ast.Call) and is_reporting_call(node.func):
            return True
    handler_lines = lines[handler.lineno - 1 : handler.end_lineno]
    return any(MARKER in line for line in handler_lines)


def is_reporting_call(function: ast.expr) -> bool:
    """Return whether the name of a called function begins like a reporting one."""
    name = getattr(function, "attr", getattr(function, "id", ""))
    return name.startswith(REPORTING_CALL_PREFIXES)


def find_silent_handlers(source: str) -> list[int]:
    """Return the line numbers of the handlers that ignore an error silently."""
    lines = source.splitlines()
    return [
        node.lineno
        for node in ast.walk(ast.parse(source))
        if isinstance(node, ast.ExceptHandler) and not accounts_for_error(node, lines)
    ]


def test_silent_handler_is_found():
    silent = "try:\n    work()\nexcept OSError:\n    pass\n"
    assert find_silent_handlers(silent) == [3]
    assert find_silent_handlers(silent.replace("pass", "raise")) == []
    assert find_silent_handlers(silent.replace("pass", "write_event(a)")) == []
    assert find_silent_handlers(silent.replace("pass", f"pass  {MARKER} it ends")) == []


def test_no_handler_is_silent():
    found = []
    for path in sorted(ROOT.rglob("*.py")):
        if path.name.endswith("_test.py") or path.name == "conftest.py":
            continue
        for line in find_silent_handlers(path.read_text()):
            found.append(f"{path.relative_to(ROOT)}:{line}")
    assert found == []
