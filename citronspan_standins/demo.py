"""Runs the demonstration: starts a whole fleet on loopback, checks it and stops it.

Usage: ``python -m citronspan_standins.demo [--stay]``. The process manager honcho
stops all other processes when the process that runs the checks exits. The exit status
is 0 only if every check passed and every process exited on SIGTERM.
"""

import shutil
import sys
import tempfile
from pathlib import Path

from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.inputs.argv_input import ArgvInput
from honcho.manager import Manager
from honcho.printer import Printer

from citronspan_standins.demo_checks import PASSED_FILE
from citronspan_standins.fleet import (
    PROJECT,
    Fleet,
    find_free_fleet,
    list_processes,
    write_files,
)

LOG_TAIL_LINES = 5


class KillDetectingPrinter(Printer):
    """Prints the output of the processes and detects that one was killed.

    Attributes:
        killed: Whether a process had to be ended with SIGKILL.
    """

    killed = False

    def write(self, message):
        """Print one message of the process manager."""
        if "SIGKILL" in str(message.data):
            self.killed = True
        super().write(message)


def run_fleet(fleet: Fleet, *, stay: bool) -> bool:
    """Run a fleet until its checks end or, with ``stay``, until Ctrl-C.

    Args:
        fleet: The fleet; its settings files exist already.
        stay: Whether the fleet keeps running after it is set up.

    Returns:
        Whether every check passed and no process had to be killed.
    """
    printer = KillDetectingPrinter(sys.stdout)
    manager = Manager(printer)
    cwd = str(PROJECT)
    for process in list_processes(fleet):
        command = process.format_command(fleet.directory)
        manager.add_process(process.name, command, cwd=cwd)
    mode = "stay" if stay else "check"
    checks = f"{sys.executable} -u -m citronspan_standins.demo_checks"
    command = f"exec {checks} {fleet.network} {fleet.directory} {mode}"
    manager.add_process("demo", command, cwd=cwd)
    manager.loop()
    passed = (fleet.directory / PASSED_FILE).exists()
    return passed and not printer.killed


def print_log_tails(fleet: Fleet) -> None:
    """Print the last lines of each process's log to help find a failure."""
    for process in list_processes(fleet):
        path = fleet.directory / f"{process.name}.log"
        lines = path.read_text().splitlines()[-LOG_TAIL_LINES:] if path.exists() else []
        print(f"--- {path}")
        for line in lines:
            print(f"    {line[:200]}")


class DemoCommand(Command):
    """Runs the demonstration."""

    name = "demo"
    description = "Run and check a fleet on loopback addresses."
    options = [option("stay", None, "Keep the fleet running until Ctrl-C.")]

    def handle(self) -> int:
        """Run the demonstration and return the exit status."""
        directory = Path(tempfile.mkdtemp(prefix="citronspan-"))
        fleet = find_free_fleet(directory)
        write_files(fleet)
        checks_passed = run_fleet(fleet, stay=self.option("stay"))
        bound_addresses = fleet.find_bound_addresses()
        if bound_addresses:
            print(
                f"FAIL: addresses still in use at the end: {', '.join(bound_addresses)}"
            )
        if not checks_passed:
            print_log_tails(fleet)
        passed = checks_passed and not bound_addresses
        print("demo: " + ("every check passed" if passed else "FAILED"))
        if passed:
            shutil.rmtree(directory)
        return 0 if passed else 1


def main() -> int:
    """Run the command line."""
    application = Application("citronspan demo", "0.1.0")
    application.add(DemoCommand())
    return application.run(ArgvInput([sys.argv[0], DemoCommand.name, *sys.argv[1:]]))


if __name__ == "__main__":
    sys.exit(main())
