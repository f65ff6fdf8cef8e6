"""Replication of the platform's feeds among agents, as a state machine without I/O.

One node reads the store continuously. It sends what it reads, with the age of the
information, to the tree roots of the other regions and along the trees of
``config_spread_tree``. A node whose copy has become stale reads the store directly,
and tree roots do so first. So no node stays behind when readers are lost or when the
store rejects some hosts. Offsets only grow.
"""

import math
import random
import time
from collections import deque

import msgspec

from citronspan.core.configuration.config_spread import SpreadResult
from citronspan.core.configuration.config_spread_tree import (
    SpreadNeighbours,
    SpreadPlan,
    rank_region_nodes,
)
from citronspan.core.configuration.config_state import ConfigState
from citronspan.core.configuration.copy_age import CopyAge
from citronspan.core.configuration.copy_check import CopyCheck
from citronspan.core.configuration.feed_changes import (
    ChangeFilter,
    state_removed_versions,
)
from citronspan.core.configuration.feed_messages import (
    FeedOffsets,
    FeedPull,
    FeedUpdate,
)
from citronspan.core.configuration.feed_records import TRANSLATION_GENERATION
from citronspan.core.configuration.feeds import (
    CONFIGURATION_FEED,
    FEEDS,
    Feed,
    FeedBatch,
    FeedMerger,
    drop_superseded_records,
)
from citronspan.core.configuration.transit_times import SendTime, TransitTimes
from citronspan.core.message_base import Message, Outgoing
from citronspan.core.node_messages import NodeInfo
from citronspan.utils.clocks import read_elapsed_seconds

TREE_ROOTS_PER_REGION = 2
"""Number of tree roots of a region.

They are the first to read the store when updates from the reader stop.
"""

ROOT_STALE_SECONDS = 1.0
"""Age of its copy above which the first tree root of a region reads the store."""

ROOT_STAGGER_SECONDS = 0.2
"""Amount by which that limit rises with each further tree root of a region."""

STALE_SECONDS = 1.4
"""Age of its copy above which a node that is not a tree root reads the store.

A target that leaves must get no request from 2.5 s after the store recorded its
removal, so nodes must recover from the loss of all readers in less time.
"""

STALE_JITTER_SECONDS = 0.4
"""Maximum random addition, so that nodes don't all read the store at once."""

MINIMUM_FRESHNESS_GAIN_SECONDS = 0.3
"""An update that is fresher by more than this is sent on even without records."""

CLOCK_NUMBER_BITS = 53

READER_MINIMUM_UPTIME_SECONDS = 2.0
"""Uptime before which a node that is no seed does not take itself for the reader, since
it may know few of the others."""

ANSWER_SECONDS = 0.3
"""Time after a question within which an update of that peer is taken for its answer."""

COMPARE_INTERVAL_SECONDS = 1.0
EMPTY_COMPARE_INTERVAL_SECONDS = 0.25
"""Interval for a node that has no configuration yet."""

PULL_INTERVAL_SECONDS = 0.3
MAXIMUM_RECENT_RECORDS_PER_FEED = 256


class FeedSpread:
    """Replicas of all feeds at one node, and the messages that spread them.

    Implements ``Spread``.
    """

    def __init__(self, *, own: NodeInfo, seed: int | None = None, is_seed: bool = True):
        """Create empty replicas.

        Args:
            own: This node.
            seed: Seed of random choices, None for an unpredictable one.
            is_seed: Whether other nodes join the fleet through this one, so that it
                knows most of them early.
        """
        self._own = own
        self._reader_from = -math.inf
        if not is_seed:
            self._reader_from = time.monotonic() + READER_MINIMUM_UPTIME_SECONDS
        self._random = random.Random(seed)
        self._neighbours = SpreadNeighbours(own=own)
        self._clock = random.SystemRandom().getrandbits(CLOCK_NUMBER_BITS)
        self._transit_times = TransitTimes()
        self._root_addresses: tuple[str, ...] = ()
        self._feed_by_name = {name: Feed(name=name) for name in FEEDS}
        self._change_filter_by_feed = {name: ChangeFilter() for name in FEEDS}
        self._merger = FeedMerger()
        self._recent_by_feed = {name: deque() for name in FEEDS}
        self._state = ConfigState()
        self._offset_by_address: dict[str, int] = {}
        self._read_at_by_feed = dict.fromkeys(FEEDS, -math.inf)
        self._copy_age = CopyAge()
        self._copy_check = CopyCheck()
        self._own_read_offset = -1
        self._announced_fresh_at = -math.inf
        self._last_compared_at = -math.inf
        self._last_pulled_at = -math.inf
        self._asked_at_by_address: dict[str, float] = {}
        self._jittered_stale_seconds = (
            STALE_SECONDS + STALE_JITTER_SECONDS * self._random.random()
        )

    @property
    def state(self) -> ConfigState:
        """The configuration that is in force."""
        return self._state

    @property
    def plan(self) -> SpreadPlan:
        """The role of this node in spreading."""
        return self._neighbours.plan

    @property
    def offset_by_address(self) -> dict[str, int]:
        """Sum of the offsets that each peer reported last, by peer address."""
        return dict(self._offset_by_address)

    @property
    def offsets(self) -> FeedOffsets:
        """Next offsets of this node."""
        return FeedOffsets(
            **{name: feed.next_offset for name, feed in self._feed_by_name.items()}
        )

    @property
    def has_configuration(self) -> bool:
        """Whether a configuration is known, and not only targets."""
        return bool(self._feed_by_name[CONFIGURATION_FEED].record_by_key)

    @property
    def needs_translation(self) -> bool:
        """Whether the configuration is as a host of an earlier version reads it.

        It may lack what this version knows, and this node hasn't read it by itself. A
        peer may have done so, too.
        """
        return any(
            record.generation < TRANSLATION_GENERATION
            and record.offset != self._own_read_offset
            for record in self._feed_by_name[CONFIGURATION_FEED].record_by_key.values()
        )

    @property
    def age_seconds(self) -> float:
        """Time since this node was known to be up to date with the store.

        Infinite if it never was.
        """
        return self._copy_age.seconds

    @property
    def invalid_resources(self) -> int:
        """Number of resources that were dropped as invalid."""
        return self._merger.invalid_resources

    @property
    def is_reader(self) -> bool:
        """Whether this node reads the store continuously."""
        if time.monotonic() < self._reader_from:
            return False
        regions = [node.region for node in self._neighbours.nodes]
        return self._neighbours.plan.rank == 0 and self._own.region == min(regions)

    def is_due_to_read(self) -> bool:
        """Return whether this node should read the store now."""
        return self.is_reader or self.age_seconds > self._find_stale_seconds()

    def _find_stale_seconds(self):
        rank = self._neighbours.plan.rank
        if rank < TREE_ROOTS_PER_REGION:
            return ROOT_STALE_SECONDS + rank * ROOT_STAGGER_SECONDS
        return self._jittered_stale_seconds

    def set_nodes(self, nodes: tuple[NodeInfo, ...]) -> None:
        """Set the nodes that are live now."""
        if not self._neighbours.set_nodes(nodes):
            return
        addresses = {node.agent_peer_address for node in nodes}
        self._transit_times.retain(addresses)
        for address in self._asked_at_by_address.keys() - addresses:
            del self._asked_at_by_address[address]
        self._root_addresses = tuple(
            node.agent_peer_address
            for node in rank_region_nodes(self._own, nodes)[:TREE_ROOTS_PER_REGION]
            if node.name != self._own.name
        )

    def apply_store_batch(
        self, batch: FeedBatch, age_seconds: float = 0.0
    ) -> SpreadResult:
        """Apply a batch that this node has read from the store.

        Args:
            batch: Everything up to the end of the feed at the time of the read; empty
                if there was nothing new.
            age_seconds: Time since the store had no more than that; infinite if it
                had more when it answered.

        Returns:
            Messages to send, and the new state if it changed.
        """
        feed = self._feed_by_name[batch.feed]
        batch = state_removed_versions(batch, feed)
        news = self._change_filter_by_feed[batch.feed].drop_unchanged_records(
            batch, feed, time.monotonic()
        )
        batch = drop_superseded_records(batch)
        if batch.next_offset and not feed.next_offset:
            self._copy_check.note_first_read()
        changed = self._apply_batch(batch)
        installed_state = None
        if feed.take_newer_translations(batch) and not changed:
            installed_state = self._rebuild_state()
        self._note_own_read(batch)
        if changed:
            self._append_recent(news)
        if feed.next_offset >= batch.next_offset:
            read_at = read_elapsed_seconds() - age_seconds
            read_at = max(read_at, self._read_at_by_feed[batch.feed])
            self._read_at_by_feed[batch.feed] = read_at
            self._copy_age.advance(min(self._read_at_by_feed.values()))
        if not changed and not self._has_freshness_gain():
            return SpreadResult(installed_state=installed_state)
        # A node that reads although it is not the reader is mostly one of many, such as
        # after a start of all. Peers that lack the records ask for them.
        result = self._spread(
            (news,) if changed else (), sender="", has_data=self.is_reader
        )
        return SpreadResult(
            outgoing=result.outgoing,
            installed_state=result.installed_state or installed_state,
        )

    def _note_own_read(self, batch):
        """Remember which configuration this node has translated by itself.

        The batch may lack it, such as that of a restored store, which then has no
        other one to translate.
        """
        if batch.feed != CONFIGURATION_FEED:
            return
        for record in self._feed_by_name[batch.feed].record_by_key.values():
            if batch.from_offset <= record.offset < batch.next_offset:
                self._own_read_offset = record.offset

    def apply_redecoded_batch(
        self, batch: FeedBatch, age_seconds: float = 0.0
    ) -> SpreadResult:
        """Apply a whole batch that was read again since its decoding has changed.

        Args:
            batch: The newest record of each key.
            age_seconds: Time since the store answered.

        Returns:
            Messages to send, and the new state if it changed.
        """
        result = self.apply_store_batch(batch, age_seconds)
        if not self._feed_by_name[batch.feed].replace_data(batch):
            return result
        # Peers decode by rules of their own, so they are not told.
        return SpreadResult(
            outgoing=result.outgoing, installed_state=self._rebuild_state()
        )

    def handle_message(self, body: Message, sender: str) -> SpreadResult:
        """Handle a message from another agent.

        Args:
            body: The message; others than ``FeedPull`` and ``FeedUpdate`` are ignored.
            sender: Peer address of the sender.

        Returns:
            Messages to send, and the new state if it changed.
        """
        if isinstance(body, FeedPull):
            return SpreadResult(
                outgoing=(self._make_pull_answer(body.offsets, sender),)
            )
        if isinstance(body, FeedUpdate):
            return self._handle_update(body, sender)
        return SpreadResult()

    def tick(self) -> SpreadResult:
        """Do periodic work: remove expired records and compare offsets with a peer.

        Returns:
            Messages to send, and the new state if it changed.
        """
        installed_state = None
        expired = [feed.expire() for feed in self._feed_by_name.values()]
        if any(expired):
            installed_state = self._rebuild_state()
        return SpreadResult(
            outgoing=self._compare_offsets(), installed_state=installed_state
        )

    def _handle_update(self, update, sender):
        offsets = update.offsets
        transit_seconds = self._transit_times.estimate_seconds(
            sender, _read_send_time(update), read_elapsed_seconds()
        )
        self._offset_by_address[sender] = offsets.configuration + offsets.targets
        new_batches = tuple(
            batch for batch in update.batches if self._apply_batch(batch)
        )
        for batch in new_batches:
            self._append_recent(batch)
        installed_state = self._take_newer_versions(update.batches)
        if self._has_reached(offsets):
            age_seconds = update.age_seconds + transit_seconds
            self._copy_age.advance(read_elapsed_seconds() - age_seconds)
        is_asked_for = self._was_asked(sender)
        result = SpreadResult()
        if new_batches or self._has_freshness_gain():
            result = self._spread(new_batches, sender=sender, has_data=not is_asked_for)
        replies = []
        if not self._has_reached(offsets):
            replies = self._make_pull(sender)
        elif update.wants_answer and self._is_ahead_of(offsets):
            replies = [self._make_pull_answer(offsets, sender)]
        return SpreadResult(
            outgoing=(*result.outgoing, *replies),
            installed_state=result.installed_state or installed_state,
        )

    def _take_newer_versions(self, batches):
        """Take what a peer knows better at the same offsets.

        Returns the new state, None if nothing changed.

        It isn't sent on: a peer that lacks it asks by itself after its start.
        """
        whole_batches = [batch for batch in batches if batch.whole]
        if any(batch.from_offset == 0 for batch in batches):
            self._copy_check.note_whole_copy()
        changes = [
            self._feed_by_name[batch.feed].take_newer_versions(batch)
            for batch in whole_batches
        ]
        changes += [
            self._feed_by_name[batch.feed].take_newer_translations(batch)
            for batch in batches
        ]
        return self._rebuild_state() if any(changes) else None

    def _apply_batch(self, batch):
        """Apply a batch to its feed; return whether that advanced."""
        if batch.whole and self._copy_age.is_after_outage:
            batch = msgspec.structs.replace(batch, is_after_outage=True)
        return self._feed_by_name[batch.feed].apply(batch)

    def _was_asked(self, address):
        """Return whether an update is probably the answer to a question."""
        asked_at = self._asked_at_by_address.get(address, -math.inf)
        return time.monotonic() < asked_at + ANSWER_SECONDS

    def _has_freshness_gain(self):
        """Return whether this node has become fresher enough to send an update."""
        gain_seconds = self._copy_age.fresh_at - self._announced_fresh_at
        return gain_seconds > MINIMUM_FRESHNESS_GAIN_SECONDS

    def _has_reached(self, offsets):
        return all(
            feed.next_offset >= offsets.get_offset(name)
            for name, feed in self._feed_by_name.items()
        )

    def _is_ahead_of(self, offsets):
        return any(
            feed.next_offset > offsets.get_offset(name)
            for name, feed in self._feed_by_name.items()
        )

    def _spread(self, batches, *, sender, has_data):
        """Install new batches and tell peers.

        Args:
            batches: The new batches, empty if only the age of the copy has changed.
            sender: Peer address from which they came, empty for the store.
            has_data: Whether peers get the batches too, and not only their offsets.
        """
        self._announced_fresh_at = self._copy_age.fresh_at
        installed_state = self._advance_state(batches) if batches else None
        message = self._make_update(batches if has_data else ())
        receivers = set(self._neighbours.plan.receivers)
        if not sender:
            receivers.update(self._root_addresses)
        remote_roots = self._list_remote_roots()
        if sender not in remote_roots:
            receivers.update(remote_roots)
        receivers.discard(sender)
        outgoing = tuple(Outgoing(to=to, message=message) for to in sorted(receivers))
        return SpreadResult(outgoing=outgoing, installed_state=installed_state)

    def _list_remote_roots(self):
        """Return the addresses of the tree roots of the other regions.

        Only the first node of a region sends to them; for others the list is empty.
        """
        if self._neighbours.plan.rank != 0:
            return []
        nodes_by_region: dict[str, list[NodeInfo]] = {}
        for node in self._neighbours.nodes:
            if node.region != self._own.region:
                nodes_by_region.setdefault(node.region, []).append(node)
        return [
            node.agent_peer_address
            for nodes in nodes_by_region.values()
            for node in rank_region_nodes(nodes[0], tuple(nodes))[
                :TREE_ROOTS_PER_REGION
            ]
        ]

    def _make_update(self, batches, *, wants_answer=False):
        return FeedUpdate(
            offsets=self.offsets,
            age_seconds=self.age_seconds,
            batches=tuple(batches),
            wants_answer=wants_answer,
            clock=self._clock,
            sent_at=read_elapsed_seconds(),
        )

    def _advance_state(self, batches):
        if any(batch.whole or batch.records for batch in batches):
            return self._rebuild_state()
        self._state = self._merger.advance_offset(
            self._feed_by_name.values(), before=self._state
        )
        return self._state

    def _rebuild_state(self):
        self._state = self._merger.merge_feeds(
            self._feed_by_name.values(), before=self._state
        )
        return self._state

    def _append_recent(self, batch):
        recent = self._recent_by_feed[batch.feed]
        if batch.whole:
            recent.clear()
            return
        recent.append(batch)
        while (
            sum(len(item.records) for item in recent) > MAXIMUM_RECENT_RECORDS_PER_FEED
        ):
            recent.popleft()

    def _make_pull_answer(self, offsets, to):
        batches = []
        for name, feed in self._feed_by_name.items():
            if offsets.get_offset(name) < feed.next_offset:
                batches.extend(self._list_batches_since(feed, offsets.get_offset(name)))
        return Outgoing(to=to, message=self._make_update(batches))

    def _list_batches_since(self, feed, offset):
        recent = self._recent_by_feed[feed.name]
        if offset == 0 or not recent or recent[0].from_offset > offset:
            return [feed.export()]
        return [batch for batch in recent if batch.next_offset > offset]

    def _compare_offsets(self):
        now = time.monotonic()
        interval = (
            COMPARE_INTERVAL_SECONDS
            if self.has_configuration
            else EMPTY_COMPARE_INTERVAL_SECONDS
        )
        if now < self._last_compared_at + interval:
            return ()
        self._last_compared_at = now
        comparison_peers = self._neighbours.plan.comparison_peers
        if self.needs_translation:
            # The usual ones may all be of an earlier version.
            comparison_peers = ()
        candidates = comparison_peers or tuple(
            node.agent_peer_address
            for node in self._neighbours.nodes
            if node.name != self._own.name
        )
        if not candidates:
            return ()
        message = self._make_update((), wants_answer=True)
        needs_copy = self.needs_translation or (
            self.has_configuration and self._copy_check.take_question()
        )
        if needs_copy:
            message = FeedPull(offsets=FeedOffsets())
        to = self._random.choice(candidates)
        self._asked_at_by_address[to] = now
        return (Outgoing(to=to, message=message),)

    def _make_pull(self, to):
        now = time.monotonic()
        if now < self._last_pulled_at + PULL_INTERVAL_SECONDS:
            return []
        self._last_pulled_at = now
        self._asked_at_by_address[to] = now
        return [Outgoing(to=to, message=FeedPull(offsets=self.offsets))]


def _read_send_time(update: FeedUpdate) -> SendTime | None:
    """Return the time at which an update was sent, None if it states none."""
    if not update.clock:
        return None
    return SendTime(clock=update.clock, seconds=update.sent_at)
