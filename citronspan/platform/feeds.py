"""Implements ``FeedStore`` on top of the platform's store."""

import logbook

from citronspan.core import log_events
from citronspan.core.configuration.feed_records import TRANSLATION_GENERATION
from citronspan.core.configuration.feeds import (
    CONFIGURATION_FEED,
    TARGETS_FEED,
    FeedBatch,
    FeedRecord,
    encode_resources,
)
from citronspan.core.host_settings import ServiceRules
from citronspan.ops.store.feed_source import FeedPage
from citronspan.platform.records import (
    read_configuration,
    read_configuration_version,
    read_target,
    read_target_version,
)
from citronspan.platform.store import KeyedPage, KeyedRecord, StoreClient
from citronspan.utils.logs import write_event

_TOPIC_BY_FEED = {CONFIGURATION_FEED: "keyed.op", TARGETS_FEED: "keyed.servers"}
_CONFIGURATION_KEY = "config"

_logger = logbook.Logger("platform")


class PlatformFeeds:
    """Reads the platform's topics and translates their records into resources.

    Attributes:
        unreadable_records: Number of records that failed to decode, since the start.
        configuration_problem: Why the newest configuration that was read is invalid,
            with the path of a field; empty if it is valid or none was read.
    """

    def __init__(
        self,
        *,
        client: StoreClient,
        rules: ServiceRules,
        region_by_data_centre: dict[str, str],
    ):
        self._client = client
        self._rules = rules
        self._region_by_data_centre = region_by_data_centre
        self.unreadable_records = 0
        self.configuration_problem = ""

    def set_rules(self, rules: ServiceRules) -> None:
        """Set the service rules that apply to records read from now on."""
        self._rules = rules

    def read(self, feed: str, from_offset: int, wait_seconds: float) -> FeedPage:
        """Read the records from an offset on; see ``FeedStore``."""
        topic = _TOPIC_BY_FEED[feed]
        page = self._client.read(topic, from_offset, wait_seconds)
        batch = FeedBatch(
            feed=feed,
            from_offset=from_offset,
            next_offset=page.next_offset,
            records=self._translate(feed, page),
        )
        return FeedPage(batch=batch, end_offset=page.end_offset)

    def read_newest(self, feed: str) -> FeedBatch:
        """Read the newest record of each key; see ``FeedStore``."""
        page = self._client.read_newest(_TOPIC_BY_FEED[feed])
        return FeedBatch(
            feed=feed,
            from_offset=0,
            next_offset=page.next_offset,
            records=self._translate(feed, page),
            whole=True,
        )

    def _translate(self, feed: str, page: KeyedPage) -> tuple[FeedRecord, ...]:
        if feed == CONFIGURATION_FEED:
            records = [self._read_configuration(record) for record in page.records]
        else:
            records = [self._read_target(record) for record in page.records]
        return tuple(record for record in records if record is not None)

    def _read_configuration(self, record: KeyedRecord) -> FeedRecord | None:
        if record.key != _CONFIGURATION_KEY or record.value is None:
            return None
        try:
            resources = read_configuration(record.value, self._rules)
            version = read_configuration_version(record.value)
        except Exception as error:  # One record must not stop the feed.
            self._log_unreadable_record(record, error)
            self._set_configuration_problem(record, str(error))
            return None
        self._set_configuration_problem(record, "")
        data = encode_resources(resources)
        return FeedRecord(
            offset=record.offset,
            key=record.key,
            data=data,
            version=version,
            generation=TRANSLATION_GENERATION,
        )

    def _set_configuration_problem(self, record, problem):
        if problem == self.configuration_problem:
            return
        self.configuration_problem = problem
        event = log_events.CONFIGURATION_READABLE
        if problem:
            event = log_events.CONFIGURATION_UNREADABLE
        write_event(_logger, event, offset=record.offset, reason=problem)

    def _read_target(self, record: KeyedRecord) -> FeedRecord:
        if record.value is None:
            return FeedRecord(offset=record.offset, key=record.key)
        try:
            target = read_target(record.key, record.value, self._region_by_data_centre)
            version = read_target_version(record.value)
        except Exception as error:  # One record must not stop the feed.
            self._log_unreadable_record(record, error)
            return FeedRecord(offset=record.offset, key=record.key)
        data = encode_resources([target])
        return FeedRecord(
            offset=record.offset, key=record.key, data=data, version=version
        )

    def _log_unreadable_record(self, record, error):
        self.unreadable_records += 1
        write_event(
            _logger,
            log_events.RECORD_VOID,
            key=record.key,
            offset=record.offset,
            reason=str(error),
        )
