"""Records and logs what targets say of themselves to this host."""

from collections.abc import Mapping

import logbook

from citronspan.core import log_events
from citronspan.core.detection.health import TargetInfo
from citronspan.core.detection.target_notices import TargetNotice, TargetNotices
from citronspan.ops.slot_source import Slot
from citronspan.utils.logs import write_event

_logger = logbook.Logger("slots")


class NoticeRecorder:
    """Keeps the notices of targets and logs each new one; safe for threads.

    Attributes:
        table: The notices.
    """

    def __init__(self):
        self.table = TargetNotices()

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
