"""The operator's configuration as the system uses it; its JSON names are in `wire/configuration.py`."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class RouteKind(Enum):
    """Whether a route's requests may be retried once they may have run."""

    SAFE = "safe"  # requests are idempotent: they may run more than once
    UNSAFE = "unsafe"  # a request runs at most once per attempt of the client
    STREAMING = "streaming"  # responses are events; a request runs at most once unless the route is resumable


@dataclass(frozen=True, slots=True)
class WeightedService:
    """One of the services among which a route distributes its requests."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """The services and rules for requests with a host and a path prefix."""

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout_ms: float  # deadline of a request, unless its client gives an earlier one
    latency_target_ms: float = 0.0  # a response within this time has its full value; 0: no target
    priority: int = 0  # requests of priority 0 are served first
    services: tuple[WeightedService, ...] = ()
    max_attempts: int = 1  # most nodes that a request may be sent to, one after another
    session_affinity: bool = False  # this field is accepted in a configuration, but ignored
    resumable: bool = False  # whether a stream may continue on another node after the last event received
    inter_token_target_ms: float = 0.0  # longest gap between two events that is not late; 0: no target
    home_regions: frozenset[str] = frozenset()  # regions whose nodes may serve; empty: any
    is_public: bool = False  # whether requests need no API key

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RouteKind.SAFE or (self.kind is RouteKind.STREAMING and self.resumable)


@dataclass(frozen=True, slots=True)
class Engine:
    """The capacity of a model server."""

    slots: int = 0  # requests that run concurrently
    kv_cache_tokens: int = 0  # capacity for running requests and cached prefixes together
    tokens_per_event: int = 1


@dataclass(frozen=True, slots=True)
class Scaling:
    """Limits on the number of nodes of a service in each zone that is ordered from the platform."""

    min_nodes: int
    max_nodes: int
    boot_s: float = 0.0  # time from an order until the new nodes serve


@dataclass(frozen=True, slots=True)
class Service:
    """A group of nodes that serve the same models."""

    name: str
    health_path: str = "/health"
    max_connections: int = 0  # connections to one node from all proxies together; 0: no limit
    warm_up_s: float = 0.0
    warm_up_rate: float = 0.0  # requests per second to a node that is warming up; 0: no limit
    engine: Engine | None = None
    scaling: Scaling | None = None  # None: the service is not scaled


@dataclass(frozen=True, slots=True)
class Tenant:
    """A customer whose requests carry one of its API keys."""

    name: str
    api_keys: tuple[str, ...] = field(default=(), repr=False)
    priority: int | None = None  # replaces the route's priority; None: the route's priority applies
    # A further restriction besides the route's home regions; empty: none.
    home_regions: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """Limits on the size and the duration of client requests."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    header_read_ms: float = 3000.0
    idle_ms: float = 15000.0


@dataclass(frozen=True, slots=True)
class Configuration:
    """A complete configuration."""

    edition: int
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    limits: ClientLimits = field(default_factory=ClientLimits)
    tenants: tuple[Tenant, ...] | None = None  # None: requests need no API key
