"""From a request to its route, from a route to a service, and from a service to its nodes by level. Pure."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from random import Random

from coveport.serving.model.configuration import Configuration, Route, Service
from coveport.serving.model.node import NodeState
from coveport.serving.model.view import ControlView, KnownNode


def host_name(host: str) -> str:
    """A Host header's name as routes are compared: lower case, without the port."""
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
        """The route of the longest prefix that begins the path; None: there is none."""
        path = target.partition("?")[0]
        for route in self.routes_by_host.get(host_name(host), ()):
            if path.startswith(route.path_prefix):
                return route
        return None


def choose_service(route: Route, random: Random) -> str | None:
    """One of the route's services, by weight; None where it has none."""
    total = sum(one.weight for one in route.services)
    if total <= 0:
        return None
    at = random.random() * total
    for one in route.services:
        at -= one.weight
        if at < 0:
            return one.service
    return next(one.service for one in reversed(route.services) if one.weight > 0)


def is_open(view: ControlView, known: KnownNode, now_s: float) -> bool:
    """Whether the control plane allows sends to the node."""
    return (
        known.node.state is NodeState.ACCEPTING
        and known.node.zone not in view.evacuated_zones
        and known.shutdown_at_s > now_s
    )


def open_nodes(view: ControlView, service: str, homes: frozenset[str], now_s: float) -> list[KnownNode]:
    """The service's nodes that the control plane and the request's homes allow; no homes: anywhere.

    In one order whatever the map's is (it depends on Python's hash seed), so that a seeded draw repeats.
    """
    found = [
        known
        for known in view.nodes.values()
        if known.node.service == service
        and is_open(view, known, now_s)
        and (not homes or known.node.region in homes)
    ]
    return sorted(found, key=lambda known: known.node.incarnation)


@dataclass(frozen=True, slots=True)
class Levels:
    """Candidates by level."""

    own: list[KnownNode] = field(default_factory=list)
    rest: list[KnownNode] = field(default_factory=list)

    def first(self, is_usable: Callable[[KnownNode], bool]) -> list[KnownNode]:
        """The usable nodes of the first level that has any: [own region, "*"]."""
        usable = [known for known in self.own if is_usable(known)]
        return usable or [known for known in self.rest if is_usable(known)]


def split_levels(nodes: Iterable[KnownNode], region: str) -> Levels:
    """Group nodes by level, as seen from a region."""
    levels = Levels()
    for known in nodes:
        (levels.own if known.node.region == region else levels.rest).append(known)
    return levels
