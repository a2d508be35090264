"""A configuration with the text of each route apart: a change of some routes leaves the others unread.

Reading a whole configuration takes 50 us a route, and blocks the process that does it: with 30,000 routes for
longer than a primary may be unresponsive. A change names a few routes; what `apply_route_changes` makes of a
document is the same, to the byte, as what reading and writing the whole would make. Where a change isn't
plainly valid, it returns None: the whole is read after all, for its findings.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Any, Final

from coveport.serving.configuration.form_reader import LARGEST_NUMBER, FormReader
from coveport.serving.configuration.json_text import ObjectWriter
from coveport.serving.configuration.route_reader import RouteReader
from coveport.serving.model.configuration import Configuration, Route
from coveport.serving.model.findings import Findings
from coveport.serving.wire.names import Config

_CHANGE_PARTS: Final = frozenset({Config.EDITION, Config.UPSERT, Config.REMOVE})


@dataclass(frozen=True, slots=True)
class Document:
    """A valid configuration: what it says, and its text in parts."""

    configuration: Configuration
    parts: dict[str, bytes]  # the text of each part by its name, in order; that of the routes is empty
    routes: dict[str, bytes]  # the text of each route by its name, in order

    def text(self) -> bytes:
        """The canonical text, as `write_object` would write the whole."""
        write = ObjectWriter().write
        parts = (
            write(name) + b":" + (self._routes_text() if name == Config.ROUTES else part)
            for name, part in self.parts.items()
        )
        return b"{" + b",".join(parts) + b"}"

    def _routes_text(self) -> bytes:
        return b"[" + b",".join(self.routes.values()) + b"]"


@dataclass(frozen=True, slots=True)
class _RouteChange:
    """A change of routes alone."""

    edition: int
    upserts: dict[str, dict[str, Any]]  # by name
    removed: frozenset[str]


def make_document(data: Mapping[str, Any], configuration: Configuration) -> Document:
    """The document of a whole configuration that was found valid."""
    write = ObjectWriter().write
    parts = {name: b"" if name == Config.ROUTES else write(part) for name, part in data.items()}
    routes = {route[Config.NAME]: write(route) for route in data[Config.ROUTES]}
    return Document(configuration, parts, routes)


def apply_route_changes(document: Document, change: Mapping[str, Any]) -> Document | None:
    """What a valid change of some routes makes of a document; None: it is another, or may be at fault."""
    asked = _read_change(document, change)
    if asked is None:
        return None
    routes = _read_routes(document, list(asked.upserts.values()))
    if routes is None or not _are_places_free(document, asked, routes):
        return None
    write = ObjectWriter().write
    texts = {name: text for name, text in document.routes.items() if name not in asked.removed}
    texts.update({name: write(item) for name, item in asked.upserts.items()})
    kept = {route.name: route for route in document.configuration.routes if route.name not in asked.removed}
    kept.update({route.name: route for route in routes})
    configuration = replace(document.configuration, edition=asked.edition, routes=tuple(kept.values()))
    parts = document.parts | {Config.EDITION: write(asked.edition)}
    return Document(configuration, parts, texts)


def _read_change(document: Document, change: Mapping[str, Any]) -> _RouteChange | None:
    edition = change.get(Config.EDITION)
    if change.keys() - _CHANGE_PARTS or type(edition) is not int or not 0 < edition <= LARGEST_NUMBER:
        return None
    upserts = _routes_of(document, change.get(Config.UPSERT, {}))
    removed = _routes_of(document, change.get(Config.REMOVE, {}))
    if upserts is None or removed is None or not all(isinstance(name, str) for name in removed):
        return None
    by_name: dict[str, dict[str, Any]] = {}
    for item in upserts:
        name = item.get(Config.NAME) if isinstance(item, dict) else None
        if not isinstance(name, str) or name in by_name:
            return None
        by_name[name] = item
    return _RouteChange(edition, by_name, frozenset(removed))


def _routes_of(document: Document, section: object) -> list[Any] | None:
    """What a section says of routes; None where it says anything of other lists."""
    if not isinstance(section, dict):
        return None
    for name, items in section.items():
        is_nothing = items == [] and name in (Config.ROUTES, Config.SERVICES)
        if not is_nothing and not (name == Config.ROUTES and isinstance(items, list)):
            return None
    routes: list[Any] = section.get(Config.ROUTES, [])
    return routes


def _read_routes(document: Document, items: list[dict[str, Any]]) -> tuple[Route, ...] | None:
    findings = Findings()
    services = frozenset(service.name for service in document.configuration.services)
    routes = RouteReader(FormReader(findings), findings, services).read(items)
    return None if findings else routes


def _are_places_free(document: Document, asked: _RouteChange, routes: tuple[Route, ...]) -> bool:
    """Whether no route that stays has the place of one that comes."""
    wanted = {(route.host, route.path_prefix) for route in routes}
    return not any(
        (route.host, route.path_prefix) in wanted
        for route in document.configuration.routes
        if route.name not in asked.upserts and route.name not in asked.removed
    )


class DocumentCache:
    """The documents read last, by their text.

    What checks a change, what stores it and what then uses it read the same text; one change may be applied
    twice, to what was taken and to what was committed, so the document before it is kept too.
    """

    KEPT: Final = 2

    def __init__(self) -> None:
        self._kept: list[tuple[bytes, Document]] = []

    def find(self, text: bytes) -> Document | None:
        """The document of a text, if it is one of the newest."""
        return next((document for kept, document in self._kept if kept == text), None)

    def remember(self, text: bytes, document: Document) -> None:
        """A document was read or made; its text finds it again."""
        others = [entry for entry in self._kept if entry[0] != text]
        self._kept = [(text, document), *others[: self.KEPT - 1]]
