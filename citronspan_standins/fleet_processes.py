"""The processes of a fleet that a test or a benchmark runs and signals by name.

The demonstration leaves this to its process manager; here single processes are
killed, frozen and started again.
"""

import signal
import subprocess

from citronspan_standins.fleet import PROJECT, Fleet, FleetProcess

END_SECONDS = 20.0


class FleetProcesses:
    """Processes of a fleet whose files are written."""

    def __init__(self, *, fleet: Fleet, processes: list[FleetProcess]):
        self._command_by_name = {
            process.name: process.format_command(fleet.directory)
            for process in processes
        }
        self._process_by_name: dict[str, subprocess.Popen] = {}

    def start_all(self) -> None:
        """Start every process, the platform's before the product's."""
        for name in self._command_by_name:
            self.start(name)

    def start(self, name: str) -> None:
        """Start a process, also again after its end."""
        # The shell replaces itself by the process, so its id is the process's.
        self._process_by_name[name] = subprocess.Popen(
            self._command_by_name[name], cwd=PROJECT, shell=True
        )

    def find_id(self, name: str) -> int:
        """Return the process id of a process."""
        return self._process_by_name[name].pid

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process."""
        self._process_by_name[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kill a process and wait for its end."""
        self.signal(name, signal.SIGKILL)
        self.wait(name)

    def wait(self, name: str) -> int:
        """Wait for the end of a process and return its exit status."""
        return self._process_by_name[name].wait(END_SECONDS)

    def end_all(self) -> None:
        """End every process that still runs, frozen ones included."""
        for process in self._process_by_name.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        for process in self._process_by_name.values():
            try:
                process.wait(END_SECONDS)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
