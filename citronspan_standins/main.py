"""Command line ``citronspan-standin``: serves a log, a host list or a target."""

import signal
import sys
import threading
from pathlib import Path

import msgspec
from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import argument, option

from citronspan_standins.host_list import (
    HostList,
    HostListService,
    HostListSwitches,
)
from citronspan_standins.http_service import Handler, Service
from citronspan_standins.log_service import LogService, LogSwitches
from citronspan_standins.target_service import TargetService
from citronspan_standins.target_state import TargetSwitches

LOG_THREADS = 64
HOST_LIST_THREADS = 8
TARGET_THREADS = 64

ADDRESS = argument("address", "IP:PORT to serve on.")
SWITCHES = option(
    "switches", None, "JSON object of switches, as for /control.", flag=False
)
SEED = option(
    "seed", None, "Seed of the random faults and times.", flag=False, default="0"
)


def serve_until_stopped(address: str, handler: Handler, threads: int) -> None:
    """Serve until SIGTERM or SIGINT.

    Args:
        address: ``IP:PORT`` to serve on.
        handler: Handles the requests.
        threads: Number of requests that are handled at the same time.

    Raises:
        OSError: The address cannot be bound.
    """
    stopped = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: stopped.set())
    signal.signal(signal.SIGINT, lambda *_: stopped.set())
    service = Service(address=address, handler=handler, threads=threads)
    service.start()
    sys.stdout.write(f"serving on {service.address}\n")
    sys.stdout.flush()
    stopped.wait()
    service.stop()


def decode_switches(text: str | None, switches_type: type):
    """Decode the option ``--switches``; without it, every switch has its default."""
    return msgspec.json.decode(text or "{}", type=switches_type)


class LogCommand(Command):
    """Serves the stand-in of the log service."""

    name = "log"
    description = "Serve a log with offsets, limited retention and switchable faults."
    arguments = [ADDRESS]
    options = [SWITCHES, SEED]

    def handle(self) -> int:
        """Serve until stopped."""
        service = LogService(
            switches=decode_switches(self.option("switches"), LogSwitches),
            seed=int(self.option("seed")),
        )
        serve_until_stopped(self.argument("address"), service.handle, LOG_THREADS)
        return 0


class HostsCommand(Command):
    """Serves the stand-in of the host list."""

    name = "hosts"
    description = "Serve a lagging list of live and leaving hosts."
    arguments = [ADDRESS]
    options = [
        SWITCHES,
        option("file", None, 'JSON file {"hosts": [...]}.', flag=False),
    ]

    def handle(self) -> int:
        """Serve until stopped."""
        switches = decode_switches(self.option("switches"), HostListSwitches)
        path = self.option("file")
        if path:
            listed = msgspec.json.decode(Path(path).read_bytes(), type=HostList)
            switches = msgspec.structs.replace(switches, hosts=listed.hosts)
        service = HostListService(switches=switches)
        serve_until_stopped(self.argument("address"), service.handle, HOST_LIST_THREADS)
        return 0


class TargetCommand(Command):
    """Serves a stand-in target."""

    name = "target"
    description = "Serve a target with slots and switchable faults."
    arguments = [ADDRESS, argument("target-name", "Name of the target in its answers.")]
    options = [SWITCHES, SEED]

    def handle(self) -> int:
        """Serve until stopped."""
        service = TargetService(
            name=self.argument("target-name"),
            switches=decode_switches(self.option("switches"), TargetSwitches),
            seed=int(self.option("seed")),
        )
        serve_until_stopped(self.argument("address"), service.handle, TARGET_THREADS)
        return 0


def main() -> int:
    """Run the command line."""
    application = Application("citronspan-standin", "0.1.0")
    application.add(LogCommand())
    application.add(HostsCommand())
    application.add(TargetCommand())
    return application.run()


if __name__ == "__main__":
    sys.exit(main())
