"""The configuration that this agent holds, shared by its threads.

It only ever moves to a higher offset. Threads wait on it for news: the tail's
callers for their own record, watches for the next change.
"""

import threading
import time
from collections import deque
from collections.abc import Callable

import logbook

from citronspan.core import log_events
from citronspan.core.config_record import LogBatch
from citronspan.core.config_state import (
    Applied,
    AppliedChange,
    ConfigState,
    apply_batch,
    compare_states,
)
from citronspan.utils.logs import write_event

HISTORY_CHANGES = 4096

_logger = logbook.Logger("configuration")


class HeldConfig:
    """The state in force at this agent and its recent changes."""

    def __init__(self):
        self._condition = threading.Condition()
        self._state = ConfigState()
        self._history: deque[AppliedChange] = deque()
        self._history_from = 0
        self._closed = False
        self.applied_at = time.monotonic()
        self.void_records = 0

    @property
    def state(self) -> ConfigState:
        """The state in force; immutable."""
        return self._state

    def apply(self, batch: LogBatch) -> Applied:
        """Apply a batch if it continues the state.

        Args:
            batch: Records from the log or a peer.

        Returns:
            What the records came to; with the state unchanged if the batch does
            not continue it.
        """
        with self._condition:
            before = self._state
            applied = apply_batch(before, batch)
            if applied.state.offset <= before.offset:
                return applied
            self._take(applied.state, applied.changes)
        self._report(applied)
        return applied

    def adopt(self, state: ConfigState) -> bool:
        """Take a whole state if it is ahead.

        Args:
            state: A state from a snapshot or a peer.

        Returns:
            Whether it was ahead and is now in force.
        """
        with self._condition:
            if state.offset <= self._state.offset:
                return False
            changes = compare_states(self._state, state)
            fresh = self._state.offset == 0
            self._take(state, () if fresh else changes)
            if fresh:
                self._history_from = state.offset
        write_event(
            _logger,
            log_events.CONFIGURATION_APPLIED,
            offset=state.offset,
            changes=len(changes),
            whole=True,
        )
        return True

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
                lambda: self._closed or condition(self._state), timeout_seconds
            )
            return condition(self._state)

    def find_changes(self, after_version: int) -> tuple[AppliedChange, ...] | None:
        """Return the changes after a version, None if they are not kept."""
        with self._condition:
            if after_version + 1 < self._history_from:
                return None
            return tuple(
                change for change in self._history if change.version > after_version
            )

    def close(self) -> None:
        """Wake every waiting thread for good."""
        with self._condition:
            self._closed = True
            self._condition.notify_all()

    @property
    def closed(self) -> bool:
        """Whether the agent is stopping."""
        return self._closed

    def _take(self, state, changes):
        self._state = state
        self.applied_at = time.monotonic()
        self._history.extend(changes)
        while len(self._history) > HISTORY_CHANGES:
            self._history_from = self._history.popleft().version + 1
        self._condition.notify_all()

    def _report(self, applied):
        self.void_records += len(applied.voids)
        for void in applied.voids:
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
