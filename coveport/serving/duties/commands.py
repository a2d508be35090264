"""Commands of the lease owner, applied by every replica (`state_machine`)."""

from __future__ import annotations

from dataclasses import dataclass

from coveport.serving.duties.state import FleetOrder, LeaseOwner, UsageReport


@dataclass(frozen=True, slots=True)
class AcquireDuties:
    """Acquire the lease under the next fencing token; refused unless the current one is `previous_token`."""

    owner: LeaseOwner
    previous_token: int


@dataclass(frozen=True, slots=True)
class FixUsageReports:
    """Fix the counts of windows, and drop reports that the platform has accepted.

    Refused under any but the current fencing token. A window that is already fixed keeps its counts.
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
