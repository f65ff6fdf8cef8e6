"""Sends the configuration and the membership view to the entry of this host."""

import threading
import time
from dataclasses import dataclass

import logbook

from citronspan.core import log_events
from citronspan.core.configuration.config_state import ConfigState, compare_states
from citronspan.core.configuration.push_parts import split_push
from citronspan.core.node_messages import (
    ConfigurationPush,
    EntryReport,
    NodeInfo,
    ViewPush,
)
from citronspan.ops.peers.peer_link import PeerLink
from citronspan.utils.logs import write_event

# A push that no report of the entry confirms within this time is considered lost.
PUSH_TIMEOUT_SECONDS = 1.0
# A full push has a longer timeout, since the entry has to decode and index a whole
# configuration.
FULL_PUSH_TIMEOUT_SECONDS = 5.0
VIEW_RESEND_SECONDS = 5.0

_logger = logbook.Logger("entry-feed")


@dataclass(frozen=True, kw_only=True, slots=True)
class SentView:
    """Identity of a view that was sent.

    Attributes:
        version: Version of the view.
        leaving_targets: Addresses of leaving targets.
    """

    version: int
    leaving_targets: tuple[str, ...]


class EntryFeed:
    """Tracks what the entry was sent and reported, and sends what it lacks.

    The entry's reports are the acknowledgements. A lost push shows as an old offset in
    a report and is then replaced by a full push.
    """

    def __init__(self, *, to: str, link: PeerLink):
        self._address = to
        self._link = link
        self._lock = threading.Lock()
        self._sent_state: ConfigState | None = None
        self._sent_at = float("-inf")
        self._push_timeout_seconds = PUSH_TIMEOUT_SECONDS
        self._reported_offset = 0
        self._sent_view: SentView | None = None
        self._view_sequence = time.time_ns() // 1_000_000
        self._view_sent_at = float("-inf")

    @property
    def sent_offset(self) -> int:
        """Offset of the last push handed to a connection, 0 if there is none."""
        sent = self._sent_state
        return 0 if sent is None else sent.offset

    def is_due(self, state: ConfigState) -> bool:
        """Return whether a state has still to be sent to the entry."""
        return state.offset != self.sent_offset

    def push_state(self, state: ConfigState) -> None:
        """Send the changes since the last push, or the whole state if there is none.

        Args:
            state: The active configuration.
        """
        with self._lock:
            if state.offset in (0, self.sent_offset):
                return
            if state.offset < self._reported_offset:
                return
            # A full push is expensive to build, so it is not built for an unreachable
            # entry.
            if not self._link.is_connected(self._address):
                return
            message = _make_configuration_push(self._sent_state, state)
            for part in split_push(message):
                if not self._link.send(self._address, part):
                    return
            if message.base_offset == 0:
                write_event(_logger, log_events.ENTRY_CONFIGURED, offset=state.offset)
            self._sent_state = state
            self._sent_at = time.monotonic()
            is_full = message.base_offset == 0
            self._push_timeout_seconds = (
                FULL_PUSH_TIMEOUT_SECONDS if is_full else PUSH_TIMEOUT_SECONDS
            )

    def handle_entry_report(self, report: EntryReport) -> None:
        """Record the entry's offsets and discard the record of a push that was lost."""
        self._check_reported_view(report)
        with self._lock:
            self._reported_offset = report.offset
            if self._sent_state is None or report.offset == self._sent_state.offset:
                return
            if time.monotonic() < self._sent_at + self._push_timeout_seconds:
                return
            self._sent_state = None

    def push_view(
        self,
        version: int,
        nodes: tuple[NodeInfo, ...],
        leaving_targets: tuple[str, ...],
        *,
        awaits_peers: bool,
    ) -> None:
        """Send the view if it changed, and otherwise at a fixed interval.

        Args:
            version: Version of the view.
            nodes: The live nodes.
            leaving_targets: Addresses that the host list shows as leaving.
            awaits_peers: See ``ViewPush``.
        """
        now = time.monotonic()
        view = SentView(version=version, leaving_targets=leaving_targets)
        if view == self._sent_view and now < self._view_sent_at + VIEW_RESEND_SECONDS:
            return
        self._view_sequence += 1
        message = ViewPush(
            sequence=self._view_sequence,
            nodes=nodes,
            leaving_targets=leaving_targets,
            awaits_peers=awaits_peers,
        )
        if not self._link.send(self._address, message):
            return
        self._sent_view = view
        self._view_sent_at = now

    def _check_reported_view(self, report):
        """Have the view sent again if the entry reports an older one."""
        if report.view_sequence >= self._view_sequence:
            return
        if time.monotonic() >= self._view_sent_at + PUSH_TIMEOUT_SECONDS:
            self._sent_view = None


def _make_configuration_push(
    sent: ConfigState | None, state: ConfigState
) -> ConfigurationPush:
    base = ConfigState() if sent is None else sent
    changes = compare_states(base, state)
    return ConfigurationPush(
        base_offset=base.offset,
        offset=state.offset,
        changed=tuple(change.data for change in changes if change.data is not None),
        removed=tuple(tuple(change.key) for change in changes if change.data is None),
    )
