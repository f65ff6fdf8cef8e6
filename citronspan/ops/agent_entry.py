"""Feeds the entry of this host with configuration and view."""

import threading
import time
from dataclasses import dataclass

import logbook

from citronspan.core import log_events
from citronspan.core.config_state import ConfigState, compare_states
from citronspan.core.node_messages import (
    ConfigurationPush,
    EntryReport,
    NodeInfo,
    ViewPush,
)
from citronspan.core.push_parts import split_push
from citronspan.ops.peer_link import PeerLink
from citronspan.utils.logs import write_event

# A push whose effect shows in no report for this long is taken as lost.
PUSH_TIMEOUT_SECONDS = 1.0
# Decoding and indexing a whole configuration takes the entry some time.
FULL_PUSH_TIMEOUT_SECONDS = 5.0
VIEW_RESEND_SECONDS = 5.0

_logger = logbook.Logger("entry-feed")


@dataclass(frozen=True, kw_only=True, slots=True)
class SentView:
    """What identifies a view that was sent.

    Attributes:
        version: Version of the view.
        leaving_targets: Addresses of targets that leave.
    """

    version: int
    leaving_targets: tuple[str, ...]


class EntryFeed:
    """What the entry was sent and what it reports.

    The entry's reports are the acknowledgement: whatever was lost on the way shows
    as an old offset there and is sent again, whole if the entry has another base.
    """

    def __init__(self, *, to: str, link: PeerLink):
        self._to = to
        self._link = link
        self._lock = threading.Lock()
        self._sent: ConfigState | None = None
        self._sent_at = float("-inf")
        self._lost_seconds = PUSH_TIMEOUT_SECONDS
        self._reported_offset = 0
        self._view: SentView | None = None
        self._view_sequence = time.time_ns() // 1_000_000
        self._view_sent_at = float("-inf")

    @property
    def sent_offset(self) -> int:
        """Offset of the last push that a connection took, 0 for none."""
        sent = self._sent
        return 0 if sent is None else sent.offset

    def is_due(self, state: ConfigState) -> bool:
        """Return whether the entry has not been sent a state."""
        return state.offset != self.sent_offset

    def push_state(self, state: ConfigState) -> None:
        """Send what changed since the last push, or the whole state.

        Args:
            state: The configuration in force.
        """
        with self._lock:
            if state.offset in (0, self.sent_offset):
                return
            if state.offset < self._reported_offset:
                return
            # A whole push is costly to make; without its receiver it is not made.
            if not self._link.is_connected(self._to):
                return
            message = _make_push(self._sent, state)
            for part in split_push(message):
                if not self._link.send(self._to, part):
                    return
            if message.base_offset == 0:
                write_event(_logger, log_events.ENTRY_CONFIGURED, offset=state.offset)
            self._sent = state
            self._sent_at = time.monotonic()
            whole = message.base_offset == 0
            self._lost_seconds = (
                FULL_PUSH_TIMEOUT_SECONDS if whole else PUSH_TIMEOUT_SECONDS
            )

    def handle_entry_report(self, report: EntryReport) -> None:
        """Take the entry's word on what it has; forget a push that was lost."""
        self._note_view(report)
        with self._lock:
            self._reported_offset = report.offset
            if self._sent is None or report.offset == self._sent.offset:
                return
            if time.monotonic() < self._sent_at + self._lost_seconds:
                return
            self._sent = None

    def push_view(
        self,
        version: int,
        nodes: tuple[NodeInfo, ...],
        leaving_targets: tuple[str, ...],
    ) -> None:
        """Send the view if it changed, and now and then all the same.

        Args:
            version: Version of the view.
            nodes: Nodes that the entry may depend on.
            leaving_targets: Addresses that the host list shows as leaving.
        """
        now = time.monotonic()
        view = SentView(version=version, leaving_targets=leaving_targets)
        if view == self._view and now < self._view_sent_at + VIEW_RESEND_SECONDS:
            return
        self._view_sequence += 1
        message = ViewPush(
            sequence=self._view_sequence, nodes=nodes, leaving_targets=leaving_targets
        )
        if not self._link.send(self._to, message):
            return
        self._view = view
        self._view_sent_at = now

    def _note_view(self, report):
        """Send the view anew to an entry that has an older one."""
        if report.view_sequence >= self._view_sequence:
            return
        if time.monotonic() >= self._view_sent_at + PUSH_TIMEOUT_SECONDS:
            self._view = None


def _make_push(sent: ConfigState | None, state: ConfigState) -> ConfigurationPush:
    base = ConfigState() if sent is None else sent
    changes = compare_states(base, state)
    return ConfigurationPush(
        base_offset=base.offset,
        offset=state.offset,
        changed=tuple(change.data for change in changes if change.data is not None),
        removed=tuple(tuple(change.key) for change in changes if change.data is None),
    )
