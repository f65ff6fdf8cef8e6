"""Logs as files, for people who look for the cause of something afterwards."""

from pathlib import Path

from citronspan.core import result_codes
from citronspan.core.errors import CitronspanError
from citronspan.core.explain import LogLine, read_line


def read_log(path: str) -> list[LogLine]:
    """Read the fleet's lines of a log; other lines are passed over.

    Args:
        path: Path of the file.

    Returns:
        The lines.

    Raises:
        CitronspanError: With code 2014 if it cannot be read.
    """
    try:
        text = Path(path).read_text(errors="replace")
    except OSError as error:
        raise CitronspanError(
            code=result_codes.LOG_UNREADABLE, detail=f"{path}: {error.strerror}"
        ) from error
    lines = (read_line(line) for line in text.splitlines())
    return [line for line in lines if line is not None]
