"""Measures how far the configuration of peers lags behind this node's.

A change takes some time to propagate, and an old report of a peer's offset says
little about its present offset. A peer's lag is therefore computed when its offset
is received, and counts only offsets that had been in force here for longer than the
propagation grace by then.
"""

import time
from collections import deque

# A change should be in force on every node within this time.
PROPAGATION_GRACE_SECONDS = 4.0
OWN_OFFSET_HISTORY_LENGTH = 256


class LagTracker:
    """Records the offsets of this node and the lag of each peer behind them."""

    def __init__(self):
        self._own_offsets: deque[tuple[float, int]] = deque(
            [(float("-inf"), 0)], OWN_OFFSET_HISTORY_LENGTH
        )
        self._lag_by_address: dict[str, int] = {}

    def record_own_offset(self, offset: int) -> None:
        """Record the offset that is in force here now, if it has increased."""
        if offset > self._own_offsets[-1][1]:
            self._own_offsets.append((time.monotonic(), offset))

    def record_peer_offset(self, address: str, offset: int) -> None:
        """Record the offset that a peer reports now and compute its lag."""
        due_offset = self._find_due_offset()
        self._lag_by_address[address] = max(0, due_offset - offset)

    def retain_peers(self, addresses: set[str]) -> None:
        """Remove the lag of each peer whose address is not in ``addresses``."""
        for address in set(self._lag_by_address) - addresses:
            self._lag_by_address.pop(address, None)

    def find_peer_lag(self, address: str) -> int:
        """Return a peer's lag in offsets at its last report, 0 without a report."""
        return self._lag_by_address.get(address, 0)

    def _find_due_offset(self) -> int:
        """Return the highest offset whose grace has passed, 0 without one."""
        cutoff = time.monotonic() - PROPAGATION_GRACE_SECONDS
        for recorded_at, offset in reversed(self._own_offsets):
            if recorded_at <= cutoff:
                return offset
        return 0
