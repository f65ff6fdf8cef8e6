"""Reads log files for the analysis of past events."""

from pathlib import Path

from citronspan.core import result_codes
from citronspan.core.errors import CitronspanError
from citronspan.core.requests.explain import LogLine, read_line


def read_log(path: str) -> list[LogLine]:
    """Read the fleet's lines of a log file and skip other lines.

    Args:
        path: Path of the file.

    Returns:
        The lines in the order of the file.

    Raises:
        CitronspanError: With code 2014 if the file cannot be read.
    """
    try:
        text = Path(path).read_text(errors="replace")
    except OSError as error:
        raise CitronspanError(
            code=result_codes.LOG_UNREADABLE, detail=f"{path}: {error.strerror}"
        ) from error
    lines = (read_line(line) for line in text.splitlines())
    return [line for line in lines if line is not None]
