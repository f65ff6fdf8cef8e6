from unittest import mock

from citronspan.core.configuration.config_state import ConfigState
from citronspan.ops import agent_entry
from citronspan.ops.agent_entry import EntryFeed


class DisconnectedLink:
    """A link without a connection to the entry."""

    def is_connected(self, to):
        return False

    def send(self, to, message):
        return False


def test_no_push_is_built_for_unreachable_entry():
    feed = EntryFeed(to="127.0.0.1:7300", link=DisconnectedLink())
    with mock.patch.object(agent_entry, "split_push", side_effect=AssertionError):
        feed.push_state(ConfigState(offset=3))
    assert feed.is_due(ConfigState(offset=3))
