"""Entry point of ``citronspan-host``, entry and agent in one platform process."""

import os
import sys

from cleo.commands.command import Command
from cleo.helpers import argument

from citronspan.core.host_settings import HostSettings
from citronspan.ops.host import Host
from citronspan.platform.feeds import PlatformFeeds
from citronspan.platform.headers import PlatformDialect
from citronspan.platform.store import StoreClient
from citronspan.scripts.process import run_process, run_single_command

SETTINGS_PATH_VARIABLE = "CITRONSPAN_BOOT"


def make_host(settings: HostSettings) -> Host:
    """Return a host that reads its configuration from the platform's store."""
    feeds = PlatformFeeds(
        client=StoreClient(address=settings.store_address),
        rules=settings.service_rules,
        region_by_data_centre=settings.region_by_data_centre,
    )
    return Host(settings=settings, store=feeds, dialect=PlatformDialect())


class HostCommand(Command):
    """Runs a host."""

    name = "host"
    description = "Forwards callers' requests to targets on the platform."
    arguments = [
        argument(
            "settings",
            f"Path of the settings file, JSON; default: ${SETTINGS_PATH_VARIABLE}.",
            optional=True,
        )
    ]

    def handle(self) -> int:
        """Run the host until SIGTERM."""
        path = self.argument("settings") or os.environ.get(SETTINGS_PATH_VARIABLE, "")
        return run_process(path, HostSettings, make_host)


def main() -> None:
    """Run ``citronspan-host``."""
    sys.exit(run_single_command(HostCommand()))


if __name__ == "__main__":
    main()
