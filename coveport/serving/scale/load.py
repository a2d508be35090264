"""The first configuration of a scale run, and its changes. No I/O."""

from __future__ import annotations

import json

from coveport.serving.model.configuration import (
    Configuration,
    Engine,
    Route,
    RouteKind,
    Service,
    WeightedService,
)
from coveport.serving.scale.sizes import ScaleSize
from coveport.serving.simulation.documents import Change, change_document, configuration_document

HOMED_FRACTION = 0.35  # fraction of routes that have home regions


def service_name(number: int) -> str:
    """Return the name of a service."""
    return f"model-{number:02d}"


def make_route(number: int, size: ScaleSize, timeout_ms: float = 15000.0) -> Route:
    """Return a tenant's route; `HOMED_FRACTION` of all routes have home regions."""
    is_homed = (number * 7) % 20 < 20 * HOMED_FRACTION
    return Route(
        name=f"route-{number:06d}",
        host=f"tenant-{number:06d}.example",
        path_prefix=f"/tenant-{number:06d}/",
        kind=RouteKind.STREAMING,
        timeout_ms=timeout_ms,
        latency_target_ms=1700,
        priority=number % 3,
        services=(WeightedService(service_name(number % size.services), 1.0),),
        max_attempts=2,
        session_affinity=True,
        resumable=True,
        inter_token_target_ms=50,
        home_regions=frozenset({"north", "east"}) if is_homed else frozenset(),
    )


def first_configuration(size: ScaleSize) -> bytes:
    """Return the complete configuration, edition 1, as JSON."""
    routes = tuple(make_route(number, size) for number in range(size.routes))
    services = tuple(
        Service(service_name(number), "/health", 370, 3.0, 9.8, Engine(64, 227616, 5))
        for number in range(size.services)
    )
    return json.dumps(configuration_document(Configuration(1, routes, services))).encode()


def change_of_edition(edition: int, size: ScaleSize) -> bytes:
    """Return a change that replaces one route, as JSON."""
    route = make_route(edition % size.routes, size, timeout_ms=15000.0 + edition)
    return json.dumps(change_document(Change(edition, (route,)))).encode()
