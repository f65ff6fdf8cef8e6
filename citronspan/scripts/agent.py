"""Entry point of ``citronspan-agent``, the control process of a host."""

import sys

from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import argument
from cleo.io.inputs.argv_input import ArgvInput

from citronspan.core.settings import AgentSettings
from citronspan.ops.agent import Agent
from citronspan.scripts.process import run_process


class AgentCommand(Command):
    """Runs an agent."""

    name = "run"
    description = "Follows the configuration log and serves the resource API."
    arguments = [argument("settings", "Path of the settings file, JSON.")]

    def handle(self) -> int:
        """Run the agent until SIGTERM."""
        return run_process(
            self.argument("settings"),
            AgentSettings,
            lambda settings: Agent(settings=settings),
        )


def main() -> None:
    """Run ``citronspan-agent``."""
    application = Application("citronspan-agent")
    command = AgentCommand()
    application.add(command)
    application.run(ArgvInput([sys.argv[0], command.name, *sys.argv[1:]]))


if __name__ == "__main__":
    main()
