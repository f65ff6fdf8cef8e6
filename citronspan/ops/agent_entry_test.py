from unittest import mock

from citronspan.core.config_state import ConfigState
from citronspan.ops import agent_entry
from citronspan.ops.agent_entry import EntryFeed


class AbsentEntry:
    """A link on which nobody answers."""

    def is_connected(self, to):
        return False

    def send(self, to, message):
        return False


def test_nothing_is_made_for_an_entry_that_is_not_there():
    feed = EntryFeed(to="127.0.0.1:7300", link=AbsentEntry())
    with mock.patch.object(agent_entry, "split_push", side_effect=AssertionError):
        feed.push_state(ConfigState(offset=3))
    assert feed.is_due(ConfigState(offset=3))
