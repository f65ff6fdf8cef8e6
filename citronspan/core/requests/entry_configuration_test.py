"""Tests that an entry's configuration never goes back, whatever pushes arrive."""

from hypothesis import given, strategies as st

from citronspan.core.node_messages import ConfigurationPush
from citronspan.core.requests.entry_configuration import EntryConfiguration, apply_push
from citronspan.core.resources import Kind, Resource, RouteSpec, encode_resource

NAMES = ("a", "b", "c")
HISTORIES = st.lists(
    st.dictionaries(st.sampled_from(NAMES), st.integers(0, 3)), min_size=1, max_size=8
)


def make_route(name, number):
    spec = RouteSpec(path_prefix=f"/{number}/", service="s", request_kind="k")
    return encode_resource(Resource(kind=Kind.ROUTE, name=name, spec=spec))


def make_push(history, base, offset):
    """Return the push of one state of a history, or of a change to it."""
    before, after = history[base], history[offset]
    changed = {
        name: number
        for name, number in after.items()
        if not base or before.get(name) != number
    }
    return ConfigurationPush(
        base_offset=base,
        offset=offset,
        changed=tuple(make_route(name, number) for name, number in changed.items()),
        removed=tuple((Kind.ROUTE, name) for name in before.keys() - after.keys()),
    )


def list_routes(configuration):
    return {
        name: int(resource.spec.path_prefix.strip("/"))
        for (_, name), resource in configuration.resource_by_id.items()
    }


@given(HISTORIES, st.lists(st.tuples(st.integers(0, 8), st.integers(0, 8))))
def test_push_out_of_order_brings_an_older_or_a_mixed_state(states, pushes):
    history = [{}, *states]
    configuration = EntryConfiguration()
    for first, second in pushes:
        base, offset = sorted((first % len(history), second % len(history)))
        before = configuration.offset
        configuration = apply_push(configuration, make_push(history, base, offset))
        assert configuration.offset >= before
        assert list_routes(configuration) == history[configuration.offset]
        if base in (0, before):
            assert configuration.offset >= offset
