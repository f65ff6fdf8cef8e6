from hypothesis import given, strategies as st

from citronspan.utils.rendezvous import choose_member, rank_members

NAMES = st.sets(st.text(min_size=1, max_size=8), min_size=2, max_size=12)


@given(names=NAMES, key=st.text(max_size=8), data=st.data())
def test_removed_member_does_not_reorder_the_others(names, key, data):
    ranking = rank_members(names, key)
    removed = data.draw(st.sampled_from(sorted(names)))
    remaining = [name for name in ranking if name != removed]
    assert rank_members(names - {removed}, key) == remaining
    assert choose_member(names, key) == ranking[0]
