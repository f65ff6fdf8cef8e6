"""Decision whether a request goes to another region, and when it waits at home.

Load pattern: demand that swings in waves through the regions, or a fault that takes
targets from all of them. A region whose own requests wait takes none from others. An
entry that asks it all the same loses the way there and back, and its request's place
in the queue at home; each such question also crosses the link between the regions.

A region that refused a request of a service is passed over for a pause, which doubles
with each further refusal. Meanwhile requests wait at home for as long as they can
afford. After the pause a single request asks again, and the first slot that it gets
opens the region for all. A request that finds nothing at home asks as a last resort.
The home region is asked first by every request, so that work returns as soon as there
is room. Retries have pauses of their own, since other budgets bound them.
"""

import threading
import time
from dataclasses import dataclass

FIRST_PAUSE_SECONDS = 0.2
PAUSE_GROWTH = 2.0
MAXIMUM_PAUSE_SECONDS = 1.0
"""Longest pause; room that a wave leaves in another region is found in this time."""

LARGE_BODY_BYTES = 20_000
"""Requests with a body of at least this size stay in the first region.

Transferring the body between regions costs more than the request is worth.
"""

CROSSINGS = 2
"""Ways there and back that a slot in another region takes: question and request."""

WAY_EWMA_WEIGHT = 1 / 8
"""Weight of a new measurement in the moving average of the way to a region."""


@dataclass(frozen=True, kw_only=True, slots=True)
class RegionStep:
    """A region to ask for a slot.

    Attributes:
        region: The region.
        has_other_region: Whether another region is asked soon if this one has no slot,
            so that the request should not wait long.
    """

    region: str
    has_other_region: bool = False


@dataclass(slots=True)
class _Path:
    """What one entry knows of the requests of a service that another region takes."""

    pause_seconds: float = 0.0
    closed_until: float = 0.0


class Overflow:
    """Chooses the regions to ask for the requests of one entry; safe for threads."""

    def __init__(self, *, region: str):
        """Create a choice that has asked no region yet.

        Args:
            region: Region of the entry.
        """
        self._region = region
        self._lock = threading.Lock()
        self._path_by_key: dict[tuple[str, str, bool], _Path] = {}
        self._way_seconds_by_region: dict[str, float] = {}

    def plan(
        self,
        regions: list[str],
        *,
        service: str,
        is_retry: bool,
        body_bytes: int,
        remaining_seconds: float,
    ) -> list[RegionStep]:
        """Choose the regions to ask for one request, in order.

        Args:
            regions: Regions with targets of the service, that of the entry first.
            service: Name of the service.
            is_retry: Whether the request has reached a target before.
            body_bytes: Length of the request's body.
            remaining_seconds: Time until the caller needs the answer.
        """
        if body_bytes >= LARGE_BODY_BYTES:
            regions = regions[:1]
        if len(regions) < 2 or regions[0] != self._region:
            return [
                RegionStep(region=region, has_other_region=region != regions[-1])
                for region in regions
            ]
        home, *others = regions
        with self._lock:
            near = [name for name in others if self._is_near(name, remaining_seconds)]
            opened = [name for name in near if self._open(service, name, is_retry)]
        if opened:
            # The home region withholds free targets with a raised failure probability
            # while another may have better ones, so it is asked again last.
            steps = [RegionStep(region=name) for name in opened]
            return [
                RegionStep(region=home, has_other_region=True),
                *steps,
                RegionStep(region=home),
            ]
        last = [] if is_retry else near
        return [
            RegionStep(region=home),
            *(RegionStep(region=name) for name in last),
        ]

    def observe(
        self,
        region: str,
        *,
        service: str,
        is_retry: bool,
        is_granted: bool,
        seconds: float,
    ) -> None:
        """Take the answer of another region; that of the entry's own is ignored.

        Args:
            region: Region that was asked.
            service: Name of the service.
            is_retry: Whether the request had reached a target before.
            is_granted: Whether it gave a slot.
            seconds: Time from the question to the answer.
        """
        if region == self._region:
            return
        now = time.monotonic()
        with self._lock:
            path = self._find_path(service, region, is_retry)
            if is_granted:
                path.pause_seconds = path.closed_until = 0.0
                self._observe_way(region, seconds)
                return
            pause = path.pause_seconds * PAUSE_GROWTH or FIRST_PAUSE_SECONDS
            path.pause_seconds = min(pause, MAXIMUM_PAUSE_SECONDS)
            path.closed_until = now + path.pause_seconds

    def _find_path(self, service, region, is_retry):
        return self._path_by_key.setdefault((service, region, is_retry), _Path())

    def _open(self, service, region, is_retry) -> bool:
        """Return whether a request may ask a region; only one may after a pause."""
        path = self._find_path(service, region, is_retry)
        if not path.pause_seconds:
            return True
        now = time.monotonic()
        if now < path.closed_until:
            return False
        path.closed_until = now + path.pause_seconds
        return True

    def _is_near(self, region, remaining_seconds):
        way_seconds = self._way_seconds_by_region.get(region, 0.0)
        return CROSSINGS * way_seconds < remaining_seconds

    def _observe_way(self, region, seconds):
        mean = self._way_seconds_by_region.get(region, seconds)
        mean += (seconds - mean) * WAY_EWMA_WEIGHT
        self._way_seconds_by_region[region] = mean
