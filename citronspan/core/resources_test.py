import json

import pytest

from citronspan.core.errors import CitronspanError
from citronspan.core.resources import decode_resource, encode_resource

TARGET = {
    "kind": "Target",
    "name": "a-1",
    "spec": {
        "service": "a",
        "address": "127.0.2.1:9000",
        "region": "north",
        "dataCentre": "north-1",
        "slots": 2,
    },
}


def test_encoded_resource_decodes_to_an_equal_one():
    resource = decode_resource(json.dumps(TARGET).encode())
    assert decode_resource(encode_resource(resource)) == resource


@pytest.mark.parametrize(
    ("key", "value", "path"),
    [
        ("slots", "two", "$.spec.slots"),
        ("slots", 0, "$.spec.slots"),
        ("address", "host:80", "$.spec.address"),
        ("colour", "red", "$.spec"),
    ],
)
def test_validation_error_names_the_field(key, value, path):
    invalid = {**TARGET, "spec": {**TARGET["spec"], key: value}}
    with pytest.raises(CitronspanError) as caught:
        decode_resource(json.dumps(invalid).encode())
    assert path in caught.value.detail


@pytest.mark.parametrize("address", ["[fe80::1%eth0]:80", "127.0.0.1:0080"])
def test_address_in_a_record_is_refused_by_a_later_version_only(address):
    # Versions that judge a record of the log differently come to different states.
    data = json.dumps({**TARGET, "spec": {**TARGET["spec"], "address": address}})
    assert decode_resource(data.encode()).spec.address == address
