"""Polls the platform's host list, which lags behind and is only a hint.

A target that the list shows as leaving gets no new requests. A host that is missing
from the list, or a failed poll, has no effect.
"""

import threading
from enum import StrEnum

import logbook
import msgspec
import urllib3

from citronspan.core import log_events
from citronspan.utils.bounded_http import AnswerBounds, BoundedHttpClient
from citronspan.utils.logs import write_event
from citronspan.utils.validation import DECODING_ERRORS

POLL_SECONDS = 2.0
# Above this number of nodes the poll interval grows in proportion to the number, to
# limit the load on the list service.
NODES_AT_FULL_RATE = 40
REQUEST_TIMEOUT_SECONDS = 1.0
ANSWER_BOUNDS = AnswerBounds(body_bytes=4 << 20, seconds=2.0)

_logger = logbook.Logger("hosts")


class HostRole(StrEnum):
    """Role of a host in the list."""

    TARGET = "target"
    ENTRY = "entry"


class HostState(StrEnum):
    """State of a host in the list."""

    LIVE = "live"
    LEAVING = "leaving"


class ListedHost(msgspec.Struct, frozen=True, kw_only=True):
    """A host of the list."""

    name: str
    address: str
    role: HostRole
    state: HostState


class HostListAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The platform's answer with the list."""

    hosts: tuple[ListedHost, ...]


class HostListReader:
    """Polls the list and provides the addresses of leaving targets.

    Attributes:
        leaving_targets: Addresses of leaving targets in the last answer.
        failures: Number of failed polls since the start.
    """

    def __init__(self, *, url: str):
        self._url = url
        self._client = BoundedHttpClient(bounds=ANSWER_BOUNDS, connections=1)
        self._stopped = threading.Event()
        self.leaving_targets: tuple[str, ...] = ()
        self.failures = 0
        self._is_unavailable = False

    def run(self, count_nodes) -> None:
        """Poll the list until ``stop`` is called.

        Args:
            count_nodes: Returns the number of live nodes.
        """
        if not self._url:
            self._stopped.wait()
            return
        while not self._stopped.is_set():
            self.poll()
            interval_factor = max(1.0, count_nodes() / NODES_AT_FULL_RATE)
            self._stopped.wait(POLL_SECONDS * interval_factor)

    def poll(self) -> None:
        """Read the list once and keep the last answer if that fails."""
        try:
            answer = self._client.request(
                "GET", self._url, timeout=REQUEST_TIMEOUT_SECONDS
            )
            listed = msgspec.json.decode(answer.data, type=HostListAnswer)
        except (urllib3.exceptions.HTTPError, OSError, *DECODING_ERRORS) as error:
            self._record_failure(str(error))
            return
        if answer.status != 200:
            self._record_failure(f"status {answer.status}")
            return
        if self._is_unavailable:
            self._is_unavailable = False
            write_event(_logger, log_events.HOST_LIST_BACK)
        self.leaving_targets = tuple(
            sorted(
                host.address
                for host in listed.hosts
                if host.role is HostRole.TARGET and host.state is HostState.LEAVING
            )
        )

    def _record_failure(self, reason):
        self.failures += 1
        if self._is_unavailable:
            return
        self._is_unavailable = True
        write_event(_logger, log_events.HOST_LIST_AWAY, reason=reason)

    def stop(self) -> None:
        """Ask ``run`` to return."""
        self._stopped.set()
