"""Entry point of ``citronspan-entry``, which forwards requests to targets."""

import sys

from cleo.commands.command import Command
from cleo.helpers import argument

from citronspan.core.settings import EntrySettings
from citronspan.ops.entry import Entry
from citronspan.scripts.process import run_process, run_single_command


class EntryCommand(Command):
    """Runs an entry."""

    name = "entry"
    description = "Forwards callers' requests to targets."
    arguments = [argument("settings", "Path of the settings file, JSON.")]

    def handle(self) -> int:
        """Run the entry until SIGTERM."""
        return run_process(
            self.argument("settings"),
            EntrySettings,
            lambda settings: Entry(settings=settings),
        )


def main() -> None:
    """Run ``citronspan-entry``."""
    sys.exit(run_single_command(EntryCommand()))


if __name__ == "__main__":
    main()
