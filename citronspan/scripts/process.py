"""Settings, signal handling and exit status of the long-running programs."""

import argparse
import signal
import sys
import threading
from collections.abc import Callable
from pathlib import Path
from typing import Protocol, runtime_checkable

import logbook

from citronspan.core import log_events
from citronspan.core.errors import CitronspanError
from citronspan.core.settings import read_settings
from citronspan.scripts.signal_thread import SignalThread
from citronspan.utils.logs import start_logging, write_event

SETTINGS_POLL_SECONDS = 1.0
"""Interval between checks of the settings file, which may change without SIGHUP."""

WATCHER_WAIT_SECONDS = 0.1
"""Longest wait of a stop for a reload that is under way."""

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)

_logger = logbook.Logger("process")


class Process(Protocol):
    """A process that runs until a stop is requested."""

    def run(self) -> None:
        """Serve until a stop is requested."""

    def request_stop(self) -> None:
        """Request a graceful stop."""


@runtime_checkable
class Reloadable(Protocol):
    """A process that can apply new settings while it runs."""

    def reload(self, settings) -> None:
        """Apply the settings that can change while the process runs."""


def read_settings_path(
    *, program: str, description: str, default: str = "", default_name: str = ""
) -> str:
    """Read the path of the settings file from the command line.

    ``argparse`` takes a third of the memory and the start time of the library that the
    operators' command line uses, and these programs run on every host.

    Args:
        program: Name of the program.
        description: What it does, for ``--help``.
        default: Path if the command line names none.
        default_name: Name of the default for ``--help``; without one, the path is
            required.

    Returns:
        The path. The process exits with status 2 if the command line is invalid.
    """
    parser = argparse.ArgumentParser(prog=program, description=description)
    help_text = "Path of the settings file, JSON"
    if not default_name:
        parser.add_argument("settings", help=f"{help_text}.")
    else:
        help_text += f"; default: {default_name}."
        parser.add_argument("settings", nargs="?", default=default, help=help_text)
    return parser.parse_args().settings


def run_process(path: str, settings_type: type, make_process: Callable) -> int:
    """Read settings, create a process and run it until it stops.

    Args:
        path: Path of the settings file.
        settings_type: Type of the settings.
        make_process: Creates the process from the settings.

    Returns:
        The exit status: 0 after a graceful stop, 2 for invalid settings.
    """
    # Read before the settings, so that a change during the start is seen afterwards.
    content = _read_bytes(path)
    try:
        settings = read_settings(path, settings_type)
        start_logging(settings.log_level)
    except CitronspanError as error:
        print(error, file=sys.stderr)
        return error.code.http_status
    # Its sockets listen before the process is made completely.
    stop_requested = threading.Event()
    signals = SignalThread()
    for number in STOP_SIGNALS:
        signals.handle(number, stop_requested.set)
    try:
        process: Process = make_process(settings)
    except CitronspanError as error:
        write_event(_logger, log_events.STARTUP_FAILED, reason=str(error))
        return error.code.http_status
    for number in STOP_SIGNALS:
        signals.handle(number, process.request_stop)
    signals.catch_up()
    if stop_requested.is_set():
        process.request_stop()
    if isinstance(process, Reloadable):
        watcher = SettingsWatcher(
            path=path, settings_type=settings_type, process=process, content=content
        )
        signals.handle(signal.SIGHUP, watcher.check_now)
        for number in STOP_SIGNALS:
            signals.handle(number, lambda: _stop_by_settings(watcher, process))
        watcher.start()
    try:
        process.run()
    finally:
        signals.ignore(signal.SIGHUP, *STOP_SIGNALS)
    return 0


def _stop_by_settings(watcher, process):
    """Stop a process by the settings that hold now."""
    watcher.check_file(WATCHER_WAIT_SECONDS)
    process.request_stop()


class SettingsWatcher:
    """Reloads changed settings, every ``SETTINGS_POLL_SECONDS`` and on SIGHUP."""

    def __init__(
        self,
        *,
        path: str,
        settings_type: type,
        process: Reloadable,
        content: bytes | None = None,
    ):
        """Create a watcher.

        Args:
            path: Path of the settings file.
            settings_type: Type of the settings.
            process: Applies changed settings.
            content: Content of the file whose settings the process has, None if that
                is what the file holds now.
        """
        self._path = path
        self._settings_type = settings_type
        self._process = process
        self._check_requested = threading.Event()
        self._lock = threading.Lock()
        self._last_content = _read_bytes(path) if content is None else content

    def start(self) -> None:
        """Start watching in a separate thread."""
        threading.Thread(target=self._run, name="settings", daemon=True).start()

    def check_now(self) -> None:
        """Check the file immediately."""
        self._check_requested.set()

    def _run(self):
        while True:
            self._check_requested.wait(SETTINGS_POLL_SECONDS)
            self._check_requested.clear()
            self.check_file()

    def check_file(self, wait_seconds: float = -1) -> None:
        """Reload the settings if the file has changed.

        Args:
            wait_seconds: Longest time to wait for another check that is under way;
                negative for any.
        """
        if not self._lock.acquire(timeout=wait_seconds):
            return
        try:
            data = _read_bytes(self._path)
            if data is None or data == self._last_content:
                return
            self._last_content = data
            self._reload_settings()
        finally:
            self._lock.release()

    def _reload_settings(self):
        try:
            self._process.reload(read_settings(self._path, self._settings_type))
        except CitronspanError as error:
            write_event(_logger, log_events.SETTINGS_REFUSED, reason=str(error))
        except Exception as error:
            _logger.exception("reload raised an exception")
            write_event(_logger, log_events.SETTINGS_REFUSED, reason=repr(error))


def _read_bytes(path: str) -> bytes | None:
    """Return the content of a file, or None if it cannot be read."""
    try:
        return Path(path).read_bytes()
    except OSError:
        # Ignored: the file may be in the middle of a replacement; the next poll
        # reads it again.
        return None
