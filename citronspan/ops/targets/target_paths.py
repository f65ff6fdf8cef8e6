"""Chooses the way to targets: directly, or through a peer while the host is cut off."""

import random
import threading
import time
from collections.abc import Callable

import logbook
import urllib3.exceptions
from urllib3.connection import HTTPConnection

from citronspan.core import log_events
from citronspan.ops.targets.relay_connector import RelayConnector, RelayedConnection
from citronspan.ops.targets.target_connector import (
    CONNECT_TIMEOUT_SECONDS,
    TargetConnector,
)
from citronspan.ops.targets.target_reachability import TargetReachability
from citronspan.utils.logs import write_event

RELAY_TIMEOUT_SECONDS = 0.6
"""Longest wait for a tunnel: two round trips to another region and its connect."""

PROBE_INTERVAL_SECONDS = 0.25

SILENCE_SECONDS = 1.5
"""Time without an answer after which a request puts the host's reach in doubt."""

_logger = logbook.Logger("target-paths")


class TargetPaths:
    """Opens connections to targets by the way that works."""

    def __init__(
        self,
        *,
        direct: TargetConnector,
        reachability: TargetReachability | None = None,
        relay: RelayConnector | None = None,
    ):
        """Create the paths.

        Args:
            direct: Connects to targets directly.
            reachability: Follows whether that works.
            relay: Connects through peers, None if there are none to ask.
        """
        self._direct = direct
        self._reachability = reachability or TargetReachability()
        self._relay = relay

    def connect(self, address: str, deadline: float) -> HTTPConnection:
        """Open a connection to a target.

        Args:
            address: ``IP:PORT`` of the target.
            deadline: Time of ``time.monotonic()`` at which to give up.

        Returns:
            The open connection.

        Raises:
            RelayError: If the host is cut off and no peer helps.
            OSError: If the target can't be reached.
            urllib3.exceptions.HTTPError: Likewise.
        """
        if not self._needs_relay():
            try:
                return self._connect_directly(address, deadline)
            except (OSError, urllib3.exceptions.HTTPError):
                if not self._needs_relay():
                    raise
        remaining_seconds = max(deadline - time.monotonic(), 0.001)
        return self._relay.connect(
            address, min(RELAY_TIMEOUT_SECONDS, remaining_seconds)
        )

    def is_usable(self, connection: HTTPConnection) -> bool:
        """Return whether an idle connection seems to lead to its target."""
        if self.is_ending(connection):
            return False
        if isinstance(connection, RelayedConnection) or not self._needs_relay():
            return True
        return self._reachability.has_answers

    def is_ending(self, connection: HTTPConnection) -> bool:
        """Return whether a connection leads through a peer that stops or is gone."""
        if self._relay is None or not isinstance(connection, RelayedConnection):
            return False
        return self._relay.is_ending(connection)

    def record_answer(self, connection: HTTPConnection) -> None:
        """Record that an answer arrived over a connection."""
        if not isinstance(connection, RelayedConnection):
            self._reachability.record_answered()

    def record_wait(self, connection: HTTPConnection, sent_at: float) -> None:
        """Record that a request still waits for its answer.

        Args:
            connection: Connection over which it was sent.
            sent_at: Time of ``time.monotonic()`` at which it was sent.
        """
        if isinstance(connection, RelayedConnection):
            return
        if time.monotonic() - sent_at >= SILENCE_SECONDS:
            self._reachability.record_silence(sent_at)

    def probe_forever(
        self, list_addresses: Callable[[], list[str]], is_ended: threading.Event
    ) -> None:
        """Try targets directly while the host is cut off or may be.

        Args:
            list_addresses: Returns the addresses of all targets.
            is_ended: Ends the probing.
        """
        while not is_ended.wait(PROBE_INTERVAL_SECONDS):
            try:
                self._probe_if_needed(list_addresses)
            except Exception:
                _logger.exception("probe raised an exception")
                write_event(_logger, log_events.BACKGROUND_TASK_FAILED, task="probe")

    def _needs_relay(self):
        if self._relay is None or not self._reachability.is_cut_off:
            return False
        return self._relay.has_peers()

    def _probe_if_needed(self, list_addresses):
        if not (self._reachability.is_cut_off or self._reachability.is_in_doubt):
            return
        addresses = list_addresses()
        if not addresses:
            return
        failed = self._reachability.list_failed_addresses()
        untried = [address for address in addresses if address not in failed]
        self._probe(random.choice(untried or addresses))

    def _probe(self, address):
        try:
            connection = self._direct.connect(address, CONNECT_TIMEOUT_SECONDS)
        except (OSError, urllib3.exceptions.HTTPError):
            # Ignored: a host that is cut off already stays so.
            if not self._reachability.is_cut_off:
                self._reachability.record_failed(address)
            return
        connection.close()
        self._reachability.record_connected()

    def _connect_directly(self, address, deadline):
        remaining_seconds = max(deadline - time.monotonic(), 0.001)
        timeout_seconds = min(CONNECT_TIMEOUT_SECONDS, remaining_seconds)
        try:
            connection = self._direct.connect(address, timeout_seconds)
        except (OSError, urllib3.exceptions.HTTPError):
            self._reachability.record_failed(address)
            raise
        self._reachability.record_connected()
        return connection
