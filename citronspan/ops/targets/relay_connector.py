"""Connects to targets through peers, for a host that reaches no target itself.

Only this host knows which of its tunnels are idle. It ends those at a peer that stops,
as soon as the view of the fleet says so, and begins no request on them.
``ENDS_IDLE_HEADER`` tells the peer, which then cuts no tunnel because it is quiet.
"""

import http
import http.client
from collections.abc import Callable, Iterable

import urllib3.exceptions
from urllib3.connection import HTTPConnection

from citronspan.core.node_messages import NodeInfo
from citronspan.ops.peers.recent_names import RecentNames
from citronspan.utils.addresses import split_address
from citronspan.utils.bounded_http import AnswerBounds, BoundedResponse
from citronspan.utils.rendezvous import compute_score

ENDS_IDLE_HEADER = "Citronspan-Ends-Idle"
"""Header of CONNECT by which a host says that it ends its idle tunnels by itself."""

ANSWER_BOUNDS = AnswerBounds(head_bytes=8 * 1024, body_bytes=64 * 1024, seconds=0.0)
"""Bounds of a peer's answer to CONNECT, which gets no time beyond the wait for it."""

PEER_SKIP_SECONDS = 2.0
"""Time for which a peer that relayed nothing is not asked."""


class RelayError(OSError):
    """Signals that no peer relays connections, which says nothing about the target."""


class RelayedConnection(HTTPConnection):
    """A connection to a target through a peer.

    Attributes:
        relay_address: Relay address of the peer.
    """

    relay_address = ""


class RelayConnector:
    """Opens tunnels at peers; see ``TargetConnector``."""

    def __init__(
        self,
        *,
        name: str,
        region: str,
        data_centre: str,
        list_nodes: Callable[[], Iterable[NodeInfo]],
    ):
        """Create a connector.

        Args:
            name: Name of this host.
            region: Region of this host.
            data_centre: Data centre of this host.
            list_nodes: Returns the live hosts.
        """
        self._name = name
        self._region = region
        self._data_centre = data_centre
        self._list_nodes = list_nodes
        self._skipped_peers = RecentNames(seconds=PEER_SKIP_SECONDS)
        self.opened_count = 0

    def has_peers(self) -> bool:
        """Return whether any peer relays connections at all."""
        return any(
            node.entry_relay_address and node.name != self._name
            for node in self._list_nodes()
        )

    def is_ending(self, connection: RelayedConnection) -> bool:
        """Return whether the peer behind a connection stops or is gone."""
        return not any(
            node.entry_relay_address == connection.relay_address
            and node.entry_state == "serving"
            for node in self._list_nodes()
        )

    def connect(self, address: str, timeout_seconds: float) -> HTTPConnection:
        """Open a connection to a target through one of the peers.

        Args:
            address: ``IP:PORT`` of the target.
            timeout_seconds: Longest time to wait for each peer.

        Raises:
            RelayError: If none of the peers that were asked relays connections now.
            ConnectionRefusedError: If a peer that does can't reach the target.
        """
        for peer in self._choose_peers():
            connection, status = _open_tunnel(peer, address, timeout_seconds)
            if connection is not None:
                self.opened_count += 1
                return connection
            if status == http.HTTPStatus.BAD_GATEWAY:
                # The peer reaches other targets, so that this one is to blame.
                raise ConnectionRefusedError(f"{address} is not reached by {peer}")
            self._skipped_peers.add(peer)
        raise RelayError(f"no peer relays a connection to {address}")

    def _choose_peers(self):
        """Return the relay addresses of the peers to ask, in this order.

        They are one in another data centre of the region, one in the own data centre
        and one in another region, since a cut often takes a whole place.
        """
        best_by_distance = {}
        for node in self._list_nodes():
            address = node.entry_relay_address
            if not address or node.name == self._name:
                continue
            if node.entry_state != "serving" or self._skipped_peers.contains(address):
                continue
            distance = (
                node.region != self._region,
                node.data_centre == self._data_centre,
            )
            ranked = (compute_score(node.name, self._name), address)
            best_by_distance[distance] = max(
                ranked, best_by_distance.get(distance, ranked)
            )
        return [address for _, (_, address) in sorted(best_by_distance.items())]


def _open_tunnel(peer, address, timeout_seconds):
    """Ask a peer for a tunnel.

    Returns:
        The connection, None if there is none, and the peer's status, 0 without an
        answer.
    """
    host, port = split_address(peer)
    connection = RelayedConnection(host, port, timeout=timeout_seconds)
    connection.relay_address = peer
    head = (
        f"CONNECT {address} HTTP/1.1\r\n"
        f"Host: {address}\r\n"
        f"{ENDS_IDLE_HEADER}: 1\r\n\r\n"
    )
    try:
        connection.connect()
        connection.sock.sendall(head.encode())
        response = BoundedResponse(
            connection.sock, method="CONNECT", bounds=ANSWER_BOUNDS
        )
        response.begin()
        status = response.status
        response.close()
    except (OSError, http.client.HTTPException, urllib3.exceptions.HTTPError):
        # Ignored: the caller asks the next peer.
        connection.close()
        return None, 0
    if status == http.HTTPStatus.OK:
        return connection, status
    connection.close()
    return None, status
