"""Records and logs what targets say of themselves to this host."""

import threading
from collections import Counter
from collections.abc import Mapping

import logbook

from citronspan.core import log_events
from citronspan.core.detection.health import TargetInfo
from citronspan.core.detection.target_notices import TargetNotice, TargetNotices
from citronspan.ops.slots.slot_source import Slot
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
        self._targets_by_service: dict[str, tuple[TargetInfo, ...]] = {}
        self._names_by_service: dict[str, frozenset[str]] = {}
        self._unreadable_by_service: Counter[str] = Counter()
        self._returned_by_service: Counter[str] = Counter()
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
        self._targets_by_service = dict(targets_by_service)
        self._names_by_service = {
            service: frozenset(target.name for target in targets)
            for service, targets in targets_by_service.items()
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
            with self._lock:
                self._unreadable_by_service[slot.shard.service] += 1
            self._write_pause_line(
                log_events.PAUSE_UNREADABLE, slot, notice, request_id
            )
        if notice.pause_seconds and self.table.record_pause(
            slot.target, notice.pause_seconds
        ):
            self._write_pause_line(log_events.TARGET_PAUSED, slot, notice, request_id)

    def may_use_any(self, service: str) -> bool:
        """Return whether this entry may use any target of a service now.

        Each request asks this. Without targets in the configuration it is True, as a
        broker may know more.
        """
        names = self._names_by_service.get(service)
        return not names or not names <= self.table.find_unusable()

    def find_pause_seconds(self, service: str) -> float:
        """Return the time until the first pause of a service's target ends, or 0."""
        return self.table.find_pause_seconds(self._targets_by_service.get(service, ()))

    def may_use(self, slot: Slot, request_id: str) -> bool:
        """Return whether this entry may use a slot's target now, and log if not."""
        reason = self.table.find_reason(slot.target)
        if reason is None:
            return True
        with self._lock:
            self._returned_by_service[slot.shard.service] += 1
        write_event(
            _logger,
            log_events.SLOT_RETURNED,
            id=request_id,
            service=slot.shard.service,
            target=slot.target,
            broker=slot.broker,
            reason=reason,
        )
        return False

    def count_said_leaving_by_service(self) -> dict[str, int]:
        """Return the number of targets of each service that leave by their answers."""
        return self._count_by_service(self.table.list_said_leaving())

    def count_paused_by_service(self) -> dict[str, int]:
        """Return the number of targets of each service that want nothing now."""
        return self._count_by_service(self.table.list_paused())

    def count_unreadable_pauses_by_service(self) -> dict[str, int]:
        """Return the number of pauses so far that were not taken as they stand.

        Pauses whose log line was left out count, too.
        """
        with self._lock:
            return dict(self._unreadable_by_service)

    def count_returned_slots_by_service(self) -> dict[str, int]:
        """Return the number of slots so far whose target might not be used."""
        with self._lock:
            return dict(self._returned_by_service)

    def _count_by_service(self, names):
        return {
            service: len(service_names & names)
            for service, service_names in self._names_by_service.items()
        }

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
