"""The operator's configuration, as the system uses it. `wire/configuration.py` has the names of its JSON."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class RouteKind(Enum):
    """Whether a route's requests may be retried once they may have run."""

    SAFE = "safe"  # idempotent: may run more than once
    UNSAFE = "unsafe"  # runs at most once per attempt of the client
    STREAMING = "streaming"  # answered with events; runs at most once unless the route is resumable


@dataclass(frozen=True, slots=True)
class WeightedService:
    """One of the services among which a route distributes its requests."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Where requests for a host and a path prefix go."""

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout_ms: float  # deadline of a request, unless its client gives an earlier one
    latency_target_ms: float = 0.0  # an answer within that earns its full value; 0: none
    priority: int = 0  # 0 is served first
    services: tuple[WeightedService, ...] = ()
    max_attempts: int = 1  # nodes that one request may be sent to, one after the other
    session_affinity: bool = False  # accepted in a configuration, but not acted on
    resumable: bool = False  # a stream may go on at another node, behind its last event
    inter_token_target_ms: float = 0.0  # the longest gap between two events that is still in time
    home_regions: frozenset[str] = frozenset()  # empty: anywhere
    is_public: bool = False  # needs no API key

    @property
    def is_idempotent(self) -> bool:
        """Return whether a request may run more than once."""
        return self.kind is RouteKind.SAFE or (self.kind is RouteKind.STREAMING and self.resumable)


@dataclass(frozen=True, slots=True)
class Engine:
    """The capacity of a model server."""

    slots: int = 0  # requests that run concurrently
    kv_cache_tokens: int = 0  # capacity, for running requests and cached prefixes together
    tokens_per_event: int = 1


@dataclass(frozen=True, slots=True)
class Scaling:
    """How many nodes of a service the platform may be asked for, in each zone."""

    min_nodes: int
    max_nodes: int
    boot_s: float = 0.0  # from an order until the new nodes serve


@dataclass(frozen=True, slots=True)
class Service:
    """A group of nodes that serve the same models."""

    name: str
    health_path: str = "/health"
    max_connections: int = 0  # of one node, from all proxies together; 0: no limit given
    warm_up_s: float = 0.0
    warm_up_rate: float = 0.0  # requests a second that a node takes while it warms up; 0: no limit
    engine: Engine | None = None
    scaling: Scaling | None = None  # None: the number of nodes can't be changed


@dataclass(frozen=True, slots=True)
class Tenant:
    """A customer whose requests carry one of its API keys."""

    name: str
    api_keys: tuple[str, ...] = field(default=(), repr=False)
    priority: int | None = None  # goes before that of the route; None: the route's
    home_regions: frozenset[str] = frozenset()  # they bind beside those of the route; empty: anywhere


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """Limits on what a client sends, and on the time that it takes."""

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
