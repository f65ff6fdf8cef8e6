"""Tests that decoders of outside input raise nothing but their typed errors.

The input is arbitrary, or valid with some bytes replaced, inserted or cut out.
"""

import base64
import json
import struct
from types import SimpleNamespace

import msgspec
import pytest
from hypothesis import example, given, settings, strategies as st

from citronspan.core.configuration.config_record import (
    ChangeRecord,
    decode_record,
    encode_record,
)
from citronspan.core.configuration.config_snapshots import (
    SnapshotError,
    load_snapshot,
    make_snapshot,
)
from citronspan.core.configuration.config_state import ConfigState
from citronspan.core.configuration.feed_messages import FeedOffsets, FeedUpdate
from citronspan.core.errors import CitronspanError
from citronspan.core.keys.key_token import mint_prefix, parse_key
from citronspan.core.messages import Envelope, decode_envelope, encode_envelope
from citronspan.core.requests.explain import read_line
from citronspan.core.resources import (
    Kind,
    Resource,
    RouteSpec,
    decode_resource,
    encode_resource,
)
from citronspan.core.settings import EntrySettings, decode_settings
from citronspan.ops.dialect import DefaultDialect
from citronspan.ops.feed_source import FeedTruncatedError, StoreUnavailableError
from citronspan.platform.headers import PlatformDialect
from citronspan.platform.store import ERA_OFFSETS, StoreClient

MAXIMUM_CHANGES = 4
ODD_PARTS = st.one_of(
    st.binary(max_size=4),
    st.sampled_from([b"[" * 2000, b"{" * 2000, b"9" * 5000, b"1e999", b"\\ud800"]),
)
CHANGES = st.lists(
    st.tuples(st.floats(0, 1), st.integers(0, 8), ODD_PARTS), max_size=MAXIMUM_CHANGES
)


def spoil(data, changes):
    for place, removed, part in changes:
        start = int(place * len(data))
        data = data[:start] + part + data[start + removed :]
    return data


ROUTE = RouteSpec(path_prefix="/a/", service="s", request_kind="k", worth=2.5)
RESOURCE = encode_resource(Resource(kind=Kind.ROUTE, name="r", spec=ROUTE))
CHANGE = encode_record(
    ChangeRecord(
        change_id="c-1",
        kind=Kind.ROUTE,
        name="r",
        expected_version=-1,
        seen_offset=0,
        spec=msgspec.Raw(msgspec.json.encode(ROUTE)),
    )
)
ENVELOPE = encode_envelope(
    Envelope(
        fleet="f",
        sender="127.0.0.1:1",
        incarnation=1,
        body=FeedUpdate(offsets=FeedOffsets(), age_seconds=0.5),
    )
)
SETTINGS = json.dumps(
    {
        "place": {"name": "h", "region": "r", "dataCentre": "a", "fleet": "f"},
        "callersAddress": "127.0.0.1:1",
        "peerAddress": "127.0.0.1:2",
        "agentPeerAddress": "127.0.0.1:3",
        "metricsAddress": "127.0.0.1:4",
    }
).encode()
LINE = b'host-1 {"at":"2026-01-01T00:00:00.000+00:00","event":"e","number":200}'


@pytest.mark.parametrize(
    ("decode", "valid", "errors"),
    [
        (decode_resource, RESOURCE, CitronspanError),
        (decode_record, CHANGE, CitronspanError),
        (decode_envelope, ENVELOPE, (msgspec.MsgspecError, UnicodeDecodeError)),
        (
            lambda data: decode_settings(data, EntrySettings, path="p"),
            SETTINGS,
            CitronspanError,
        ),
        (lambda data: read_line(data.decode("latin-1")), LINE, ()),
    ],
    ids=["resource", "record", "envelope", "settings", "log-line"],
)
def test_spoiled_input_raises_what_its_readers_do_not_expect(decode, valid, errors):
    decode(valid)

    @settings(max_examples=300)
    @given(CHANGES)
    def check(changes):
        try:
            decode(spoil(valid, changes))
        except errors:
            return

    check()


@given(CHANGES)
def test_spoiled_key_raises_what_its_readers_do_not_expect(changes):
    prefix = mint_prefix(
        fleet="f",
        owner="h-1",
        owner_incarnation=1,
        witness="h-2",
        witness_incarnation=1,
        lifetime_seconds=10,
    )
    text = spoil(f"{prefix}.a".encode(), changes).decode("latin-1")
    try:
        parse_key(text, fleet="f")
    except CitronspanError as error:
        assert error.code.number == 4001


@given(CHANGES)
def test_spoiled_snapshot_raises_what_its_readers_do_not_expect(changes):
    snapshot = make_snapshot(ConfigState(offset=3))
    data = spoil(snapshot.data, changes)
    try:
        load_snapshot(msgspec.structs.replace(snapshot, data=data))
    except SnapshotError:
        return


NEWEST = json.dumps(
    {
        "items": [
            {"key": "a", "value": base64.b64encode(b"1").decode(), "offset": 0},
            {"key": "b", "value": base64.b64encode(b"2").decode(), "offset": 1},
        ],
        "hasMore": False,
        "endOffset": 2,
    }
).encode()
PAGE = struct.pack(">QQ", 1, 0) + struct.pack(">I", 4) + b"\x01akk"


@pytest.mark.parametrize("is_newest", [False, True])
def test_spoiled_answer_of_the_store_raises_what_its_readers_do_not_expect(is_newest):
    @settings(max_examples=300)
    @given(CHANGES)
    def check(changes):
        data = spoil(NEWEST if is_newest else PAGE, changes)
        answer = SimpleNamespace(status=200, data=data, headers={})
        client = StoreClient(address="127.0.0.1:1")
        client._pool = SimpleNamespace(request=lambda *args, **options: answer)
        try:
            if is_newest:
                client.read_newest("keyed.t")
            else:
                client.read("keyed.t", 0, 0.0)
        except StoreUnavailableError:
            return

    check()


@given(
    dialect=st.sampled_from([PlatformDialect(), DefaultDialect()]),
    text=st.one_of(
        st.text(max_size=8),
        st.sampled_from(["9" * 5000, "1e999", "-1", "nan", "inf", "٣", "1_0", "9,,"]),
    ),
)
def test_odd_header_raises_what_its_readers_do_not_expect(dialect, text):
    def find_header(name):
        return text

    assert -1 <= dialect.read_load(find_header) < 10**9
    rate = dialect.read_rate_limit(find_header)
    assert rate is None or 0 <= rate < float("inf")
    dialect.classify(200, find_header)
    try:
        assert dialect.read_timeout_seconds(text) > 0
    except CitronspanError as error:
        assert error.code.number == 3008


ODD_NUMBERS = st.one_of(
    st.integers(-1, 1 << 70).map(str),
    st.sampled_from(["9" * 5000, "1e9", "\u0663", "", "-1", " 1", "1_0"]),
)


@pytest.mark.parametrize("is_newest", [False, True])
def test_odd_count_of_restores_raises_what_the_readers_of_the_store_do_not_expect(
    is_newest,
):
    @given(ODD_NUMBERS)
    @example("9" * 5000)
    @example(str(1 << 40))
    def check(era):
        data = NEWEST if is_newest else PAGE
        answer = SimpleNamespace(status=200, data=data, headers={"Store-Era": era})
        client = StoreClient(address="127.0.0.1:1")
        client._pool = SimpleNamespace(request=lambda *args, **options: answer)
        try:
            if is_newest:
                page = client.read_newest("keyed.t")
            else:
                era_offset = int(era[:9]) * ERA_OFFSETS if era.isdecimal() else 0
                page = client.read("keyed.t", era_offset, 0.0)
        except (StoreUnavailableError, FeedTruncatedError):
            return
        assert msgspec.msgpack.encode(FeedOffsets(targets=page.next_offset))

    check()


@given(ODD_NUMBERS, ODD_NUMBERS)
@example(str(1 << 64), "0")
@example("0", str(1 << 64))
def test_odd_offset_of_the_store_cannot_be_sent_to_peers(offset, end):
    items = b'{"key": "a", "value": "MQ==", "offset": %s}' % offset.encode()
    data = b'{"items": [%s], "hasMore": false, "endOffset": %s}' % (items, end.encode())
    answer = SimpleNamespace(status=200, data=data, headers={})
    client = StoreClient(address="127.0.0.1:1")
    client._pool = SimpleNamespace(request=lambda *args, **options: answer)
    try:
        page = client.read_newest("keyed.t")
    except StoreUnavailableError:
        return
    assert msgspec.msgpack.encode(page)
