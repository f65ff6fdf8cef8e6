"""Tails the platform's log into the configuration that this agent holds."""

import threading

import logbook

from citronspan.core import log_events
from citronspan.core.config_record import LogBatch
from citronspan.core.config_snapshots import TruncatedLogReader
from citronspan.ops.config_source import LogSight
from citronspan.ops.config_tail_held import HeldConfig
from citronspan.ops.config_tail_retention import RetentionKeeper
from citronspan.ops.log_client import (
    LogAwayError,
    LogPage,
    LogStore,
    LogTruncatedError,
)
from citronspan.utils.logs import write_event

POLL_SECONDS = 5.0
PAUSE_SECONDS = 0.5
# A starting node leaves this time to its peers before it reads all the log keeps.
PEERS_FIRST_SECONDS = 1.0

_logger = logbook.Logger("log-tail")


class ConfigTail:
    """One thread that reads the log by long polls, where this node is to read."""

    def __init__(self, *, held: HeldConfig, store: LogStore, keeper: RetentionKeeper):
        self._held = held
        self._store = store
        self._keeper = keeper
        self._stopped = threading.Event()
        self._gave_peers_time = False
        self._reported_behind = False
        self.sight = LogSight()

    def run(self) -> None:
        """Read until ``stop``."""
        while not self._stopped.is_set():
            if not self._is_wanted():
                self._held.wait(lambda state: self._is_wanted(), PAUSE_SECONDS)
                continue
            try:
                self._read_once()
            except LogAwayError as error:
                self._note_away(str(error))
                self._stopped.wait(PAUSE_SECONDS)

    def stop(self) -> None:
        """Ask ``run`` to return; it does after the read in progress."""
        self._stopped.set()

    def _is_wanted(self) -> bool:
        held = self._held
        return held.plan.is_reader or held.writers > 0 or not held.ready

    def _read_once(self):
        offset = self._held.state.offset
        caught_up = self.sight.next_offset is not None and not self.sight.away
        wait_seconds = POLL_SECONDS if caught_up else 0.0
        try:
            page = self._store.read(offset, wait_seconds=wait_seconds)
        except LogTruncatedError as error:
            self._begin_anew(error)
            return
        self._note_back(page)
        self._keeper.note_page(page)
        if page.next_offset < offset:
            self._note_behind(page, offset)
            return
        if page.records:
            self._held.apply_log_batch(_make_batch(offset, page))

    def _begin_anew(self, error: LogTruncatedError):
        """Replay what the log keeps, from a snapshot in it."""
        if not self._gave_peers_time:
            self._gave_peers_time = True
            self._held.wait(
                lambda state: state.offset >= error.first_offset, PEERS_FIRST_SECONDS
            )
            return
        reader = TruncatedLogReader(first_offset=error.first_offset)
        while True:
            page = self._store.read(reader.next_offset)
            self._keeper.note_page(page)
            if not page.records:
                break
            reader.add(_make_batch(reader.next_offset, page))
        if reader.state is None:
            write_event(_logger, log_events.SNAPSHOT_MISSING, first=error.first_offset)
            self._stopped.wait(PAUSE_SECONDS)
            return
        self._held.install_state(reader.state)
        self._note_back(page)

    def _note_away(self, reason):
        if not self.sight.away:
            write_event(_logger, log_events.LOG_SERVICE_AWAY, reason=reason)
        self.sight = LogSight(away=True, next_offset=self.sight.next_offset)

    def _note_back(self, page: LogPage):
        if self.sight.away:
            write_event(_logger, log_events.LOG_SERVICE_BACK, next=page.next_offset)
        self.sight = LogSight(next_offset=page.next_offset)

    def _note_behind(self, page: LogPage, offset: int):
        if not self._reported_behind:
            write_event(
                _logger, log_events.LOG_BEHIND, next=page.next_offset, offset=offset
            )
        self._reported_behind = True
        self._stopped.wait(PAUSE_SECONDS)


def _make_batch(offset: int, page: LogPage) -> LogBatch:
    return LogBatch(
        from_offset=offset,
        next_offset=page.records[-1].offset + 1,
        records=page.records,
    )
