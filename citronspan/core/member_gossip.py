"""News of members that ride on heartbeats, each a bounded number of times."""

import math

from citronspan.core.member_messages import MemberRecord

RECORDS_PER_MESSAGE = 6
SENDS_PER_DOUBLING = 3


class GossipQueue:
    """The newest record of each member that others may not have yet.

    The one that was sent least goes first, so that many changes at once spread at
    the same bounded rate as one.
    """

    def __init__(self):
        self._record_by_name: dict[str, MemberRecord] = {}
        self._sends_by_name: dict[str, int] = {}

    def add(self, record: MemberRecord) -> None:
        """Add a record; an older one on the same member is dropped."""
        self._record_by_name[record.node.name] = record
        self._sends_by_name[record.node.name] = 0

    def select_records(self, members: int) -> tuple[MemberRecord, ...]:
        """Return the records for one message.

        Args:
            members: Number of members, which bounds how often each is sent.

        Returns:
            At most ``RECORDS_PER_MESSAGE`` records.
        """
        if not self._record_by_name:
            return ()
        bound = SENDS_PER_DOUBLING * math.ceil(math.log2(members + 1))
        names = sorted(self._sends_by_name, key=self._sends_by_name.__getitem__)
        records = []
        for name in names[:RECORDS_PER_MESSAGE]:
            records.append(self._record_by_name[name])
            self._sends_by_name[name] += 1
            if self._sends_by_name[name] >= bound:
                del self._sends_by_name[name]
                del self._record_by_name[name]
        return tuple(records)
