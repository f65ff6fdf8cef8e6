"""The configuration that this agent holds, shared by its threads.

The decisions are those of ``core.config_spread``; this module adds the lock, the
recent changes for watches, and waiting: writers wait for their own record, watches
for the next change. The offset only ever grows.
"""

import threading
import time
from collections import deque
from collections.abc import Callable
from typing import Protocol

import logbook

from citronspan.core import log_events
from citronspan.core.config_messages import ConfigOffset
from citronspan.core.config_record import LogBatch
from citronspan.core.config_spread import ConfigSpread, SpreadResult
from citronspan.core.config_spread_tree import SpreadPlan
from citronspan.core.config_startup import StartupGate, StartupStatus
from citronspan.core.config_state import (
    AppliedChange,
    ApplyResult,
    ConfigState,
    compare_states,
)
from citronspan.core.message_base import Message, Outgoing
from citronspan.core.node_messages import NodeInfo
from citronspan.utils.logs import write_event

HISTORY_CHANGES = 4096

_logger = logbook.Logger("configuration")


class Spread(Protocol):
    """What one node holds of the configuration and how it spreads it."""

    @property
    def state(self) -> ConfigState:
        """The state in force."""

    @property
    def plan(self) -> SpreadPlan:
        """What this node does in spreading."""

    @property
    def offset_by_address(self) -> dict[str, int]:
        """Offset that each peer last said it has."""

    def set_nodes(self, nodes: tuple[NodeInfo, ...]) -> None:
        """Take the nodes that are live now."""

    def handle_message(self, body: Message, sender: str) -> SpreadResult:
        """Take a message of another agent."""

    def tick(self) -> SpreadResult:
        """Do what is due by time."""


class ActiveConfig:
    """The state in force at this agent, its recent changes and its spreading."""

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
        self._history_from = 0
        self._change_offset = 0
        self._closed = False
        self._writers = 0
        self.void_records = 0
        self.applied_at = time.monotonic()

    @property
    def state(self) -> ConfigState:
        """The state in force; immutable."""
        return self._spread.state

    @property
    def plan(self) -> SpreadPlan:
        """What this node does in spreading."""
        return self._spread.plan

    @property
    def ready(self) -> bool:
        """Whether the node knows enough to serve what it holds."""
        return self._gate.is_open

    @property
    def closed(self) -> bool:
        """Whether the agent is stopping."""
        return self._closed

    @property
    def pending_writers(self) -> int:
        """Number of changes that wait to be read back."""
        return self._writers

    @property
    def change_offset(self) -> int:
        """Offset after the last record that changed the state."""
        return self._change_offset

    @property
    def offset_by_address(self) -> dict[str, int]:
        """Offset that each peer last said it has."""
        with self._condition:
            return self._spread.offset_by_address

    def apply_log_batch(self, batch: LogBatch) -> None:
        """Take records that were read from the log."""
        self.run(lambda: self._spread.apply_log_batch(batch))

    def install_state(self, state: ConfigState) -> None:
        """Take a whole state that was replayed from the log, if it is ahead."""
        self.run(lambda: self._spread.install_state(state))

    def handle_message(self, body: Message, sender: str) -> None:
        """Take a configuration message of another agent."""
        self.run(lambda: self._spread.handle_message(body, sender))

    def tick(self, nodes: tuple[NodeInfo, ...]) -> None:
        """Take the live nodes and do what is due."""
        with self._condition:
            self._spread.set_nodes(nodes)
        self.run(self._spread.tick)

    def ask(self, addresses: list[str]) -> None:
        """Ask peers for their offsets; what is ahead is then pulled."""
        message = ConfigOffset(offset=self.state.offset)
        self._send_all([Outgoing(to=address, message=message) for address in addresses])

    def open_start_gate(self) -> None:
        """Serve what is held from now on."""
        with self._condition:
            self._gate.open()
            self._condition.notify_all()

    def update_start_gate(self, facts: StartupStatus) -> bool:
        """Let the start gate look at the facts; return whether it is open."""
        with self._condition:
            if not self._gate.is_open and self._gate.update(facts):
                self._condition.notify_all()
            return self._gate.is_open

    def wait(
        self, condition: Callable[[ConfigState], bool], timeout_seconds: float
    ) -> bool:
        """Wait until the state meets a condition.

        Args:
            condition: What to wait for.
            timeout_seconds: How long to wait.

        Returns:
            Whether it is met; also false once the agent stops.
        """
        with self._condition:
            self._condition.wait_for(
                lambda: self._closed or condition(self.state), timeout_seconds
            )
            return condition(self.state)

    def wait_ready(self, timeout_seconds: float) -> bool:
        """Wait until the node may serve; return whether it may."""
        return self.ready or self.wait(lambda state: self.ready, timeout_seconds)

    def adjust_writer_count(self, count: int) -> None:
        """Count writers in or out; while there are any, the log must be read."""
        with self._condition:
            self._writers += count
            self._condition.notify_all()

    def find_changes(self, after_version: int) -> tuple[AppliedChange, ...] | None:
        """Return the changes after a version, None if they are not kept."""
        with self._condition:
            if after_version + 1 < self._history_from:
                return None
            found = []
            for change in reversed(self._history):
                if change.version <= after_version:
                    break
                found.append(change)
            return tuple(reversed(found))

    def close(self) -> None:
        """Wake every waiting thread for good."""
        with self._condition:
            self._closed = True
            self._condition.notify_all()

    def run(self, step: Callable[[], SpreadResult]) -> None:
        """Let the spread take a step under the lock, and do what follows from it."""
        with self._condition:
            before = self._spread.state
            result = step()
            if result.applied is not None:
                self._note_applied(result.applied)
            if result.installed_state is not None:
                self._note_adopted(before, result.installed_state)
        if result.applied is not None:
            self._report_applied(result.applied)
        if result.installed_state is not None:
            write_event(
                _logger,
                log_events.CONFIGURATION_APPLIED,
                offset=result.installed_state.offset,
                resources=len(result.installed_state.resource_by_key),
            )
        if result.outgoing:
            self._send_all(list(result.outgoing))

    def _note_applied(self, applied: ApplyResult):
        self._add_history(applied.changes)
        if applied.changes or applied.rejected_records:
            self._change_offset = applied.state.offset
        self._wake()

    def _note_adopted(self, before: ConfigState, state: ConfigState):
        self._change_offset = state.offset
        if before.offset == 0:
            self._history_from = state.offset
        else:
            self._add_history(compare_states(before, state))
        self._wake()

    def _add_history(self, changes):
        self._history.extend(changes)
        while len(self._history) > HISTORY_CHANGES:
            self._history_from = self._history.popleft().version + 1

    def _wake(self):
        self.applied_at = time.monotonic()
        self._condition.notify_all()

    def _report_applied(self, applied):
        self.void_records += len(applied.rejected_records)
        for void in applied.rejected_records:
            write_event(
                _logger,
                log_events.RECORD_VOID,
                offset=void.offset,
                verdict=void.verdict.value,
                detail=void.detail,
            )
        if not applied.changes:
            return
        write_event(
            _logger,
            log_events.CONFIGURATION_APPLIED,
            offset=applied.state.offset,
            changes=len(applied.changes),
        )
