"""Entry point of ``citronspan-host``, entry and agent in one platform process."""

import os
import signal
import sys

if __name__ == "__main__":
    # Before the imports, which take longer than the rest of the start. The settings
    # are read after them, so that this loses no change.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

from citronspan.core.host_settings import HostSettings  # noqa: E402
from citronspan.ops.host import Host  # noqa: E402
from citronspan.platform.feeds import PlatformFeeds  # noqa: E402
from citronspan.platform.headers import PlatformDialect  # noqa: E402
from citronspan.platform.store import StoreClient  # noqa: E402
from citronspan.scripts.process import read_settings_path, run_process  # noqa: E402

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
