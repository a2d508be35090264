"""Selects the route of a request, the service of a route, and the nodes that may run it. Pure.

The control plane decides which nodes are eligible; what this proxy observes of them is added by
`node_selection`.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from random import Random

from coveport.serving.model.configuration import Configuration, Route, Service
from coveport.serving.model.node import NodeState
from coveport.serving.model.view import ControlView, KnownNode


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
        return cls(configuration, ordered, {service.name: service for service in configuration.services})

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


def is_eligible(view: ControlView, known: KnownNode, now_s: float) -> bool:
    """Return whether the control plane allows new requests to the node."""
    return (
        known.node.state is NodeState.ACCEPTING
        and known.node.zone not in view.evacuated_zones
        and known.shutdown_at_s > now_s
    )


def eligible_nodes(
    view: ControlView, service: str, home_regions: frozenset[str], now_s: float
) -> list[KnownNode]:
    """Return the service's nodes that the control plane and the home regions allow; no regions: any.

    Sorted, because the order of the view's map depends on Python's hash seed and seeded draws must repeat.
    """
    found = [
        known
        for known in view.nodes.values()
        if known.node.service == service
        and is_eligible(view, known, now_s)
        and (not home_regions or known.node.region in home_regions)
    ]
    return sorted(found, key=lambda known: known.node.incarnation)


@dataclass(frozen=True, slots=True)
class NodesByLocality:
    """Candidates in the proxy's own region, and in all others."""

    local: list[KnownNode] = field(default_factory=list)
    remote: list[KnownNode] = field(default_factory=list)

    def first_usable(self, is_usable: Callable[[KnownNode], bool]) -> list[KnownNode]:
        """Return the usable local nodes or, only where there are none, the usable remote ones."""
        usable = [known for known in self.local if is_usable(known)]
        return usable or [known for known in self.remote if is_usable(known)]


def group_by_locality(nodes: Iterable[KnownNode], region: str) -> NodesByLocality:
    """Group nodes by locality, as seen from a region."""
    by_locality = NodesByLocality()
    for known in nodes:
        (by_locality.local if known.node.region == region else by_locality.remote).append(known)
    return by_locality
