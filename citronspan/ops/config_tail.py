"""Tails the platform's log into the configuration that this agent holds."""

import threading

import logbook

from citronspan.core import log_events
from citronspan.core.config_record import LogBatch
from citronspan.core.config_snapshots import TruncatedLogReader
from citronspan.ops.config_source import LogReadStatus
from citronspan.ops.config_tail_active import ActiveConfig
from citronspan.ops.config_tail_retention import RetentionKeeper
from citronspan.ops.log_client import (
    LogPage,
    LogStore,
    LogTruncatedError,
    LogUnavailableError,
)
from citronspan.utils.logs import write_event

POLL_SECONDS = 5.0
PAUSE_SECONDS = 0.5
# A starting node leaves this time to its peers before it reads all the log keeps.
PEER_SYNC_WAIT_SECONDS = 1.0

_logger = logbook.Logger("log-tail")


class ConfigTail:
    """One thread that reads the log by long polls, where this node is to read."""

    def __init__(
        self, *, active_config: ActiveConfig, store: LogStore, keeper: RetentionKeeper
    ):
        self._held = active_config
        self._store = store
        self._keeper = keeper
        self._stopped = threading.Event()
        self._gave_peers_time = False
        self._reported_behind = False
        self.read_status = LogReadStatus()

    def run(self) -> None:
        """Read until ``stop``."""
        while not self._stopped.is_set():
            if not self._is_wanted():
                self._held.wait(lambda state: self._is_wanted(), PAUSE_SECONDS)
                continue
            try:
                self._read_once()
            except LogUnavailableError as error:
                self._note_away(str(error))
                self._stopped.wait(PAUSE_SECONDS)

    def stop(self) -> None:
        """Ask ``run`` to return; it does after the read in progress."""
        self._stopped.set()

    def _is_wanted(self) -> bool:
        active_config = self._held
        return (
            active_config.plan.is_reader
            or active_config.pending_writers > 0
            or not active_config.ready
        )

    def _read_once(self):
        offset = self._held.state.offset
        caught_up = (
            self.read_status.next_offset is not None
            and not self.read_status.is_unavailable
        )
        wait_seconds = POLL_SECONDS if caught_up else 0.0
        try:
            page = self._store.read(offset, wait_seconds=wait_seconds)
        except LogTruncatedError as error:
            self._begin_anew(error)
            return
        self._note_back(page)
        self._keeper.record_page(page)
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
                lambda state: state.offset >= error.first_offset, PEER_SYNC_WAIT_SECONDS
            )
            return
        reader = TruncatedLogReader(first_offset=error.first_offset)
        while True:
            page = self._store.read(reader.next_offset)
            self._keeper.record_page(page)
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
        if not self.read_status.is_unavailable:
            write_event(_logger, log_events.LOG_SERVICE_AWAY, reason=reason)
        self.read_status = LogReadStatus(
            is_unavailable=True, next_offset=self.read_status.next_offset
        )

    def _note_back(self, page: LogPage):
        if self.read_status.is_unavailable:
            write_event(_logger, log_events.LOG_SERVICE_BACK, next=page.next_offset)
        self.read_status = LogReadStatus(next_offset=page.next_offset)

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
