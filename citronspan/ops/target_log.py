"""Logs what detection decides about the targets of this entry's brokers."""

import logbook

from citronspan.core import log_events
from citronspan.core.shard_health import ShardHealth
from citronspan.core.shards import ShardKey
from citronspan.utils.logs import write_event

# Healthy targets are suspected many times a day; that is news only for somebody who
# looks for the cause of one failure.
_QUIET_STATES = frozenset({"healthy", "suspect"})

_logger = logbook.Logger("targets")


class TargetLog:
    """Logs changes of state, and when the floor begins to keep targets in use."""

    def __init__(self):
        self._kept_by_key: dict[ShardKey, frozenset[str]] = {}

    def write(self, key: ShardKey, health: ShardHealth) -> bool:
        """Log what is new at a shard.

        Args:
            key: The shard.
            health: Its detection.

        Returns:
            Whether any target changed its state.
        """
        changes = health.drain_changes()
        for change in changes:
            event = log_events.TARGET_STATE_CHANGED
            if {change.before, change.after} <= _QUIET_STATES:
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
        kept = health.list_kept_by_floor()
        if kept == self._kept_by_key.get(key, frozenset()):
            return
        self._kept_by_key[key] = kept
        if kept:
            write_event(
                _logger,
                log_events.FLOOR_REACHED,
                shard=key.format(),
                targets=sorted(kept),
            )
