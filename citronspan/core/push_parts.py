"""Pushes of configuration in messages of bounded size.

A whole state at the target's size is about 3.5 MB, near the bound of one message
between processes. The entry puts nothing in force before it has every part.
"""

import msgspec

from citronspan.core.node_messages import ConfigurationPush

PART_BYTES = 512 << 10


def split_push(push: ConfigurationPush) -> list[ConfigurationPush]:
    """Split a push.

    Args:
        push: The whole push.

    Returns:
        Its parts, in order; at least one. Removals are in the first.
    """
    groups: list[list[bytes]] = [[]]
    size = 0
    for data in push.changed:
        if size >= PART_BYTES:
            groups.append([])
            size = 0
        groups[-1].append(data)
        size += len(data)
    return [
        msgspec.structs.replace(
            push,
            changed=tuple(group),
            removed=push.removed if number == 0 else (),
            part=number,
            parts=len(groups),
        )
        for number, group in enumerate(groups)
    ]


class PushCollector:
    """Puts the parts of one push together; a part of another push begins anew."""

    def __init__(self):
        self._parts: list[ConfigurationPush] = []

    def add(self, push: ConfigurationPush) -> ConfigurationPush | None:
        """Add a part.

        Args:
            push: The next message; parts come in order over one connection.

        Returns:
            The whole push once it is complete, else None. After a lost part the
            sender sees an old offset in the entry's reports and sends all again.
        """
        if push.part == 0:
            self._parts = []
        if not self._continues(push):
            self._parts = []
            return None
        self._parts.append(push)
        if len(self._parts) < push.parts:
            return None
        parts, self._parts = self._parts, []
        return msgspec.structs.replace(
            parts[0],
            changed=tuple(data for part in parts for data in part.changed),
            part=0,
            parts=1,
        )

    def _continues(self, push):
        if push.part != len(self._parts) or push.part >= push.parts:
            return False
        if not self._parts:
            return True
        first = self._parts[0]
        identity = (first.base_offset, first.offset, first.parts)
        return identity == (push.base_offset, push.offset, push.parts)
