"""The replicated state of the duties: who holds them, the fence, and what must outlive the holder."""

from __future__ import annotations

from dataclasses import dataclass

from coveport.serving.model.telemetry import TenantCount

NO_FENCING_TOKEN = 0  # before the first holder
NO_WINDOW = -1


@dataclass(frozen=True, slots=True)
class LeaseOwner:
    """One run of one coordinator: a machine that restarts, or is replaced, is another holder."""

    name: str  # of its machine, as the platform is told
    incarnation: str  # random, drawn at each start of the process


@dataclass(frozen=True, slots=True)
class UsageReport:
    """The counts of one window, fixed before they are first sent: every holder sends the same."""

    window: int
    counts: tuple[TenantCount, ...]  # by rising name of the tenant


@dataclass(frozen=True, slots=True)
class FleetOrder:
    """How many nodes of a service a zone should have, as last ordered from the platform."""

    service: str
    zone: str
    wanted: int


@dataclass(frozen=True, slots=True)
class SingletonState:
    """Acknowledged like the configuration: never lost, forked or set back."""

    owner: LeaseOwner | None = None
    fencing_token: int = NO_FENCING_TOKEN  # rises with each acquisition of the lease
    last_fixed_window: int = NO_WINDOW  # counts of this window and all before it are fixed
    unsent_reports: tuple[UsageReport, ...] = ()  # fixed, and not known to be accepted; oldest first
    fleet_orders: tuple[FleetOrder, ...] = ()  # the newest of each service and zone
