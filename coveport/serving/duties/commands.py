"""Commands of the duty holder, applied by every replica (`state_machine`)."""

from __future__ import annotations

from dataclasses import dataclass

from coveport.serving.duties.state import FleetOrder, LeaseOwner, UsageReport


@dataclass(frozen=True, slots=True)
class AcquireDuties:
    """Become the holder, under the next fence; refused where the fence is no longer `previous_token`."""

    owner: LeaseOwner
    previous_token: int


@dataclass(frozen=True, slots=True)
class FixUsageReports:
    """Fix the counts of windows, and forget reports that the platform has accepted.

    Refused under another fence. A window that is fixed already keeps its counts.
    """

    fencing_token: int
    reports: tuple[UsageReport, ...]  # by rising window
    accepted_windows: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class RecordFleetOrders:
    """Record orders before they are first sent. Refused under another fence."""

    fencing_token: int
    orders: tuple[FleetOrder, ...]


SingletonCommand = AcquireDuties | FixUsageReports | RecordFleetOrders
