"""``citronspan-entry``: carries callers' requests to targets."""

import sys

from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import argument

from citronspan.core.settings import EntrySettings
from citronspan.ops.entry import Entry
from citronspan.scripts.process import run_process


class EntryCommand(Command):
    """Runs one entry."""

    name = "entry"
    description = "Carries callers' requests to targets."
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
    application = Application("citronspan-entry")
    command = EntryCommand()
    application.add(command)
    application._default_command = command.name
    application._single_command = True
    sys.exit(application.run())


if __name__ == "__main__":
    main()
