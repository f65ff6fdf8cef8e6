"""Spreading of the platform's feeds among agents, as messages in and messages out.

One node reads the store all the time and passes on what it reads, with its age, to
the other regions and along the trees of ``config_spread_tree``. Whoever hears nothing
fresh for a while reads the store itself, those at the heads of the trees first, so
that neither the loss of readers nor a store that turns some hosts away leaves a node
behind. Offsets only grow.
"""

import math
import random
import time
from collections import deque

from citronspan.core.config_spread import SpreadResult
from citronspan.core.config_spread_tree import (
    SpreadNeighbours,
    SpreadPlan,
    rank_region_nodes,
)
from citronspan.core.config_state import ConfigState
from citronspan.core.feed_messages import FeedOffsets, FeedPull, FeedUpdate
from citronspan.core.feeds import (
    FEEDS,
    Feed,
    FeedBatch,
    FeedMerger,
    drop_superseded_records,
)
from citronspan.core.message_base import Message, Outgoing
from citronspan.core.node_messages import NodeInfo

TREE_ROOTS_PER_REGION = 2
"""Nodes of a region that head its trees, and read in place of a silent reader."""

ROOT_STALE_SECONDS = 1.0
"""Age of what it knows from which on the first node of a region reads the store."""

ROOT_STAGGER_SECONDS = 0.2
STALE_SECONDS = 1.4
"""The same for a node that heads no tree.

A target that leaves must get no request 2.5 s after the store took the news, so that
the loss of all readers has to be made up for in less.
"""

STALE_JITTER_SECONDS = 0.4
"""Longest random delay more, so that nodes don't all turn to the store at once."""

MINIMUM_FRESHNESS_GAIN_SECONDS = 0.3
"""News that is fresher by this much is passed on though it brings no record."""

ASSUMED_TRANSIT_SECONDS = 0.1
"""Taken as the time that a message was under way, or age would be lost at each hop."""

COMPARE_INTERVAL_SECONDS = 1.0
PULL_INTERVAL_SECONDS = 0.3
RECENT_RECORDS = 256


class FeedSpread:
    """The feeds of one node and its part in spreading them; a ``Spread``."""

    def __init__(self, *, own: NodeInfo, seed: int | None = None):
        self._own = own
        self._random = random.Random(seed)
        self._neighbours = SpreadNeighbours(own=own)
        self._head_addresses: tuple[str, ...] = ()
        self._feed_by_name = {name: Feed(name=name) for name in FEEDS}
        self._folder = FeedMerger()
        self._recent_by_feed = {name: deque() for name in FEEDS}
        self._state = ConfigState()
        self._offset_by_address: dict[str, int] = {}
        self._read_at_by_feed = dict.fromkeys(FEEDS, -math.inf)
        self._fresh_at = -math.inf
        self._told_at = -math.inf
        self._compared_at = -math.inf
        self._pulled_at = -math.inf
        self._patience = STALE_SECONDS + STALE_JITTER_SECONDS * self._random.random()

    @property
    def state(self) -> ConfigState:
        """The state in force."""
        return self._state

    @property
    def plan(self) -> SpreadPlan:
        """What this node does in spreading."""
        return self._neighbours.plan

    @property
    def offset_by_address(self) -> dict[str, int]:
        """Sum of the offsets that each peer last said it has."""
        return dict(self._offset_by_address)

    @property
    def offsets(self) -> FeedOffsets:
        """How far this node has got."""
        return FeedOffsets(
            **{name: feed.next_offset for name, feed in self._feed_by_name.items()}
        )

    @property
    def age_seconds(self) -> float:
        """Time since the store was known to hold no more than this node."""
        return time.monotonic() - self._fresh_at

    @property
    def invalid_resources(self) -> int:
        """Resources that were left out since they are not valid."""
        return self._folder.invalid_resources

    @property
    def is_reader(self) -> bool:
        """Whether this node is one that reads the store all the time."""
        regions = [node.region for node in self._neighbours.nodes]
        return self._neighbours.plan.rank == 0 and self._own.region == min(regions)

    def is_due_to_read(self) -> bool:
        """Return whether this node is to read the store now."""
        return self.is_reader or self.age_seconds > self._find_patience()

    def _find_patience(self):
        rank = self._neighbours.plan.rank
        if rank < TREE_ROOTS_PER_REGION:
            return ROOT_STALE_SECONDS + rank * ROOT_STAGGER_SECONDS
        return self._patience

    def set_nodes(self, nodes: tuple[NodeInfo, ...]) -> None:
        """Take the nodes that are live now."""
        if not self._neighbours.set_nodes(nodes):
            return
        self._head_addresses = tuple(
            node.agent_peer_address
            for node in rank_region_nodes(self._own, nodes)[:TREE_ROOTS_PER_REGION]
            if node.name != self._own.name
        )

    def apply_store_batch(self, batch: FeedBatch) -> SpreadResult:
        """Take what this node read from the store, up to its end at that time.

        Args:
            batch: What was read; empty where there was nothing new.

        Returns:
            What to send, and the state if it changed.
        """
        batch = drop_superseded_records(batch)
        feed = self._feed_by_name[batch.feed]
        changed = feed.apply(batch)
        if changed:
            self._remember(batch)
        if feed.next_offset >= batch.next_offset:
            self._read_at_by_feed[batch.feed] = time.monotonic()
            read_at = min(self._read_at_by_feed.values())
            self._fresh_at = max(self._fresh_at, read_at)
        if not changed and not self._is_fresher():
            return SpreadResult()
        return self._spread((batch,) if changed else (), sender="")

    def handle_message(self, body: Message, sender: str) -> SpreadResult:
        """Take a message of another agent.

        Args:
            body: One of the ``Feed...`` messages.
            sender: Peer address of the sender.

        Returns:
            What to send, and the state if it changed.
        """
        if isinstance(body, FeedPull):
            return SpreadResult(outgoing=(self._answer(body.offsets, sender),))
        if isinstance(body, FeedUpdate):
            return self._take_news(body, sender)
        return SpreadResult()

    def tick(self) -> SpreadResult:
        """Compare with a peer where that is due, and drop what has lapsed."""
        installed_state = None
        lapsed = [feed.expire() for feed in self._feed_by_name.values()]
        if any(lapsed):
            installed_state = self._refold()
        return SpreadResult(outgoing=self._compare(), installed_state=installed_state)

    def _take_news(self, news, sender):
        offsets = news.offsets
        self._offset_by_address[sender] = offsets.configuration + offsets.targets
        new = tuple(
            batch
            for batch in news.batches
            if self._feed_by_name[batch.feed].apply(batch)
        )
        for batch in new:
            self._remember(batch)
        if self._has(offsets):
            fresh_at = time.monotonic() - news.age_seconds - ASSUMED_TRANSIT_SECONDS
            self._fresh_at = max(self._fresh_at, fresh_at)
        result = SpreadResult()
        if new or self._is_fresher():
            result = self._spread(new, sender=sender)
        more = []
        if not self._has(offsets):
            more = self._pull(sender)
        elif news.wants_answer and self._is_ahead(offsets):
            more = [self._answer(offsets, sender)]
        return SpreadResult(
            outgoing=(*result.outgoing, *more), installed_state=result.installed_state
        )

    def _is_fresher(self):
        """Return whether what this node knows is fresher than what it last told."""
        return self._fresh_at > self._told_at + MINIMUM_FRESHNESS_GAIN_SECONDS

    def _has(self, offsets):
        return all(
            feed.next_offset >= offsets.find(name)
            for name, feed in self._feed_by_name.items()
        )

    def _is_ahead(self, offsets):
        return any(
            feed.next_offset > offsets.find(name)
            for name, feed in self._feed_by_name.items()
        )

    def _spread(self, batches, *, sender):
        self._told_at = self._fresh_at
        installed_state = self._refold() if batches else None
        message = self._make_news(batches)
        receivers = set(self._neighbours.plan.receivers)
        if not sender:
            receivers.update(self._head_addresses)
        far_heads = self._list_far_heads()
        if sender not in far_heads:
            receivers.update(far_heads)
        receivers.discard(sender)
        outgoing = tuple(Outgoing(to=to, message=message) for to in sorted(receivers))
        return SpreadResult(outgoing=outgoing, installed_state=installed_state)

    def _list_far_heads(self):
        """Return the heads of the other regions, whom the first of a region tells."""
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

    def _make_news(self, batches, *, wants_answer=False):
        return FeedUpdate(
            offsets=self.offsets,
            age_seconds=self.age_seconds,
            batches=tuple(batches),
            wants_answer=wants_answer,
        )

    def _refold(self):
        self._state = self._folder.merge_feeds(
            self._feed_by_name.values(), before=self._state
        )
        return self._state

    def _remember(self, batch):
        recent = self._recent_by_feed[batch.feed]
        if batch.whole:
            recent.clear()
            return
        recent.append(batch)
        while sum(len(item.records) for item in recent) > RECENT_RECORDS:
            recent.popleft()

    def _answer(self, offsets, to):
        batches = []
        for name, feed in self._feed_by_name.items():
            if offsets.find(name) < feed.next_offset:
                batches.extend(self._find_since(feed, offsets.find(name)))
        return Outgoing(to=to, message=self._make_news(batches))

    def _find_since(self, feed, offset):
        recent = self._recent_by_feed[feed.name]
        if not recent or recent[0].from_offset > offset:
            return [feed.export()]
        return [batch for batch in recent if batch.next_offset > offset]

    def _compare(self):
        now = time.monotonic()
        if now < self._compared_at + COMPARE_INTERVAL_SECONDS:
            return ()
        self._compared_at = now
        near = self._neighbours.plan.compared
        others = near or tuple(
            node.agent_peer_address
            for node in self._neighbours.nodes
            if node.name != self._own.name
        )
        if not others:
            return ()
        message = self._make_news((), wants_answer=True)
        return (Outgoing(to=self._random.choice(others), message=message),)

    def _pull(self, to):
        now = time.monotonic()
        if now < self._pulled_at + PULL_INTERVAL_SECONDS:
            return []
        self._pulled_at = now
        return [Outgoing(to=to, message=FeedPull(offsets=self.offsets))]
