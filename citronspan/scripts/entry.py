"""Entry point of ``citronspan-entry``, which forwards requests to targets."""

import sys

from citronspan.core.settings import EntrySettings
from citronspan.ops.entry import Entry
from citronspan.scripts.process import read_settings_path, run_process


def main() -> None:
    """Run ``citronspan-entry`` until SIGTERM."""
    path = read_settings_path(
        program="citronspan-entry", description="Forwards callers' requests to targets."
    )
    status = run_process(path, EntrySettings, lambda settings: Entry(settings=settings))
    sys.exit(status)


if __name__ == "__main__":
    main()
