"""The configuration source for the feeds that the platform publishes in its store.

One thread per feed reads the store by long polls while this node is a reader, and
otherwise checks periodically whether it has become one. ``core.feed_spread`` applies
what is read and decides which peers to update.
"""

import threading
import time
from collections.abc import Callable
from typing import Protocol

import logbook
import msgspec

from citronspan.core import log_events
from citronspan.core.configuration.copy_age import OUTAGE_AGE_SECONDS, StatedEnd
from citronspan.core.configuration.feed_messages import FeedPull, FeedUpdate
from citronspan.core.configuration.feed_spread import FeedSpread
from citronspan.core.configuration.feeds import (
    CONFIGURATION_FEED,
    FEEDS,
    REMOVAL_GRACE_SECONDS,
    FeedBatch,
)
from citronspan.core.message_base import Outgoing
from citronspan.core.node_messages import NodeInfo
from citronspan.ops.store.active_config import ActiveConfig
from citronspan.ops.store.config_source import LogReadStatus
from citronspan.utils.clocks import read_elapsed_seconds
from citronspan.utils.logs import write_event

READ_WAIT_SECONDS = 0.8
"""Maximum time that the store may delay a read, so that an outage is detected."""

IDLE_CHECK_SECONDS = 0.1
EMPTY_FEED_READ_SECONDS = 0.5
"""Minimum time between reads of a feed that has no record yet."""

INITIAL_BACKOFF_SECONDS = 0.25
MAXIMUM_BACKOFF_SECONDS = 1.0
MINIMUM_READ_INTERVAL_SECONDS = 0.25
"""Minimum time between reads of a feed, so that records arrive in batches."""

LONG_OUTAGE_SECONDS = 1.0
"""After an outage of this length the records of live targets may have expired."""

STARTUP_PEER_WAIT_SECONDS = 1.0
"""Time that a starting node which is no seed waits for peers before it reads."""

PEER_FALLBACK_SECONDS = 3.0
"""Time after which a starting node serves its peers' state during a store outage."""

_logger = logbook.Logger("feeds")


class StoreUnavailableError(Exception):
    """The store gave no valid answer."""


class FeedTruncatedError(Exception):
    """The requested records are no longer retained, but the newest of each key are."""


class StoreRestoredError(FeedTruncatedError):
    """The store was restored from a copy, which may lack the newest keys."""


class FeedPage(msgspec.Struct, frozen=True, kw_only=True):
    """What one read of a feed found.

    Attributes:
        batch: The records that were found.
        end_offset: End of the feed when the store answered. It is after the batch if
            the store has cut a long answer.
    """

    batch: FeedBatch
    end_offset: int = 0

    @property
    def is_cut(self) -> bool:
        """Whether the store had more records, and gave some of them."""
        batch = self.batch
        return batch.from_offset < batch.next_offset < self.end_offset


class FeedStore(Protocol):
    """Reads the feeds from the platform's store.

    Attributes:
        unreadable_records: Number of records skipped as unreadable since the start.
        configuration_problem: Why the newest configuration that was read is invalid,
            empty if it is valid or none was read.
    """

    unreadable_records: int
    configuration_problem: str

    def read(self, feed: str, from_offset: int, wait_seconds: float) -> FeedPage:
        """Read the records from an offset on, and wait if there are none yet.

        Args:
            feed: Name of the feed.
            from_offset: The first offset to read.
            wait_seconds: Maximum time that the store waits for a first record.

        Returns:
            The records that were found, and the end of the feed.

        Raises:
            StoreUnavailableError: If the store gave no valid answer.
            FeedTruncatedError: If the records are no longer retained.
            StoreRestoredError: If the store was restored from a copy since then.
        """

    def read_newest(self, feed: str) -> FeedBatch:
        """Read the newest record of each key as one complete batch.

        Raises:
            StoreUnavailableError: If the store gave no valid answer.
        """


class FeedSource:
    """A ``ConfigSource`` that merges the platform's feeds.

    Attributes:
        active_config: The agent's configuration.
        message_types: Types of the peer messages that it handles.
        leaving_targets: Always empty, since targets publish that they are leaving in
            their own feed.
    """

    message_types = (FeedUpdate, FeedPull)
    leaving_targets: tuple[str, ...] = ()

    def __init__(
        self,
        *,
        own: NodeInfo,
        send_all: Callable[[list[Outgoing]], None],
        store: FeedStore,
        is_seed: bool,
    ):
        self._spread = FeedSpread(own=own, is_seed=is_seed)
        self.active_config = ActiveConfig(
            own=own, send_all=send_all, spread=self._spread
        )
        self._store = store
        self._stop = threading.Event()
        self._reload_requested = threading.Event()
        self._started_at = time.monotonic()
        self._startup_wait_seconds = 0.0 if is_seed else STARTUP_PEER_WAIT_SECONDS
        self._unavailable_since_by_feed: dict[str, float | None] = dict.fromkeys(FEEDS)
        self._answered_at_by_feed = dict.fromkeys(FEEDS, time.monotonic())
        self._recovered_at_by_feed = dict.fromkeys(FEEDS, float("-inf"))
        self._oldest_age_by_feed = dict.fromkeys(FEEDS, 0.0)
        self._stated_end_by_feed = {feed: StatedEnd() for feed in FEEDS}
        self._cut_feeds: set[str] = set()

    @property
    def read_status(self) -> LogReadStatus:
        """Result of the last reads of the store."""
        is_unavailable = any(
            since is not None for since in self._unavailable_since_by_feed.values()
        )
        return LogReadStatus(next_offset=None, is_unavailable=is_unavailable)

    @property
    def void_records(self) -> int:
        """Number of unreadable records and invalid resources since the start."""
        return self._spread.invalid_resources + self._store.unreadable_records

    @property
    def configuration_problem(self) -> str:
        """Why the newest configuration that this node read is invalid, or empty."""
        return self._store.configuration_problem

    @property
    def is_reader(self) -> bool:
        """Whether this node reads the store continuously."""
        return self._spread.is_reader

    @property
    def age_seconds(self) -> float:
        """Time since this node was last known to be up to date with the store."""
        return self._spread.age_seconds

    def list_tasks(self) -> list[tuple[str, Callable[[], None]]]:
        """Return the name and the function of each thread that the source needs."""
        return [(f"feed-{feed}", self._make_task(feed)) for feed in FEEDS]

    def read_feed(self, feed: str) -> bool:
        """Read a feed once and apply what was read.

        Args:
            feed: Name of the feed.

        Returns:
            Whether the store answered.
        """
        is_reload = feed == CONFIGURATION_FEED and self._reload_requested.is_set()
        if is_reload:
            self._reload_requested.clear()
        wait_seconds = self._get_wait_seconds()
        started_at = read_elapsed_seconds()
        try:
            page = (
                FeedPage(batch=self._store.read_newest(feed))
                if is_reload
                else self._fetch(feed, wait_seconds)
            )
        except StoreUnavailableError as error:
            if is_reload:
                self._reload_requested.set()
            self._record_unavailable(feed, error)
            return False
        # A read that took longer was held up, and the store answered before that. It
        # waits for new records only.
        waited_seconds = 0.0 if page.batch.whole else wait_seconds
        held_up_seconds = read_elapsed_seconds() - started_at - waited_seconds
        age_seconds = self._find_age_seconds(feed, page, max(0.0, held_up_seconds))
        apply = self._spread.apply_store_batch
        if is_reload:
            apply = self._spread.apply_redecoded_batch
        self._apply_batch(feed, page.batch, lambda batch: apply(batch, age_seconds))
        return True

    def _find_age_seconds(self, feed, page, answer_age_seconds):
        """Return the time since the store had no more than a page gave."""
        self._cut_feeds.discard(feed)
        if page.is_cut:
            self._cut_feeds.add(feed)
        now = read_elapsed_seconds()
        fresh_at = self._stated_end_by_feed[feed].find_fresh_at(
            next_offset=page.batch.next_offset,
            end_offset=page.end_offset,
            answered_at=now - answer_age_seconds,
        )
        return now - fresh_at

    def request_reload(self) -> None:
        """Request a reload of the configuration because its decoding has changed."""
        self._reload_requested.set()

    def stop(self) -> None:
        """Ask the threads to end."""
        self._stop.set()
        self.active_config.close()

    def check_startup_gate(self, nodes: tuple[NodeInfo, ...]) -> None:
        """Open the startup gate if the configuration is fresh or the best available.

        A state from peers is used while the store is unavailable, after
        ``PEER_FALLBACK_SECONDS``.

        Args:
            nodes: The live nodes.
        """
        waited_seconds = time.monotonic() - self._started_at
        is_fresh = self._spread.age_seconds < PEER_FALLBACK_SECONDS
        may_use_peer_state = (
            waited_seconds >= PEER_FALLBACK_SECONDS and self.read_status.is_unavailable
        )
        if not self._spread.has_configuration:
            return
        if not is_fresh and not may_use_peer_state:
            return
        offsets = self._spread.offsets
        write_event(
            _logger,
            log_events.STARTUP_GATE_OPENED,
            configuration=offsets.configuration,
            targets=offsets.targets,
            is_fresh=is_fresh,
            age_seconds=round(self._spread.age_seconds, 3) if is_fresh else None,
            waited_seconds=round(waited_seconds, 3),
        )
        self.active_config.open_startup_gate()

    def _make_task(self, feed):
        def run():
            backoff_seconds = INITIAL_BACKOFF_SECONDS
            while not self._stop.is_set():
                if not self._is_read_due(feed):
                    self._stop.wait(IDLE_CHECK_SECONDS)
                    continue
                started_at = time.monotonic()
                if self.read_feed(feed):
                    backoff_seconds = INITIAL_BACKOFF_SECONDS
                    if feed in self._cut_feeds:
                        continue
                    is_empty = self._spread.offsets.get_offset(feed) == 0
                    minimum_seconds = (
                        EMPTY_FEED_READ_SECONDS
                        if is_empty
                        else MINIMUM_READ_INTERVAL_SECONDS
                    )
                    pause_seconds = started_at + minimum_seconds - time.monotonic()
                    self._stop.wait(max(pause_seconds, 0.0))
                    continue
                self._stop.wait(backoff_seconds)
                backoff_seconds = min(2 * backoff_seconds, MAXIMUM_BACKOFF_SECONDS)

        return run

    def _is_read_due(self, feed):
        waited_seconds = time.monotonic() - self._started_at
        if (
            not self._spread.has_configuration
            and waited_seconds < self._startup_wait_seconds
        ):
            return False
        return (
            self._reload_requested.is_set()
            or self._needs_translation(feed)
            or self._spread.is_due_to_read()
        )

    def _needs_translation(self, feed):
        """Return whether to read what a host of an earlier version has translated."""
        return feed == CONFIGURATION_FEED and self._spread.needs_translation

    def _fetch(self, feed, wait_seconds) -> FeedPage:
        from_offset = self._spread.offsets.get_offset(feed)
        if from_offset == 0 or self._needs_translation(feed):
            return FeedPage(batch=self._store.read_newest(feed))
        try:
            return self._store.read(feed, from_offset, wait_seconds)
        except FeedTruncatedError as error:
            # Ignored: the newest record of each key is read instead; nothing is lost.
            batch = self._store.read_newest(feed)
            is_restored = isinstance(error, StoreRestoredError)
            batch = msgspec.structs.replace(batch, is_after_outage=is_restored)
            return FeedPage(batch=batch)

    def _get_wait_seconds(self):
        # A node that is no reader does not wait: it reads the records that exist and
        # then relies on its peers again.
        return READ_WAIT_SECONDS if self._spread.is_reader else 0.0

    def _apply_batch(self, feed, batch, apply):
        self._record_available(feed)
        now = time.monotonic()
        if now < self._recovered_at_by_feed[feed] + REMOVAL_GRACE_SECONDS:
            batch = _mark_removals_lapsed(batch)
        self.active_config.run_step(lambda: apply(batch))

    def _record_unavailable(self, feed, error):
        age_seconds = self._spread.age_seconds
        if self._unavailable_since_by_feed[feed] is not None:
            oldest_seconds = max(age_seconds, self._oldest_age_by_feed[feed])
            self._oldest_age_by_feed[feed] = oldest_seconds
            return
        self._oldest_age_by_feed[feed] = age_seconds
        self._unavailable_since_by_feed[feed] = time.monotonic()
        write_event(_logger, log_events.LOG_SERVICE_AWAY, feed=feed, reason=str(error))

    def _record_available(self, feed):
        now = time.monotonic()
        answered_at = self._answered_at_by_feed[feed]
        self._answered_at_by_feed[feed] = now
        since = self._unavailable_since_by_feed[feed]
        if since is None:
            return
        self._unavailable_since_by_feed[feed] = None
        if self._was_away_long(feed, now - answered_at):
            self._recovered_at_by_feed[feed] = now
        write_event(
            _logger,
            log_events.LOG_SERVICE_BACK,
            feed=feed,
            away_seconds=round(now - since, 3),
        )

    def _was_away_long(self, feed, unanswered_seconds):
        """Return whether records of live targets may have expired in an outage.

        The first failed read may come long after the outage began, so that its length
        is measured from the last answer. A node that reads seldom knows of later
        answers from its peers: the store was away no longer than its copy got old.
        """
        oldest_seconds = max(self._spread.age_seconds, self._oldest_age_by_feed[feed])
        if oldest_seconds + MINIMUM_READ_INTERVAL_SECONDS < unanswered_seconds:
            return oldest_seconds > OUTAGE_AGE_SECONDS
        return unanswered_seconds >= LONG_OUTAGE_SECONDS


def _mark_removals_lapsed(batch: FeedBatch) -> FeedBatch:
    """Mark the removals of a batch as lapsed, so that they take effect later."""
    records = tuple(
        msgspec.structs.replace(record, lapsed=True) if record.data is None else record
        for record in batch.records
    )
    return msgspec.structs.replace(batch, records=records, is_after_outage=batch.whole)
