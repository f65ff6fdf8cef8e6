"""Tails the platform's log into the configuration that this agent holds."""

import threading
from collections.abc import Callable

import logbook

from citronspan.core import log_events
from citronspan.core.config_record import LogBatch
from citronspan.ops.config_tail_held import HeldConfig
from citronspan.ops.log_client import LogAwayError, LogPage, LogStore, LogTruncatedError
from citronspan.utils.logs import write_event

POLL_SECONDS = 5.0
AWAY_PAUSE_SECONDS = 0.5

_logger = logbook.Logger("log-tail")


class ConfigTail:
    """One thread that reads the log by long polls."""

    def __init__(
        self,
        *,
        held: HeldConfig,
        store: LogStore,
        handle_batch: Callable[[LogBatch], None],
    ):
        self._held = held
        self._store = store
        self._handle_batch = handle_batch
        self._stopped = threading.Event()
        self._away = False

    @property
    def away(self) -> bool:
        """Whether the last read found the log away."""
        return self._away

    def run(self) -> None:
        """Read until ``stop``."""
        while not self._stopped.is_set():
            try:
                self._read_once()
            except LogAwayError as error:
                self._note_away(str(error))
                self._stopped.wait(AWAY_PAUSE_SECONDS)

    def stop(self) -> None:
        """Ask ``run`` to return; it does after the read in progress."""
        self._stopped.set()

    def _read_once(self):
        offset = self._held.state.offset
        try:
            page = self._store.read(offset, wait_seconds=POLL_SECONDS)
        except LogTruncatedError:
            self._stopped.wait(AWAY_PAUSE_SECONDS)
            return
        self._note_back(page)
        if not page.records:
            return
        batch = LogBatch(
            from_offset=offset,
            next_offset=page.records[-1].offset + 1,
            records=page.records,
        )
        self._held.apply(batch)
        self._handle_batch(batch)

    def _note_away(self, reason):
        if self._away:
            return
        self._away = True
        write_event(_logger, log_events.LOG_SERVICE_AWAY, reason=reason)

    def _note_back(self, page: LogPage):
        if not self._away:
            return
        self._away = False
        write_event(_logger, log_events.LOG_SERVICE_BACK, next=page.next_offset)
