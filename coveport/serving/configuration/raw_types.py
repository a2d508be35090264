"""Objects of a configuration as received: fields, types and defaults. Values are not yet validated.

Fields for whole numbers are floats where JSON may have 2.0 for 2 (`WHOLE_NUMBERS`).
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, Final

from coveport.serving.wire import configuration as wire


@dataclass(slots=True)
class RawRoute:
    """A route."""

    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float
    latency_target_ms: float = 0.0
    priority: float = 0
    service: str | None = None
    services: list[Any] | None = None
    max_attempts: float = 1
    session_affinity: bool = False
    resumable: bool = False
    inter_token_target_ms: float = 0.0
    home_regions: list[str] | None = None
    is_public: bool = False


@dataclass(slots=True)
class RawWeightedService:
    """A service of a route, with its weight."""

    service: str
    weight: float


@dataclass(slots=True)
class RawService:
    """A service."""

    name: str
    health_path: str = "/health"
    max_connections: float = 0
    warm_up_s: float = 0.0
    warm_up_rate: float = 0.0
    engine: dict[str, Any] | None = None
    scaling: dict[str, Any] | None = None


@dataclass(slots=True)
class RawScaling:
    """Bounds for the number of a service's nodes in each zone."""

    min_nodes: float
    max_nodes: float
    boot_s: float = 0.0


@dataclass(slots=True)
class RawEngine:
    """The capacity of a service's nodes."""

    slots: float = 0
    kv_cache_tokens: float = 0
    tokens_per_event: float = 1


@dataclass(slots=True)
class RawClientLimits:
    """Limits on clients."""

    header_bytes: float = 16 * 1024
    body_bytes: float = 4 * 1024 * 1024
    header_read_ms: float = 3000.0
    idle_ms: float = 15000.0


@dataclass(slots=True)
class RawTenant:
    """A tenant."""

    name: str
    api_keys: list[str] = field(default_factory=list)
    priority: float | None = None
    home_regions: list[str] | None = None


@dataclass(slots=True)
class RawConfiguration:
    """A configuration whose items are not yet checked."""

    edition: int
    routes: list[Any]
    services: list[Any]
    limits: dict[str, Any] = field(default_factory=dict)
    tenants: list[Any] | None = None


FIELD_NAMES: Final[dict[type, dict[str, str]]] = {
    RawRoute: wire.ROUTE,
    RawWeightedService: wire.WEIGHTED_SERVICE,
    RawService: wire.SERVICE,
    RawEngine: wire.ENGINE,
    RawScaling: wire.SCALING,
    RawTenant: wire.TENANT,
    RawClientLimits: wire.CLIENT_LIMITS,
    RawConfiguration: wire.CONFIGURATION,
}
"""The external name of each field, by class."""

WHOLE_NUMBERS: Final = frozenset({"edition", "priority", "max_attempts", "min_nodes", "max_nodes"})
"""Fields whose numbers must be whole; 2.0 is the same as 2."""
