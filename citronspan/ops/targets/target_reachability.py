"""Detects that this host reaches no target, while its peers and callers reach it.

One failed connect may be the fault of the target. A host that failed to connect to
several targets, and to none successfully since, is taken to be cut off from all of
them, until a connect succeeds again. Its open connections may live on. A host whose
open connections are silent and which opens no others is in doubt until one connect has
shown whether it reaches targets.
"""

import math
import threading
import time
from collections.abc import Callable

import logbook

from citronspan.core import log_events
from citronspan.ops.peers.recent_names import RecentNames
from citronspan.utils.logs import write_event

FAILED_TARGETS = 3
"""Targets whose connects must fail, none in between succeeding."""

FAILURE_SECONDS = 10.0
"""Time for which a failed connect counts."""

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
        self._failed_addresses = RecentNames(seconds=FAILURE_SECONDS)
        self._is_cut_off = False
        self._failing_since = -math.inf
        self._answered_at = -math.inf
        self._connected_at = -math.inf
        self._silent_since = -math.inf

    @property
    def is_cut_off(self) -> bool:
        """Whether the host seems to reach no target by a new connection."""
        return self._is_cut_off

    @property
    def has_answers(self) -> bool:
        """Whether an answer came over a direct connection since connects fail."""
        return self._answered_at > self._failing_since

    @property
    def is_in_doubt(self) -> bool:
        """Whether a silent request is all that this host knows of its targets."""
        return self._silent_since > max(self._answered_at, self._connected_at)

    def list_failed_addresses(self) -> frozenset[str]:
        """Return the addresses whose connects failed, none succeeding since."""
        with self._lock:
            return frozenset(self._failed_addresses.list_names())

    def record_connected(self) -> None:
        """Record that a connect to a target succeeded."""
        with self._lock:
            self._connected_at = time.monotonic()
            self._failed_addresses.clear()
            self._set_cut_off(False)

    def record_failed(self, address: str) -> None:
        """Record that a connect to a target failed.

        Args:
            address: ``IP:PORT`` of the target.
        """
        with self._lock:
            if not self._failed_addresses.list_names():
                self._failing_since = time.monotonic()
            self._failed_addresses.add(address)
            needed = max(min(FAILED_TARGETS, self._count_targets()), 1)
            if len(self._failed_addresses.list_names()) >= needed:
                self._set_cut_off(True)

    def record_answered(self) -> None:
        """Record that a target answered over a direct connection."""
        self._answered_at = time.monotonic()

    def record_silence(self, sent_at: float) -> None:
        """Record that a request has had no answer over a direct connection for long.

        Args:
            sent_at: Time of ``time.monotonic()`` at which the request was sent.
        """
        self._silent_since = max(self._silent_since, sent_at)

    def _set_cut_off(self, is_cut_off):
        if is_cut_off is self._is_cut_off:
            return
        self._is_cut_off = is_cut_off
        event = log_events.TARGETS_REACHABLE
        if is_cut_off:
            event = log_events.TARGETS_UNREACHABLE
        write_event(_logger, event, targets=len(self._failed_addresses.list_names()))
