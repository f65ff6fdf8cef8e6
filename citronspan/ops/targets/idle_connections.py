"""Pool of the idle connections of one entry to its targets."""

import contextlib
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

from urllib3.connection import HTTPConnection

from citronspan.ops.targets.dialect import parse_count

MAXIMUM_IDLE_CONNECTIONS_PER_TARGET = 4
POOL_IDLE_SECONDS = 4.0
KEEP_ALIVE_FRACTION = 0.7
"""Share of a target's keep-alive timeout during which a connection is reused."""


@dataclass(frozen=True, kw_only=True, slots=True)
class _IdleConnection:
    connection: HTTPConnection
    idle_since: float
    expires_at: float


class IdleConnections:
    """Idle connections by address; safe for threads."""

    def __init__(
        self,
        *,
        is_usable: Callable[[HTTPConnection], bool],
        is_ending: Callable[[HTTPConnection], bool],
    ):
        """Create a pool without connections.

        Args:
            is_usable: Returns whether requests may now use a connection.
            is_ending: Returns whether none may use it any more.
        """
        self._is_usable = is_usable
        self._is_ending = is_ending
        self._lock = threading.Lock()
        self._idle_by_address: dict[str, list[_IdleConnection]] = {}

    def take(self, address: str, reuse_seconds: float) -> HTTPConnection | None:
        """Take a connection that has been idle for at most a time, or None."""
        now = time.monotonic()
        while True:
            with self._lock:
                idle = self._idle_by_address.get(address)
                item = idle.pop() if idle else None
            if item is None:
                return None
            is_usable = item.idle_since > now - reuse_seconds and now < item.expires_at
            is_usable = is_usable and self._is_usable(item.connection)
            if is_usable and item.connection.is_connected:
                return item.connection
            item.connection.close()

    def put(
        self, address: str, connection: HTTPConnection, keep_alive_seconds: float
    ) -> None:
        """Keep a connection for some time, or close it if there is no room for it."""
        if (
            connection.sock is None
            or keep_alive_seconds <= 0
            or self._is_ending(connection)
        ):
            connection.close()
            return
        now = time.monotonic()
        item = _IdleConnection(
            connection=connection, idle_since=now, expires_at=now + keep_alive_seconds
        )
        with self._lock:
            idle = self._idle_by_address.setdefault(address, [])
            if len(idle) < MAXIMUM_IDLE_CONNECTIONS_PER_TARGET:
                idle.append(item)
                return
        with contextlib.suppress(OSError):
            connection.close()

    def close(self) -> None:
        """Close all connections."""
        with self._lock:
            idle = [item for items in self._idle_by_address.values() for item in items]
            self._idle_by_address.clear()
        for item in idle:
            item.connection.close()

    def close_expired(self) -> None:
        """Close the connections that no request can use any more.

        The caller runs this about once a second. Without it, those to targets that are
        gone would stay, since nothing asks for their addresses.
        """
        now = time.monotonic()
        for address in list(self._idle_by_address):
            with self._lock:
                idle = self._idle_by_address.get(address, [])
                expired = [
                    item
                    for item in idle
                    if now >= item.expires_at
                    or not item.connection.is_connected
                    or self._is_ending(item.connection)
                ]
                kept = [item for item in idle if item not in expired]
                if kept:
                    self._idle_by_address[address] = kept
                else:
                    self._idle_by_address.pop(address, None)
            for item in expired:
                with contextlib.suppress(OSError):
                    item.connection.close()

    def list_addresses(self) -> frozenset[str]:
        """Return the addresses that have a connection."""
        now = time.monotonic()
        with self._lock:
            return frozenset(
                address
                for address, idle in self._idle_by_address.items()
                if idle and now < idle[-1].expires_at
            )


def read_keep_alive_seconds(response) -> float:
    """Return the seconds for which the connection may stay in the pool."""
    if "close" in (response.headers.get("Connection") or "").lower():
        return 0.0
    for part in (response.headers.get("Keep-Alive") or "").split(","):
        name, _, value = part.strip().partition("=")
        seconds = parse_count(value)
        if name.lower() == "timeout" and seconds >= 0:
            return seconds * KEEP_ALIVE_FRACTION
    return POOL_IDLE_SECONDS
