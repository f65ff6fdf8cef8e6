from unittest import mock

from hypothesis import given, settings, strategies as st

from citronspan.core.configuration import push_parts
from citronspan.core.configuration.push_parts import PushCollector, split_push
from citronspan.core.node_messages import ConfigurationPush

PUSHES = st.builds(
    ConfigurationPush,
    base_offset=st.integers(0, 2),
    offset=st.integers(3, 5),
    changed=st.lists(st.binary(min_size=3, max_size=5), max_size=5).map(tuple),
    removed=st.just((("Service", "gone"),)),
)


@settings(max_examples=300)
@given(pushes=st.lists(PUSHES, min_size=1, max_size=5), data=st.data())
def test_collector_returns_only_whole_pushes_despite_lost_parts(pushes, data):
    # Parts of all pushes but the last may be lost; the last push must arrive whole.
    with mock.patch.object(push_parts, "PUSH_PART_BYTES", 5):
        messages = [part for push in pushes[:-1] for part in split_push(push)]
        last = split_push(pushes[-1])
    messages = [message for message in messages if data.draw(st.booleans())]
    collector = PushCollector()
    results = [collector.add(message) for message in [*messages, *last]]
    assert results[-1] == pushes[-1]
    assert [
        result for result in results if result is not None and result not in pushes
    ] == []
