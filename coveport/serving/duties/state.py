"""The replicated state of the singleton tasks: lease owner, fencing token, unsent reports and orders."""

from __future__ import annotations

from dataclasses import dataclass

from coveport.serving.model.telemetry import TenantCount

NO_FENCING_TOKEN = 0  # before the first lease owner
NO_WINDOW = -1


@dataclass(frozen=True, slots=True)
class LeaseOwner:
    """One run of one coordinator: after a restart or a replacement, a machine is another owner."""

    name: str  # of the machine, as sent to the platform
    incarnation: str  # random, drawn at each start of the process


@dataclass(frozen=True, slots=True)
class UsageReport:
    """The counts of one window, fixed before they are first sent: all lease owners send the same."""

    window: int
    counts: tuple[TenantCount, ...]  # sorted by tenant name


@dataclass(frozen=True, slots=True)
class FleetOrder:
    """How many nodes of a service a zone should have, as last ordered from the platform."""

    service: str
    zone: str
    wanted: int


@dataclass(frozen=True, slots=True)
class SingletonState:
    """The state, acknowledged like the configuration: never lost, forked or reverted."""

    owner: LeaseOwner | None = None
    fencing_token: int = NO_FENCING_TOKEN  # rises with each acquisition of the lease
    last_fixed_window: int = NO_WINDOW  # counts of this window and all before it are fixed
    unsent_reports: tuple[UsageReport, ...] = ()  # fixed, but not known to be accepted; oldest first
    fleet_orders: tuple[FleetOrder, ...] = ()  # the newest for each service and zone
