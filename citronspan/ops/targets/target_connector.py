"""Ways in which a host opens connections to targets."""

from typing import Protocol

from urllib3.connection import HTTPConnection

from citronspan.utils.addresses import split_address

CONNECT_TIMEOUT_SECONDS = 0.25


class TargetConnector(Protocol):
    """Opens connections to targets."""

    def connect(self, address: str, timeout_seconds: float) -> HTTPConnection:
        """Open a connection to a target.

        Args:
            address: ``IP:PORT`` of the target.
            timeout_seconds: Longest time to wait.

        Returns:
            The open connection.

        Raises:
            OSError: If the connection was not opened.
            urllib3.exceptions.HTTPError: Likewise.
        """


class DirectConnector:
    """Connects to the address of the target."""

    def connect(self, address: str, timeout_seconds: float) -> HTTPConnection:
        """Open a TCP connection; see ``TargetConnector``."""
        host, port = split_address(address)
        connection = HTTPConnection(host, port, timeout=timeout_seconds)
        try:
            connection.connect()
        except BaseException:
            connection.close()
            raise
        return connection
