"""Logs which peers came, went, or can no longer be heard by this agent alone."""

import logbook

from citronspan.core import log_events
from citronspan.ops.agent_view import MembershipView
from citronspan.utils.logs import write_event

_logger = logbook.Logger("peers")


class PeerLog:
    """Compares each view with the last one."""

    def __init__(self):
        self._version = -1
        self._word_by_name: dict[str, str] = {}

    def write(self, view: MembershipView) -> None:
        """Log each peer whose state changed since the last call."""
        if view.version == self._version:
            return
        self._version = view.version
        word_by_name = {node.name: "gone" for node in view.departed_nodes()}
        word_by_name.update({node.name: "unheard" for node in view.unreachable_nodes()})
        word_by_name.update({node.name: "live" for node in view.live_nodes()})
        for name, word in sorted(word_by_name.items()):
            before = self._word_by_name.get(name, "unknown")
            if word == before:
                continue
            write_event(
                _logger,
                log_events.PEER_STATE_CHANGED,
                peer=name,
                before=before,
                after=word,
            )
        self._word_by_name = word_by_name
