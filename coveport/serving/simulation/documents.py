"""JSON documents of configurations and changes as an operator sends them, and their digests."""

from __future__ import annotations

import json
from collections.abc import Iterable
from dataclasses import dataclass, fields
from typing import Any, Final

from coveport.serving.model.configuration import (
    Configuration,
    Route,
    RouteKind,
    Service,
    Tenant,
    WeightedService,
)
from coveport.serving.simulation.events import JudgedRoute, JudgedTenant
from coveport.serving.simulation.texts import digest
from coveport.serving.wire import configuration as wire
from coveport.serving.wire.names import Config

Document = dict[str, Any]
_SCALAR_TYPES: Final = (str, int, float, bool)


def route_document(route: Route) -> Document:
    """Return a route as a JSON object."""
    names = wire.ROUTE
    document: Document = {
        names[attribute.name]: getattr(route, attribute.name)
        for attribute in fields(route)
        if isinstance(getattr(route, attribute.name), _SCALAR_TYPES)
    }
    document[names["kind"]] = route.kind.value
    document[names["home_regions"]] = sorted(route.home_regions)
    if len(route.services) == 1:
        document[names["service"]] = route.services[0].service
    else:
        document[names["services"]] = [_weighted_document(weighted) for weighted in route.services]
    return document


def _weighted_document(weighted: WeightedService) -> Document:
    names = wire.WEIGHTED_SERVICE
    return {names["service"]: weighted.service, names["weight"]: weighted.weight}


def service_document(service: Service) -> Document:
    """Return a service as a JSON object."""
    names = wire.SERVICE
    document: Document = {
        names[attribute.name]: getattr(service, attribute.name)
        for attribute in fields(service)
        if isinstance(getattr(service, attribute.name), _SCALAR_TYPES)
    }
    if service.engine is not None:
        document[names["engine"]] = {
            wire.ENGINE[attribute.name]: getattr(service.engine, attribute.name)
            for attribute in fields(service.engine)
        }
    if service.scaling is not None:
        document[names["scaling"]] = {
            wire.SCALING[attribute.name]: getattr(service.scaling, attribute.name)
            for attribute in fields(service.scaling)
        }
    return document


def tenant_document(tenant: Tenant) -> Document:
    """Return a tenant as a JSON object."""
    names = wire.TENANT
    document: Document = {
        names["name"]: tenant.name,
        names["api_keys"]: list(tenant.api_keys),
        names["home_regions"]: sorted(tenant.home_regions),
    }
    if tenant.priority is not None:
        document[names["priority"]] = tenant.priority
    return document


def configuration_document(configuration: Configuration) -> Document:
    """Return a complete configuration as a JSON object."""
    limits = configuration.limits
    document: Document = {
        Config.EDITION: configuration.edition,
        Config.ROUTES: [route_document(route) for route in configuration.routes],
        Config.SERVICES: [service_document(service) for service in configuration.services],
        Config.LIMITS: {
            wire.CLIENT_LIMITS[attribute.name]: getattr(limits, attribute.name)
            for attribute in fields(limits)
        },
    }
    if configuration.tenants is not None:
        document[Config.TENANTS] = [tenant_document(tenant) for tenant in configuration.tenants]
    return document


@dataclass(frozen=True, slots=True)
class Change:
    """The change that a PATCH requests."""

    edition: int
    routes: tuple[Route, ...] = ()  # added, or replaced by name
    services: tuple[Service, ...] = ()
    removed_routes: tuple[str, ...] = ()
    removed_services: tuple[str, ...] = ()
    tenants: tuple[Tenant, ...] = ()
    removed_tenants: tuple[str, ...] = ()


def change_document(change: Change) -> Document:
    """Return a change as a JSON object."""
    upserts: Document = {
        Config.ROUTES: [route_document(route) for route in change.routes],
        Config.SERVICES: [service_document(service) for service in change.services],
    }
    removals: Document = {
        Config.ROUTES: list(change.removed_routes),
        Config.SERVICES: list(change.removed_services),
    }
    if change.tenants:
        upserts[Config.TENANTS] = [tenant_document(tenant) for tenant in change.tenants]
    if change.removed_tenants:
        removals[Config.TENANTS] = list(change.removed_tenants)
    return {Config.EDITION: change.edition, Config.UPSERT: upserts, Config.REMOVE: removals}


def changed(configuration: Configuration, change: Change) -> Configuration:
    """Return the configuration that results from a change, independently of the programs' code."""
    routes = {route.name: route for route in configuration.routes if route.name not in change.removed_routes}
    services = {
        service.name: service
        for service in configuration.services
        if service.name not in change.removed_services
    }
    routes.update({route.name: route for route in change.routes})
    services.update({service.name: service for service in change.services})
    return Configuration(
        change.edition,
        tuple(routes.values()),
        tuple(services.values()),
        configuration.limits,
        _changed_tenants(configuration.tenants, change),
    )


def _changed_tenants(tenants: tuple[Tenant, ...] | None, change: Change) -> tuple[Tenant, ...] | None:
    if tenants is None and not change.tenants:
        return None
    by_name = {tenant.name: tenant for tenant in tenants or () if tenant.name not in change.removed_tenants}
    by_name.update({tenant.name: tenant for tenant in change.tenants})
    return tuple(by_name.values())


def document_digest(document: Document) -> str:
    """Return a hash of a configuration that does not depend on the order of items or fields."""
    document = dict(document)
    if Config.TENANTS in document:
        document[Config.TENANTS] = _sorted_by_name(document[Config.TENANTS])
    for name in (Config.ROUTES, Config.SERVICES):
        document[name] = _sorted_by_name(document.get(name, []))
    return digest(json.dumps(document, sort_keys=True).encode())


def _sorted_by_name(items: list[Document]) -> list[Document]:
    return sorted(items, key=lambda item: str(item.get(Config.NAME)))


def judged_tenants(tenants: Iterable[Tenant] | None) -> tuple[JudgedTenant, ...] | None:
    """Return the properties of tenants that the judge reads."""
    if tenants is None:
        return None
    return tuple(
        JudgedTenant(tenant.name, frozenset(tenant.api_keys), tenant.home_regions) for tenant in tenants
    )


def judged_routes(routes: Iterable[Route]) -> tuple[JudgedRoute, ...]:
    """Return the properties of routes that the judge reads."""
    return tuple(map(_judged_route, routes))


def _judged_route(route: Route) -> JudgedRoute:
    services = frozenset(weighted.service for weighted in route.services if weighted.weight)
    streaming = route.kind is RouteKind.STREAMING
    return JudgedRoute(
        route.host, route.path_prefix, services, route.is_idempotent, streaming, route.home_regions,
        route.timeout_ms / 1000, route.is_public,
    )  # fmt: skip
