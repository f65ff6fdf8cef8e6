"""Logs the decisions of failure detection about the targets of this entry's brokers."""

import logbook

from citronspan.core import log_events
from citronspan.core.brokering.shards import ShardKey
from citronspan.core.detection.shard_health import ShardHealth
from citronspan.utils.logs import write_event

# Healthy targets become suspect and healthy again many times a day. These changes only
# matter when a single failure is investigated, so they get an event of lower severity.
_LOW_SEVERITY_STATES = frozenset({"healthy", "suspect"})

_logger = logbook.Logger("targets")


class TargetLog:
    """Logs state changes of targets, and which targets the floor keeps in use."""

    def __init__(self):
        self._kept_targets_by_shard: dict[ShardKey, frozenset[str]] = {}

    def write(self, key: ShardKey, health: ShardHealth) -> bool:
        """Log the changes at a shard since the last call.

        Args:
            key: Key of the shard.
            health: Failure detection of the shard.

        Returns:
            Whether the state of any target changed.
        """
        changes = health.drain_changes()
        for change in changes:
            event = log_events.TARGET_STATE_CHANGED
            if {change.before, change.after} <= _LOW_SEVERITY_STATES:
                event = log_events.TARGET_DOUBT_CHANGED
            write_event(
                _logger,
                event,
                shard=key.format(),
                target=change.target,
                before=change.before,
                after=change.after,
                why=change.reason,
            )
        self._write_floor(key, health)
        return bool(changes)

    def _write_floor(self, key, health):
        kept_targets = health.list_kept_by_floor()
        if kept_targets == self._kept_targets_by_shard.get(key, frozenset()):
            return
        self._kept_targets_by_shard[key] = kept_targets
        if kept_targets:
            write_event(
                _logger,
                log_events.FLOOR_REACHED,
                shard=key.format(),
                targets=sorted(kept_targets),
            )
