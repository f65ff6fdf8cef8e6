"""Runs the processes of a fleet for a test or a benchmark and signals them by name.

Unlike the demonstration's process manager, it can kill, suspend and restart a single
process.
"""

import signal
import subprocess

from citronspan_standins.fleet import PROJECT, Fleet, FleetProcess

EXIT_TIMEOUT_SECONDS = 20.0


class FleetProcesses:
    """The processes of a fleet whose settings files exist already."""

    def __init__(self, *, fleet: Fleet, processes: list[FleetProcess]):
        self._command_by_name = {
            process.name: process.format_command(fleet.directory)
            for process in processes
        }
        self._process_by_name: dict[str, subprocess.Popen] = {}

    def start_all(self) -> None:
        """Start every process in the order of the list."""
        for name in self._command_by_name:
            self.start(name)

    def start(self, name: str) -> None:
        """Start a process, or restart it after its exit."""
        # The command begins with exec: the shell is replaced and its process id stays.
        self._process_by_name[name] = subprocess.Popen(
            self._command_by_name[name], cwd=PROJECT, shell=True
        )

    def find_process_id(self, name: str) -> int:
        """Return the process id of a process."""
        return self._process_by_name[name].pid

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process."""
        self._process_by_name[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kill a process with SIGKILL and wait for its exit."""
        self.signal(name, signal.SIGKILL)
        self.wait(name)

    def wait(self, name: str) -> int:
        """Wait for a process to exit and return its exit status.

        Raises:
            subprocess.TimeoutExpired: It did not exit within ``EXIT_TIMEOUT_SECONDS``.
        """
        return self._process_by_name[name].wait(EXIT_TIMEOUT_SECONDS)

    def end_all(self) -> None:
        """Stop every process that still runs, including suspended ones.

        A process that runs ``EXIT_TIMEOUT_SECONDS`` after SIGTERM is killed.
        """
        for process in self._process_by_name.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        for process in self._process_by_name.values():
            try:
                process.wait(EXIT_TIMEOUT_SECONDS)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
