"""A valid configuration together with its canonical JSON text; each route has a separate text.

With separate texts, a change of some routes (`route_changes`) does not need to read the other routes.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, Final

from coveport.serving.configuration.json_text import ObjectWriter
from coveport.serving.model.configuration import Configuration
from coveport.serving.wire.configuration import CONFIGURATION
from coveport.serving.wire.names import Config

_READ_FIELDS: Final = frozenset(CONFIGURATION.values())


@dataclass(frozen=True, slots=True)
class Document:
    """A valid configuration and its text."""

    configuration: Configuration
    field_texts: dict[str, bytes]  # JSON of each top-level field by name, in order; empty for the routes
    route_texts: dict[str, bytes]  # JSON of each route by name, in order

    @property
    def ignored_fields(self) -> tuple[str, ...]:
        """Return the names of the top-level fields that this program keeps but does not use."""
        return tuple(name for name in self.field_texts if name not in _READ_FIELDS)

    def text(self) -> bytes:
        """Return the canonical text, the same text as `write_object` returns for the whole configuration."""
        write = ObjectWriter().write
        fields = (
            write(name) + b":" + (self._routes_text() if name == Config.ROUTES else text)
            for name, text in self.field_texts.items()
        )
        return b"{" + b",".join(fields) + b"}"

    def _routes_text(self) -> bytes:
        return b"[" + b",".join(self.route_texts.values()) + b"]"


def make_document(data: Mapping[str, Any], configuration: Configuration) -> Document:
    """Return the document for a JSON object that has been validated."""
    write = ObjectWriter().write
    field_texts = {name: b"" if name == Config.ROUTES else write(value) for name, value in data.items()}
    route_texts = {route[Config.NAME]: write(route) for route in data[Config.ROUTES]}
    return Document(configuration, field_texts, route_texts)
