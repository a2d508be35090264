"""Finds the route of a request, and draws the service of a route. Pure."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from coveport.serving.model.configuration import Configuration, Route, Service
from coveport.serving.proxy.tenant_index import TenantIndex


def host_name(host: str) -> str:
    """Return a Host header's name as routes are compared: lower case, without the port."""
    name, colon, port = host.strip().rpartition(":")
    if colon and (port.isdigit() or not port) and not name.endswith(":"):
        host = name
    return host.strip().lower()


@dataclass(frozen=True, slots=True)
class RouteTable:
    """A configuration, indexed for lookups."""

    configuration: Configuration
    routes_by_host: dict[str, tuple[Route, ...]]  # longest prefix first
    services: dict[str, Service]
    tenants: TenantIndex | None  # None: requests need no API key

    @classmethod
    def of(cls, configuration: Configuration) -> RouteTable:
        """Index a configuration."""
        by_host: dict[str, list[Route]] = {}
        for route in configuration.routes:
            by_host.setdefault(route.host.lower(), []).append(route)
        ordered = {
            host: tuple(sorted(routes, key=lambda route: -len(route.path_prefix)))
            for host, routes in by_host.items()
        }
        services = {service.name: service for service in configuration.services}
        tenants = None if configuration.tenants is None else TenantIndex.of(configuration.tenants)
        return cls(configuration, ordered, services, tenants)

    def find(self, host: str, target: str) -> Route | None:
        """Return the route with the longest prefix of the path, or None where no route matches."""
        path = target.partition("?")[0]
        for route in self.routes_by_host.get(host_name(host), ()):
            if path.startswith(route.path_prefix):
                return route
        return None


def choose_service(route: Route, random: Random) -> str | None:
    """Draw one of the route's services by weight, or return None where no service has any."""
    total = sum(weighted.weight for weighted in route.services)
    if total <= 0:
        return None
    remaining = random.random() * total
    for weighted in route.services:
        remaining -= weighted.weight
        if remaining < 0:
            return weighted.service
    # Rounding may leave a remainder behind the last weight.
    return next(weighted.service for weighted in reversed(route.services) if weighted.weight > 0)
