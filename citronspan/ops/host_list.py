"""Reads the platform's host list, which lags and is only a hint.

A target that the list shows as leaving gets no new work. A host that is missing
from the list, or a list that does not answer, changes nothing.
"""

import threading
from enum import StrEnum

import logbook
import msgspec
import urllib3

from citronspan.core import log_events
from citronspan.utils.logs import write_event

POLL_SECONDS = 2.0
# Above this number of nodes each asks less often, so that the list is not flooded.
NODES_AT_FULL_RATE = 40
REQUEST_SECONDS = 1.0

_logger = logbook.Logger("hosts")


class HostRole(StrEnum):
    """Roles in the list."""

    TARGET = "target"
    ENTRY = "entry"


class HostState(StrEnum):
    """States in the list."""

    LIVE = "live"
    LEAVING = "leaving"


class ListedHost(msgspec.Struct, frozen=True, kw_only=True):
    """One host of the list."""

    name: str
    address: str
    role: HostRole
    state: HostState


class HostListAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The list as the platform answers it."""

    hosts: tuple[ListedHost, ...]


class HostListReader:
    """Keeps the addresses of leaving targets as the list last showed them."""

    def __init__(self, *, url: str):
        self._url = url
        self._http = urllib3.PoolManager(maxsize=1)
        self._stopped = threading.Event()
        self.leaving_targets: tuple[str, ...] = ()
        self.failures = 0
        self._is_away = False

    def run(self, count_nodes) -> None:
        """Poll until stopped.

        Args:
            count_nodes: Returns the number of live nodes.
        """
        if not self._url:
            self._stopped.wait()
            return
        while not self._stopped.is_set():
            self.poll()
            slowdown = max(1.0, count_nodes() / NODES_AT_FULL_RATE)
            self._stopped.wait(POLL_SECONDS * slowdown)

    def poll(self) -> None:
        """Read the list once; keep the last one where that fails."""
        try:
            answer = self._http.request(
                "GET", self._url, timeout=REQUEST_SECONDS, retries=False
            )
            listed = msgspec.json.decode(answer.data, type=HostListAnswer)
        except (urllib3.exceptions.HTTPError, msgspec.MsgspecError, OSError) as error:
            self._note_failure(str(error))
            return
        if answer.status != 200:
            self._note_failure(f"status {answer.status}")
            return
        if self._is_away:
            self._is_away = False
            write_event(_logger, log_events.HOST_LIST_BACK)
        self.leaving_targets = tuple(
            sorted(
                host.address
                for host in listed.hosts
                if host.role is HostRole.TARGET and host.state is HostState.LEAVING
            )
        )

    def _note_failure(self, reason):
        self.failures += 1
        if self._is_away:
            return
        self._is_away = True
        write_event(_logger, log_events.HOST_LIST_AWAY, reason=reason)

    def stop(self) -> None:
        """Let ``run`` return."""
        self._stopped.set()
