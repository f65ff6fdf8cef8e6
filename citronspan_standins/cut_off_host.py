"""Host program that reaches no target while a file exists beside its settings.

The file has the name of the settings file with ``CUT_SUFFIX`` in place of its suffix.

Its connections to targets end when the file appears, and new ones are refused. All
other connections work, as in a cut of the links to the targets alone.
"""

import signal

if __name__ == "__main__":
    # Before the other imports, which take longer, as the host program does it.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

import contextlib  # noqa: E402
import socket  # noqa: E402
import sys  # noqa: E402
import threading  # noqa: E402
import time  # noqa: E402
from pathlib import Path  # noqa: E402

from citronspan.ops.targets.target_connector import DirectConnector  # noqa: E402
from citronspan.scripts import host  # noqa: E402

CUT_SUFFIX = ".cut"
POLL_SECONDS = 0.05


def main() -> None:
    """Run a host whose direct connections to targets can be cut."""
    cut_file = Path(sys.argv[1]).with_suffix(CUT_SUFFIX)
    connect = DirectConnector.connect
    sockets = []

    def connect_unless_cut(self, address, timeout_seconds):
        if cut_file.exists():
            raise ConnectionRefusedError("cut off")
        connection = connect(self, address, timeout_seconds)
        sockets.append(connection.sock)
        return connection

    def end_connections_in_cuts():
        while True:
            time.sleep(POLL_SECONDS)
            while cut_file.exists() and sockets:
                with contextlib.suppress(OSError):
                    sockets.pop().shutdown(socket.SHUT_RDWR)

    DirectConnector.connect = connect_unless_cut
    threading.Thread(target=end_connections_in_cuts, daemon=True).start()
    host.main()


if __name__ == "__main__":
    main()
