"""Stand-in for the platform's list of live and leaving hosts, which lags behind."""

import threading
import time
from collections import deque
from typing import Literal

import msgspec

from citronspan_standins.http_service import Exchange, handle_control


class ListedHost(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One host of the list.

    Attributes:
        name: Name of the host.
        address: ``IP:PORT`` of the host.
        role: Whether the host is a target or runs an entry.
        state: Whether the host is in service or about to leave.
    """

    name: str
    address: str
    role: Literal["target", "entry"]
    state: Literal["live", "leaving"] = "live"


class HostList(msgspec.Struct, frozen=True, kw_only=True):
    """Body of an answer of the host list."""

    hosts: tuple[ListedHost, ...] = ()


class HostListSwitches(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
    rename="camel",
):
    """Settings and faults that can be changed while the host list runs.

    Attributes:
        hosts: The actual state of the hosts.
        lag_seconds: Delay in seconds before a change appears in the list.
        down: Whether every connection is closed without an answer.
    """

    hosts: tuple[ListedHost, ...] = ()
    lag_seconds: float = 0.0
    down: bool = False


class HostListService:
    """Answers requests for the host list."""

    def __init__(self, *, switches: HostListSwitches):
        self._switches = switches
        self._lock = threading.Lock()
        self._visible_hosts = switches.hosts
        self._pending_changes: deque[tuple[float, tuple[ListedHost, ...]]] = deque()

    def handle(self, exchange: Exchange) -> None:
        """Answer one request."""
        if exchange.path == "/control":
            handle_control(exchange, self._switches, self._replace_switches)
            return
        if self._switches.down:
            exchange.abort()
        exchange.answer_json(200, HostList(hosts=self.get_visible_hosts()))

    def get_visible_hosts(self) -> tuple[ListedHost, ...]:
        """Return the hosts that the list shows now, without the delayed changes."""
        with self._lock:
            while (
                self._pending_changes
                and self._pending_changes[0][0] <= time.monotonic()
            ):
                _, self._visible_hosts = self._pending_changes.popleft()
            return self._visible_hosts

    def _replace_switches(self, switches):
        with self._lock:
            self._switches = switches
            visible_at = time.monotonic() + switches.lag_seconds
            self._pending_changes.append((visible_at, switches.hosts))
