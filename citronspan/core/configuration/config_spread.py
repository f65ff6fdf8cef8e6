"""Replicates the configuration among agents; takes and returns messages, does no I/O.

A node forwards records along two trees as soon as it has applied them. To detect
lost messages, each node compares offsets with a random peer once a second, and the
node that lags pulls. Records are applied in order only, and a whole state only if its
offset is higher, so no loss, repetition or delay of messages can lower an offset.
"""

import random
import time
from collections import deque
from dataclasses import dataclass

import msgspec

from citronspan.core.configuration.config_messages import (
    ConfigOffset,
    ConfigPull,
    ConfigRecords,
    ConfigStatePart,
)
from citronspan.core.configuration.config_record import LogBatch, SnapshotRecord
from citronspan.core.configuration.config_snapshots import (
    SnapshotCollector,
    make_snapshot,
    split_snapshot,
    strip_snapshot_records,
    try_load_snapshot,
)
from citronspan.core.configuration.config_spread_tree import (
    SpreadNeighbours,
    SpreadPlan,
    find_readers,
)
from citronspan.core.configuration.config_state import (
    ApplyResult,
    ConfigState,
    apply_batch,
)
from citronspan.core.message_base import Message, Outgoing
from citronspan.core.node_messages import NodeInfo

COMPARE_INTERVAL_SECONDS = 1.0
PULL_INTERVAL_SECONDS = 1.0
RECENT_BATCH_BYTES = 512 << 10
# Records sent in one answer end with the batch that reaches this size; a receiver that
# still lags pulls again.
PULL_ANSWER_BYTES = 128 << 10
# A log reader makes one in this many comparisons with a reader of another region.
CROSS_REGION_COMPARE_EVERY = 2


@dataclass(frozen=True, kw_only=True, slots=True)
class SpreadResult:
    """Result of handling a message, a batch of records, a state or a tick.

    Attributes:
        outgoing: Messages to send.
        applied: Result of applying records, None if none were applied.
        installed_state: Whole state that was installed, None if none was.
    """

    outgoing: tuple[Outgoing, ...] = ()
    applied: ApplyResult | None = None
    installed_state: ConfigState | None = None


class ConfigSpread:
    """Holds the configuration of one node and replicates it to peers."""

    def __init__(self, *, own: NodeInfo):
        self._own = own
        self._neighbours = SpreadNeighbours(own=own)
        self._state = ConfigState()
        self._recent_batches: deque[LogBatch] = deque()
        self._recent_batch_bytes = 0
        self._offset_by_address: dict[str, int] = {}
        self._collector = SnapshotCollector()
        self._state_parts: tuple[SnapshotRecord, ...] = ()
        self._last_comparison_at = float("-inf")
        self._comparison_count = 0
        self._last_pull_at = float("-inf")

    @property
    def state(self) -> ConfigState:
        """The state that is in force on this node."""
        return self._state

    @property
    def plan(self) -> SpreadPlan:
        """The peers with which this node replicates."""
        return self._neighbours.plan

    @property
    def offset_by_address(self) -> dict[str, int]:
        """Last reported offset by peer address."""
        return dict(self._offset_by_address)

    def set_nodes(self, nodes: tuple[NodeInfo, ...]) -> None:
        """Set the live nodes; drop the offsets of peers that are not among them."""
        if not self._neighbours.set_nodes(nodes):
            return
        addresses = {node.agent_peer_address for node in nodes}
        self._offset_by_address = {
            address: offset
            for address, offset in self._offset_by_address.items()
            if address in addresses
        }

    def apply_log_batch(self, batch: LogBatch) -> SpreadResult:
        """Apply records that this node read from the log and forward them."""
        return self._apply_batch(strip_snapshot_records(batch), sender=None)

    def install_state(self, state: ConfigState) -> SpreadResult:
        """Install a state replayed from the log if it is newer than the present one."""
        return SpreadResult(installed_state=self._install_if_newer(state))

    def handle_message(self, body: Message, sender: str) -> SpreadResult:
        """Handle a message from another agent.

        Args:
            body: One of the ``Config...`` messages; others are ignored.
            sender: Peer address of the sender.

        Returns:
            The messages to send and the changes to the state.
        """
        if isinstance(body, ConfigRecords):
            self._record_offset(sender, body.offset)
            return self._apply_batch(body.batch, sender=sender)
        if isinstance(body, ConfigOffset):
            return SpreadResult(outgoing=self._handle_offset(body, sender))
        if isinstance(body, ConfigPull):
            return SpreadResult(outgoing=self._answer_pull(body.from_offset, sender))
        if isinstance(body, ConfigStatePart):
            return self._handle_state_part(body, sender)
        return SpreadResult()

    def tick(self) -> SpreadResult:
        """Compare offsets and pull from a peer, each if its interval has passed."""
        outgoing = [*self._compare_if_due(), *self._pull_if_lagging()]
        return SpreadResult(outgoing=tuple(outgoing))

    def _apply_batch(self, batch, sender):
        applied = apply_batch(self._state, batch)
        if applied.state.offset <= self._state.offset:
            if batch.from_offset > self._state.offset and sender is not None:
                return SpreadResult(outgoing=self._pull(sender))
            return SpreadResult()
        self._state = applied.state
        self._append_recent(batch)
        message = ConfigRecords(batch=batch, offset=self._state.offset)
        outgoing = [
            Outgoing(to=to, message=message)
            for to in self._neighbours.plan.receivers
            if to != sender
        ]
        if sender is not None and self._offset_by_address[sender] > self._state.offset:
            outgoing.extend(self._pull(sender, force=True))
        return SpreadResult(outgoing=tuple(outgoing), applied=applied)

    def _append_recent(self, batch):
        self._recent_batches.append(batch)
        self._recent_batch_bytes += _count_bytes(batch)
        while (
            self._recent_batch_bytes > RECENT_BATCH_BYTES
            and len(self._recent_batches) > 1
        ):
            self._recent_batch_bytes -= _count_bytes(self._recent_batches.popleft())

    def _handle_offset(self, body, sender):
        self._record_offset(sender, body.offset)
        if body.offset > self._state.offset:
            return self._pull(sender)
        if body.is_answer:
            return ()
        if body.offset < self._state.offset:
            batch = self._join_recent_batches(body.offset)
            if batch is not None:
                return (self._send_records(batch, sender),)
        answer = ConfigOffset(offset=self._state.offset, is_answer=True)
        return (Outgoing(to=sender, message=answer),)

    def _answer_pull(self, from_offset, sender):
        self._record_offset(sender, from_offset)
        if from_offset >= self._state.offset:
            answer = ConfigOffset(offset=self._state.offset, is_answer=True)
            return (Outgoing(to=sender, message=answer),)
        batch = self._join_recent_batches(from_offset)
        if batch is not None:
            return (self._send_records(batch, sender),)
        return tuple(
            Outgoing(
                to=sender,
                message=ConfigStatePart(
                    at_offset=part.at_offset,
                    digest=part.digest,
                    part=part.part,
                    parts=part.parts,
                    data=part.data,
                ),
            )
            for part in self._get_state_parts()
        )

    def _send_records(self, batch, to):
        message = ConfigRecords(batch=batch, offset=self._state.offset)
        return Outgoing(to=to, message=message)

    def _join_recent_batches(self, from_offset) -> LogBatch | None:
        """Join recent batches from an offset on, up to the size of one answer.

        Returns:
            One batch, None if the recent batches do not cover the offset or leave a
            gap.
        """
        if (
            not self._recent_batches
            or from_offset < self._recent_batches[0].from_offset
        ):
            return None
        records = []
        size = 0
        next_offset = from_offset
        for batch in self._recent_batches:
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

    def _get_state_parts(self):
        if (
            not self._state_parts
            or self._state_parts[0].at_offset != self._state.offset
        ):
            snapshot = make_snapshot(self._state)
            self._state_parts = tuple(split_snapshot(snapshot, at_seconds=0))
        return self._state_parts

    def _handle_state_part(self, body, sender):
        self._record_offset(sender, body.at_offset)
        if body.at_offset <= self._state.offset:
            return SpreadResult()
        record = SnapshotRecord(**msgspec.structs.asdict(body))
        snapshot = self._collector.add(record)
        if snapshot is None:
            return SpreadResult()
        state = try_load_snapshot(snapshot)
        if state is None:
            return SpreadResult()
        return SpreadResult(installed_state=self._install_if_newer(state))

    def _install_if_newer(self, state):
        if state.offset <= self._state.offset:
            return None
        self._state = state
        self._recent_batches.clear()
        self._recent_batch_bytes = 0
        return state

    def _record_offset(self, address, offset):
        self._offset_by_address[address] = offset

    def _compare_if_due(self):
        now = time.monotonic()
        if now < self._last_comparison_at + COMPARE_INTERVAL_SECONDS:
            return ()
        self._last_comparison_at = now
        self._comparison_count += 1
        to = self._choose_comparison_peer()
        if to is None:
            return ()
        return (Outgoing(to=to, message=ConfigOffset(offset=self._state.offset)),)

    def _choose_comparison_peer(self) -> str | None:
        same_region_addresses = self._neighbours.plan.comparison_peers
        crosses_regions = (
            self._neighbours.plan.is_reader
            and self._comparison_count % CROSS_REGION_COMPARE_EVERY == 0
        )
        if same_region_addresses and not crosses_regions:
            return random.choice(same_region_addresses)
        other_region_nodes = [
            node for node in self._neighbours.nodes if node.region != self._own.region
        ]
        if other_region_nodes:
            return random.choice(
                find_readers(tuple(other_region_nodes))
            ).agent_peer_address
        return random.choice(same_region_addresses) if same_region_addresses else None

    def _pull_if_lagging(self):
        if time.monotonic() < self._last_pull_at + PULL_INTERVAL_SECONDS:
            return ()
        newer_addresses = [
            address
            for address, offset in self._offset_by_address.items()
            if offset > self._state.offset
        ]
        if not newer_addresses:
            return ()
        return self._pull(random.choice(newer_addresses))

    def _pull(self, to, *, force=False):
        now = time.monotonic()
        if now < self._last_pull_at + PULL_INTERVAL_SECONDS and not force:
            return ()
        self._last_pull_at = now
        message = ConfigPull(from_offset=self._state.offset)
        return (Outgoing(to=to, message=message),)


def _count_bytes(batch: LogBatch) -> int:
    return sum(len(record.data) for record in batch.records)
