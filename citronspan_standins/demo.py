"""Runs the demonstration: a whole fleet on loopback, checks, and a clean end.

``python -m citronspan_standins.demo [--stay]``. The process manager is honcho: when
the process with the checks ends, it ends all others. The exit status is 0 only if
every check held and every process ended when it was asked to.
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

TAIL_LINES = 5


class KillNoticingPrinter(Printer):
    """Prints the lines of the processes and notes whether any had to be killed."""

    killed = False

    def write(self, message):
        """Print one message."""
        if "SIGKILL" in str(message.data):
            self.killed = True
        super().write(message)


def run_fleet(fleet: Fleet, *, stay: bool) -> bool:
    """Run a fleet until its checks end or, if it is to stay, until Ctrl-C.

    Args:
        fleet: The fleet, whose files are written.
        stay: Whether the fleet keeps running once it is set up.

    Returns:
        Whether every check held and every process ended in time.
    """
    printer = KillNoticingPrinter(sys.stdout)
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


def print_end_of_logs(fleet: Fleet) -> None:
    """Print the last lines of each process, for the person who looks for a fault."""
    for process in list_processes(fleet):
        path = fleet.directory / f"{process.name}.log"
        lines = path.read_text().splitlines()[-TAIL_LINES:] if path.exists() else []
        print(f"--- {path}")
        for line in lines:
            print(f"    {line[:200]}")


class DemoCommand(Command):
    """Runs the demonstration."""

    name = "demo"
    description = "Show a fleet on loopback addresses."
    options = [option("stay", None, "Leave the fleet running until Ctrl-C.")]

    def handle(self) -> int:
        """Run it and return the exit status."""
        directory = Path(tempfile.mkdtemp(prefix="citronspan-"))
        fleet = find_free_fleet(directory)
        write_files(fleet)
        held = run_fleet(fleet, stay=self.option("stay"))
        left = fleet.find_taken_addresses()
        if left:
            print(f"FAIL: still in use after the end: {', '.join(left)}")
        if not held:
            print_end_of_logs(fleet)
        passed = held and not left
        print("demo: " + ("everything held" if passed else "FAILED"))
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
