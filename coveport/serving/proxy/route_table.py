"""Finds the route of a request, and draws the service of a route.

This module does no I/O and reads no clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from coveport.serving.model.configuration import Configuration, Route, Service
from coveport.serving.proxy.tenant_index import TenantIndex


def host_name(host: str) -> str:
    """Return the name in a Host header in lower case and without the port, for comparison with routes."""
    name, colon, port = host.strip().rpartition(":")
    if colon and (port.isdigit() or not port) and not name.endswith(":"):
        host = name
    return host.strip().lower()


@dataclass(frozen=True, slots=True)
class RouteTable:
    """A configuration with indexes for routes, services and tenants."""

    configuration: Configuration
    routes_by_host: dict[str, tuple[Route, ...]]  # sorted by length of the path prefix, longest first
    services: dict[str, Service]
    tenants: TenantIndex | None  # None: requests need no API key

    @classmethod
    def of(cls, configuration: Configuration) -> RouteTable:
        """Return the table of a configuration."""
        by_host: dict[str, list[Route]] = {}
        for route in configuration.routes:
            by_host.setdefault(route.host.lower(), []).append(route)
        ordered = {
            host: tuple(sorted(routes, key=lambda route: -len(route.path_prefix)))
            for host, routes in by_host.items()
        }
        services = {service.name: service for service in configuration.services}
        tenants = None if configuration.tenants is None else TenantIndex.from_tenants(configuration.tenants)
        return cls(configuration, ordered, services, tenants)

    def find(self, host: str, target: str) -> Route | None:
        """Return the route with the longest matching path prefix, or None if no route matches."""
        path = target.partition("?")[0]
        for route in self.routes_by_host.get(host_name(host), ()):
            if path.startswith(route.path_prefix):
                return route
        return None


def choose_service(route: Route, random: Random) -> str | None:
    """Return one of the route's services, drawn by weight, or None if none has a positive weight."""
    total_weight = sum(weighted.weight for weighted in route.services)
    if total_weight <= 0:
        return None
    remaining_weight = random.random() * total_weight
    for weighted in route.services:
        remaining_weight -= weighted.weight
        if remaining_weight < 0:
            return weighted.service
    # Rounding errors may leave a small remainder after the last weight.
    return next(weighted.service for weighted in reversed(route.services) if weighted.weight > 0)
