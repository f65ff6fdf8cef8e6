"""Entry point of ``citronspan-host``, entry and agent in one platform process."""

import os
import sys

from citronspan.core.host_settings import HostSettings
from citronspan.ops.host import Host
from citronspan.platform.feeds import PlatformFeeds
from citronspan.platform.headers import PlatformDialect
from citronspan.platform.store import StoreClient
from citronspan.scripts.process import read_settings_path, run_process

SETTINGS_PATH_VARIABLE = "CITRONSPAN_BOOT"


def make_host(settings: HostSettings) -> Host:
    """Return a host that reads its configuration from the platform's store."""
    feeds = PlatformFeeds(
        client=StoreClient(address=settings.store_address),
        rules=settings.service_rules,
        region_by_data_centre=settings.region_by_data_centre,
    )
    return Host(settings=settings, store=feeds, dialect=PlatformDialect())


def main() -> None:
    """Run ``citronspan-host`` until SIGTERM."""
    path = read_settings_path(
        program="citronspan-host",
        description="Forwards callers' requests to targets on the platform.",
        default=os.environ.get(SETTINGS_PATH_VARIABLE, ""),
        default_name=f"${SETTINGS_PATH_VARIABLE}",
    )
    sys.exit(run_process(path, HostSettings, make_host))


if __name__ == "__main__":
    main()
