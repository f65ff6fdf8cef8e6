"""No error is passed over without a word.

Each ``except`` raises, logs, hands the error on by its name, or says why nobody needs
to hear of it in a comment that begins with "Ignored:".
"""

import ast
from pathlib import Path

ROOT = Path(__file__).parent
TELLING_CALLS = ("write_event", "print", "exception", "_note", "_refuse", "_fail")
REASON = "# Ignored:"


def is_told(handler: ast.ExceptHandler, lines: list[str]) -> bool:
    """Return whether a handler raises, logs, hands on the error or gives a reason."""
    for node in ast.walk(handler):
        if isinstance(node, ast.Raise):
            return True
        if isinstance(node, ast.Name) and node.id == handler.name:
            return True
        if isinstance(node, ast.Call) and is_telling(node.func):
            return True
    text = lines[handler.lineno - 1 : handler.end_lineno]
    return any(REASON in line for line in text)


def is_telling(function: ast.expr) -> bool:
    """Return whether a call tells somebody."""
    name = getattr(function, "attr", getattr(function, "id", ""))
    return name.startswith(TELLING_CALLS)


def find_silent(source: str) -> list[int]:
    """Return the lines of the handlers that pass an error over."""
    lines = source.splitlines()
    return [
        node.lineno
        for node in ast.walk(ast.parse(source))
        if isinstance(node, ast.ExceptHandler) and not is_told(node, lines)
    ]


def test_a_handler_that_says_nothing_is_found():
    silent = "try:\n    work()\nexcept OSError:\n    pass\n"
    assert find_silent(silent) == [3]
    assert find_silent(silent.replace("pass", "raise")) == []
    assert find_silent(silent.replace("pass", "write_event(a)")) == []
    assert find_silent(silent.replace("pass", f"pass  {REASON} it ends")) == []


def test_no_error_is_passed_over_without_a_word():
    found = []
    for path in sorted(ROOT.rglob("*.py")):
        if path.name.endswith("_test.py") or path.name == "conftest.py":
            continue
        for line in find_silent(path.read_text()):
            found.append(f"{path.relative_to(ROOT)}:{line}")
    assert found == []
