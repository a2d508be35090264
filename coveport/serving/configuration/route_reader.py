"""Reads and validates the routes of a configuration."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any, Final

from coveport.serving.configuration.raw_types import RawRoute, RawWeightedService
from coveport.serving.configuration.type_checker import Checked, TypeChecker
from coveport.serving.model.configuration import Route, RouteKind, WeightedService
from coveport.serving.model.findings import Findings
from coveport.serving.wire.configuration import CONFIGURATION, ROUTE, WEIGHTED_SERVICE

_KINDS: Final = {kind.value: kind for kind in RouteKind}


class RouteReader:
    """Reads all routes of one configuration."""

    def __init__(self, checker: TypeChecker, findings: Findings, services: frozenset[str] | None) -> None:
        """Create a reader. `services`: names of the services; None: unknown, as their list is invalid."""
        self._checker = checker
        self._findings = findings
        self._services = services
        self._names: set[str] = set()
        self._first_locations: dict[tuple[str, str], str] = {}  # locations of routes by host and path prefix

    def read(self, items: list[Any]) -> tuple[Route, ...]:
        """Return the routes in a JSON list; not usable where there are findings."""
        routes = []
        for number, item in enumerate(items):
            location = f"{CONFIGURATION['routes']}[{number}]"
            checked = self._checker.check(RawRoute, item, location)
            if checked is not None:
                routes.append(self._read_route(checked, location))
        return tuple(routes)

    def _read_route(self, checked: Checked[RawRoute], location: str) -> Route:
        raw = checked.value
        invalid_fields = set(checked.invalid_fields)
        for field, message in _faults(raw):
            if field not in invalid_fields:
                self._findings.add(f"{location}.{ROUTE[field]}", message)
                invalid_fields.add(field)
        self._check_unique(raw, invalid_fields, location)
        return Route(
            name=raw.name,
            host=raw.host.lower(),
            path_prefix=raw.path_prefix,
            kind=_KINDS.get(raw.kind, RouteKind.UNSAFE),
            timeout_ms=raw.timeout_ms,
            latency_target_ms=raw.latency_target_ms,
            priority=int(raw.priority),
            services=self._read_services(checked, location),
            max_attempts=int(raw.max_attempts),
            session_affinity=raw.session_affinity,
            resumable=raw.resumable,
            inter_token_target_ms=raw.inter_token_target_ms,
            home_regions=frozenset(raw.home_regions or ()),
            is_public=raw.is_public,
        )

    def _check_unique(self, raw: RawRoute, invalid_fields: set[str], location: str) -> None:
        """Add a finding where an earlier route has the same name, or the same host and path prefix."""
        if "name" not in invalid_fields:
            if raw.name in self._names:
                self._findings.add(f"{location}.{ROUTE['name']}", f"another route is named {raw.name!r} too")
            self._names.add(raw.name)
        if invalid_fields.isdisjoint(("host", "path_prefix")):
            first = self._first_locations.setdefault((raw.host.lower(), raw.path_prefix), location)
            if first != location:
                self._findings.add(location, f"has the same host and path prefix as {first}")

    def _read_services(self, checked: Checked[RawRoute], location: str) -> tuple[WeightedService, ...]:
        """Return the weighted services of a route; a single service has weight 1."""
        raw = checked.value
        if raw.service is not None and "service" not in checked.invalid_fields:
            self._check_service_exists(raw.service, f"{location}.{ROUTE['service']}")
        if raw.services:
            return self._read_weighted_services(raw.services, f"{location}.{ROUTE['services']}")
        if raw.service is not None:
            return (WeightedService(raw.service, 1.0),)
        if raw.services is None:
            self._findings.add(f"{location}.{ROUTE['service']}", "is missing")
        elif "services" not in checked.invalid_fields:
            self._findings.add(f"{location}.{ROUTE['services']}", "the weights sum to 0")
        return ()

    def _read_weighted_services(self, items: list[Any], location: str) -> tuple[WeightedService, ...]:
        services = []
        has_invalid_weight = False
        for number, item in enumerate(items):
            item_location = f"{location}[{number}]"
            checked = self._checker.check(RawWeightedService, item, item_location)
            if checked is None:
                has_invalid_weight = True
                continue
            raw = checked.value
            if "service" not in checked.invalid_fields:
                self._check_service_exists(raw.service, f"{item_location}.{WEIGHTED_SERVICE['service']}")
            has_invalid_weight = has_invalid_weight or "weight" in checked.invalid_fields
            services.append(WeightedService(raw.service, raw.weight))
        if not has_invalid_weight and sum(service.weight for service in services) == 0:
            self._findings.add(location, "the weights sum to 0")
        return tuple(services)

    def _check_service_exists(self, service: str, location: str) -> None:
        if self._services is not None and service not in self._services:
            self._findings.add(location, f"there is no service {service!r}")


def _faults(raw: RawRoute) -> Iterator[tuple[str, str]]:
    """Yield field and message of each fault in a route's own values."""
    if not raw.host:
        yield "host", "is empty"
    if not (raw.path_prefix.startswith("/") and raw.path_prefix.endswith("/")):
        yield "path_prefix", "must begin and end with a slash"
    if raw.kind not in _KINDS:
        yield "kind", f"must be one of {', '.join(_KINDS)}"
    if raw.timeout_ms == 0:
        yield "timeout_ms", "must be above 0"
    if raw.max_attempts < 1:
        yield "max_attempts", "must be at least 1"
