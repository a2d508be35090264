"""The form of each part of a configuration as it arrives: fields, types, defaults."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, Final

from coveport.serving.wire import configuration as wire


@dataclass(slots=True)
class RouteForm:
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


@dataclass(slots=True)
class WeightedServiceForm:
    """A route's part of one service."""

    service: str
    weight: float


@dataclass(slots=True)
class ServiceForm:
    """A service."""

    name: str
    health_path: str = "/health"
    max_connections: float = 0
    warm_up_s: float = 0.0
    warm_up_rate: float = 0.0
    engine: dict[str, Any] | None = None


@dataclass(slots=True)
class EngineForm:
    """What a service's nodes can hold and run."""

    slots: float = 0
    kv_cache_tokens: float = 0
    tokens_per_event: float = 1


@dataclass(slots=True)
class ClientLimitsForm:
    """What a client may send."""

    header_bytes: float = 16 * 1024
    body_bytes: float = 4 * 1024 * 1024
    header_read_ms: float = 3000.0
    idle_ms: float = 15000.0


@dataclass(slots=True)
class ConfigurationForm:
    """A whole configuration, its items not yet looked at."""

    edition: int
    routes: list[Any]
    services: list[Any]
    limits: dict[str, Any] = field(default_factory=dict)


NAMES: Final[dict[type, dict[str, str]]] = {
    RouteForm: wire.ROUTE,
    WeightedServiceForm: wire.WEIGHTED_SERVICE,
    ServiceForm: wire.SERVICE,
    EngineForm: wire.ENGINE,
    ClientLimitsForm: wire.CLIENT_LIMITS,
    ConfigurationForm: wire.CONFIGURATION,
}
"""Of each form: the wire name of each field."""

WHOLE_NUMBERS: Final = frozenset({"edition", "priority", "max_attempts"})
"""Fields whose numbers have no fraction; 2.0 is as good as 2."""
