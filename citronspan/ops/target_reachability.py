"""Detects that this host reaches no target, while its peers and callers reach it.

One failed connect may be the fault of the target. A host that failed to connect to
several targets, and to none successfully since, is taken to be cut off from all of
them, until a connect succeeds again.
"""

import threading
from collections.abc import Callable

import logbook

from citronspan.core import log_events
from citronspan.utils.logs import write_event

FAILED_TARGETS = 3
"""Targets whose connects must fail, none in between succeeding."""

_logger = logbook.Logger("reachability")


class TargetReachability:
    """Follows the connects of one host to its targets; safe for threads."""

    def __init__(self, *, count_targets: Callable[[], int] = lambda: FAILED_TARGETS):
        """Start with all targets taken as reachable.

        Args:
            count_targets: Returns the number of targets that the host knows.
        """
        self._count_targets = count_targets
        self._lock = threading.Lock()
        self._failed_addresses: set[str] = set()
        self._is_cut_off = False

    @property
    def is_cut_off(self) -> bool:
        """Whether the host seems to reach no target."""
        return self._is_cut_off

    def record_connected(self) -> None:
        """Record that a connect to a target succeeded."""
        with self._lock:
            self._failed_addresses.clear()
            self._set_cut_off(False)

    def record_failed(self, address: str) -> None:
        """Record that a connect to a target failed.

        Args:
            address: ``IP:PORT`` of the target.
        """
        with self._lock:
            self._failed_addresses.add(address)
            needed = max(min(FAILED_TARGETS, self._count_targets()), 1)
            if len(self._failed_addresses) >= needed:
                self._set_cut_off(True)

    def _set_cut_off(self, is_cut_off):
        if is_cut_off is self._is_cut_off:
            return
        self._is_cut_off = is_cut_off
        event = log_events.TARGETS_REACHABLE
        if is_cut_off:
            event = log_events.TARGETS_UNREACHABLE
        write_event(_logger, event, targets=len(self._failed_addresses))
