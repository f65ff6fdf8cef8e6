"""Signals by which callers are told more entries, or others than this one."""

from citronspan.core.brokering.busy_signal import BusySignal
from citronspan.core.membership.full_signal import FullSignal
from citronspan.core.requests.link_room import LinkRoom
from citronspan.core.settings import EntrySettings


class EntryLoad:
    """Load of one entry against the limits of its host.

    Attributes:
        link_room: Room on the link of the host.
    """

    def __init__(self, *, settings: EntrySettings):
        self.link_room = LinkRoom(
            bytes_per_second=settings.limits.link_bytes_per_second
        )
        self._busy = BusySignal(threads=settings.worker_threads)
        self._full = None
        if settings.limits.make_room() is not None:
            self._full = FullSignal(
                threads=settings.worker_threads, room=self.link_room
            )

    def update_busy(self, in_flight: int) -> bool:
        """Return whether callers should use more entries than this one."""
        return self._busy.update(in_flight)

    def update_full(self, in_flight: int) -> bool:
        """Return whether callers should use others; never without stated limits."""
        return self._full is not None and self._full.update(in_flight)
