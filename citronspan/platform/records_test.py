"""Tests that valid platform records become resources and invalid ones do not."""

import copy
import json

import msgspec
import pytest
from hypothesis import given, settings, strategies as st

from citronspan.core.configuration.config_state import ConfigState
from citronspan.core.configuration.feed_messages import FeedOffsets, FeedUpdate
from citronspan.core.configuration.feeds import (
    CONFIGURATION_FEED,
    TARGETS_FEED,
    Feed,
    FeedMerger,
)
from citronspan.core.errors import CitronspanError
from citronspan.core.host_settings import ServiceRules
from citronspan.core.messages import Envelope, decode_envelope, encode_envelope
from citronspan.core.resources import (
    NAME_PATTERN,
    Detection,
    Kind,
    TargetIntent,
    decode_resource,
    encode_resource,
)
from citronspan.platform.feeds import PlatformFeeds
from citronspan.platform.records import (
    SEQUENCES_PER_START,
    make_resource_name,
    read_configuration,
    read_target,
    read_target_version,
)
from citronspan.platform.store import KeyedPage, KeyedRecord

RULES = ServiceRules(floor=0.7, retry_ratio=0.2, retry_slack=58)
REGIONS = {"a": "east"}
TARGET = {
    "address": "10.0.0.1:8080",
    "info": {"service": "shop", "version": "v1", "dataCentre": "a", "slots": 6},
    "status": {"state": "ready", "sequence": 4, "warmUpSeconds": 1.5},
    "born": 1_790_000_000_000,
}
ROUTE = {
    "name": "r-1",
    "host": "shop.example",
    "pathPrefix": "/a/",
    "kind": "upload",
    "timeoutSeconds": 6,
    "latencyGoalSeconds": 3,
    "priority": 1,
    "service": "shop",
    "maximumAttempts": 2,
}


def encode_configuration(*routes):
    services = [{"name": "shop", "healthPath": "/healthz"}, {"name": "mill"}]
    value = {"version": 7, "routes": routes, "services": services, "limits": {}}
    return json.dumps(value).encode()


def test_configuration_decodes_into_route_and_service():
    resources = read_configuration(encode_configuration(ROUTE), RULES)
    spec_by_name = {resource.name: resource.spec for resource in resources}
    assert spec_by_name["shop"].detection is Detection.FAILURE_EPISODES
    assert (spec_by_name["shop"].floor, spec_by_name["shop"].retry_slack) == (0.7, 58)
    route = spec_by_name["r-1"]
    assert (route.idempotent, route.maximum_attempts) == (False, 2)
    assert (route.deadline_seconds, route.goal_seconds) == (6, 3)


def test_route_kind_alone_determines_idempotence():
    for kind, idempotent in (
        ("idempotent", True),
        ("non_idempotent", False),
        ("upload", False),
    ):
        data = encode_configuration({**ROUTE, "kind": kind, "name": "stock-lookup"})
        route = read_configuration(data, RULES)[-1]
        assert route.spec.idempotent is idempotent


def test_split_route_has_heaviest_service_and_all_shares():
    split = [{"service": "mill", "weight": 10}, {"service": "shop", "weight": 90}]
    data = encode_configuration({**ROUTE, "service": "", "trafficSplit": split})
    spec = read_configuration(data, RULES)[-1].spec
    assert spec.service == "shop"
    assert [(share.service, share.weight) for share in spec.shares] == [
        ("mill", 10),
        ("shop", 90),
    ]


def test_registration_decodes_into_target_and_its_intent():
    spec = read_target("i-1", json.dumps(TARGET).encode(), REGIONS).spec
    assert (spec.region, spec.data_centre, spec.slots) == ("east", "a", 6)
    assert (spec.intent, spec.cold) == (TargetIntent.ACTIVE, True)
    draining_target = {**TARGET, "status": {**TARGET["status"], "state": "draining"}}
    spec = read_target("i-1", json.dumps(draining_target).encode(), REGIONS).spec
    assert spec.intent is TargetIntent.DRAINING


@pytest.mark.parametrize(
    "change",
    [
        {"address": 7},
        {"address": "nowhere"},
        {"info": {"service": "shop"}},
        {"info": {**TARGET["info"], "slots": "6"}},
        {"status": {"state": "sleeping"}},
        {"born": "today"},
        {"born": -1},
        {"born": 1 << 43},
        {"born": 10**20},
        {"status": {**TARGET["status"], "sequence": 10**20}},
        {"status": {**TARGET["status"], "sequence": -1}},
        {"address": "10.0.0.1:65536"},
        {"address": "10.0.0.1:8_0"},
        {"address": "10.0.0.1:\u0668\u0660"},
        {"address": "[fe80::1%a\u0000]:80"},
    ],
)
def test_invalid_registration_is_rejected(change):
    data = json.dumps({**TARGET, **change}).encode()
    with pytest.raises(CitronspanError):
        read_target("i-1", data, REGIONS)
        read_target_version(data)


def remove_field(registration, path):
    registration = copy.deepcopy(registration)
    holder = registration
    for name in path[:-1]:
        holder = holder[name]
    del holder[path[-1]]
    return registration


@pytest.mark.parametrize(
    "path",
    [
        *((name,) for name in TARGET),
        *(("info", name) for name in TARGET["info"]),
        *(("status", name) for name in TARGET["status"]),
    ],
)
def test_registration_without_a_field_is_used(path):
    """It comes from another writer, and would bring a target back that was removed."""
    data = json.dumps(remove_field(TARGET, path)).encode()
    feeds = make_feeds(json.dumps(TARGET).encode(), data)
    present, passed_over = feeds.read_newest(TARGETS_FEED).records
    assert present.data is not None
    assert passed_over.data is None
    assert feeds.unreadable_records == 1


def test_target_that_registered_very_often_never_returns_after_its_removal():
    """Its registrations would all have the version that was removed."""
    registration = {"born": 7, "status": {"sequence": SEQUENCES_PER_START}}
    assert read_target_version(json.dumps(registration).encode()) == 0
    registration["status"]["sequence"] -= 1
    before_start = read_target_version(json.dumps(registration).encode())
    registration = {"born": 8, "status": {"sequence": 1}}
    assert before_start < read_target_version(json.dumps(registration).encode())


class FakeStoreClient:
    """A store client whose topic holds the given values, each with its own key."""

    def __init__(self, *values, key="i-{}"):
        self.values = values
        self.key = key

    def read_newest(self, topic):
        records = tuple(
            KeyedRecord(offset=number, key=self.key.format(number), value=value)
            for number, value in enumerate(self.values)
        )
        return KeyedPage(next_offset=len(records), records=records)


def make_feeds(*values, key="i-{}"):
    return PlatformFeeds(
        client=FakeStoreClient(*values, key=key),
        rules=RULES,
        region_by_data_centre=REGIONS,
    )


@given(st.lists(st.one_of(st.none(), st.binary(max_size=40)), max_size=8))
def test_unreadable_registrations_do_not_affect_valid_ones(values):
    valid_value = json.dumps(TARGET).encode()
    feeds = make_feeds(*values, valid_value)
    batch = feeds.read_newest(TARGETS_FEED)
    target_records = [record for record in batch.records if record.data is not None]
    assert batch.next_offset == len(values) + 1
    assert [record.offset for record in target_records] == [len(values)]
    assert feeds.unreadable_records == sum(value is not None for value in values)


ODD_NUMBER = st.one_of(
    st.sampled_from([0, -1, 1 << 43, 1 << 63, 1 << 64, 10**400, 1.5, 1e300]),
    st.integers(min_value=-(1 << 70), max_value=1 << 70),
)
ODD_ADDRESS = st.builds(
    "{}:{}".format,
    st.sampled_from(["10.0.0.1", "[::1]", "fe80::1%x", "", "*", "10.0.0.1:1"]),
    st.one_of(ODD_NUMBER, st.text(max_size=4)),
)
ODD_JSON = st.recursive(
    st.one_of(st.none(), st.booleans(), ODD_NUMBER, ODD_ADDRESS, st.text(max_size=8)),
    lambda inner: st.one_of(
        st.lists(inner, max_size=3), st.dictionaries(st.text(max_size=4), inner)
    ),
    max_leaves=8,
)
FIELD_PATHS = [
    (),
    ("address",),
    ("born",),
    ("info",),
    ("status",),
    *(("info", name) for name in TARGET["info"]),
    *(("status", name) for name in TARGET["status"]),
    ("labels",),
]


@st.composite
def draw_odd_registration(draw):
    registration = copy.deepcopy(TARGET)
    for path in draw(st.lists(st.sampled_from(FIELD_PATHS), min_size=1, max_size=3)):
        holder = registration
        for name in path[:-1]:
            holder = holder.get(name) if isinstance(holder, dict) else None
        if path and isinstance(holder, dict):
            holder[path[-1]] = draw(st.one_of(ODD_NUMBER, ODD_ADDRESS, ODD_JSON))
        elif not path:
            registration = draw(ODD_JSON)
    return json.dumps(registration).encode()


def pass_on(batch):
    """Return a batch as a peer receives it."""
    update = FeedUpdate(offsets=FeedOffsets(), age_seconds=0.0, batches=(batch,))
    envelope = Envelope(fleet="f", sender="a", incarnation=1, body=update)
    return decode_envelope(encode_envelope(envelope)).body.batches[0]


@settings(max_examples=300)
@given(st.lists(draw_odd_registration(), min_size=1, max_size=4))
def test_odd_registrations_do_not_keep_valid_ones_from_peers(values):
    feeds = make_feeds(*values, json.dumps(TARGET).encode())
    feed = Feed(name=TARGETS_FEED)
    feed.apply(pass_on(feeds.read_newest(TARGETS_FEED)))
    state = FeedMerger().merge_feeds([feed], before=ConfigState())
    assert f"i-{len(values)}" in {key.name for key in state.resource_by_key}


@given(
    st.lists(
        st.tuples(st.sampled_from(sorted(ROUTE)), st.one_of(ODD_NUMBER, ODD_JSON)),
        max_size=3,
    )
)
def test_odd_configuration_does_not_raise_at_hosts_or_their_peers(changes):
    data = encode_configuration({**ROUTE, **dict(changes)})
    feeds = make_feeds(data, key="config")
    pass_on(feeds.read_newest(CONFIGURATION_FEED))


DEEP_JSON = b"[" * 4000 + b"]" * 4000


@pytest.mark.parametrize(
    "value",
    [
        DEEP_JSON,
        DEEP_JSON[:4000],
        b'{"labels":' + DEEP_JSON + b"," + json.dumps(TARGET).encode()[1:],
    ],
)
def test_deeply_nested_registration_does_not_end_the_feed(value):
    feeds = make_feeds(value, json.dumps(TARGET).encode())
    records = feeds.read_newest(TARGETS_FEED).records
    assert [record.data is not None for record in records] == [False, True]
    assert feeds.unreadable_records == 1


def test_deeply_nested_configuration_does_not_end_the_feed():
    data = encode_configuration(ROUTE)
    feeds = make_feeds(b'{"labels":' + DEEP_JSON + b"," + data[1:], key="config")
    assert feeds.read_newest(CONFIGURATION_FEED).records == ()
    assert feeds.unreadable_records == 1


def test_unreadable_configuration_yields_no_record():
    # Without a record, the previous configuration stays in force.
    feeds = make_feeds(b"{", key="config")
    assert feeds.read_newest(CONFIGURATION_FEED).records == ()
    assert feeds.unreadable_records == 1


def test_configuration_yields_only_services_and_routes():
    resources = read_configuration(encode_configuration(ROUTE), RULES)
    assert {resource.kind for resource in resources} == {Kind.SERVICE, Kind.ROUTE}


def test_fraction_of_the_retry_slack_makes_a_record_unreadable_to_older_hosts():
    rules = ServiceRules(floor=0.7, retry_ratio=0.2, retry_slack=20.48)
    resources = read_configuration(encode_configuration(ROUTE), rules)
    service = next(item for item in resources if item.kind is Kind.SERVICE)
    assert b'"retrySlack":20,' in msgspec.json.encode(service.spec)


@pytest.mark.parametrize("share", [0.0, 0.05])
def test_service_names_hedges_only_where_the_operator_allows_them(share):
    rules = ServiceRules(hedge_share=share, hedge_delay_seconds=0.2)
    resources = read_configuration(encode_configuration(ROUTE), rules)
    service = next(item for item in resources if item.kind is Kind.SERVICE)
    encoded = msgspec.json.encode(service.spec)
    assert (b"hedge" in encoded) == (share > 0)
    assert (b'"hedgeShare":0.05,"hedgeDelaySeconds":0.2' in encoded) == (share > 0)


@pytest.mark.parametrize(
    "name", ["Browse_1", "browse 1", "Ström", "-", "b" * 64, "a/b"]
)
def test_route_or_service_is_dropped_for_its_name(name):
    configuration = {
        "version": 1,
        "services": [{"name": name}],
        "routes": [
            {**ROUTE, "name": name, "service": name},
            {
                **ROUTE,
                "name": name + "2",
                "trafficSplit": [{"service": name, "weight": 1}],
            },
        ],
    }
    data = json.dumps(configuration).encode()
    read = [
        decode_resource(encode_resource(item))
        for item in read_configuration(data, RULES)
    ]
    service, route, split_route = read
    assert route.spec.service == service.name
    assert split_route.spec.service == service.name
    assert [share.service for share in split_route.spec.shares] == [service.name]
    assert route.name != split_route.name
    target = {**TARGET, "info": {**TARGET["info"], "service": name}}
    found = read_target("i-1", json.dumps(target).encode(), REGIONS)
    assert found.spec.service == service.name


@given(st.lists(st.text(max_size=80), unique=True, min_size=2, max_size=5))
def test_two_names_become_one_or_one_that_hosts_drop(names):
    made = [make_resource_name(name) for name in names]
    assert len(set(made)) == len(names)
    for name, result in zip(names, made, strict=True):
        assert not name or NAME_PATTERN.fullmatch(result)
        if NAME_PATTERN.fullmatch(name):
            assert result == name


@pytest.mark.parametrize("whole", [False, True])
def test_configuration_that_cannot_be_read_removes_the_last_one(whole):
    feed = Feed(name=CONFIGURATION_FEED)
    feeds = make_feeds(encode_configuration(ROUTE), key="config")
    feed.apply(feeds.read_newest(CONFIGURATION_FEED))
    unreadable = make_feeds(b"{", key="config").read_newest(CONFIGURATION_FEED)
    batch = msgspec.structs.replace(
        unreadable, whole=whole, from_offset=1, next_offset=2
    )
    assert feed.apply(batch)
    assert list(feed.record_by_key) == ["config"]
