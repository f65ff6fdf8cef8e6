"""Reduced wait times for peers that recently did not answer.

A worker that waits for an unresponsive owner cannot serve other callers, so each
further wait for the same peer is shorter until a message from it is received. No
guarantee depends on these times; a wait that ends too early costs a refusal.
"""

MINIMUM_WAIT_FACTOR = 0.25


class PeerWaitLimits:
    """Tracks which peers of one process do not respond."""

    def __init__(self):
        self._wait_factor_by_address: dict[str, float] = {}

    def find_wait_factor(self, address: str) -> float:
        """Return the fraction of the usual wait time to use for a peer, 0.25 to 1."""
        return self._wait_factor_by_address.get(address, 1.0)

    def record_timeout(self, address: str) -> None:
        """Halve the wait factor of a peer that did not answer in time."""
        wait_factor = self.find_wait_factor(address) / 2
        self._wait_factor_by_address[address] = max(wait_factor, MINIMUM_WAIT_FACTOR)

    def record_response(self, address: str) -> None:
        """Reset the wait factor of a peer that sent a message."""
        self._wait_factor_by_address.pop(address, None)

    def list_unresponsive(self) -> frozenset[str]:
        """Return the addresses with a timeout since their last message."""
        return frozenset(self._wait_factor_by_address)
