"""The agent's active configuration, shared by its threads.

``core.config_spread`` decides what to apply and send. This module adds the lock, the
history of recent changes for watches, and the waiting: writers wait for their own
record, watches for the next change. The offset never decreases.
"""

import threading
import time
from collections import deque
from collections.abc import Callable
from typing import Protocol

import logbook

from citronspan.core import log_events
from citronspan.core.configuration.config_messages import ConfigOffset
from citronspan.core.configuration.config_record import LogBatch
from citronspan.core.configuration.config_spread import ConfigSpread, SpreadResult
from citronspan.core.configuration.config_spread_tree import SpreadPlan
from citronspan.core.configuration.config_startup import StartupGate, StartupStatus
from citronspan.core.configuration.config_state import (
    AppliedChange,
    ApplyResult,
    ConfigState,
    compare_states,
)
from citronspan.core.message_base import Message, Outgoing
from citronspan.core.node_messages import NodeInfo
from citronspan.utils.logs import write_event

MAXIMUM_HISTORY_CHANGES = 4096

_logger = logbook.Logger("configuration")


class Spread(Protocol):
    """One node's configuration state and its replication to peers."""

    @property
    def state(self) -> ConfigState:
        """The active state."""

    @property
    def plan(self) -> SpreadPlan:
        """This node's role in the replication."""

    @property
    def offset_by_address(self) -> dict[str, int]:
        """Last offset that each peer reported."""

    def set_nodes(self, nodes: tuple[NodeInfo, ...]) -> None:
        """Set the live nodes."""

    def handle_message(self, body: Message, sender: str) -> SpreadResult:
        """Handle a message of another agent."""

    def tick(self) -> SpreadResult:
        """Run the periodic work that is due."""


class ActiveConfig:
    """The agent's active state with its recent changes, safe for threads.

    Attributes:
        void_records: Number of records rejected on replay since the start.
        applied_at: Monotonic time of the last application of records or a state.
    """

    def __init__(
        self,
        *,
        own: NodeInfo,
        send_all: Callable[[list[Outgoing]], None] | None = None,
        spread: Spread | None = None,
    ):
        self._condition = threading.Condition()
        self._spread = spread or ConfigSpread(own=own)
        self._gate = StartupGate()
        self._send_all = send_all or (lambda outgoing: None)
        self._history: deque[AppliedChange] = deque()
        self._history_start_version = 0
        self._change_offset = 0
        self._closed = False
        self._pending_writers = 0
        self.void_records = 0
        self.applied_at = time.monotonic()

    @property
    def state(self) -> ConfigState:
        """The active state, which is immutable."""
        return self._spread.state

    @property
    def plan(self) -> SpreadPlan:
        """This node's role in the replication."""
        return self._spread.plan

    @property
    def ready(self) -> bool:
        """Whether the startup gate is open, so that the agent serves its state."""
        return self._gate.is_open

    @property
    def closed(self) -> bool:
        """Whether the agent is stopping."""
        return self._closed

    @property
    def pending_writers(self) -> int:
        """Number of changes that wait until their record is read back."""
        return self._pending_writers

    @property
    def change_offset(self) -> int:
        """Offset after the last record that changed the state."""
        return self._change_offset

    @property
    def offset_by_address(self) -> dict[str, int]:
        """Last offset that each peer reported."""
        with self._condition:
            return self._spread.offset_by_address

    def apply_log_batch(self, batch: LogBatch) -> None:
        """Apply records that were read from the log."""
        self.run_step(lambda: self._spread.apply_log_batch(batch))

    def install_state(self, state: ConfigState) -> None:
        """Install a state replayed from the log if it is newer than the active one."""
        self.run_step(lambda: self._spread.install_state(state))

    def handle_message(self, body: Message, sender: str) -> None:
        """Handle a configuration message of another agent."""
        self.run_step(lambda: self._spread.handle_message(body, sender))

    def tick(self, nodes: tuple[NodeInfo, ...]) -> None:
        """Set the live nodes and run the periodic work that is due."""
        with self._condition:
            self._spread.set_nodes(nodes)
        self.run_step(self._spread.tick)

    def request_offsets(self, addresses: list[str]) -> None:
        """Request the offsets of peers; the state of a peer that is ahead is pulled."""
        message = ConfigOffset(offset=self.state.offset)
        self._send_all([Outgoing(to=address, message=message) for address in addresses])

    def open_startup_gate(self) -> None:
        """Open the startup gate, so that the agent serves its state."""
        with self._condition:
            self._gate.open()
            self._condition.notify_all()

    def update_startup_gate(self, status: StartupStatus) -> bool:
        """Update the startup gate with the status; return whether it is open."""
        with self._condition:
            if not self._gate.is_open and self._gate.update(status):
                self._condition.notify_all()
            return self._gate.is_open

    def wait(
        self, condition: Callable[[ConfigState], bool], timeout_seconds: float
    ) -> bool:
        """Wait until the state meets a condition or the agent stops.

        Args:
            condition: Predicate on the state.
            timeout_seconds: Maximum time to wait.

        Returns:
            Whether the state meets the condition.
        """
        with self._condition:
            self._condition.wait_for(
                lambda: self._closed or condition(self.state), timeout_seconds
            )
            return condition(self.state)

    def wait_ready(self, timeout_seconds: float) -> bool:
        """Wait until the startup gate is open; return whether it is."""
        return self.ready or self.wait(lambda state: self.ready, timeout_seconds)

    def adjust_writer_count(self, count: int) -> None:
        """Add to the number of writers; while it is positive, the log must be read."""
        with self._condition:
            self._pending_writers += count
            self._condition.notify_all()

    def find_changes(self, after_version: int) -> tuple[AppliedChange, ...] | None:
        """Return the changes after a version, None if the history has lost some."""
        with self._condition:
            if after_version + 1 < self._history_start_version:
                return None
            found = []
            for change in reversed(self._history):
                if change.version <= after_version:
                    break
                found.append(change)
            return tuple(reversed(found))

    def close(self) -> None:
        """Mark the agent as stopping and wake all waiting threads."""
        with self._condition:
            self._closed = True
            self._condition.notify_all()

    def run_step(self, step: Callable[[], SpreadResult]) -> None:
        """Run a replication step under the lock, then log and send its results."""
        with self._condition:
            before = self._spread.state
            result = step()
            if result.applied is not None:
                self._record_applied(result.applied)
            if result.installed_state is not None:
                self._record_installed(before, result.installed_state)
        if result.applied is not None:
            self._log_applied(result.applied)
        if result.installed_state is not None:
            self._log_installed(before, result.installed_state)
        if result.outgoing:
            self._send_all(list(result.outgoing))

    def _record_applied(self, applied: ApplyResult):
        self._add_history(applied.changes)
        if applied.changes or applied.rejected_records:
            self._change_offset = applied.state.offset
        self._notify_waiters()

    def _record_installed(self, before: ConfigState, state: ConfigState):
        if state.resource_by_key is before.resource_by_key:
            self._notify_waiters()
            return
        self._change_offset = state.offset
        if before.offset == 0:
            self._history_start_version = state.offset
        else:
            self._add_history(compare_states(before, state))
        self._notify_waiters()

    def _add_history(self, changes):
        self._history.extend(changes)
        while len(self._history) > MAXIMUM_HISTORY_CHANGES:
            self._history_start_version = self._history.popleft().version + 1

    def _notify_waiters(self):
        self.applied_at = time.monotonic()
        self._condition.notify_all()

    def _log_installed(self, before, state):
        if state.resource_by_key is before.resource_by_key:
            # Only the offset has advanced.
            return
        write_event(
            _logger,
            log_events.CONFIGURATION_APPLIED,
            offset=state.offset,
            resources=len(state.resource_by_key),
        )

    def _log_applied(self, applied):
        self.void_records += len(applied.rejected_records)
        for record in applied.rejected_records:
            write_event(
                _logger,
                log_events.RECORD_VOID,
                offset=record.offset,
                verdict=record.verdict.value,
                detail=record.detail,
            )
        if not applied.changes:
            return
        write_event(
            _logger,
            log_events.CONFIGURATION_APPLIED,
            offset=applied.state.offset,
            changes=len(applied.changes),
        )
