"""How long to wait for a peer that did not answer before.

A worker that waits for a silent owner is lost to other callers, so each further
wait for the same peer is shorter until it is heard again. Nothing that is promised
depends on these times; a peer given up too early costs a refusal.
"""

MINIMUM_WAIT_FACTOR = 0.25


class PeerWaitLimits:
    """The silent peers of one process."""

    def __init__(self):
        self._share_by_address: dict[str, float] = {}

    def find_wait_factor(self, address: str) -> float:
        """Return the share of the usual time to wait for a peer, 0.25 to 1."""
        return self._share_by_address.get(address, 1.0)

    def record_timeout(self, address: str) -> None:
        """Note that a peer did not answer in its time."""
        share = self.find_wait_factor(address) / 2
        self._share_by_address[address] = max(share, MINIMUM_WAIT_FACTOR)

    def record_response(self, address: str) -> None:
        """Note that a peer was heard."""
        self._share_by_address.pop(address, None)

    def list_unresponsive(self) -> frozenset[str]:
        """Return the addresses that did not answer since they were last heard."""
        return frozenset(self._share_by_address)
