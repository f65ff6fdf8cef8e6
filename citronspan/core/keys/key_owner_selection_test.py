from hypothesis import given, strategies as st

from citronspan.core.keys.key_owner_selection import choose_owner_and_witness
from citronspan.core.node_messages import NodeInfo


@st.composite
def node_lists(draw):
    locations = st.tuples(
        st.sampled_from(["north", "south"]),
        st.sampled_from(["a", "b"]),
        st.sampled_from(["serving", "serving", "draining"]),
    )
    return [
        NodeInfo(
            name=f"e-{number}",
            incarnation=1,
            region=region,
            data_centre=f"{region}-{data_centre}",
            agent_peer_address="",
            entry_peer_address="",
            entry_callers_address="",
            api_address="",
            entry_state=state,
            entry_incarnation=1,
        )
        for number, (region, data_centre, state) in enumerate(
            draw(st.lists(locations, max_size=7))
        )
    ]


@given(node_lists(), st.sampled_from(["north", "south"]), st.sampled_from(["", "e-1"]))
def test_owner_is_near_caller_and_witness_in_other_data_centre(
    nodes, region, preferred
):
    serving = [node for node in nodes if node.entry_state == "serving"]
    selected = choose_owner_and_witness(
        nodes, region=region, key="k", preferred_owner=preferred
    )
    if not serving:
        assert selected is None
        return
    owner, witness = selected
    assert owner in serving
    assert witness in serving
    assert (owner is witness) == (len(serving) == 1)
    if preferred in {node.name for node in serving}:
        assert owner.name == preferred
    elif region in {node.region for node in serving}:
        assert owner.region == region
    same_region = [node for node in serving if node.region == owner.region]
    if len(same_region) > 1:
        assert witness.region == owner.region
    if len({node.data_centre for node in same_region}) > 1:
        assert witness.data_centre != owner.data_centre
    reselected = choose_owner_and_witness(
        nodes[::-1], region=region, key="k", preferred_owner=preferred
    )
    assert reselected == selected
