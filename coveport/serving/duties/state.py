"""The replicated state of the singleton tasks: lease owner, fencing token, unsent reports and orders."""

from __future__ import annotations

from dataclasses import dataclass

from coveport.serving.model.telemetry import TenantCount

NO_FENCING_TOKEN = 0  # token before the first lease owner
NO_WINDOW = -1


@dataclass(frozen=True, slots=True)
class LeaseOwner:
    """One run of one coordinator: after a restart or a replacement, a machine is another owner."""

    name: str  # name of the machine, as sent to the platform
    incarnation: str  # random, drawn at each start of the process


@dataclass(frozen=True, slots=True)
class UsageReport:
    """The final counts of one window. They are final before they are first sent: all owners send the same."""

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
    """The replicated state of the singleton tasks.

    As with the configuration, an acknowledged change is never lost, forked or reverted.
    """

    owner: LeaseOwner | None = None
    fencing_token: int = NO_FENCING_TOKEN  # rises with each acquisition of the lease
    last_fixed_window: int = NO_WINDOW  # the usage counts up to this window are final
    unsent_reports: tuple[UsageReport, ...] = ()  # final, but not known to be accepted; oldest first
    fleet_orders: tuple[FleetOrder, ...] = ()  # the newest order for each service and zone
