"""What the long-running programs share: settings, signals and exit status."""

import signal
import sys
import threading
from collections.abc import Callable
from pathlib import Path
from typing import Protocol, runtime_checkable

import logbook
from cleo.application import Application
from cleo.commands.command import Command
from cleo.io.inputs.argv_input import ArgvInput

from citronspan.core import log_events
from citronspan.core.errors import CitronspanError
from citronspan.core.settings import read_settings
from citronspan.utils.logs import start_logging, write_event

SETTINGS_POLL_SECONDS = 1.0
"""Time between looks at the settings file, which may change without a signal."""

_logger = logbook.Logger("process")


class Process(Protocol):
    """A process that runs until it is asked to stop."""

    def run(self) -> None:
        """Serve until a stop is asked for."""

    def request_stop(self) -> None:
        """Ask for a graceful stop."""


@runtime_checkable
class Reloadable(Protocol):
    """A process that takes other settings while it runs."""

    def reload(self, settings) -> None:
        """Take what can change while the process runs."""


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
    if isinstance(process, Reloadable):
        watch = SettingsWatcher(path=path, settings_type=settings_type, process=process)
        signal.signal(signal.SIGHUP, lambda *_: watch.check_now())
        watch.start()
    process.run()
    return 0


class SettingsWatcher:
    """Looks at the settings file now and then, and at once on SIGHUP."""

    def __init__(self, *, path: str, settings_type: type, process: Reloadable):
        self._path = path
        self._settings_type = settings_type
        self._process = process
        self._wanted = threading.Event()
        self._seen = _read_bytes(path)

    def start(self) -> None:
        """Begin to look, in a thread of its own."""
        threading.Thread(target=self._run, name="settings", daemon=True).start()

    def check_now(self) -> None:
        """Look at once; safe in a signal handler."""
        self._wanted.set()

    def _run(self):
        while True:
            self._wanted.wait(SETTINGS_POLL_SECONDS)
            self._wanted.clear()
            data = _read_bytes(self._path)
            if data is None or data == self._seen:
                continue
            self._seen = data
            self._take()

    def _take(self):
        try:
            self._process.reload(read_settings(self._path, self._settings_type))
        except CitronspanError as error:
            write_event(_logger, log_events.SETTINGS_REFUSED, reason=str(error))


def _read_bytes(path: str) -> bytes | None:
    """Return what a file holds, None while it cannot be read."""
    try:
        return Path(path).read_bytes()
    except OSError:
        # Ignored: it may be in the middle of being replaced, and is looked at soon.
        return None


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
