"""Entries that are new in the view of the fleet, which the others tell what they know.

An entry that was started again has lost what its peers had told it. A few entries, the
same ones in every view, tell it again; they repeat this, since the first messages to a
new entry are often lost.
"""

import time
from collections.abc import Iterable

from citronspan.core.node_messages import NodeInfo
from citronspan.utils.rendezvous import rank_members

TELLERS = 3
"""Entries that tell a new one."""

NEW_SECONDS = 6.0
"""Time for which an entry is new, from the first view that shows it."""

TELL_INTERVAL_SECONDS = 0.9
"""Time between two tellings, a little less than the caller's interval."""


class _SeenEntry:
    """Node of an entry, and when it was first seen and last told."""

    __slots__ = ("node", "seen_at", "told_at")

    def __init__(self, *, node, now):
        self.node = node
        self.seen_at = now
        self.told_at = float("-inf")


class NewEntries:
    """The new entries in the view of one entry; the caller holds the lock."""

    def __init__(self, *, name: str):
        """Create an empty view.

        Args:
            name: Name of this entry's host.
        """
        self._name = name
        self._seen_by_key: dict[tuple[str, int], _SeenEntry] = {}

    def set_nodes(self, nodes: Iterable[NodeInfo]) -> None:
        """Replace the view; a node that left it is new if it comes back.

        Args:
            nodes: All live nodes, whatever the state of their entry.
        """
        now = time.monotonic()
        previous = self._seen_by_key
        self._seen_by_key = {}
        for node in nodes:
            key = (node.name, node.entry_incarnation)
            seen = previous.get(key) or _SeenEntry(node=node, now=now)
            seen.node = node
            self._seen_by_key[key] = seen

    def list_due(self) -> list[str]:
        """Return the peer addresses of the entries to tell now, and note the time."""
        now = time.monotonic()
        addresses = []
        for seen in self._seen_by_key.values():
            is_due = now - seen.told_at >= TELL_INTERVAL_SECONDS
            if not is_due or now - seen.seen_at > NEW_SECONDS:
                continue
            seen.told_at = now
            if self._is_teller(seen.node.name, now):
                addresses.append(seen.node.entry_peer_address)
        return addresses

    def _is_teller(self, new_name, now):
        """Return whether this entry tells a new one; older ones come first."""
        others = [
            seen
            for seen in self._seen_by_key.values()
            if seen.node.entry_state == "serving" and seen.node.name != new_name
        ]
        older = [seen for seen in others if now - seen.seen_at > NEW_SECONDS]
        names = [seen.node.name for seen in older or others]
        return self._name in rank_members(names, new_name)[:TELLERS]
