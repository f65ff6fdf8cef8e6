"""Tests that brokers and entries of different versions understand each other."""

import msgspec

from citronspan.core.brokering.broker_messages import SlotGrant
from citronspan.core.messages import Envelope, decode_envelope, encode_envelope

FIELDS = {"attempt_id": 7, "target": "t-1", "address": "10.0.0.1:80"}


def make_data(**fields):
    grant = SlotGrant(**FIELDS, lease_seconds=4.0, **fields)
    envelope = Envelope(fleet="f", sender="a:1", incarnation=1, body=grant)
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
