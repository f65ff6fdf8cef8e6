"""Queue of member records that heartbeats carry, each a bounded number of times."""

import math

from citronspan.core.membership.member_messages import MemberRecord

RECORDS_PER_MESSAGE = 6
SENDS_PER_DOUBLING = 3


class GossipQueue:
    """Queue of the newest records of members, for piggybacking on messages.

    Records that were sent least often go first, so that many changes at once
    spread at the same bounded rate as one.
    """

    def __init__(self):
        self._record_by_name: dict[str, MemberRecord] = {}
        self._sends_by_name: dict[str, int] = {}

    def add(self, record: MemberRecord) -> None:
        """Add a record and replace a queued one of the same member."""
        self._record_by_name[record.node.name] = record
        self._sends_by_name[record.node.name] = 0

    def select_records(self, members: int) -> tuple[MemberRecord, ...]:
        """Select the records for one message and count them as sent.

        Args:
            members: Number of members; each record is sent
                ``SENDS_PER_DOUBLING`` times its binary logarithm, rounded up.

        Returns:
            At most ``RECORDS_PER_MESSAGE`` records.
        """
        if not self._record_by_name:
            return ()
        maximum_sends = SENDS_PER_DOUBLING * math.ceil(math.log2(members + 1))
        names = sorted(self._sends_by_name, key=self._sends_by_name.__getitem__)
        records = []
        for name in names[:RECORDS_PER_MESSAGE]:
            records.append(self._record_by_name[name])
            self._sends_by_name[name] += 1
            if self._sends_by_name[name] >= maximum_sends:
                del self._sends_by_name[name]
                del self._record_by_name[name]
        return tuple(records)
