"""Reads the platform's log and applies its records to the agent's configuration."""

import threading

import logbook

from citronspan.core import log_events
from citronspan.core.configuration.config_record import LogBatch
from citronspan.core.configuration.config_snapshots import TruncatedLogReader
from citronspan.ops.store.active_config import ActiveConfig
from citronspan.ops.store.config_source import LogReadStatus
from citronspan.ops.store.config_tail_retention import RetentionKeeper
from citronspan.ops.store.log_client import (
    LogPage,
    LogStore,
    LogTruncatedError,
    LogUnavailableError,
)
from citronspan.utils.logs import write_event

LONG_POLL_SECONDS = 5.0
RETRY_SECONDS = 0.5
# A starting node waits this long for a state from its peers before it replays the
# whole retained log.
PEER_SYNC_WAIT_SECONDS = 1.0

_logger = logbook.Logger("log-tail")


class ConfigTail:
    """Reads the log by long polls while this node has to read it."""

    def __init__(
        self, *, active_config: ActiveConfig, store: LogStore, keeper: RetentionKeeper
    ):
        self._active_config = active_config
        self._store = store
        self._keeper = keeper
        self._stopped = threading.Event()
        self._waited_for_peers = False
        self._log_behind_reported = False
        self.read_status = LogReadStatus()

    def run(self) -> None:
        """Read the log until ``stop`` is called."""
        while not self._stopped.is_set():
            if not self._must_read():
                self._active_config.wait(lambda state: self._must_read(), RETRY_SECONDS)
                continue
            try:
                self._read_once()
            except LogUnavailableError as error:
                self._record_unavailable(str(error))
                self._stopped.wait(RETRY_SECONDS)

    def stop(self) -> None:
        """Ask ``run`` to return after the read in progress."""
        self._stopped.set()

    def _must_read(self) -> bool:
        active_config = self._active_config
        return (
            active_config.plan.is_reader
            or active_config.pending_writers > 0
            or not active_config.ready
        )

    def _read_once(self):
        offset = self._active_config.state.offset
        caught_up = (
            self.read_status.next_offset is not None
            and not self.read_status.is_unavailable
        )
        wait_seconds = LONG_POLL_SECONDS if caught_up else 0.0
        try:
            page = self._store.read(offset, wait_seconds=wait_seconds)
        except LogTruncatedError as error:
            self._replay_retained_log(error)
            return
        self._record_available(page)
        self._keeper.record_page(page)
        if page.next_offset < offset:
            self._record_log_behind(page, offset)
            return
        if page.records:
            self._active_config.apply_log_batch(_make_batch(offset, page))

    def _replay_retained_log(self, error: LogTruncatedError):
        """Replay the retained part of the log, starting at a snapshot in it.

        The first call only waits for a state from the peers instead.
        """
        if not self._waited_for_peers:
            self._waited_for_peers = True
            self._active_config.wait(
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
            self._stopped.wait(RETRY_SECONDS)
            return
        self._active_config.install_state(reader.state)
        self._record_available(page)

    def _record_unavailable(self, reason):
        if not self.read_status.is_unavailable:
            write_event(_logger, log_events.LOG_SERVICE_AWAY, reason=reason)
        self.read_status = LogReadStatus(
            is_unavailable=True, next_offset=self.read_status.next_offset
        )

    def _record_available(self, page: LogPage):
        if self.read_status.is_unavailable:
            write_event(_logger, log_events.LOG_SERVICE_BACK, next=page.next_offset)
        self.read_status = LogReadStatus(next_offset=page.next_offset)

    def _record_log_behind(self, page: LogPage, offset: int):
        if not self._log_behind_reported:
            write_event(
                _logger, log_events.LOG_BEHIND, next=page.next_offset, offset=offset
            )
        self._log_behind_reported = True
        self._stopped.wait(RETRY_SECONDS)


def _make_batch(offset: int, page: LogPage) -> LogBatch:
    return LogBatch(
        from_offset=offset,
        next_offset=page.records[-1].offset + 1,
        records=page.records,
    )
