"""JSON documents of configurations and changes as an operator sends them, and their digests."""

from __future__ import annotations

import json
from collections.abc import Iterable
from dataclasses import dataclass, field, fields
from typing import Any, Final

from coveport.serving.model.configuration import Configuration, Route, RouteKind, Service, WeightedService
from coveport.serving.simulation.events import JudgedRoute
from coveport.serving.simulation.texts import digest
from coveport.serving.wire import configuration as wire
from coveport.serving.wire.names import Config

Document = dict[str, Any]
_KIND_OF_SIMPLE: Final = (str, int, float, bool)


def route_document(route: Route) -> Document:
    """Return a route as a JSON object."""
    names = wire.ROUTE
    document: Document = {
        names[attribute.name]: getattr(route, attribute.name)
        for attribute in fields(route)
        if isinstance(getattr(route, attribute.name), _KIND_OF_SIMPLE)
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
        if isinstance(getattr(service, attribute.name), _KIND_OF_SIMPLE)
    }
    if service.engine is not None:
        document[names["engine"]] = {
            wire.ENGINE[attribute.name]: getattr(service.engine, attribute.name)
            for attribute in fields(service.engine)
        }
    return document


def configuration_document(configuration: Configuration) -> Document:
    """Return a complete configuration as a JSON object."""
    limits = configuration.limits
    return {
        Config.EDITION: configuration.edition,
        Config.ROUTES: [route_document(route) for route in configuration.routes],
        Config.SERVICES: [service_document(service) for service in configuration.services],
        Config.LIMITS: {
            wire.CLIENT_LIMITS[attribute.name]: getattr(limits, attribute.name)
            for attribute in fields(limits)
        },
    }


@dataclass(frozen=True, slots=True)
class Change:
    """The change that a PATCH requests."""

    edition: int
    routes: tuple[Route, ...] = ()  # added, or replaced by name
    services: tuple[Service, ...] = ()
    removed_routes: tuple[str, ...] = ()
    removed_services: tuple[str, ...] = field(default=())


def change_document(change: Change) -> Document:
    """Return a change as a JSON object."""
    return {
        Config.EDITION: change.edition,
        Config.UPSERT: {
            Config.ROUTES: [route_document(route) for route in change.routes],
            Config.SERVICES: [service_document(service) for service in change.services],
        },
        Config.REMOVE: {
            Config.ROUTES: list(change.removed_routes),
            Config.SERVICES: list(change.removed_services),
        },
    }


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
        change.edition, tuple(routes.values()), tuple(services.values()), configuration.limits
    )


def document_digest(document: Document) -> str:
    """Return a hash of a configuration that does not depend on the order of items or fields."""
    document = dict(document)
    for name in (Config.ROUTES, Config.SERVICES):
        document[name] = sorted(document.get(name, []), key=lambda item: str(item.get(Config.NAME)))
    return digest(json.dumps(document, sort_keys=True).encode())


def judged_routes(routes: Iterable[Route]) -> tuple[JudgedRoute, ...]:
    """Return the properties of routes that the judge reads."""
    return tuple(map(_judged_route, routes))


def _judged_route(route: Route) -> JudgedRoute:
    services = frozenset(weighted.service for weighted in route.services if weighted.weight)
    streaming = route.kind is RouteKind.STREAMING
    return JudgedRoute(
        route.host, route.path_prefix, services, route.is_idempotent, streaming, route.home_regions,
        route.timeout_ms / 1000,
    )  # fmt: skip
