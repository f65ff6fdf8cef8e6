"""Tests the decoder of peers' messages over every type of message."""

import enum
import types
import typing

import msgspec
import pytest
from hypothesis import given, settings, strategies as st

from citronspan.core.messages import Envelope, decode_envelope, encode_envelope

DECODING_ERRORS = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)
VALUE_BY_TYPE = {
    bool: st.booleans(),
    int: st.integers(-(1 << 63), (1 << 63) - 1),
    float: st.floats(),
    str: st.text(max_size=6),
    bytes: st.binary(max_size=6),
    type(None): st.none(),
}


def make_values(kind):
    """Return any values of a type of which messages are made."""
    origin, arguments = typing.get_origin(kind), typing.get_args(kind)
    if origin is typing.Annotated:
        return make_values(arguments[0])
    if origin in (typing.Union, types.UnionType):
        return st.one_of([make_values(argument) for argument in arguments])
    if origin is dict:
        keys, values = map(make_values, arguments)
        return st.dictionaries(keys, values, max_size=2)
    if origin is tuple and arguments[-1] is Ellipsis:
        return st.lists(make_values(arguments[0]), max_size=2).map(tuple)
    if origin is tuple:
        return st.tuples(*map(make_values, arguments))
    if isinstance(kind, type) and issubclass(kind, enum.Enum):
        return st.sampled_from(list(kind))
    if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
        return make_messages(kind)
    return VALUE_BY_TYPE[kind]


def make_messages(kind):
    hints = typing.get_type_hints(kind, include_extras=True)
    fields = {
        field.name: make_values(hints[field.name])
        for field in msgspec.structs.fields(kind)
    }
    return st.builds(kind, **fields)


MESSAGE_TYPES = typing.get_args(typing.get_type_hints(Envelope)["body"])
MESSAGES = st.one_of([make_messages(kind) for kind in MESSAGE_TYPES])
ENVELOPES = st.builds(
    Envelope,
    fleet=st.text(max_size=3),
    sender=st.text(max_size=3),
    incarnation=VALUE_BY_TYPE[int],
    body=MESSAGES,
)
PARTS = st.one_of(
    st.binary(max_size=4),
    st.sampled_from([b"\x91" * 3000, b"\x81\xa1a" * 1500, b"\xcf" + b"\xff" * 8]),
)
CHANGES = st.lists(
    st.tuples(st.floats(0, 1), st.integers(0, 4), PARTS), min_size=1, max_size=3
)


def is_same(first, second):
    return encode_envelope(first) == encode_envelope(second)


@pytest.mark.parametrize("kind", MESSAGE_TYPES, ids=lambda kind: kind.__name__)
def test_message_does_not_survive_its_way_to_a_peer(kind):
    @settings(max_examples=20)
    @given(make_messages(kind))
    def check(body):
        envelope = Envelope(fleet="f", sender="a:1", incarnation=1, body=body)
        decoded = decode_envelope(encode_envelope(envelope))
        assert type(decoded.body) is kind
        assert is_same(decoded, envelope)

    check()


@settings(max_examples=500)
@given(ENVELOPES, CHANGES)
def test_nearly_valid_message_raises_what_its_receiver_does_not_expect(
    envelope, changes
):
    data = encode_envelope(envelope)
    for place, removed, part in changes:
        start = int(place * len(data))
        data = data[:start] + part + data[start + removed :]
    try:
        decoded = decode_envelope(data)
    except DECODING_ERRORS:
        return
    assert is_same(decode_envelope(encode_envelope(decoded)), decoded)


@given(st.binary(max_size=60))
def test_arbitrary_bytes_raise_what_the_receiver_of_messages_does_not_expect(data):
    try:
        decode_envelope(data)
    except DECODING_ERRORS:
        return


@pytest.mark.parametrize("kind", MESSAGE_TYPES, ids=lambda kind: kind.__name__)
def test_message_with_a_field_of_a_later_version_is_rejected(kind):
    @settings(max_examples=5)
    @given(make_messages(kind))
    def check(body):
        envelope = Envelope(fleet="f", sender="a:1", incarnation=1, body=body)
        values = msgspec.msgpack.decode(encode_envelope(envelope))
        values[3]["of-a-later-version"] = {"a": [1]}
        assert is_same(decode_envelope(msgspec.msgpack.encode(values)), envelope)

    check()


@pytest.mark.parametrize("kind", MESSAGE_TYPES, ids=lambda kind: kind.__name__)
def test_message_of_an_unknown_type_raises_what_its_receiver_does_not_expect(kind):
    @settings(max_examples=2)
    @given(make_messages(kind))
    def check(body):
        envelope = Envelope(fleet="f", sender="a:1", incarnation=1, body=body)
        values = msgspec.msgpack.decode(encode_envelope(envelope))
        values[3]["type"] = "OfALaterVersion"
        with pytest.raises(msgspec.ValidationError):
            decode_envelope(msgspec.msgpack.encode(values))

    check()
