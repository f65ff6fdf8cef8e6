"""Log of the peers that joined, departed, or are unreachable only from this agent."""

import logbook

from citronspan.core import log_events
from citronspan.ops.peers.agent_view import MembershipView
from citronspan.utils.logs import write_event

_logger = logbook.Logger("peers")


class PeerLog:
    """Logs the differences between successive membership views."""

    def __init__(self):
        self._version = -1
        self._state_by_name: dict[str, str] = {}

    def write(self, view: MembershipView) -> None:
        """Log each peer whose state has changed since the last call."""
        if view.version == self._version:
            return
        self._version = view.version
        state_by_name = {node.name: "gone" for node in view.departed_nodes()}
        state_by_name.update(
            {node.name: "unheard" for node in view.unreachable_nodes()}
        )
        state_by_name.update({node.name: "live" for node in view.live_nodes()})
        for name, state in sorted(state_by_name.items()):
            previous = self._state_by_name.get(name, "unknown")
            if state == previous:
                continue
            write_event(
                _logger,
                log_events.PEER_STATE_CHANGED,
                peer=name,
                before=previous,
                after=state,
            )
        self._state_by_name = state_by_name
