"""How far other nodes' configuration lags, as one node hears them.

What a node said some time ago says little about now, and a change takes a moment
to arrive. So a node lags by what it lacked, when it was last heard, of that which
had been in force here for longer than a change may take.
"""

import time
from collections import deque

# A change is to be in force everywhere within this time.
PROPAGATION_GRACE_SECONDS = 4.0
OWN_OFFSET_HISTORY_LENGTH = 256


class LagTracker:
    """Offsets that were in force here, and what peers lacked of them."""

    def __init__(self):
        self._own: deque[tuple[float, int]] = deque(
            [(float("-inf"), 0)], OWN_OFFSET_HISTORY_LENGTH
        )
        self._behind_by_address: dict[str, int] = {}

    def record_own_offset(self, offset: int) -> None:
        """Note the offset in force here now."""
        if offset > self._own[-1][1]:
            self._own.append((time.monotonic(), offset))

    def record_peer_offset(self, address: str, offset: int) -> None:
        """Note the offset that a peer says it has now."""
        due = self._find_due()
        self._behind_by_address[address] = max(0, due - offset)

    def retain_peers(self, addresses: set[str]) -> None:
        """Forget peers that are not among some addresses."""
        for address in set(self._behind_by_address) - addresses:
            self._behind_by_address.pop(address, None)

    def find_peer_lag(self, address: str) -> int:
        """Return by how many offsets a peer lagged when last heard, else 0."""
        return self._behind_by_address.get(address, 0)

    def _find_due(self) -> int:
        bound = time.monotonic() - PROPAGATION_GRACE_SECONDS
        for at, offset in reversed(self._own):
            if at <= bound:
                return offset
        return 0
