"""The settings of a process, as the other packages use them; `reader` reads them from a file.

docs/operators/start.md describes each setting under its name in the file; `wire.settings` maps field names to
those names.
"""

from __future__ import annotations

from dataclasses import dataclass

from coveport.net.address import Address
from coveport.serving.duties.kinds import SingletonTaskKind
from coveport.serving.resource_budget import Capacity, capacity_of


@dataclass(frozen=True, slots=True)
class FaultTolerance:
    """The number of simultaneous failures, by failure domain, that the system must tolerate."""

    machines: int = 0
    zones: int = 0
    regions: int = 0


@dataclass(frozen=True, slots=True)
class ProcessLimits:
    """Limits on the machine's resources that this process may use."""

    memory_mb: float = 0.0  # 0: not limited
    descriptors: int = 1024  # open files and sockets together
    link_mbps: float = 1000.0  # network bandwidth, megabits a second
    disk_mb: float = 0.0

    @property
    def capacity(self) -> Capacity:
        """What these limits leave for the connections that the process accepts."""
        return capacity_of(self.memory_mb, self.descriptors)


@dataclass(frozen=True, slots=True)
class Bounds:
    """Bounds of the operators' rules, in the unit of each name's suffix.

    A process uses `grace_s`, `ttl_max_s`, `retry_*`, `warm_up_*`, `lease_ms`, `usage_window_s` and
    `usage_delay_s`. The simulation checks the system's behaviour against the other bounds.
    """

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
    is_fenced: bool = False  # whether the platform rejects calls with a lower fencing token than it has seen
    lease_ms: float = 3000.0
    thaw_slack_ms: float = 300.0
    usage_window_s: float = 5.0
    usage_error: float = 0.05  # bound on the error of a usage count, as a fraction of the true count
    usage_delay_s: float = 10.0
    revoked_closed: bool = False
    revoke_ms: float = 5000.0


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """The platform's API, which the coordinator that holds the duties calls."""

    address: Address
    duties: frozenset[SingletonTaskKind] = frozenset()
    calls_per_s: float = 1.0  # rate limit for all coordinators together


@dataclass(frozen=True, slots=True)
class BootSettings:
    """All settings of a process; most of them are fixed until its next start.

    The log event `settings_changed` contains names of these fields.
    """

    name: str
    ip: str
    zone: str
    region: str
    inner_ports: tuple[int, int]  # first and last port that this system's processes use among each other
    seeds: tuple[Address, ...]  # control addresses of coordinators
    first_boot: bool
    loss_counted: bool
    data_dir: str | None  # directory of the stored state; None: no disk
    serves: tuple[str, ...]
    heartbeat_ms: float  # interval between the heartbeats of a node
    regions: dict[str, str]  # region of each zone, for all zones
    clients: Address | None = None  # listener for clients (proxy)
    readiness: Address | None = None  # listener for the platform's readiness checks (proxy)
    control: Address | None = None  # listener for operators and nodes (coordinator)
    lookups: Address | None = None  # listener for clients that look up proxies (coordinator)
    limits: ProcessLimits = ProcessLimits()
    tolerated: FaultTolerance = FaultTolerance()
    bounds: Bounds = Bounds()
    platform: PlatformSettings | None = None  # None: the coordinators have no duties

    @property
    def inner(self) -> Address:
        """The address at which the other processes of this system reach this process."""
        return self.ip, self.inner_ports[0]
