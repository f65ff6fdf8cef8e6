"""The configuration in force at an entry, indexed for the request path."""

from dataclasses import dataclass, field

from citronspan.core.health import TargetInfo
from citronspan.core.node_messages import ConfigurationPush
from citronspan.core.resources import (
    Kind,
    Resource,
    ServiceSpec,
    TargetIntent,
    decode_resource,
)
from citronspan.core.route_table import Route, RouteTable, build_route_table


@dataclass(frozen=True, kw_only=True, slots=True)
class EntryConfiguration:
    """A configuration up to one offset.

    Attributes:
        offset: Offset after the last change in it.
        resource_by_id: Resources by kind and name.
        routes: Index of the routes.
        targets_by_service: Targets in the order of their names.
    """

    offset: int = 0
    resource_by_id: dict[tuple[str, str], Resource] = field(default_factory=dict)
    routes: RouteTable = field(default_factory=lambda: build_route_table([]))
    targets_by_service: dict[str, tuple[TargetInfo, ...]] = field(default_factory=dict)

    def find(self, kind: Kind, name: str):
        """Return the specification of a resource, or None."""
        resource = self.resource_by_id.get((kind, name))
        return None if resource is None else resource.spec

    def list_services(self) -> dict[str, ServiceSpec]:
        """Return the rules of each service by its name."""
        return {
            name: resource.spec
            for (kind, name), resource in self.resource_by_id.items()
            if kind == Kind.SERVICE
        }


def apply_push(
    configuration: EntryConfiguration, push: ConfigurationPush
) -> EntryConfiguration:
    """Apply a push of the agent.

    Args:
        configuration: What is in force.
        push: A whole state or a change.

    Returns:
        The new configuration, or the old one unchanged if the push is older or
        builds on an offset that is not in force: the offset never goes back.
    """
    if push.offset <= configuration.offset:
        return configuration
    if push.base_offset not in (0, configuration.offset):
        return configuration
    by_id = dict(configuration.resource_by_id) if push.base_offset else {}
    for data in push.changed:
        resource = decode_resource(data)
        by_id[resource.kind, resource.name] = resource
    for kind, name in push.removed:
        by_id.pop((kind, name), None)
    return _index_resources(push.offset, by_id)


def _index_resources(offset, by_id):
    routes = []
    targets_by_service: dict[str, list[TargetInfo]] = {}
    for (kind, name), resource in sorted(by_id.items()):
        if kind == Kind.ROUTE:
            routes.append(Route(name=name, spec=resource.spec))
        if kind == Kind.TARGET:
            target = make_known_target(name, resource.spec)
            targets_by_service.setdefault(resource.spec.service, []).append(target)
    return EntryConfiguration(
        offset=offset,
        resource_by_id=by_id,
        routes=build_route_table(routes),
        targets_by_service={
            service: tuple(targets) for service, targets in targets_by_service.items()
        },
    )


def make_known_target(name, spec) -> TargetInfo:
    """Return a target as the configuration shows it."""
    return TargetInfo(
        name=name,
        address=spec.address,
        region=spec.region,
        data_centre=spec.data_centre,
        slots=spec.slots,
        leaving=spec.intent is TargetIntent.DRAINING,
        incarnation=spec.incarnation,
        cold=spec.cold,
    )
