"""Does what signals ask for in a thread of its own.

A handler of Python runs in the main thread, when that next executes bytecode. A signal
that arrives just before the main thread blocks, or that the system hands to another
thread, waits until the main thread wakes, which may be never. One that interrupts the
main thread while it holds a lock may wait for that lock for ever. Source: the Python
documentation, ``signal``, "Execution of Python signal handlers" and ``set_wakeup_fd``.
"""

import signal
import socket
import threading
from collections.abc import Callable

import logbook

from citronspan.core import log_events
from citronspan.utils.logs import write_event

READ_BYTES = 64
NO_SIGNAL = 0

_logger = logbook.Logger("signals")


class SignalThread:
    """Calls a function for each signal that arrives; one for a process."""

    def __init__(self):
        """Start the thread, which handles no signals yet."""
        self._function_by_number: dict[int, Callable[[], None]] = {}
        self._reader, self._writer = socket.socketpair()
        self._writer.setblocking(False)
        signal.set_wakeup_fd(self._writer.fileno(), warn_on_full_buffer=False)
        threading.Thread(target=self._run, name="signals", daemon=True).start()

    def handle(self, number: signal.Signals, function: Callable[[], None]) -> None:
        """Call a function, in place of an earlier one, when a signal arrives."""
        self._function_by_number[number] = function
        signal.signal(number, _do_nothing)

    def catch_up(self) -> None:
        """Wait until the signals that have arrived are handled."""
        caught_up = threading.Event()
        self._function_by_number[NO_SIGNAL] = caught_up.set
        self._writer.send(bytes([NO_SIGNAL]))
        caught_up.wait()

    def ignore(self, *numbers: signal.Signals) -> None:
        """Ignore signals up to the last moment of the process.

        A handler would be replaced by the default when the interpreter shuts down, and
        the next signal would end the process with another status.
        """
        for number in numbers:
            signal.signal(number, signal.SIG_IGN)

    def _run(self):
        while True:
            for number in self._reader.recv(READ_BYTES):
                self._call(number)

    def _call(self, number):
        function = self._function_by_number.get(number)
        if function is None:
            return
        try:
            function()
        except Exception:
            _logger.exception("a signal raised an exception")
            write_event(_logger, log_events.BACKGROUND_TASK_FAILED, task="signals")


def _do_nothing(number, frame):
    """Have the system's handler wake the thread."""
