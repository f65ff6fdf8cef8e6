"""Tests that decoders of outside input raise nothing but their typed errors.

The input is arbitrary, or valid with some bytes replaced, inserted or cut out.
"""

import base64
import contextlib
import http.client
import io
import json
import socket
import struct
import time
from types import SimpleNamespace

import msgspec
import pytest
import urllib3
from cheroot import errors
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
from citronspan.core.configuration.feeds import (
    TARGETS_FEED,
    Feed,
    FeedBatch,
    FeedMerger,
    FeedRecord,
    encode_resources,
)
from citronspan.core.errors import CitronspanError
from citronspan.core.host_settings import HostSettings
from citronspan.core.keys.key_token import mint_prefix, parse_key
from citronspan.core.messages import Envelope, decode_envelope, encode_envelope
from citronspan.core.requests.attempt_deadline import AttemptDeadline
from citronspan.core.requests.explain import read_line
from citronspan.core.resources import (
    Kind,
    Resource,
    RouteSpec,
    decode_resource,
    encode_resource,
)
from citronspan.core.settings import AgentSettings, EntrySettings, decode_settings
from citronspan.ops.callers.chunked_body import ChunkedBody
from citronspan.ops.callers.request_head import StrictHeaderReader
from citronspan.ops.store.feed_source import FeedTruncatedError, StoreUnavailableError
from citronspan.ops.store.host_list import HostListReader
from citronspan.ops.store.log_client import (
    HttpLogStore,
    LogTruncatedError,
    LogUnavailableError,
)
from citronspan.ops.targets.answer_stream import CheckedResponse
from citronspan.ops.targets.dialect import DefaultDialect
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
AGENT_SETTINGS = json.dumps(
    {
        "place": {"name": "h", "region": "r", "dataCentre": "a", "fleet": "f"},
        "peerAddress": "127.0.0.1:3",
        "apiAddress": "127.0.0.1:5",
        "logUrl": "http://127.0.0.1:6",
        "entryPeerAddress": "127.0.0.1:8",
        "entryCallersAddress": "127.0.0.1:9",
        "metricsAddress": "127.0.0.1:10",
        "seeds": ["127.0.0.1:7"],
    }
).encode()
HOST_SETTINGS = json.dumps(
    {
        "place": {"name": "h", "region": "r", "dataCentre": "a", "fleet": "f"},
        "address": "127.0.0.1",
        "callersAddress": "127.0.0.1:1",
        "readinessAddress": "127.0.0.1:2",
        "directoryAddress": "127.0.0.1:3",
        "apiAddress": "127.0.0.1:4",
        "peerPorts": [5, 9],
        "storeAddress": "127.0.0.1:10",
        "seedApiAddresses": ["127.0.0.1:11"],
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
        (
            lambda data: decode_settings(data, AgentSettings, path="p"),
            AGENT_SETTINGS,
            CitronspanError,
        ),
        (
            lambda data: decode_settings(data, HostSettings, path="p"),
            HOST_SETTINGS,
            CitronspanError,
        ),
        (lambda data: read_line(data.decode("latin-1")), LINE, ()),
    ],
    ids=[
        "resource",
        "record",
        "envelope",
        "settings",
        "agent-settings",
        "host-settings",
        "log-line",
    ],
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
        client._client = SimpleNamespace(request=lambda *args, **options: answer)
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
        client._client = SimpleNamespace(request=lambda *args, **options: answer)
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
    client._client = SimpleNamespace(request=lambda *args, **options: answer)
    try:
        page = client.read_newest("keyed.t")
    except StoreUnavailableError:
        return
    assert msgspec.msgpack.encode(page)


LOG_PAGE = b'{"first": 0, "next": 2, "records": [{"offset": 1, "data": "MQ=="}]}'


@pytest.mark.parametrize("status", [200, 201, 410, 503])
def test_spoiled_answer_of_the_log_raises_what_its_readers_do_not_expect(status):
    @given(CHANGES)
    def check(changes):
        data = spoil(LOG_PAGE, changes)
        answer = SimpleNamespace(status=status, data=data)
        log = HttpLogStore(url="http://127.0.0.1:1")
        log._client = SimpleNamespace(request=lambda *args, **options: answer)
        for call in (lambda: log.read(0), lambda: log.append(b"a")):
            with contextlib.suppress(LogUnavailableError, LogTruncatedError):
                call()

    check()


HOSTS = (
    b'{"hosts": [{"name": "a", "address": "b", "role": "target", "state": "leaving"}]}'
)


@given(CHANGES, st.sampled_from([200, 500]))
def test_spoiled_host_list_ends_the_reading_of_it(changes, status):
    data = spoil(HOSTS, changes)
    answer = SimpleNamespace(status=status, data=data)
    reader = HostListReader(url="http://127.0.0.1:1")
    reader._client = SimpleNamespace(request=lambda *args, **options: answer)
    reader.poll()
    assert reader.failures or status == 200


BODY = b"4\r\nabcd\r\nA;x=1\r\n0123456789\r\n0\r\nT: 1\r\n\r\n"


@settings(max_examples=300)
@given(st.one_of(CHANGES.map(lambda changes: spoil(BODY, changes)), st.binary()))
def test_spoiled_chunks_raise_what_the_reader_of_a_body_does_not_expect(data):
    body = ChunkedBody(rfile=io.BytesIO(data))
    try:
        while body.read(100):
            continue
    except (EOFError, ValueError):
        assert not body.is_ended
        return
    assert body.is_ended


HEADERS = b"Host: a\r\nContent-Length: 3\r\nX-A: b\r\n\r\n"


@settings(max_examples=300)
@given(st.one_of(CHANGES.map(lambda changes: spoil(HEADERS, changes)), st.binary()))
def test_spoiled_headers_raise_what_the_reader_of_a_head_does_not_expect(data):
    try:
        headers = StrictHeaderReader()(io.BytesIO(data))
    except (ValueError, errors.MaxSizeExceeded):
        return
    for name, value in headers.items():
        assert not set(b"\r\n\0") & set(name + value)


ANSWER = (
    b"HTTP/1.1 200 OK\r\nX-Citronspan-Request-Id: i\r\n"
    b"Content-Length: 3\r\nKeep-Alive: timeout=3\r\n\r\nabc"
)
CHUNKED_ANSWER = (
    b"HTTP/1.1 103 Early\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
)
ANSWER_ERRORS = (
    OSError,
    ValueError,
    urllib3.exceptions.HTTPError,
    http.client.HTTPException,
)


@settings(max_examples=300)
@given(
    st.one_of(
        st.builds(spoil, st.sampled_from([ANSWER, CHUNKED_ANSWER]), CHANGES),
        st.binary(max_size=40),
    ),
    st.booleans(),
)
def test_spoiled_answer_raises_what_its_readers_do_not_expect(data, is_reused):
    target, entry = socket.socketpair()
    with target, entry:
        target.sendall(data[:60_000])
        target.shutdown(socket.SHUT_WR)
        response = CheckedResponse(
            entry,
            method="GET",
            deadline=AttemptDeadline(request_deadline=time.monotonic() + 5.0),
            id_header="X-Citronspan-Request-Id",
            expected_id="i",
            is_reused=is_reused,
        )
        with contextlib.closing(response), contextlib.suppress(*ANSWER_ERRORS):
            response.begin()
            response.read()


RECORD = encode_resources([Resource(kind=Kind.ROUTE, name="r", spec=ROUTE)] * 40)


@settings(max_examples=300)
@given(CHANGES, st.booleans())
def test_spoiled_record_of_a_peer_hides_the_other_records(changes, is_long):
    data = RECORD if is_long else b"[%s]" % RESOURCE
    feed = Feed(name=TARGETS_FEED)
    records = (
        FeedRecord(offset=0, key="a", data=spoil(data, changes)),
        FeedRecord(offset=1, key="b", data=encode_resources([OTHER_RESOURCE])),
    )
    feed.apply(FeedBatch(feed=feed.name, from_offset=0, next_offset=2, records=records))
    state = FeedMerger().merge_feeds([feed], before=ConfigState())
    assert "other" in {key.name for key in state.resource_by_key}


OTHER_RESOURCE = Resource(kind=Kind.ROUTE, name="other", spec=ROUTE)
