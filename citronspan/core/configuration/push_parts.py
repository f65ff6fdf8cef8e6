"""Splits pushes of configuration into messages of bounded size.

At the intended fleet size, a whole state is about 3.5 MB, near the size limit of one
message between processes. The entry applies a push only after it has received all
parts.
"""

import msgspec

from citronspan.core.node_messages import ConfigurationPush

PUSH_PART_BYTES = 512 << 10


def split_push(push: ConfigurationPush) -> list[ConfigurationPush]:
    """Split a push into parts.

    Args:
        push: The whole push.

    Returns:
        The parts in order, at least one. The first part carries all removals.
    """
    groups: list[list[bytes]] = [[]]
    size = 0
    for data in push.changed:
        if size >= PUSH_PART_BYTES:
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
    """Assembles one push from its parts; a new push discards an incomplete one."""

    def __init__(self):
        self._parts: list[ConfigurationPush] = []

    def add(self, push: ConfigurationPush) -> ConfigurationPush | None:
        """Add a part.

        Args:
            push: The next part; one connection delivers parts in order.

        Returns:
            The whole push if the part completes it, else None. A part that does not
            continue the push discards it. After a lost part the sender sees an old
            offset in the entry's reports and sends the whole push again.
        """
        if push.part == 0:
            self._parts = []
        if not self._is_next_part(push):
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

    def _is_next_part(self, push):
        if push.part != len(self._parts) or push.part >= push.parts:
            return False
        if not self._parts:
            return True
        first = self._parts[0]
        expected_identity = (first.base_offset, first.offset, first.parts)
        return expected_identity == (push.base_offset, push.offset, push.parts)
