import time

import pytest
from hypothesis import given, strategies as st

from citronspan.core import result_codes
from citronspan.core.errors import CitronspanError
from citronspan.core.keys.key_token import (
    MAXIMUM_PREFIX_LENGTH,
    compute_fingerprint,
    mint_prefix,
    parse_key,
)

NAMES = st.text("abcdefghijklmnopqrstuvwxyz0123456789.-", min_size=1, max_size=63)
INCARNATIONS = st.integers(0, 2**63 - 1)
SECRET = b"secret"


def mint(**changes):
    values = {
        "fleet": "f",
        "owner": "e-1",
        "owner_incarnation": 3,
        "witness": "e-2",
        "witness_incarnation": 4,
        "secret": SECRET,
    }
    return mint_prefix(**{**values, **changes})


def expect_invalid(text, fleet="f"):
    with pytest.raises(CitronspanError) as error_info:
        parse_key(text, fleet=fleet, secret=SECRET)
    assert error_info.value.code is result_codes.KEY_INVALID
    return error_info.value.detail


@given(NAMES, INCARNATIONS, NAMES, INCARNATIONS)
def test_minted_prefix_is_parsed_to_same_fields(owner, owner_inc, witness, witness_inc):
    prefix = mint(
        owner=owner,
        owner_incarnation=owner_inc,
        witness=witness,
        witness_incarnation=witness_inc,
        lifetime_seconds=60.0,
    )
    assert len(prefix) <= MAXIMUM_PREFIX_LENGTH
    token = parse_key(f"{prefix}.order-1", fleet="f", secret=SECRET)
    assert (token.owner, token.owner_incarnation) == (owner, owner_inc)
    assert (token.witness, token.witness_incarnation) == (witness, witness_inc)
    assert abs(token.expires_at_milliseconds / 1000 - time.time() - 60.0) < 60.0
    other = parse_key(f"{prefix}.order-2", fleet="f", secret=SECRET)
    assert other.key_id != token.key_id


@given(st.data())
def test_modified_prefix_is_refused(data):
    prefix = mint()
    index = data.draw(st.integers(0, len(prefix) - 1))
    character = data.draw(st.sampled_from("abcXYZ019-_~é"))
    changed = prefix[:index] + character + prefix[index + 1 :]
    if changed == prefix:
        return
    expect_invalid(f"{changed}.order-1")


@given(st.text(max_size=600))
def test_arbitrary_text_is_refused_as_invalid_key(text):
    expect_invalid(text)


def test_error_detail_names_cause_of_invalid_key():
    key = f"{mint()}.order-1"
    assert "fleet 'f'" in expect_invalid(key, fleet="g")
    forged = f"{mint(secret=b'guess')}.order-1"
    assert "authentication code" in expect_invalid(forged)
    assert "suffix" in expect_invalid(f"{mint()}.")
    assert "suffix" in expect_invalid(f"{mint()}.a.b")
    assert "'.'" in expect_invalid(mint())


@given(
    *[st.tuples(st.text(max_size=3), st.text(max_size=3), st.binary(max_size=3))] * 2
)
def test_fingerprints_are_equal_only_for_equal_parts(first, second):
    equal = compute_fingerprint(*first) == compute_fingerprint(*second)
    assert equal == (first == second)
