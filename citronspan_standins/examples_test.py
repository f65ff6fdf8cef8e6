"""Tests that the resources under ``examples`` are valid and consistent."""

from pathlib import Path

import msgspec
import pytest

from citronspan.core.resources import Kind, decode_resource

EXAMPLES = Path(__file__).parents[1] / "examples"


@pytest.mark.parametrize("name", ["demo", "shop", "turret-and-tab"])
def test_examples_are_valid_and_consistent(name):
    resources = []
    for path in sorted((EXAMPLES / name).glob("*.json")):
        for raw in msgspec.json.decode(path.read_bytes(), type=list[msgspec.Raw]):
            resources.append(decode_resource(raw))
    names = [(resource.kind, resource.name) for resource in resources]
    assert len(names) == len(set(names))
    services = {name for kind, name in names if kind is Kind.SERVICE}
    targets = [item.spec for item in resources if item.kind is Kind.TARGET]
    routes = [item.spec for item in resources if item.kind is Kind.ROUTE]
    assert {spec.service for spec in targets} == services
    assert {spec.service for spec in routes} == services
    assert len({spec.address for spec in targets}) == len(targets)
    for route in routes:
        assert not (route.idempotent and route.require_key)
