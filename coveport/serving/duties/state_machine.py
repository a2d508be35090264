"""Applies the commands of the lease owner to the replicated state; deterministic, so that replicas agree."""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum
from itertools import pairwise
from typing import Final

from coveport.serving.duties.commands import (
    AcquireDuties,
    FixUsageReports,
    RecordFleetOrders,
    SingletonCommand,
)
from coveport.serving.duties.state import SingletonState, UsageReport

# Maximum of tenant counts in all unsent reports, about 1 MB of state. Further windows are not made final:
# their counts stay at the proxies and coordinators, and are submitted again once the platform has accepted
# older reports.
MAX_UNSENT_COUNTS: Final = 50_000


class RefusalReason(Enum):
    """Why a command was refused."""

    FENCE_CHANGED = "another holder has acquired the duties meanwhile"
    WINDOWS_NOT_RISING = "the windows of the reports do not rise"
    NEGATIVE_WINDOW = "a window is below 0"


@dataclass(frozen=True, slots=True)
class CommandRefusal:
    """The answer to the caller of a refused command."""

    reason: RefusalReason
    fencing_token: int  # the current token


def apply_singleton_command(
    state: SingletonState, command: SingletonCommand
) -> SingletonState | CommandRefusal:
    """Return the state after a command, or why the command is refused."""
    match command:
        case AcquireDuties(owner, previous_token):
            if previous_token != state.fencing_token:
                return CommandRefusal(RefusalReason.FENCE_CHANGED, state.fencing_token)
            return replace(state, owner=owner, fencing_token=state.fencing_token + 1)
        case FixUsageReports():
            return _fix_usage_reports(state, command)
        case RecordFleetOrders():
            return _record_fleet_orders(state, command)


def _fix_usage_reports(state: SingletonState, command: FixUsageReports) -> SingletonState | CommandRefusal:
    reason = _find_fault(state, command)
    if reason is not None:
        return CommandRefusal(reason, state.fencing_token)
    accepted = set(command.accepted_windows)
    unsent = tuple(report for report in state.unsent_reports if report.window not in accepted)
    candidates = tuple(report for report in command.reports if report.window > state.last_fixed_window)
    fixed = _take_fitting(unsent, candidates)
    last_fixed_window = fixed[-1].window if fixed else state.last_fixed_window
    return replace(state, last_fixed_window=last_fixed_window, unsent_reports=(*unsent, *fixed))


def _find_fault(state: SingletonState, command: FixUsageReports) -> RefusalReason | None:
    windows = [report.window for report in command.reports]
    if command.fencing_token != state.fencing_token:
        return RefusalReason.FENCE_CHANGED
    if any(window < 0 for window in windows):
        return RefusalReason.NEGATIVE_WINDOW
    if any(later <= earlier for earlier, later in pairwise(windows)):
        return RefusalReason.WINDOWS_NOT_RISING
    return None


def _take_fitting(
    unsent: tuple[UsageReport, ...], candidates: tuple[UsageReport, ...]
) -> tuple[UsageReport, ...]:
    """Return the first candidates that fit into `MAX_UNSENT_COUNTS` in addition to the unsent reports."""
    used_count = sum(_size(report) for report in unsent)
    for index, report in enumerate(candidates):
        used_count += _size(report)
        if used_count > MAX_UNSENT_COUNTS and (unsent or index):  # a single report always fits
            return candidates[:index]
    return candidates


def _size(report: UsageReport) -> int:
    return max(1, len(report.counts))


def _record_fleet_orders(
    state: SingletonState, command: RecordFleetOrders
) -> SingletonState | CommandRefusal:
    if command.fencing_token != state.fencing_token:
        return CommandRefusal(RefusalReason.FENCE_CHANGED, state.fencing_token)
    orders = {(order.service, order.zone): order for order in (*state.fleet_orders, *command.orders)}
    return replace(state, fleet_orders=tuple(orders[group] for group in sorted(orders)))
