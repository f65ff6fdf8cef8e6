"""Stand-in for the platform's lagging list of live and leaving hosts."""

import threading
import time
from collections import deque
from typing import Literal

import msgspec

from citronspan_standins.http_service import Exchange, answer_control


class ListedHost(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One host of the list.

    Attributes:
        name: Name of the host.
        address: ``IP:PORT`` where it serves.
        role: What it serves.
        state: Whether it is going to leave.
    """

    name: str
    address: str
    role: Literal["target", "entry"]
    state: Literal["live", "leaving"] = "live"


class HostList(msgspec.Struct, frozen=True, kw_only=True):
    """What the list answers."""

    hosts: tuple[ListedHost, ...] = ()


class HostListSwitches(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
    rename="camel",
):
    """What can be changed while the host list runs.

    Attributes:
        hosts: The true state of the hosts.
        lag_seconds: Time after which a change is seen in the list.
        down: Whether every connection is cut without an answer.
    """

    hosts: tuple[ListedHost, ...] = ()
    lag_seconds: float = 0.0
    down: bool = False


class HostListService:
    """The host list's answers to requests."""

    def __init__(self, *, switches: HostListSwitches):
        self._switches = switches
        self._lock = threading.Lock()
        self._visible = switches.hosts
        self._coming: deque[tuple[float, tuple[ListedHost, ...]]] = deque()

    def handle(self, exchange: Exchange) -> None:
        """Answer one request."""
        if exchange.path == "/control":
            answer_control(exchange, self._switches, self._replace)
            return
        if self._switches.down:
            exchange.cut()
        exchange.answer_json(200, HostList(hosts=self.get_visible_hosts()))

    def get_visible_hosts(self) -> tuple[ListedHost, ...]:
        """Return the hosts as the list shows them now."""
        with self._lock:
            while self._coming and self._coming[0][0] <= time.monotonic():
                _, self._visible = self._coming.popleft()
            return self._visible

    def _replace(self, switches):
        with self._lock:
            self._switches = switches
            visible_at = time.monotonic() + switches.lag_seconds
            self._coming.append((visible_at, switches.hosts))
