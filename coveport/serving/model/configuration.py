"""The operator's configuration as the system uses it. Names that end in `_ms` are of milliseconds."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class RouteKind(Enum):
    """What may be done twice with a route's requests."""

    SAFE = "safe"  # may run more than once
    UNSAFE = "unsafe"  # runs at most once per try
    STREAMING = "streaming"  # answers with events; at most once unless it may be resumed


@dataclass(frozen=True, slots=True)
class WeightedService:
    """One of the services that a route divides its requests between."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Where requests for a host and a path prefix go."""

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout_ms: float  # the longest time the operator wants a request held
    latency_target_ms: float = 0.0  # within which an answer earns its full worth
    priority: int = 0  # 0 is served first
    services: tuple[WeightedService, ...] = ()
    max_attempts: int = 1  # nodes that one try may be sent to
    session_affinity: bool = False
    resumable: bool = False
    inter_token_target_ms: float = 0.0  # the longest pause between events that is still in time
    home_regions: frozenset[str] = frozenset()  # empty: anywhere

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RouteKind.SAFE or (self.kind is RouteKind.STREAMING and self.resumable)


@dataclass(frozen=True, slots=True)
class Engine:
    """What a model server can hold and run."""

    slots: int = 0  # requests that run at once
    kv_cache_tokens: int = 0  # shared by running requests and cached prompt parts
    tokens_per_event: int = 1


@dataclass(frozen=True, slots=True)
class Service:
    """A group of nodes that serve the same."""

    name: str
    health_path: str = "/health"
    max_connections: int = 0  # of one node, from all callers together; 0: not told
    warm_up_s: float = 0.0
    warm_up_rate: float = 0.0  # requests a second that a cold node bears; 0: not bounded
    engine: Engine | None = None


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """What a client may send, and how long it may take."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    header_read_ms: float = 3000.0
    idle_ms: float = 15000.0


@dataclass(frozen=True, slots=True)
class Configuration:
    """One whole configuration."""

    edition: int
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    limits: ClientLimits = field(default_factory=ClientLimits)
