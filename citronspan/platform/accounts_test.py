"""Tests what the decoder of configurations makes of client accounts and odd words."""

import hashlib
import json

import logbook
import msgspec
import pytest

from citronspan.core.accounts.account_table import Account
from citronspan.core.configuration.feed_records import TRANSLATION_GENERATION
from citronspan.core.configuration.feeds import CONFIGURATION_FEED
from citronspan.core.errors import CitronspanError
from citronspan.core.host_settings import ServiceRules
from citronspan.core.node_messages import ConfigurationPush
from citronspan.core.requests.entry_configuration import EntryConfiguration, apply_push
from citronspan.core.requests.route_table import find_route
from citronspan.core.resources import (
    AccountSpec,
    Kind,
    RouteSpec,
    ServiceShare,
    decode_resource,
    encode_resource,
)
from citronspan.ops.targets.dialect import ACCOUNT_HEADER, DefaultDialect, TargetAttempt
from citronspan.platform.feeds import PlatformFeeds
from citronspan.platform.headers import PlatformDialect
from citronspan.platform.records import MAXIMUM_RANK, read_configuration
from citronspan.platform.store import KeyedPage, KeyedRecord

RULES = ServiceRules(floor=0.7, retry_ratio=0.2, retry_slack=58)
KEYS = ("rjvz48wuakn2ftimaj3n", "r26tta828m82thhkmgjq", "zmx4902kk1ns8d7ahgw2")
ROUTE = {
    "name": "r-1",
    "host": "shop.example",
    "pathPrefix": "/a/",
    "kind": "idempotent",
    "timeoutSeconds": 6,
    "service": "shop",
}
ACCOUNT = {
    "name": "yefi830",
    "keys": KEYS[:2],
    "priority": 2,
    "requestsPerSecond": 126,
    "burstRequests": 63,
}


def encode(*accounts, routes=(ROUTE,), **fields):
    services = [{"name": "shop"}]
    value = {"version": 7, "routes": routes, "services": services, **fields}
    if accounts:
        value["accounts"] = accounts
    return json.dumps(value).encode()


def read(kind, data):
    """Return the specifications of a kind by name, as they arrive at other hosts."""
    resources = read_configuration(data, RULES)
    copies = [decode_resource(encode_resource(resource)) for resource in resources]
    return {copy.name: copy.spec for copy in copies if copy.kind is kind}


def read_account(**changes):
    (item,) = read(Kind.ACCOUNT, encode({**ACCOUNT, **changes})).items()
    return item


def test_account_has_digests_rank_rate_and_burst():
    name, spec = read_account()
    digests = sorted(hashlib.sha256(key.encode()).hexdigest() for key in KEYS[:2])
    assert name == "yefi830"
    assert spec == AccountSpec(
        requests_per_second=126, burst_requests=63, rank=2, key_digests=tuple(digests)
    )


@pytest.mark.parametrize("limits", [{}, {"requestsPerSecond": 0, "burstRequests": 0}])
def test_account_without_a_limit_has_a_burst_of_0(limits):
    account = {"name": "a", "keys": [KEYS[0]], **limits}
    (spec,) = read(Kind.ACCOUNT, encode(account)).values()
    assert (spec.requests_per_second, spec.burst_requests, spec.rank) == (0, 0, 0)


@pytest.mark.parametrize(
    ("changes", "field", "expected"),
    [
        ({"requestsPerSecond": None}, "requests_per_second", 0.0),
        ({"burstRequests": None}, "burst_requests", 0.0),
        ({"priority": -1}, "rank", 0),
        ({"priority": 10**12}, "rank", MAXIMUM_RANK),
        ({"keys": []}, "key_digests", ()),
        ({"keys": [""]}, "key_digests", ()),
        ({"colour": "red", "keyring": {"a": 1}}, "requests_per_second", 126),
    ],
)
def test_odd_word_of_an_account_costs_nothing_else(changes, field, expected):
    _, spec = read_account(**changes)
    assert getattr(spec, field) == expected


@pytest.mark.parametrize("name", ["Yefi_830", "yefi 830", "Ström ✓", "b" * 64])
def test_target_is_told_the_name_of_the_record(name):
    resource_name, spec = read_account(name=name)
    title = Account(name=resource_name, spec=spec).title
    assert title == name
    for dialect, header in (
        (PlatformDialect(), "x-citronspan-tenant-id"),
        (DefaultDialect(), ACCOUNT_HEADER.lower()),
    ):
        attempt = TargetAttempt(target="t", seconds=1.0, account=title)
        value = dialect.make_target_headers(attempt)[header]
        assert value.encode("latin-1").decode() == name
        attempt = TargetAttempt(target="t", seconds=1.0)
        assert header not in dialect.make_target_headers(attempt)


INVALID = [
    (({**ACCOUNT, "keys": KEYS[0]},), "$.accounts[0].keys"),
    (({**ACCOUNT, "keys": [KEYS[0], 7]},), "$.accounts[0].keys[1]"),
    (({**ACCOUNT, "requestsPerSecond": "many"},), "$.accounts[0].requestsPerSecond"),
    (({**ACCOUNT, "requestsPerSecond": -1},), "requestsPerSecond"),
    (({**ACCOUNT, "burstRequests": -1},), "burstRequests"),
    (({**ACCOUNT, "priority": "high"},), "$.accounts[0].priority"),
    (({"keys": KEYS},), "$.accounts[0]"),
    (({**ACCOUNT, "name": ""},), "$.accounts[0].name"),
    (({**ACCOUNT, "name": "a\r\nx: y"},), "title"),
    ((ACCOUNT, {**ACCOUNT, "keys": KEYS[2:]}), "$.accounts[1].name"),
    ((ACCOUNT, {**ACCOUNT, "name": "b", "keys": KEYS[1:]}), "$.accounts[1].keys"),
]


@pytest.mark.parametrize(("accounts", "path"), INVALID)
def test_invalid_account_voids_the_configuration_and_no_error_has_a_key(accounts, path):
    with pytest.raises(CitronspanError) as caught:
        read_configuration(encode(*accounts), RULES)
    assert path in caught.value.detail
    for text in (str(caught.value), repr(caught.value), caught.value.detail):
        assert not any(key in text for key in KEYS)


def test_one_key_twice_in_an_account_is_one():
    _, spec = read_account(keys=[KEYS[0], KEYS[0]])
    assert len(spec.key_digests) == 1


@pytest.mark.parametrize(
    ("kind", "idempotent"),
    [
        ("idempotent", True),
        ("download", True),
        ("non_idempotent", False),
        ("upload", False),
        ("bidirectional-hologram", False),
        ("", False),
    ],
)
def test_route_of_an_unknown_kind_may_run_once_and_kills_nothing(kind, idempotent):
    data = encode(routes=[{**ROUTE, "kind": kind}, {**ROUTE, "name": "r-2"}])
    spec_by_name = read(Kind.ROUTE, data)
    assert spec_by_name["r-1"].idempotent is idempotent
    assert spec_by_name["r-1"].request_kind == kind
    assert spec_by_name["r-2"].idempotent


@pytest.mark.parametrize(
    "changes",
    [{"kind": 7}, {"kind": None}, {"public": "yes"}, {"timeoutSeconds": "6"}],
)
def test_field_of_a_wrong_type_voids_the_configuration(changes):
    with pytest.raises(CitronspanError):
        read_configuration(encode(routes=[{**ROUTE, **changes}]), RULES)


def test_unknown_fields_are_skipped_everywhere():
    data = encode(
        {**ACCOUNT, "x": 1}, routes=[{**ROUTE, "x": [1]}], x={"y": 1}, limits={"x": 1}
    )
    assert len(read_configuration(data, RULES)) == 3


def test_record_without_accounts_has_no_word_that_earlier_versions_refuse():
    (spec,) = read(Kind.ROUTE, encode(routes=[{**ROUTE, "public": True}])).values()
    assert spec.public is msgspec.UNSET
    assert b"public" not in msgspec.json.encode(spec)
    assert b"Digests" not in msgspec.json.encode(AccountSpec())
    assert isinstance(spec, RouteSpec)


class EarlierSpec(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
    rename="camel",
):
    """Base of specifications as the version before accounts had keys reads them."""


class EarlierRouteSpec(EarlierSpec, kw_only=True):
    host: str = "*"
    path_prefix: str
    service: str
    shares: tuple[ServiceShare, ...] = ()
    request_kind: str
    worth: float = 1.0
    idempotent: bool = False
    require_key: bool = False
    deadline_seconds: float = 10.0
    goal_seconds: float = 0.0
    maximum_attempts: int = 3


class EarlierAccountSpec(EarlierSpec, kw_only=True):
    region: str = ""
    requests_per_second: float = 0.0


ROUTES = (
    {**ROUTE, "public": True},
    {**ROUTE, "name": "Open To All", "pathPrefix": "/a/b", "public": True},
    {**ROUTE, "name": "r-3", "pathPrefix": "/a/b/c", "public": False},
)


def find_public(*accounts, routes):
    """Return by prefix whether the routes of a configuration are public at an entry."""
    resources = read_configuration(encode(*accounts, routes=routes), RULES)
    changed = tuple(encode_resource(resource) for resource in resources)
    push = ConfigurationPush(base_offset=0, offset=1, changed=changed)
    table = apply_push(EntryConfiguration(), push).routes
    prefixes = (route["pathPrefix"] for route in routes)
    return {p: find_route(table, ROUTE["host"], p).is_public for p in prefixes}


def test_route_is_public_where_there_are_accounts():
    expected = {"/a/": True, "/a/b": True, "/a/b/c": False}
    assert find_public(ACCOUNT, routes=ROUTES) == expected
    second = {"name": "keyless"}
    assert find_public(second, ACCOUNT, routes=ROUTES) == expected
    again = {**ROUTE, "public": False}
    assert find_public(ACCOUNT, routes=[ROUTES[0], again]) == {"/a/": False}


def test_earlier_version_keeps_public_routes_and_drops_accounts():
    for resource in read_configuration(encode(ACCOUNT, routes=ROUTES), RULES):
        data = msgspec.json.encode(resource.spec)
        if resource.kind is Kind.ROUTE:
            spec = msgspec.json.decode(data, type=EarlierRouteSpec)
            assert spec.path_prefix == resource.spec.path_prefix
        if resource.kind is Kind.ACCOUNT:
            with pytest.raises(msgspec.ValidationError):
                msgspec.json.decode(data, type=EarlierAccountSpec)


class OneRecord:
    """A store whose topic holds one configuration."""

    def __init__(self, value):
        self.value = value

    def read_newest(self, topic):
        record = KeyedRecord(offset=3, key="config", value=self.value)
        return KeyedPage(next_offset=4, records=(record,))


def make_feeds(value):
    return PlatformFeeds(client=OneRecord(value), rules=RULES, region_by_data_centre={})


def test_no_key_is_in_what_a_reader_sends_to_other_hosts():
    batch = make_feeds(encode(ACCOUNT)).read_newest(CONFIGURATION_FEED)
    assert batch.records[0].data
    assert batch.records[0].generation == TRANSLATION_GENERATION
    for resource in read_configuration(encode(ACCOUNT), RULES):
        assert not any(key in repr(resource) for key in KEYS)
        assert not any(key.encode() in encode_resource(resource) for key in KEYS)


@pytest.mark.parametrize(("accounts", "path"), INVALID)
def test_reader_says_which_field_is_invalid_and_names_no_key(accounts, path):
    with logbook.TestHandler() as handler:
        feeds = make_feeds(encode(*accounts))
        assert feeds.read_newest(CONFIGURATION_FEED).records == ()
    lines = [f"{line.message} {line.extra}" for line in handler.records]
    (line,) = (line for line in lines if line.startswith("configuration-unreadable"))
    assert path in line
    assert path in feeds.configuration_problem
    assert not any(key in text for text in lines for key in KEYS)


def test_reader_says_once_that_it_can_read_again():
    feeds = make_feeds(b"{")
    with logbook.TestHandler() as handler:
        for value in (b"{", b"{", encode(ACCOUNT), encode(ACCOUNT)):
            feeds._client.value = value
            feeds.read_newest(CONFIGURATION_FEED)
    names = [line.message for line in handler.records if line.message != "record-void"]
    assert names == ["configuration-unreadable", "configuration-readable"]
    assert feeds.configuration_problem == ""
