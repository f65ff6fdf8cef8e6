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
