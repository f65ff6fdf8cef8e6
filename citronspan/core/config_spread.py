"""Spreading of the configuration among agents, as messages in and messages out.

News is passed on along two trees as soon as it is applied. Whatever is lost on the
way shows in the offsets that nodes compare with a random peer once a second; the
one that is behind pulls. Records are applied in order only, and a whole state only
if it is ahead, so no loss, repetition or delay of messages can lower an offset.
"""

import random
import time
from collections import deque
from dataclasses import dataclass

import msgspec

from citronspan.core.config_messages import (
    ConfigOffset,
    ConfigPull,
    ConfigRecords,
    ConfigStateChunk,
)
from citronspan.core.config_record import LogBatch, SnapshotRecord
from citronspan.core.config_snapshots import (
    SnapshotCollector,
    make_snapshot,
    split_snapshot,
    strip_snapshot_records,
    try_load_snapshot,
)
from citronspan.core.config_spread_tree import (
    SpreadNeighbours,
    SpreadPlan,
    find_readers,
)
from citronspan.core.config_state import ApplyResult, ConfigState, apply_batch
from citronspan.core.message_base import Message, Outgoing
from citronspan.core.node_messages import NodeInfo

COMPARE_INTERVAL_SECONDS = 1.0
PULL_INTERVAL_SECONDS = 1.0
RECENT_BATCH_BYTES = 512 << 10
# Records sent in one answer; a receiver that is further behind pulls again.
PULL_ANSWER_BYTES = 128 << 10
# A reader compares with readers of other regions once in this many times.
CROSS_REGION_COMPARE_EVERY = 2


@dataclass(frozen=True, kw_only=True, slots=True)
class SpreadResult:
    """What a message or a tick came to.

    Attributes:
        outgoing: Messages to send.
        applied: What was applied, None if nothing.
        installed_state: A whole state that was taken, None if none was.
    """

    outgoing: tuple[Outgoing, ...] = ()
    applied: ApplyResult | None = None
    installed_state: ConfigState | None = None


class ConfigSpread:
    """The configuration of one node and its part in spreading it."""

    def __init__(self, *, own: NodeInfo):
        self._own = own
        self._neighbours = SpreadNeighbours(own=own)
        self._state = ConfigState()
        self._recent: deque[LogBatch] = deque()
        self._recent_bytes = 0
        self._offset_by_address: dict[str, int] = {}
        self._collector = SnapshotCollector()
        self._parts: tuple[SnapshotRecord, ...] = ()
        self._compared_at = float("-inf")
        self._comparisons = 0
        self._pulled_at = float("-inf")

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
        """Offset that each peer last said it has."""
        return dict(self._offset_by_address)

    def set_nodes(self, nodes: tuple[NodeInfo, ...]) -> None:
        """Take the nodes that are live now."""
        if not self._neighbours.set_nodes(nodes):
            return
        addresses = {node.agent_peer_address for node in nodes}
        self._offset_by_address = {
            address: offset
            for address, offset in self._offset_by_address.items()
            if address in addresses
        }

    def apply_log_batch(self, batch: LogBatch) -> SpreadResult:
        """Take records that this node read from the log itself."""
        return self._take_batch(strip_snapshot_records(batch), sender=None)

    def install_state(self, state: ConfigState) -> SpreadResult:
        """Take a whole state that was replayed from the log, if it is ahead."""
        return SpreadResult(installed_state=self._adopt(state))

    def handle_message(self, body: Message, sender: str) -> SpreadResult:
        """Take a message of another agent.

        Args:
            body: One of the ``Config...`` messages.
            sender: Peer address of the sender.

        Returns:
            What to send and what changed.
        """
        if isinstance(body, ConfigRecords):
            self._note_offset(sender, body.offset)
            return self._take_batch(body.batch, sender=sender)
        if isinstance(body, ConfigOffset):
            return SpreadResult(outgoing=self._take_offset(body, sender))
        if isinstance(body, ConfigPull):
            return SpreadResult(outgoing=self._answer_pull(body.from_offset, sender))
        if isinstance(body, ConfigStateChunk):
            return self._take_part(body, sender)
        return SpreadResult()

    def tick(self) -> SpreadResult:
        """Compare offsets with a peer and pull, where that is due."""
        outgoing = [*self._compare(), *self._pull_if_behind()]
        return SpreadResult(outgoing=tuple(outgoing))

    def _take_batch(self, batch, sender):
        applied = apply_batch(self._state, batch)
        if applied.state.offset <= self._state.offset:
            if batch.from_offset > self._state.offset and sender is not None:
                return SpreadResult(outgoing=self._pull(sender))
            return SpreadResult()
        self._state = applied.state
        self._remember(batch)
        message = ConfigRecords(batch=batch, offset=self._state.offset)
        outgoing = [
            Outgoing(to=to, message=message)
            for to in self._neighbours.plan.receivers
            if to != sender
        ]
        if sender is not None and self._offset_by_address[sender] > self._state.offset:
            outgoing.extend(self._pull(sender, again=True))
        return SpreadResult(outgoing=tuple(outgoing), applied=applied)

    def _remember(self, batch):
        self._recent.append(batch)
        self._recent_bytes += _count_bytes(batch)
        while self._recent_bytes > RECENT_BATCH_BYTES and len(self._recent) > 1:
            self._recent_bytes -= _count_bytes(self._recent.popleft())

    def _take_offset(self, body, sender):
        self._note_offset(sender, body.offset)
        if body.offset > self._state.offset:
            return self._pull(sender)
        if body.is_answer:
            return ()
        if body.offset < self._state.offset:
            batch = self._find_recent(body.offset)
            if batch is not None:
                return (self._send_records(batch, sender),)
        answer = ConfigOffset(offset=self._state.offset, is_answer=True)
        return (Outgoing(to=sender, message=answer),)

    def _answer_pull(self, from_offset, sender):
        self._note_offset(sender, from_offset)
        if from_offset >= self._state.offset:
            answer = ConfigOffset(offset=self._state.offset, is_answer=True)
            return (Outgoing(to=sender, message=answer),)
        batch = self._find_recent(from_offset)
        if batch is not None:
            return (self._send_records(batch, sender),)
        return tuple(
            Outgoing(
                to=sender,
                message=ConfigStateChunk(
                    at_offset=part.at_offset,
                    digest=part.digest,
                    part=part.part,
                    parts=part.parts,
                    data=part.data,
                ),
            )
            for part in self._find_parts()
        )

    def _send_records(self, batch, to):
        message = ConfigRecords(batch=batch, offset=self._state.offset)
        return Outgoing(to=to, message=message)

    def _find_recent(self, from_offset) -> LogBatch | None:
        """Join the remembered batches from an offset on, up to a size."""
        if not self._recent or from_offset < self._recent[0].from_offset:
            return None
        records = []
        size = 0
        next_offset = from_offset
        for batch in self._recent:
            if batch.next_offset <= from_offset:
                continue
            if batch.from_offset > next_offset:
                return None
            records.extend(
                record for record in batch.records if record.offset >= next_offset
            )
            next_offset = batch.next_offset
            size += _count_bytes(batch)
            if size >= PULL_ANSWER_BYTES:
                break
        return LogBatch(
            from_offset=from_offset, next_offset=next_offset, records=tuple(records)
        )

    def _find_parts(self):
        if not self._parts or self._parts[0].at_offset != self._state.offset:
            snapshot = make_snapshot(self._state)
            self._parts = tuple(split_snapshot(snapshot, at_seconds=0))
        return self._parts

    def _take_part(self, body, sender):
        self._note_offset(sender, body.at_offset)
        if body.at_offset <= self._state.offset:
            return SpreadResult()
        record = SnapshotRecord(**msgspec.structs.asdict(body))
        snapshot = self._collector.add(record)
        if snapshot is None:
            return SpreadResult()
        state = try_load_snapshot(snapshot)
        if state is None:
            return SpreadResult()
        return SpreadResult(installed_state=self._adopt(state))

    def _adopt(self, state):
        if state.offset <= self._state.offset:
            return None
        self._state = state
        self._recent.clear()
        self._recent_bytes = 0
        return state

    def _note_offset(self, address, offset):
        self._offset_by_address[address] = offset

    def _compare(self):
        now = time.monotonic()
        if now < self._compared_at + COMPARE_INTERVAL_SECONDS:
            return ()
        self._compared_at = now
        self._comparisons += 1
        to = self._choose_peer()
        if to is None:
            return ()
        return (Outgoing(to=to, message=ConfigOffset(offset=self._state.offset)),)

    def _choose_peer(self) -> str | None:
        near = self._neighbours.plan.compared
        look_far = (
            self._neighbours.plan.is_reader
            and self._comparisons % CROSS_REGION_COMPARE_EVERY == 0
        )
        if near and not look_far:
            return random.choice(near)
        far = [
            node for node in self._neighbours.nodes if node.region != self._own.region
        ]
        if far:
            return random.choice(find_readers(tuple(far))).agent_peer_address
        return random.choice(near) if near else None

    def _pull_if_behind(self):
        if time.monotonic() < self._pulled_at + PULL_INTERVAL_SECONDS:
            return ()
        ahead = [
            address
            for address, offset in self._offset_by_address.items()
            if offset > self._state.offset
        ]
        if not ahead:
            return ()
        return self._pull(random.choice(ahead))

    def _pull(self, to, *, again=False):
        now = time.monotonic()
        if now < self._pulled_at + PULL_INTERVAL_SECONDS and not again:
            return ()
        self._pulled_at = now
        message = ConfigPull(from_offset=self._state.offset)
        return (Outgoing(to=to, message=message),)


def _count_bytes(batch: LogBatch) -> int:
    return sum(len(record.data) for record in batch.records)
