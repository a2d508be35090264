"""Decides which usage windows are fixed, and which reports are sent when. Pure.

A window is fixed once, by a command that a majority has synced, before any of it is sent: a holder that
follows sends the same bytes. It is worth waiting for counts, up to a point: for proxies that have a live
lease until the report would become late, for silent ones a part of that, since most of them are gone.
"""

from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import dataclass
from typing import Final

from coveport.serving.duties.commands import FixUsageReports, SingletonCommand
from coveport.serving.duties.duty import CallOutcome, PlatformCall
from coveport.serving.duties.retry_pause import RetryBackoff
from coveport.serving.duties.state import NO_WINDOW, SingletonState, UsageReport
from coveport.serving.duties.telemetry_table import TelemetryTable
from coveport.serving.duties.usage_ledger import MAX_WINDOWS, ReportSource, UsageLog
from coveport.serving.model.telemetry import usage_window_at
from coveport.serving.model.true_clock import TrueClock

GRACE_S: Final = 0.6  # after a window's end: reports that are on their way through another coordinator
REPORT_MARGIN_S: Final = 3.0  # for the commit and a slow call, before the report is late; not measured
UNRESPONSIVE_WAIT_RATIO: Final = 0.5  # of the delay that a report may have: so long for silent proxies
TAKEOVER_GRACE_S: Final = 0.5  # in which proxies and peers report to a coordinator that has just started
MAX_REPORTS_PER_COMMAND: Final = 12  # bounds the command after a pause


@dataclass(frozen=True, slots=True)
class UsageTimings:
    """The platform's demands."""

    window_s: float
    delay_s: float  # a report is late so long after the end of its window


@dataclass(frozen=True, slots=True)
class UsageSources:
    """What the schedule reads of proxies."""

    usage_log: UsageLog
    table: TelemetryTable
    live_proxies: Callable[[float], Collection[ReportSource]]  # at a monotonic time


class UsageSchedule:
    """The duty of reporting usage (`duty.Duty`)."""

    def __init__(
        self,
        timings: UsageTimings,
        sources: UsageSources,
        clock: TrueClock,
        render: Callable[[UsageReport], PlatformCall],
        on_rejected: Callable[[int], None],
    ) -> None:
        """`on_rejected` is called with the window of a report that the platform will never take."""
        self._timings = timings
        self._sources = sources
        self._clock = clock
        self._render = render
        self._on_rejected = on_rejected
        self._pause = RetryBackoff()
        self._taken_over_at_s = 0.0
        self._done: set[int] = set()  # unsent in the state, but accepted or rejected since
        self._called_window = NO_WINDOW

    def take_over(self, state: SingletonState, now_s: float) -> None:
        """Begin to hold the duty."""
        self._taken_over_at_s = now_s
        self._pause.reset()

    def next_command(self, state: SingletonState, fence: int, now_s: float) -> SingletonCommand | None:
        """Return the command that fixes the windows whose counts are complete; None: there are none."""
        reports = tuple(
            UsageReport(window, self._sources.usage_log.counts(window))
            for window in self._windows_to_fix(state, now_s)
        )
        if not reports:
            return None
        return FixUsageReports(fence, reports, self._done_windows(state))

    def next_call(self, state: SingletonState, now_s: float) -> PlatformCall | None:
        """Return the call for the oldest report that is not sent."""
        if self._pause.lasts(now_s):
            return None
        for report in state.unsent_reports:
            if report.window not in self._done:
                self._called_window = report.window
                return self._render(report)
        return None

    def record_outcome(self, call: PlatformCall, outcome: CallOutcome, now_s: float) -> None:
        """Take note of how the last call ended."""
        match outcome:
            case CallOutcome.ACCEPTED:
                self._done.add(self._called_window)
                self._pause.reset()
            case CallOutcome.REJECTED:
                self._done.add(self._called_window)
                self._on_rejected(self._called_window)
            case CallOutcome.THROTTLED | CallOutcome.UNKNOWN:
                self._pause.record_failure(now_s)
            case CallOutcome.FENCED:
                pass  # the same report goes under the next fence

    def _done_windows(self, state: SingletonState) -> tuple[int, ...]:
        """Return the windows that the state can forget; those that it has forgotten are forgotten here."""
        self._done.intersection_update(report.window for report in state.unsent_reports)
        return tuple(sorted(self._done))

    def _windows_to_fix(self, state: SingletonState, now_s: float) -> list[int]:
        first = self._first_window(state, now_s)
        if first is None or now_s - self._taken_over_at_s < TAKEOVER_GRACE_S:
            return []
        windows = []
        for window in range(first, first + MAX_REPORTS_PER_COMMAND):
            if not self._is_complete(window, now_s):
                break
            windows.append(window)
        return windows

    def _first_window(self, state: SingletonState, now_s: float) -> int | None:
        """Return the first window that is not fixed.

        While none is, every holder begins with the first count: one before it may have held without fixing.
        """
        if state.last_fixed_window != NO_WINDOW:
            return max(state.last_fixed_window + 1, self._window_at(now_s) - MAX_WINDOWS)
        return self._sources.usage_log.first_window()

    def _is_complete(self, window: int, now_s: float) -> bool:
        """Return whether a window has ended and nothing more of it is worth waiting for."""
        timings = self._timings
        after_end_s = self._clock.unix_s(now_s) - (window + 1) * timings.window_s
        if after_end_s < GRACE_S:
            return False
        margin_s = min(REPORT_MARGIN_S, timings.delay_s / 2)
        return after_end_s >= timings.delay_s - margin_s or self._has_all_counts(window, after_end_s, now_s)

    def _has_all_counts(self, window: int, after_end_s: float, now_s: float) -> bool:
        table = self._sources.table
        live = self._sources.live_proxies(now_s)
        if not table.has_final_counts(window, live):
            return False
        waits_for_silent = after_end_s < self._timings.delay_s * UNRESPONSIVE_WAIT_RATIO
        return not (waits_for_silent and table.has_unresponsive_proxies(window, live))

    def _window_at(self, now_s: float) -> int:
        return usage_window_at(self._clock.unix_s(now_s), self._timings.window_s)
