"""Commands of the lease owner, applied by every replica (`state_machine`)."""

from __future__ import annotations

from dataclasses import dataclass

from coveport.serving.duties.state import FleetOrder, LeaseOwner, UsageReport


@dataclass(frozen=True, slots=True)
class AcquireDuties:
    """Acquire the lease with the next fencing token; refused unless `previous_token` is the current token."""

    owner: LeaseOwner
    previous_token: int


@dataclass(frozen=True, slots=True)
class FixUsageReports:
    """Make the usage counts of windows final, and drop reports that the platform has accepted.

    Refused under any but the current fencing token. A window whose counts are already final keeps them.
    """

    fencing_token: int
    reports: tuple[UsageReport, ...]  # sorted by window
    accepted_windows: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class RecordFleetOrders:
    """Record orders before they are first sent; refused under any but the current fencing token."""

    fencing_token: int
    orders: tuple[FleetOrder, ...]


SingletonCommand = AcquireDuties | FixUsageReports | RecordFleetOrders
