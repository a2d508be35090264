"""Applies a change of some routes to a document without reading the other routes.

Reading a whole configuration takes 50 us per route and blocks the process. With 30,000 routes this is longer
than a primary may be unresponsive. The result here is byte for byte the same as that of reading and writing
the whole configuration. A change that may be invalid is not applied (None): the caller then reads the whole
configuration, which gives the findings.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Any, Final

from coveport.serving.configuration.document import Document
from coveport.serving.configuration.json_text import JsonObject, ObjectWriter
from coveport.serving.configuration.route_reader import RouteReader
from coveport.serving.configuration.type_checker import LARGEST_NUMBER, TypeChecker
from coveport.serving.model.configuration import Route
from coveport.serving.model.findings import Findings
from coveport.serving.wire.names import Config

_LISTS: Final = (Config.ROUTES, Config.SERVICES, Config.TENANTS)
_FIELDS_OF_A_ROUTE_CHANGE: Final = frozenset({Config.EDITION, Config.UPSERT, Config.REMOVE})


@dataclass(frozen=True, slots=True)
class _RouteChange:
    """A change that affects only routes."""

    edition: int
    upserts: dict[str, JsonObject]  # routes as JSON objects, by name
    removed: frozenset[str]  # names of routes


def apply_route_changes(document: Document, change: Mapping[str, Any]) -> Document | None:
    """Apply a valid change of only routes; return None if the change affects more or may be invalid."""
    route_change = _read_change(change)
    if route_change is None:
        return None
    routes = _read_routes(document, list(route_change.upserts.values()))
    if routes is None or _has_conflict(document, route_change, routes):
        return None
    write = ObjectWriter().write
    removed = route_change.removed
    texts = {name: text for name, text in document.route_texts.items() if name not in removed}
    texts.update({name: write(item) for name, item in route_change.upserts.items()})
    merged = {route.name: route for route in document.configuration.routes if route.name not in removed}
    merged.update({route.name: route for route in routes})
    edition = route_change.edition
    configuration = replace(document.configuration, edition=edition, routes=tuple(merged.values()))
    field_texts = document.field_texts | {Config.EDITION: write(edition)}
    return Document(configuration, field_texts, texts)


def _read_change(change: Mapping[str, Any]) -> _RouteChange | None:
    edition = change.get(Config.EDITION)
    if type(edition) is not int or not 0 < edition <= LARGEST_NUMBER:
        return None
    if change.keys() - _FIELDS_OF_A_ROUTE_CHANGE:
        return None
    upserts = _routes_in(change.get(Config.UPSERT, {}))
    removed = _routes_in(change.get(Config.REMOVE, {}))
    if upserts is None or removed is None or not all(isinstance(name, str) for name in removed):
        return None
    upserts_by_name = _by_name(upserts)
    if upserts_by_name is None:
        return None
    return _RouteChange(edition, upserts_by_name, frozenset(removed))


def _routes_in(section: object) -> list[Any] | None:
    """Return the routes in a section of a change; None where the section has items of other lists."""
    if not isinstance(section, dict):
        return None
    for name, items in section.items():
        is_empty = items == [] and name in _LISTS
        if not is_empty and not (name == Config.ROUTES and isinstance(items, list)):
            return None
    routes: list[Any] = section.get(Config.ROUTES, [])
    return routes


def _by_name(items: list[Any]) -> dict[str, JsonObject] | None:
    """Return JSON objects by name; None where an item has no name or two items have the same name."""
    by_name: dict[str, JsonObject] = {}
    for item in items:
        name = item.get(Config.NAME) if isinstance(item, dict) else None
        if not isinstance(name, str) or name in by_name:
            return None
        by_name[name] = item
    return by_name


def _read_routes(document: Document, items: list[JsonObject]) -> tuple[Route, ...] | None:
    findings = Findings()
    services = frozenset(service.name for service in document.configuration.services)
    routes = RouteReader(TypeChecker(findings), findings, services).read(items)
    return None if findings else routes


def _has_conflict(document: Document, change: _RouteChange, routes: tuple[Route, ...]) -> bool:
    """Return whether an unchanged route has the host and path prefix of a new route."""
    claimed = {(route.host, route.path_prefix) for route in routes}
    return any(
        (route.host, route.path_prefix) in claimed
        for route in document.configuration.routes
        if route.name not in change.upserts and route.name not in change.removed
    )
