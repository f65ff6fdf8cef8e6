"""Active configuration of an entry, indexed for the request path."""

import dataclasses
from dataclasses import dataclass, field

from citronspan.core.accounts.account_table import AccountTable, build_account_table
from citronspan.core.detection.health import TargetInfo
from citronspan.core.node_messages import ConfigurationPush
from citronspan.core.requests.route_table import Route, RouteTable, build_route_table
from citronspan.core.resources import (
    Kind,
    Resource,
    ServiceSpec,
    TargetIntent,
    decode_resource,
)


@dataclass(frozen=True, kw_only=True, slots=True)
class EntryConfiguration:
    """The configuration at one log offset.

    Attributes:
        offset: Log offset after the last change that is included.
        resource_by_id: Resources by kind and name.
        routes: Index of the routes.
        targets_by_service: Targets of each service, sorted by name.
        accounts: Index of the client accounts by their keys.
    """

    offset: int = 0
    resource_by_id: dict[tuple[str, str], Resource] = field(default_factory=dict)
    routes: RouteTable = field(default_factory=lambda: build_route_table([]))
    targets_by_service: dict[str, tuple[TargetInfo, ...]] = field(default_factory=dict)
    accounts: AccountTable = field(default_factory=AccountTable)

    def get_spec(self, kind: Kind, name: str):
        """Return the specification of a resource, or None."""
        resource = self.resource_by_id.get((kind, name))
        return None if resource is None else resource.spec

    def get_service_specs(self) -> dict[str, ServiceSpec]:
        """Return the specifications of all services by name."""
        return {
            name: resource.spec
            for (kind, name), resource in self.resource_by_id.items()
            if kind == Kind.SERVICE
        }


def apply_push(
    configuration: EntryConfiguration, push: ConfigurationPush
) -> EntryConfiguration:
    """Apply a configuration push from the agent.

    Args:
        configuration: Active configuration.
        push: Full state, or a change relative to a base offset.

    Returns:
        The new configuration, or the old one unchanged if the push is not newer or is a
        change whose base offset is not the active one. The offset never decreases.
    """
    if push.offset <= configuration.offset:
        return configuration
    if push.base_offset not in (0, configuration.offset):
        return configuration
    if push.base_offset and not push.changed and not push.removed:
        return dataclasses.replace(configuration, offset=push.offset)
    resource_by_id = dict(configuration.resource_by_id) if push.base_offset else {}
    for data in push.changed:
        resource = decode_resource(data)
        resource_by_id[resource.kind, resource.name] = resource
    for kind, name in push.removed:
        resource_by_id.pop((kind, name), None)
    return _index_resources(push.offset, resource_by_id)


def _index_resources(offset, resource_by_id):
    routes = []
    accounts = build_account_table(
        (name, resource.spec)
        for (kind, name), resource in sorted(resource_by_id.items())
        if kind == Kind.ACCOUNT
    )
    targets_by_service: dict[str, list[TargetInfo]] = {}
    for (kind, name), resource in sorted(resource_by_id.items()):
        if kind == Kind.ROUTE:
            is_public = resource.spec.public is True or name in accounts.public_routes
            routes.append(Route(name=name, spec=resource.spec, is_public=is_public))
        if kind == Kind.TARGET:
            target = make_target_info(name, resource.spec)
            targets_by_service.setdefault(resource.spec.service, []).append(target)
    return EntryConfiguration(
        offset=offset,
        resource_by_id=resource_by_id,
        routes=build_route_table(routes),
        accounts=accounts,
        targets_by_service={
            service: tuple(targets) for service, targets in targets_by_service.items()
        },
    )


def make_target_info(name, spec) -> TargetInfo:
    """Build the target info from the specification of a target."""
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
