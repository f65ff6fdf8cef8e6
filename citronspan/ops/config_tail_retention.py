"""Appends snapshots to the log before the records they stand for age out."""

import queue
import threading
import time
from collections.abc import Callable

import logbook

from citronspan.core import log_events
from citronspan.core.config_record import SnapshotRecord, decode_record, encode_record
from citronspan.core.config_retention import (
    RetentionFacts,
    SnapshotObserver,
    is_snapshot_due,
)
from citronspan.core.config_snapshots import (
    compute_digest,
    make_snapshot,
    split_snapshot,
)
from citronspan.core.errors import CitronspanError
from citronspan.ops.config_tail_active import ActiveConfig
from citronspan.ops.log_client import LogPage, LogStore, LogUnavailableError
from citronspan.utils.logs import write_event

CHECK_SECONDS = 5.0

_logger = logbook.Logger("retention")


class RetentionKeeper:
    """Watches the snapshots that pass by and appends one when it is due."""

    def __init__(
        self,
        *,
        active_config: ActiveConfig,
        store: LogStore,
        interval_seconds: float,
        find_rank: Callable[[], int | None],
    ):
        self._held = active_config
        self._find_rank = find_rank
        self._store = store
        self._interval_seconds = interval_seconds
        self._stopped = threading.Event()
        self._witness = SnapshotObserver()
        self._to_verify: queue.SimpleQueue[SnapshotRecord] = queue.SimpleQueue()
        self._since = time.monotonic()
        self._snapshot_offset: int | None = None
        self._first_offset = 0
        self._next_offset = 0

    def record_page(self, page: LogPage) -> None:
        """Note what a read of the log shows."""
        self._first_offset = page.first_offset
        self._next_offset = page.next_offset
        for log_record in page.records:
            try:
                record = decode_record(log_record.data)
            except CitronspanError:
                # Ignored: whoever applies the record says that it is void.
                continue
            if isinstance(record, SnapshotRecord) and self._witness.record_part(record):
                self._snapshot_offset = record.at_offset
                age = max(0.0, time.time() - record.at_seconds)
                self._since = time.monotonic() - min(age, self._interval_seconds)
                self._to_verify.put(record)

    def run(self) -> None:
        """Verify and append until ``stop``."""
        while not self._stopped.wait(CHECK_SECONDS):
            self._verify()
            if self._is_due():
                self._append()

    def stop(self) -> None:
        """Ask ``run`` to return."""
        self._stopped.set()

    def _is_due(self):
        rank = self._find_rank()
        if rank is None or not self._held.ready:
            return False
        return is_snapshot_due(
            RetentionFacts(
                rank=rank,
                offset=self._held.state.offset,
                first_offset=self._first_offset,
                next_offset=self._next_offset,
                snapshot_offset=self._snapshot_offset,
                seconds_since_snapshot=time.monotonic() - self._since,
                interval_seconds=self._interval_seconds,
            )
        )

    def _append(self):
        # The time is noted first: a log that fails is not tried again at once.
        self._since = time.monotonic()
        snapshot = make_snapshot(self._held.state)
        parts = split_snapshot(snapshot, at_seconds=int(time.time()))
        try:
            for part in parts:
                self._store.append(encode_record(part))
        except LogUnavailableError as error:
            write_event(_logger, log_events.LOG_SERVICE_AWAY, reason=str(error))
            return
        write_event(
            _logger,
            log_events.SNAPSHOT_APPENDED,
            offset=snapshot.at_offset,
            digest=snapshot.digest,
            parts=len(parts),
        )

    def _verify(self):
        while not self._to_verify.empty():
            record = self._to_verify.get()
            state = self._held.state
            if self._held.change_offset > record.at_offset:
                continue
            if record.at_offset > state.offset:
                continue
            own = compute_digest(state)
            if own == record.digest:
                continue
            write_event(
                _logger,
                log_events.SNAPSHOT_DIFFERS,
                offset=record.at_offset,
                digest=record.digest,
                own=own,
            )
