"""Logs which shards this entry begins and ends to serve, and slots it took back."""

from collections.abc import Iterable

import logbook

from citronspan.core import log_events
from citronspan.core.broker_status import BrokerStatus
from citronspan.core.shards import ShardKey
from citronspan.utils.logs import write_event

_logger = logbook.Logger("brokers")


class BrokerLog:
    """Compares what the brokers are doing with the last call."""

    def __init__(self):
        self._reclaimed_by_key: dict[ShardKey, int] = {}

    def write(self, statuses: Iterable[BrokerStatus]) -> None:
        """Log what is new.

        Args:
            statuses: Status of each broker of this entry, former ones included.
        """
        status_by_key = {
            status.key: status for status in statuses if not status.successor
        }
        for key in self._reclaimed_by_key.keys() - status_by_key.keys():
            write_event(_logger, log_events.BROKER_HANDED_OVER, shard=key.format())
        for key, status in status_by_key.items():
            before = self._reclaimed_by_key.get(key)
            if before is None:
                write_event(_logger, log_events.BROKER_STARTED, shard=key.format())
            if status.reclaimed > (before or 0):
                write_event(
                    _logger,
                    log_events.SLOT_RECLAIMED,
                    shard=key.format(),
                    slots=status.reclaimed - (before or 0),
                )
        self._reclaimed_by_key = {
            key: status.reclaimed for key, status in status_by_key.items()
        }
