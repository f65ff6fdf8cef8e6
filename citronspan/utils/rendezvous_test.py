from hypothesis import given, strategies as st

from citronspan.utils.rendezvous import choose_member, rank_members

NAMES = st.sets(st.text(min_size=1, max_size=8), min_size=2, max_size=12)


@given(names=NAMES, key=st.text(max_size=8), data=st.data())
def test_a_lost_member_moves_nobody_else(names, key, data):
    ranking = rank_members(names, key)
    lost = data.draw(st.sampled_from(sorted(names)))
    without = [name for name in ranking if name != lost]
    assert rank_members(names - {lost}, key) == without
    assert choose_member(names, key) == ranking[0]
