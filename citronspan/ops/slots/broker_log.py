"""Log of the shards that this entry starts or stops brokering, and reclaimed slots."""

from collections.abc import Iterable

import logbook

from citronspan.core import log_events
from citronspan.core.brokering.broker_status import BrokerStatus
from citronspan.core.brokering.shards import ShardKey
from citronspan.utils.logs import write_event

_logger = logbook.Logger("brokers")


class BrokerLog:
    """Logs changes in the status of this entry's brokers since the last call."""

    def __init__(self):
        self._reclaimed_by_key: dict[ShardKey, int] = {}

    def write(self, statuses: Iterable[BrokerStatus]) -> None:
        """Log started and handed-over brokers and newly reclaimed slots.

        Args:
            statuses: Status of each broker of this entry, including brokers whose shard
                was handed over.
        """
        status_by_key = {
            status.key: status for status in statuses if not status.successor
        }
        for key in self._reclaimed_by_key.keys() - status_by_key.keys():
            write_event(_logger, log_events.BROKER_HANDED_OVER, shard=key.format())
        for key, status in status_by_key.items():
            previous_count = self._reclaimed_by_key.get(key)
            if previous_count is None:
                write_event(_logger, log_events.BROKER_STARTED, shard=key.format())
            if status.reclaimed > (previous_count or 0):
                write_event(
                    _logger,
                    log_events.SLOT_RECLAIMED,
                    shard=key.format(),
                    slots=status.reclaimed - (previous_count or 0),
                )
        self._reclaimed_by_key = {
            key: status.reclaimed for key, status in status_by_key.items()
        }
