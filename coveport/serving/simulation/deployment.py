"""Parameters of a simulated or small local deployment: zones, machines, services, traffic. No I/O."""

from __future__ import annotations

from dataclasses import dataclass, field

from coveport.net.address import Address
from coveport.serving.model.configuration import (
    Configuration,
    Engine,
    Route,
    RouteKind,
    Scaling,
    Service,
    Tenant,
    WeightedService,
)
from coveport.serving.settings.boot import BootSettings, Bounds, FaultTolerance, PlatformSettings
from coveport.serving.simulation.client import RequestKind
from coveport.serving.simulation.engine import EngineFigures
from coveport.serving.simulation.figures import Objective
from coveport.serving.simulation.model_server import NodeFigures
from coveport.serving.simulation.zones import Delays, Zone
from coveport.serving.wire.names import SERVES_CLIENTS, SERVES_CONTROL, SERVES_LOOKUPS

HOST = "points.example"
REVIEW = RequestKind(
    "review", HOST, "/review/", True, 5.0, 0.8, 0.4, ((4, 2520), (64, 3780)), 2890, 50, 6000
)  # fmt: skip
OFFER = RequestKind(
    "offer", HOST, "/offer/", False, 15.0, 1.0, 0.4, ((40, 119), (147, 79)), 628, 290, 1700
)  # fmt: skip
BOUNDS = Bounds(retry_slack=58.0, warm_up_overshoot=1.5, warm_up_slack=5.0)
OBJECTIVES = {
    kind.name: Objective(kind.objective_s, kind.inter_token_objective_s) for kind in (REVIEW, OFFER)
}


@dataclass(frozen=True, slots=True)
class Ports:
    """The ports, which are the same on all machines."""

    clients: int = 8263
    readiness: int = 8268
    control: int = 8262
    lookups: int = 8264
    inner: int = 7300
    inner_last: int = 7315
    node: int = 8080


@dataclass(frozen=True, slots=True)
class Deployment:
    """The machines and the traffic of a deployment."""

    zones: tuple[Zone, ...] = (
        Zone("barakaldo", "bizkaia"),
        Zone("gijon", "asturias"),
        Zone("camargo", "cantabria"),
    )
    proxies: tuple[int, ...] = (1, 1, 1)  # number of machines by zone, as for nodes and clients
    nodes: tuple[int, ...] = (2, 2, 1)
    clients: tuple[int, ...] = (3, 3, 3)
    rates: tuple[tuple[RequestKind, float], ...] = (
        (REVIEW, 3.0),
        (OFFER, 6.0),
    )  # requests per second of all clients
    service: str = "norte-lm"
    homes: tuple[tuple[str, tuple[str, ...]], ...] = (("offer", ("bizkaia", "asturias")),)
    tenants: tuple[Tenant, ...] | None = None  # None: requests need no key
    engine: EngineFigures = field(default_factory=EngineFigures)
    delays: Delays = field(default_factory=Delays)
    bounds: Bounds = field(default_factory=lambda: BOUNDS)
    tolerated: FaultTolerance = field(default_factory=lambda: FaultTolerance(1, 1, 1))
    heartbeat_ms: float = 1200.0
    warm_up_s: float = 3.0
    warm_up_rate: float = 9.8
    ports: Ports = field(default_factory=Ports)
    platform: PlatformSettings | None = None
    scaling: Scaling | None = None
    clients_reuse_open_connections: bool = False  # even to proxies that lookups no longer return
    lead_s: float = 8.0  # from the start of the machines to the start of the traffic

    def configuration(self, edition: int, extra: tuple[Route, ...] = ()) -> Configuration:
        """Return the configuration that the traffic needs, with `extra` routes."""
        routes = tuple(self.route(kind) for kind, _ in self.rates)
        engine = Engine(self.engine.slots, self.engine.kv_cache_tokens, self.engine.tokens_per_event)
        service = Service(
            self.service, "/health", 370, self.warm_up_s, self.warm_up_rate, engine, self.scaling
        )
        return Configuration(edition, (*routes, *extra), (service,), tenants=self.tenants)

    def claimed_tenant(self, client: int) -> str:
        """Return the tenant name that a client sends: every third client sends that of another tenant."""
        if not self.tenants or client % 3:
            return ""
        return self.tenants[(client + 1) % len(self.tenants)].name

    def api_key(self, client: int) -> str:
        """Return the API key of a client: the first key of its tenant, or "" without tenants."""
        if not self.tenants:
            return ""
        return next(iter(self.tenants[client % len(self.tenants)].api_keys), "")

    def route(self, kind: RequestKind, timeout_ms: float | None = None) -> Route:
        """Return the route of a kind of request."""
        homes = dict(self.homes).get(kind.name, ())
        return Route(
            name=f"r-{kind.name}",
            host=kind.host,
            path_prefix=kind.path_prefix,
            kind=RouteKind.STREAMING,
            timeout_ms=kind.deadline_s * 1000 if timeout_ms is None else timeout_ms,
            latency_target_ms=kind.objective_s * 1000,
            priority=[listed for listed, _ in self.rates].index(kind) if kind.name in OBJECTIVES else 2,
            services=(WeightedService(self.service, 1.0),),
            max_attempts=2 if kind.idempotent else 1,
            session_affinity=True,
            resumable=kind.idempotent,
            inter_token_target_ms=kind.inter_token_objective_s * 1000,
            home_regions=frozenset(homes),
        )

    def added_route(self, name: str, path_prefix: str) -> Route:
        """Return a route to `service` that an operator adds during a day; public if there are tenants."""
        return Route(
            name=f"r-{name}",
            host=HOST,
            path_prefix=path_prefix,
            kind=RouteKind.STREAMING,
            timeout_ms=5000.0,
            latency_target_ms=1000.0,
            priority=2,
            services=(WeightedService(self.service, 1.0),),
            max_attempts=2,
            session_affinity=True,
            resumable=True,
            inter_token_target_ms=400.0,
            is_public=self.tenants is not None,
        )


@dataclass(frozen=True, slots=True)
class MachineSpot:
    """A machine's name, address and zone."""

    name: str
    ip: str
    zone: Zone


def coordinator_settings(
    deployment: Deployment, spot: MachineSpot, seeds: tuple[Address, ...], data_dir: str, first_boot: bool
) -> BootSettings:
    """Return the settings that a coordinator is started with."""
    ports = deployment.ports
    return _settings(
        deployment, spot, seeds, first_boot,
        serves=(SERVES_CONTROL, SERVES_LOOKUPS), data_dir=data_dir,
        control=(spot.ip, ports.control), lookups=(spot.ip, ports.lookups),
    )  # fmt: skip


def proxy_settings(
    deployment: Deployment, spot: MachineSpot, seeds: tuple[Address, ...], first_boot: bool
) -> BootSettings:
    """Return the settings that a proxy is started with."""
    ports = deployment.ports
    return _settings(
        deployment, spot, seeds, first_boot, serves=(SERVES_CLIENTS,), data_dir=None,
        clients=(spot.ip, ports.clients), readiness=(spot.ip, ports.readiness),
    )  # fmt: skip


def node_figures(deployment: Deployment, zone: Zone, ip: str, service: str) -> NodeFigures:
    """Return the figures that a node of a service at an address is started with."""
    bounds = deployment.bounds
    return NodeFigures(
        service=service,
        address=(ip, deployment.ports.node),
        zone=zone.name,
        region=zone.region,
        engine=deployment.engine,
        warm_up_rate=deployment.warm_up_rate,
        warm_up_crash_rate=deployment.warm_up_rate * bounds.warm_up_overshoot + bounds.warm_up_slack,
    )


def _settings(
    deployment: Deployment, spot: MachineSpot, seeds: tuple[Address, ...], first_boot: bool, *,
    serves: tuple[str, ...], data_dir: str | None, clients: Address | None = None,
    readiness: Address | None = None, control: Address | None = None, lookups: Address | None = None,
) -> BootSettings:  # fmt: skip
    return BootSettings(
        name=spot.name,
        ip=spot.ip,
        zone=spot.zone.name,
        region=spot.zone.region,
        inner_ports=(deployment.ports.inner, deployment.ports.inner_last),
        seeds=seeds,
        first_boot=first_boot,
        loss_counted=SERVES_CONTROL in serves,
        data_dir=data_dir,
        serves=serves,
        heartbeat_ms=deployment.heartbeat_ms,
        regions={zone.name: zone.region for zone in deployment.zones},
        clients=clients,
        readiness=readiness,
        control=control,
        lookups=lookups,
        tolerated=deployment.tolerated,
        bounds=deployment.bounds,
        platform=deployment.platform,
    )
