"""What the long-running programs share: settings, signals and exit status."""

import signal
import sys
from collections.abc import Callable
from typing import Protocol

import logbook
from cleo.application import Application
from cleo.commands.command import Command
from cleo.io.inputs.argv_input import ArgvInput

from citronspan.core import log_events
from citronspan.core.errors import CitronspanError
from citronspan.core.settings import read_settings
from citronspan.utils.logs import start_logging, write_event

_logger = logbook.Logger("process")


class Process(Protocol):
    """A process that runs until it is asked to stop."""

    def run(self) -> None:
        """Serve until a stop is asked for."""

    def request_stop(self) -> None:
        """Ask for a graceful stop."""


def run_process(path: str, settings_type: type, make: Callable) -> int:
    """Read settings, make a process and run it.

    Args:
        path: Path of the settings file.
        settings_type: Type of the settings.
        make: Makes the process from the settings.

    Returns:
        The exit status: 0 after a graceful stop, 2 for faulty settings.
    """
    try:
        settings = read_settings(path, settings_type)
        start_logging(settings.log_level)
    except CitronspanError as error:
        print(error, file=sys.stderr)
        return error.code.http_status
    try:
        process: Process = make(settings)
    except CitronspanError as error:
        write_event(_logger, log_events.STARTUP_FAILED, reason=str(error))
        return error.code.http_status
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: process.request_stop())
    process.run()
    return 0


def run_single_command(command: Command) -> int:
    """Run a program that has one command, whose name is not typed.

    Args:
        command: The command.

    Returns:
        The exit status.
    """
    application = Application(f"citronspan-{command.name}")
    application.add(command)
    application.auto_exits(False)
    return application.run(ArgvInput([sys.argv[0], command.name, *sys.argv[1:]]))
