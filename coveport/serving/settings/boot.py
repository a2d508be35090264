"""The boot settings as the system uses them; `reader` reads and checks them."""

from __future__ import annotations

from dataclasses import dataclass

from coveport.net.address import Address


@dataclass(frozen=True, slots=True)
class FaultTolerance:
    """How much may be lost at one time."""

    machines: int = 0
    zones: int = 0
    regions: int = 0


@dataclass(frozen=True, slots=True)
class ProcessLimits:
    """What the machine gives this process."""

    memory_mb: float = 0.0
    descriptors: int = 1024
    link_mbps: float = 1000.0
    disk_mb: float = 0.0


@dataclass(frozen=True, slots=True)
class Bounds:
    """Figures of the rules; milliseconds and seconds as the names say."""

    seed_lag_s: float = 3.0
    address_reuse_s: float = 2.0
    in_touch_ms: float = 4000.0
    acknowledge_ms: float = 5000.0
    catch_up_s: float = 4.0
    drain_ms: float = 2500.0
    grace_s: float = 8.0
    loss_slack_ms: float = 200.0
    config_apply_ms: float = 2500.0
    revert_slack_ms: float = 250.0
    stretch_ms: float = 6000.0
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_slack: float = 0.0
    warm_up_overshoot: float = 1.0
    warm_up_slack: float = 0.0
    evacuate_ms: float = 5000.0
    recover_s: float = 12.0
    pass_ms: float = 250.0
    ttl_max_s: float = 5.0


@dataclass(frozen=True, slots=True)
class BootSettings:
    """Everything that a process is told at its start."""

    name: str
    ip: str
    zone: str
    region: str
    inner_ports: tuple[int, int]  # first and last, for our own processes
    seeds: tuple[Address, ...]  # control addresses of coordinators
    first_boot: bool
    loss_counted: bool
    data_dir: str | None  # None: no disk
    serves: tuple[str, ...]
    heartbeat_ms: float  # how often nodes report
    regions: dict[str, str]  # region by zone, of all zones
    clients: Address | None = None  # where clients call (proxy)
    readiness: Address | None = None  # where the platform asks (proxy)
    control: Address | None = None  # where operators and nodes call (coordinator)
    lookups: Address | None = None  # where clients ask for proxies (coordinator)
    limits: ProcessLimits = ProcessLimits()
    tolerated: FaultTolerance = FaultTolerance()
    bounds: Bounds = Bounds()

    @property
    def inner(self) -> Address:
        """Where our own processes reach this one."""
        return self.ip, self.inner_ports[0]
