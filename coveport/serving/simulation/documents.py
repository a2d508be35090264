"""Configurations as the operator writes them: JSON documents, changes, and what the judge needs of them."""

from __future__ import annotations

import json
from collections.abc import Iterable
from dataclasses import dataclass, field, fields
from typing import Any, Final

from coveport.serving.model.configuration import Configuration, Route, RouteKind, Service, WeightedService
from coveport.serving.simulation.events import RoutePlace
from coveport.serving.simulation.texts import digest
from coveport.serving.wire import configuration as wire
from coveport.serving.wire.names import Config

Document = dict[str, Any]
_KIND_OF_SIMPLE: Final = (str, int, float, bool)


def route_document(route: Route) -> Document:
    """A route as JSON."""
    names = wire.ROUTE
    told: Document = {
        names[one.name]: getattr(route, one.name)
        for one in fields(route)
        if isinstance(getattr(route, one.name), _KIND_OF_SIMPLE)
    }
    told[names["kind"]] = route.kind.value
    told[names["home_regions"]] = sorted(route.home_regions)
    if len(route.services) == 1:
        told[names["service"]] = route.services[0].service
    else:
        told[names["services"]] = [_weighted_document(one) for one in route.services]
    return told


def _weighted_document(one: WeightedService) -> Document:
    names = wire.WEIGHTED_SERVICE
    return {names["service"]: one.service, names["weight"]: one.weight}


def service_document(service: Service) -> Document:
    """A service as JSON."""
    names = wire.SERVICE
    told: Document = {
        names[one.name]: getattr(service, one.name)
        for one in fields(service)
        if isinstance(getattr(service, one.name), _KIND_OF_SIMPLE)
    }
    if service.engine is not None:
        told[names["engine"]] = {
            wire.ENGINE[one.name]: getattr(service.engine, one.name) for one in fields(service.engine)
        }
    return told


def configuration_document(configuration: Configuration) -> Document:
    """A whole configuration as JSON."""
    limits = configuration.limits
    return {
        Config.EDITION: configuration.edition,
        Config.ROUTES: [route_document(one) for one in configuration.routes],
        Config.SERVICES: [service_document(one) for one in configuration.services],
        Config.LIMITS: {wire.CLIENT_LIMITS[one.name]: getattr(limits, one.name) for one in fields(limits)},
    }


@dataclass(frozen=True, slots=True)
class Change:
    """What a PATCH asks for."""

    edition: int
    routes: tuple[Route, ...] = ()  # added, or replaced by name
    services: tuple[Service, ...] = ()
    removed_routes: tuple[str, ...] = ()
    removed_services: tuple[str, ...] = field(default=())


def change_document(change: Change) -> Document:
    """A change as JSON."""
    return {
        Config.EDITION: change.edition,
        Config.UPSERT: {
            Config.ROUTES: [route_document(one) for one in change.routes],
            Config.SERVICES: [service_document(one) for one in change.services],
        },
        Config.REMOVE: {
            Config.ROUTES: list(change.removed_routes),
            Config.SERVICES: list(change.removed_services),
        },
    }


def changed(configuration: Configuration, change: Change) -> Configuration:
    """What a change makes of a configuration, by our own reckoning."""
    routes = {one.name: one for one in configuration.routes if one.name not in change.removed_routes}
    services = {one.name: one for one in configuration.services if one.name not in change.removed_services}
    routes.update({one.name: one for one in change.routes})
    services.update({one.name: one for one in change.services})
    return Configuration(
        change.edition, tuple(routes.values()), tuple(services.values()), configuration.limits
    )


def document_digest(document: Document) -> str:
    """A hash of a configuration that doesn't depend on the order of its items or fields."""
    told = dict(document)
    for name in (Config.ROUTES, Config.SERVICES):
        told[name] = sorted(told.get(name, []), key=lambda item: str(item.get(Config.NAME)))
    return digest(json.dumps(told, sort_keys=True).encode())


def route_places(routes: Iterable[Route]) -> tuple[RoutePlace, ...]:
    """What the judge needs of routes."""
    return tuple(map(_route_place, routes))


def _route_place(route: Route) -> RoutePlace:
    services = frozenset(one.service for one in route.services if one.weight)
    streaming = route.kind is RouteKind.STREAMING
    return RoutePlace(
        route.host, route.path_prefix, services, route.is_idempotent, streaming, route.home_regions,
        route.timeout_ms / 1000,
    )  # fmt: skip
