"""Comparison of all records between two nodes, which repairs what gossip has lost.

A node asks another one with the digests of its records. The answer holds the records
that the asking node lacks, and the digests of those that the other one wants.
"""

import random
import time
from collections.abc import Callable

from citronspan.core.membership.member_messages import MemberRecord, MemberSync
from citronspan.core.membership.member_table import MemberTable
from citronspan.core.message_base import Outgoing

INITIAL_INTERVAL_SECONDS = 1.0
"""A node that starts compares all records often, and less often with each time."""

INTERVAL_GROWTH = 1.5
MAXIMUM_INTERVAL_SECONDS = 64.0
SAME_REGION_SHARE = 0.9
"""Share of the comparisons that are made with a member of the same region."""

NEWS_PER_QUESTION = 8


class RecordComparison:
    """Asks other nodes for the records that this one lacks, and answers them."""

    def __init__(
        self,
        *,
        members: MemberTable,
        make_own_record: Callable[[], MemberRecord],
        draw: random.Random,
    ):
        """Create a comparison that is first due within the initial interval.

        Args:
            members: The members that this node knows.
            make_own_record: Returns the record of this node.
            draw: Random number generator.
        """
        self._members = members
        self._make_own_record = make_own_record
        self._random = draw
        self._interval = INITIAL_INTERVAL_SECONDS
        self._next_at = (
            time.monotonic() + INITIAL_INTERVAL_SECONDS * self._random.random()
        )

    def answer(self, sender: str, sync: MemberSync) -> list[Outgoing]:
        """Answer a message of another node whose records have been merged.

        Args:
            sender: Peer address of the sender.
            sync: The message.

        Returns:
            Messages to send.
        """
        record_by_digest = self._map_records()
        if not sync.wants_answer:
            return self._answer_wanted(sender, sync, record_by_digest)
        known = set(sync.known)
        known.update(record.compute_digest() for record in sync.records)
        answer = MemberSync(
            records=_list_records(record_by_digest, record_by_digest.keys() - known),
            wanted=tuple(known - record_by_digest.keys()),
        )
        if not answer.records and not answer.wanted:
            return []
        return [Outgoing(to=sender, message=answer)]

    def make_question(self, to: str) -> Outgoing:
        """Make a question to another node.

        It has the records that changed last, for a receiver that cannot answer.
        """
        message = MemberSync(
            records=(
                self._make_own_record(),
                *self._members.list_newest(NEWS_PER_QUESTION),
            ),
            wants_answer=True,
            known=tuple(self._map_records()),
        )
        return Outgoing(to=to, message=message)

    def ask_if_due(self, own_region: str, now: float) -> list[Outgoing]:
        """Ask a random live member if a comparison is due.

        Args:
            own_region: Region of this node.
            now: Present time of ``time.monotonic()``.

        Returns:
            Messages to send.
        """
        if now < self._next_at:
            return []
        self._next_at = now + self._interval * (0.5 + self._random.random())
        self._interval = min(INTERVAL_GROWTH * self._interval, MAXIMUM_INTERVAL_SECONDS)
        return [
            self.make_question(node.agent_peer_address)
            for node in self._choose_peer(own_region)
        ]

    def _choose_peer(self, own_region):
        live = [member.record.node for member in self._members.list_live()]
        self._random.shuffle(live)
        same_region = [node for node in live if node.region == own_region]
        if same_region and self._random.random() < SAME_REGION_SHARE:
            return same_region[:1]
        return live[:1]

    def _answer_wanted(self, sender, sync, record_by_digest):
        records = _list_records(record_by_digest, set(sync.wanted))
        if not records:
            return []
        return [Outgoing(to=sender, message=MemberSync(records=records))]

    def _map_records(self) -> dict[int, MemberRecord]:
        """Return all records in force, the own one included, by their digests."""
        record_by_digest = {
            member.digest: member.record for member in self._members.list_all()
        }
        own = self._make_own_record()
        record_by_digest[own.compute_digest()] = own
        return record_by_digest


def _list_records(record_by_digest, digests) -> tuple[MemberRecord, ...]:
    return tuple(
        record for digest, record in record_by_digest.items() if digest in digests
    )
