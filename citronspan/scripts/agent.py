"""The program ``citronspan-agent``."""

import signal
import sys

from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import argument
from cleo.io.inputs.argv_input import ArgvInput

from citronspan.core.errors import CitronspanError
from citronspan.core.settings import AgentSettings, read_settings
from citronspan.ops.agent import Agent
from citronspan.utils.logs import start_logging


class AgentCommand(Command):
    """Runs the agent of one host until SIGTERM or SIGINT."""

    name = "run"
    description = "Run the agent of one host."
    arguments = [argument("settings", "Path of the settings file in JSON.")]  # noqa: RUF012

    def handle(self) -> int:
        """Run; the exit status is 0 after a stop that was asked for."""
        try:
            settings = read_settings(self.argument("settings"), AgentSettings)
            start_logging(settings.log_level)
            agent = Agent(settings=settings)
            signal.signal(signal.SIGTERM, lambda number, frame: agent.stop())
            signal.signal(signal.SIGINT, lambda number, frame: agent.stop())
            agent.run()
        except CitronspanError as error:
            print(f"citronspan-agent: {error}", file=sys.stderr)
            return error.code.http_status
        return 0


def main() -> None:
    """Run the program."""
    application = Application("citronspan-agent")
    application.add(AgentCommand())
    application.run(ArgvInput([sys.argv[0], AgentCommand.name, *sys.argv[1:]]))


if __name__ == "__main__":
    main()
