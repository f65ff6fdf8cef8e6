"""Tests that brokers and entries of different versions understand each other."""

import msgspec

from citronspan.core.brokering.broker_messages import SlotCancel, SlotGrant
from citronspan.core.messages import Envelope, decode_envelope, encode_envelope

FIELDS = {"attempt_id": 7, "target": "t-1", "address": "10.0.0.1:80"}


def make_data(**fields):
    grant = SlotGrant(**FIELDS, lease_seconds=4.0, **fields)
    return encode(grant)


def encode(message):
    envelope = Envelope(fleet="f", sender="a:1", incarnation=1, body=message)
    return encode_envelope(envelope)


def test_grant_of_a_broker_that_sets_no_limit_for_the_attempt_is_rejected():
    values = msgspec.msgpack.decode(make_data(attempt_seconds=2.5))
    del values[3]["atse"]
    grant = decode_envelope(msgspec.msgpack.encode(values)).body
    assert grant == SlotGrant(**FIELDS, lease_seconds=4.0)


def test_grant_with_a_field_of_a_later_version_is_rejected():
    values = msgspec.msgpack.decode(make_data(attempt_seconds=2.5))
    values[3]["later"] = [1, 2]
    grant = decode_envelope(msgspec.msgpack.encode(values)).body
    assert grant == SlotGrant(**FIELDS, lease_seconds=4.0, attempt_seconds=2.5)


def test_cancel_of_a_version_that_does_not_tell_its_reason_is_taken_as_unused():
    fields = {"attempt_id": 7, "service": "s", "region": "r", "shard": 0}
    data = encode(SlotCancel(**fields, is_abandoned=True))
    assert decode_envelope(data).body == SlotCancel(**fields, is_abandoned=True)
    values = msgspec.msgpack.decode(data)
    del values[3]["isab"]
    cancel = decode_envelope(msgspec.msgpack.encode(values)).body
    assert not cancel.is_abandoned
    assert cancel == SlotCancel(**fields)
