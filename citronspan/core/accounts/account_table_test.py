"""Tests that a key leads to its account and to no other."""

import pytest

from citronspan.core.accounts.account_table import (
    build_account_table,
    compute_key_digest,
    read_key_digest,
)
from citronspan.core.node_messages import ConfigurationPush
from citronspan.core.requests.entry_configuration import EntryConfiguration, apply_push
from citronspan.core.resources import AccountSpec, Kind, Resource, encode_resource


def make_spec(*keys, **fields):
    digests = tuple(compute_key_digest(key.encode()) for key in keys)
    return AccountSpec(key_digests=digests, **fields)


def find(table, key):
    account = table.find(compute_key_digest(key.encode()))
    return None if account is None else account.name


def test_each_key_leads_to_its_account():
    table = build_account_table([("a", make_spec("k1", "k2")), ("b", make_spec("k3"))])
    assert [find(table, key) for key in ("k1", "k2", "k3", "k4", "")] == [
        *("a", "a", "b", None, None)
    ]
    assert table.find("") is None


def test_key_of_two_accounts_leads_to_neither():
    specs = [
        ("a", make_spec("k1", "k2")),
        ("b", make_spec("k2")),
        ("c", make_spec("k2")),
    ]
    table = build_account_table(specs)
    assert (find(table, "k1"), find(table, "k2")) == ("a", None)


def test_accounts_without_keys_need_none_and_those_whose_last_one_was_removed_do():
    assert not build_account_table([("a", AccountSpec())]).needs_keys
    assert build_account_table([("a", make_spec())]).needs_keys


def test_weight_is_the_limit_of_the_account_and_none_without_a_limit():
    table = build_account_table(
        [("a", make_spec("k1", requests_per_second=3.5)), ("b", make_spec("k2"))]
    )
    weights = [account.weight for account in table.account_by_digest.values()]
    assert weights == [3.5, 0.0]


@pytest.mark.parametrize(
    "text", ["Bearer k1", "bearer k1", "BEARER   k1 ", " Bearer k1", "Bearer\tk1"]
)
def test_bearer_key_is_read_whatever_its_spaces_and_case(text):
    assert read_key_digest(text) == compute_key_digest(b"k1")


@pytest.mark.parametrize(
    "text", ["", "Bearer", "Bearer ", "k1", "Basic k1", "Bearerk1"]
)
def test_other_authorization_is_no_key(text):
    assert read_key_digest(text) == ""


@pytest.mark.parametrize(
    "text", ["clé-✓", "à", "\u0105-x-Å", "\u0085x\u0085", "\u00a0", "x\u2028"]
)
def test_key_beyond_ascii_is_compared_by_its_bytes(text):
    key = text.encode()
    for pattern in ("Bearer {}", " bearer\t{} ", "Bearer \t {}\t"):
        header = pattern.format(key.decode("latin-1"))
        assert read_key_digest(header) == compute_key_digest(key)


def test_table_follows_the_configuration_in_force():
    def encode(spec):
        return encode_resource(Resource(kind=Kind.ACCOUNT, name="a", spec=spec))

    first = ConfigurationPush(
        base_offset=0, offset=3, changed=(encode(make_spec("k1")),)
    )
    configuration = apply_push(EntryConfiguration(), first)
    assert find(configuration.accounts, "k1") == "a"
    second = ConfigurationPush(
        base_offset=3, offset=4, changed=(encode(make_spec("k2")),)
    )
    configuration = apply_push(configuration, second)
    assert find(configuration.accounts, "k1") is None
    assert find(configuration.accounts, "k2") == "a"
    stale = apply_push(configuration, first)
    assert find(stale.accounts, "k1") is None
    gone = ConfigurationPush(base_offset=4, offset=5, removed=((Kind.ACCOUNT, "a"),))
    assert not apply_push(configuration, gone).accounts.needs_keys
