"""Records and logs what targets say of themselves to this host."""

import threading
from collections.abc import Mapping

import logbook

from citronspan.core import log_events
from citronspan.core.detection.health import TargetInfo
from citronspan.core.detection.target_notices import TargetNotice, TargetNotices
from citronspan.ops.slot_source import Slot
from citronspan.utils.logs import write_event
from citronspan.utils.token_bucket import TokenBucket

PAUSE_LINES_PER_SECOND = 2.0
PAUSE_BURST_LINES = 20.0

_logger = logbook.Logger("slots")


class NoticeRecorder:
    """Keeps the notices of targets and logs each new one; safe for threads.

    Attributes:
        table: The notices.
    """

    def __init__(self):
        self.table = TargetNotices()
        self._lock = threading.Lock()
        self._pause_line_bucket = TokenBucket(
            rate=PAUSE_LINES_PER_SECOND, burst=PAUSE_BURST_LINES
        )

    def set_targets(
        self, targets_by_service: Mapping[str, tuple[TargetInfo, ...]]
    ) -> None:
        """Apply the targets of a configuration, and log those that leave newly."""
        service_by_target = {
            target.name: service
            for service, targets in targets_by_service.items()
            for target in targets
        }
        leaving = self.table.set_targets(
            target for targets in targets_by_service.values() for target in targets
        )
        for target in leaving:
            write_event(
                _logger,
                log_events.TARGET_LEAVES,
                service=service_by_target[target.name],
                target=target.name,
                incarnation=target.incarnation,
                source="configuration",
            )

    def observe(self, slot: Slot, notice: TargetNotice, request_id: str) -> None:
        """Record what a target said of itself in an answer.

        Args:
            slot: Slot of the attempt.
            notice: What the target said.
            request_id: Id of the answered request in logs.
        """
        if notice.is_leaving and self.table.record_leaving(
            slot.target, slot.incarnation
        ):
            write_event(
                _logger,
                log_events.TARGET_LEAVES,
                id=request_id,
                service=slot.shard.service,
                target=slot.target,
                incarnation=slot.incarnation,
                broker=slot.broker,
                source="answer",
            )
        if notice.problem:
            self._write_pause_line(
                log_events.PAUSE_UNREADABLE, slot, notice, request_id
            )
        if notice.pause_seconds and self.table.record_pause(
            slot.target, notice.pause_seconds
        ):
            self._write_pause_line(log_events.TARGET_PAUSED, slot, notice, request_id)

    def _write_pause_line(self, event, slot, notice, request_id):
        """Log a pause, unless a target that refuses all the time fills the log."""
        with self._lock:
            if not self._pause_line_bucket.take():
                return
        write_event(
            _logger,
            event,
            id=request_id,
            service=slot.shard.service,
            target=slot.target,
            broker=slot.broker,
            seconds=notice.pause_seconds,
            detail=notice.problem,
        )
