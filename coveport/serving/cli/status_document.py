"""The status of a coordinator, as its control address returns it. Pure.

Fields that a coordinator of another version omits or formats differently are read as empty.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Final

_NODES: Final = "nodes"
_PROXIES: Final = "proxies"
_CORE: Final = "core"
_DUTIES: Final = "duties"


@dataclass(frozen=True, slots=True)
class CoordinatorEntry:
    """A coordinator and its role in the replication of the core's state."""

    address: str
    role: str  # primary, replica (holds the state) or member (votes)

    def as_json(self) -> dict[str, str]:
        """Return the form for scripts."""
        return {"address": self.address, "part": self.role}


@dataclass(frozen=True, slots=True)
class StatusDocument:
    """A status; `fields` is the JSON object as received."""

    fields: dict[str, Any]

    def scalars(self) -> dict[str, Any]:
        """Return the fields other than the core, the duties, the proxies and the nodes."""
        excluded = (_NODES, _PROXIES, _CORE, _DUTIES)
        return {name: value for name, value in self.fields.items() if name not in excluded}

    def core(self) -> dict[str, Any]:
        """Return the state of the replication core."""
        core = self.fields.get(_CORE)
        return core if isinstance(core, dict) else {}

    def duties(self) -> dict[str, Any]:
        """Return the coordinator's state of the duties; empty if there is none."""
        duties = self.fields.get(_DUTIES)
        return duties if isinstance(duties, dict) else {}

    def proxies(self) -> list[dict[str, Any]]:
        """Return the proxies that hold a lease."""
        return self._entries(_PROXIES)

    def nodes(self) -> list[dict[str, Any]]:
        """Return the known nodes."""
        return self._entries(_NODES)

    def coordinators(self) -> list[CoordinatorEntry]:
        """Return the members of the core and the other live coordinators, without duplicates."""
        addresses = [*self.core().get("members", []), *self.fields.get("coordinators", [])]
        distinct = dict.fromkeys(map(str, addresses))
        return [CoordinatorEntry(address, self._role(address)) for address in distinct]

    def _role(self, address: str) -> str:
        core = self.core()
        if address == core.get("primary"):
            return "primary"
        return "replica" if address in core.get("replicas", []) else "member"

    def _entries(self, name: str) -> list[dict[str, Any]]:
        entries = self.fields.get(name)
        if not isinstance(entries, list):
            return []
        return [entry for entry in entries if isinstance(entry, dict)]
