"""The configuration as the platform publishes it: the reader of its feeds.

One thread a feed waits in the store for news while this node is one that reads; else
it looks now and then whether it has become one. What is read goes to
``core.feed_spread``, which decides who is told.
"""

import threading
import time
from collections.abc import Callable
from typing import Protocol

import logbook
import msgspec

from citronspan.core import log_events
from citronspan.core.feed_messages import FeedPull, FeedUpdate
from citronspan.core.feed_spread import FeedSpread
from citronspan.core.feeds import (
    CONFIGURATION_FEED,
    FEEDS,
    REMOVAL_GRACE_SECONDS,
    FeedBatch,
)
from citronspan.core.message_base import Outgoing
from citronspan.core.node_messages import NodeInfo
from citronspan.ops.config_source import LogReadStatus
from citronspan.ops.config_tail_active import ActiveConfig
from citronspan.utils.logs import write_event

READ_WAIT_SECONDS = 0.8
"""Time for which the store may hold a read, so that a silent one is noticed."""

IDLE_SECONDS = 0.1
EMPTY_SECONDS = 0.5
"""Time between looks into a feed that has no record yet."""

BACK_OFF_SECONDS = 0.25
MAXIMUM_BACK_OFF_SECONDS = 1.0
MINIMUM_READ_SECONDS = 0.25
"""Least time from one read of a feed to the next, so that news comes in bunches."""

LONG_OUTAGE_SECONDS = 1.0
"""An outage of this length may have let the entries of living targets lapse."""

START_WAIT_SECONDS = 0.25
"""Time that a node which is no seed gives its peers before it reads the store."""

PEER_FALLBACK_SECONDS = 3.0
"""Time after which a starting node serves what peers know while the store is away."""

_logger = logbook.Logger("feeds")


class StoreUnavailableError(Exception):
    """The store did not answer, or not with what it was asked for."""


class FeedTruncatedError(Exception):
    """What was asked for is no longer kept; the newest of each key is."""


class FeedStore(Protocol):
    """Where the feeds come from.

    Attributes:
        unreadable_records: Records that named nothing, since the start.
    """

    unreadable_records: int

    def read(self, feed: str, from_offset: int, wait_seconds: float) -> FeedBatch:
        """Return the records from an offset on, after a wait if there are none yet.

        Raises:
            StoreUnavailableError: If there is no answer.
            FeedTruncatedError: If they are no longer kept.
        """

    def read_newest(self, feed: str) -> FeedBatch:
        """Return the newest record of each key as a whole batch.

        Raises:
            StoreUnavailableError: If there is no answer.
        """


class FeedSource:
    """Holds the configuration that the platform's feeds add up to.

    Attributes:
        active_config: The configuration in force at this agent.
        leaving_targets: Addresses shown as leaving elsewhere; here always none,
            since targets themselves say so in their feed.
    """

    messages = (FeedUpdate, FeedPull)
    leaving_targets: tuple[str, ...] = ()

    def __init__(
        self,
        *,
        own: NodeInfo,
        send_all: Callable[[list[Outgoing]], None],
        store: FeedStore,
        is_seed: bool,
    ):
        self._spread = FeedSpread(own=own)
        self.active_config = ActiveConfig(
            own=own, send_all=send_all, spread=self._spread
        )
        self._store = store
        self._stop = threading.Event()
        self._reads_again = threading.Event()
        self._started_at = time.monotonic()
        self._start_wait_seconds = 0.0 if is_seed else START_WAIT_SECONDS
        self._away_since_by_feed: dict[str, float | None] = dict.fromkeys(FEEDS)
        self._read_at_by_feed = dict.fromkeys(FEEDS, time.monotonic())
        self._returned_at_by_feed = dict.fromkeys(FEEDS, float("-inf"))

    @property
    def read_status(self) -> LogReadStatus:
        """What was last seen of the store."""
        is_unavailable = any(
            since is not None for since in self._away_since_by_feed.values()
        )
        return LogReadStatus(next_offset=None, is_unavailable=is_unavailable)

    @property
    def void_records(self) -> int:
        """Records and resources that named nothing, since the start."""
        return self._spread.invalid_resources + self._store.unreadable_records

    @property
    def is_reader(self) -> bool:
        """Whether this node reads the store all the time."""
        return self._spread.is_reader

    @property
    def age_seconds(self) -> float:
        """Time since the store was known to hold no more than is held here."""
        return self._spread.age_seconds

    def list_tasks(self) -> list[tuple[str, Callable[[], None]]]:
        """Return name and body of the threads that the source needs."""
        return [(f"feed-{feed}", self._make_task(feed)) for feed in FEEDS]

    def read_again(self) -> None:
        """Read the whole configuration again, since it is to be read otherwise."""
        self._reads_again.set()

    def stop(self) -> None:
        """Let the threads end."""
        self._stop.set()
        self.active_config.close()

    def check_start_gate(self, nodes: tuple[NodeInfo, ...]) -> None:
        """Serve once what is held is known to be fresh, or peers know no better."""
        waited = time.monotonic() - self._started_at
        is_fresh = self._spread.age_seconds < PEER_FALLBACK_SECONDS
        is_left_alone = (
            waited >= PEER_FALLBACK_SECONDS and self.read_status.is_unavailable
        )
        if self.active_config.state.offset and (is_fresh or is_left_alone):
            self.active_config.open_start_gate()

    def _make_task(self, feed):
        def run():
            back_off = BACK_OFF_SECONDS
            while not self._stop.is_set():
                if not self._is_due():
                    self._stop.wait(IDLE_SECONDS)
                    continue
                began_at = time.monotonic()
                if self._read(feed):
                    back_off = BACK_OFF_SECONDS
                    is_empty = self._spread.offsets.find(feed) == 0
                    least = EMPTY_SECONDS if is_empty else MINIMUM_READ_SECONDS
                    pause = began_at + least - time.monotonic()
                    self._stop.wait(max(pause, 0.0))
                    continue
                self._stop.wait(back_off)
                back_off = min(2 * back_off, MAXIMUM_BACK_OFF_SECONDS)

        return run

    def _is_due(self):
        waited = time.monotonic() - self._started_at
        if self.active_config.state.offset == 0 and waited < self._start_wait_seconds:
            return False
        return self._reads_again.is_set() or self._spread.is_due_to_read()

    def _read(self, feed) -> bool:
        """Read a feed; return whether the store answered."""
        try:
            batch = self._fetch(feed)
        except StoreUnavailableError as error:
            self._note_away(feed, error)
            return False
        self._take(feed, batch)
        return True

    def _fetch(self, feed) -> FeedBatch:
        from_offset = self._spread.offsets.find(feed)
        if feed == CONFIGURATION_FEED and self._reads_again.is_set():
            self._reads_again.clear()
            return self._store.read_newest(feed)
        if from_offset == 0:
            return self._store.read_newest(feed)
        try:
            return self._store.read(feed, from_offset, self._find_wait())
        except FeedTruncatedError:
            # Ignored: nothing is lost, the newest of each key is read instead.
            return self._store.read_newest(feed)

    def _find_wait(self):
        # Who is no reader asks for what there is and goes back to listening.
        return READ_WAIT_SECONDS if self._spread.is_reader else 0.0

    def _take(self, feed, batch):
        self._note_back(feed)
        now = time.monotonic()
        if now < self._returned_at_by_feed[feed] + REMOVAL_GRACE_SECONDS:
            batch = _mark_lapsed(batch)
        self.active_config.run(lambda: self._spread.apply_store_batch(batch))

    def _note_away(self, feed, error):
        if self._away_since_by_feed[feed] is not None:
            return
        self._away_since_by_feed[feed] = time.monotonic()
        write_event(_logger, log_events.LOG_SERVICE_AWAY, feed=feed, reason=str(error))

    def _note_back(self, feed):
        now = time.monotonic()
        read_at = self._read_at_by_feed[feed]
        self._read_at_by_feed[feed] = now
        since = self._away_since_by_feed[feed]
        if since is None:
            return
        self._away_since_by_feed[feed] = None
        # The first failure may come long after the store went away.
        if now - read_at >= LONG_OUTAGE_SECONDS:
            self._returned_at_by_feed[feed] = now
        write_event(
            _logger,
            log_events.LOG_SERVICE_BACK,
            feed=feed,
            away_seconds=round(now - since, 3),
        )


def _mark_lapsed(batch: FeedBatch) -> FeedBatch:
    """Let removals that happened during an outage take effect a little later."""
    records = tuple(
        msgspec.structs.replace(record, lapsed=True) if record.data is None else record
        for record in batch.records
    )
    return msgspec.structs.replace(batch, records=records)
