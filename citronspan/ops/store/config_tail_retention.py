"""Appends snapshots to the log before retention drops the records they replace."""

import queue
import threading
import time
from collections.abc import Callable

import logbook

from citronspan.core import log_events
from citronspan.core.configuration.config_record import (
    SnapshotRecord,
    decode_record,
    encode_record,
)
from citronspan.core.configuration.config_retention import (
    RetentionStatus,
    SnapshotObserver,
    is_snapshot_due,
)
from citronspan.core.configuration.config_snapshots import (
    compute_digest,
    make_snapshot,
    split_snapshot,
)
from citronspan.core.errors import CitronspanError
from citronspan.ops.store.active_config import ActiveConfig
from citronspan.ops.store.log_client import LogPage, LogStore, LogUnavailableError
from citronspan.utils.logs import write_event

CHECK_SECONDS = 5.0

_logger = logbook.Logger("retention")


class RetentionKeeper:
    """Tracks and verifies the snapshots in the log and appends one when it is due."""

    def __init__(
        self,
        *,
        active_config: ActiveConfig,
        store: LogStore,
        interval_seconds: float,
        find_rank: Callable[[], int | None],
    ):
        self._active_config = active_config
        self._find_rank = find_rank
        self._store = store
        self._interval_seconds = interval_seconds
        self._stopped = threading.Event()
        self._observer = SnapshotObserver()
        self._unverified_snapshots: queue.SimpleQueue[SnapshotRecord] = (
            queue.SimpleQueue()
        )
        self._last_snapshot_at = time.monotonic()
        self._snapshot_offset: int | None = None
        self._first_offset = 0
        self._next_offset = 0

    def record_page(self, page: LogPage) -> None:
        """Record the offsets and snapshots of a page that was read from the log."""
        self._first_offset = page.first_offset
        self._next_offset = page.next_offset
        for log_record in page.records:
            try:
                record = decode_record(log_record.data)
            except CitronspanError:
                # Ignored: the node that applies the record reports it as void.
                continue
            if isinstance(record, SnapshotRecord) and self._observer.record_part(
                record
            ):
                self._snapshot_offset = record.at_offset
                age = max(0.0, time.time() - record.at_seconds)
                self._last_snapshot_at = time.monotonic() - min(
                    age, self._interval_seconds
                )
                self._unverified_snapshots.put(record)

    def run(self) -> None:
        """Verify and append snapshots until ``stop`` is called."""
        while not self._stopped.wait(CHECK_SECONDS):
            self._verify_snapshots()
            if self._is_snapshot_due():
                self._append_snapshot()

    def stop(self) -> None:
        """Ask ``run`` to return."""
        self._stopped.set()

    def _is_snapshot_due(self):
        rank = self._find_rank()
        if rank is None or not self._active_config.ready:
            return False
        return is_snapshot_due(
            RetentionStatus(
                rank=rank,
                offset=self._active_config.state.offset,
                first_offset=self._first_offset,
                next_offset=self._next_offset,
                snapshot_offset=self._snapshot_offset,
                seconds_since_snapshot=time.monotonic() - self._last_snapshot_at,
                interval_seconds=self._interval_seconds,
            )
        )

    def _append_snapshot(self):
        # The time is set before the append, so that a failed append is not retried at
        # once.
        self._last_snapshot_at = time.monotonic()
        snapshot = make_snapshot(self._active_config.state)
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

    def _verify_snapshots(self):
        while not self._unverified_snapshots.empty():
            record = self._unverified_snapshots.get()
            state = self._active_config.state
            if self._active_config.change_offset > record.at_offset:
                continue
            if record.at_offset > state.offset:
                continue
            own_digest = compute_digest(state)
            if own_digest == record.digest:
                continue
            write_event(
                _logger,
                log_events.SNAPSHOT_DIFFERS,
                offset=record.at_offset,
                digest=record.digest,
                own=own_digest,
            )
