"""Decides which usage windows become final, and which reports are sent when. Does no I/O.

The counts of a window become final once, by a command that a majority has synced, before the window's report
is sent; so the next lease owner sends the same bytes. Before the command, the schedule waits for missing
counts: for counts of proxies with a live lease until the report would be late, for counts of unresponsive
proxies a part of that time, since most unresponsive proxies have ended.
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

GRACE_S: Final = 0.6  # wait after a window's end for reports that another coordinator forwards
REPORT_MARGIN_S: Final = 3.0  # time for the commit and a slow call before the report is late
UNRESPONSIVE_WAIT_RATIO: Final = 0.5  # part of the allowed delay that is waited for unresponsive proxies
TAKEOVER_GRACE_S: Final = 0.5  # time for proxies and peers to report to a new lease owner
MAX_REPORTS_PER_COMMAND: Final = 12  # bounds the size of the commands after an outage


@dataclass(frozen=True, slots=True)
class UsageTimings:
    """The platform's settings for usage reports."""

    window_s: float
    delay_s: float  # a report is late this long after the end of its window


@dataclass(frozen=True, slots=True)
class UsageSources:
    """The sources of the counts, and of the state of the proxies."""

    usage_log: UsageLog
    table: TelemetryTable
    live_proxies: Callable[[float], Collection[ReportSource]]  # its argument: the monotonic time


class UsageSchedule:
    """The singleton task of reporting usage (`duty.SingletonTask`)."""

    def __init__(
        self,
        timings: UsageTimings,
        sources: UsageSources,
        clock: TrueClock,
        render: Callable[[UsageReport], PlatformCall],
        on_rejected: Callable[[int], None],
    ) -> None:
        """Create a schedule; `on_rejected`: called with the window of each report rejected for good."""
        self._timings = timings
        self._sources = sources
        self._clock = clock
        self._render = render
        self._on_rejected = on_rejected
        self._backoff = RetryBackoff()
        self._taken_over_at_s = 0.0
        self._done: set[int] = set()  # windows of reports in the state that were accepted or rejected
        self._called_window = NO_WINDOW

    def take_over(self, state: SingletonState, now_s: float) -> None:
        """Start as the lease owner."""
        self._taken_over_at_s = now_s
        self._backoff.reset()

    def next_command(
        self, state: SingletonState, fencing_token: int, now_s: float
    ) -> SingletonCommand | None:
        """Return the command that makes complete windows final; None where no window is complete."""
        reports = tuple(
            UsageReport(window, self._sources.usage_log.counts(window))
            for window in self._windows_to_fix(state, now_s)
        )
        if not reports:
            return None
        return FixUsageReports(fencing_token, reports, self._done_windows(state))

    def next_call(self, state: SingletonState, now_s: float) -> PlatformCall | None:
        """Return the call for the oldest report that was neither accepted nor rejected."""
        if self._backoff.is_active(now_s):
            return None
        for report in state.unsent_reports:
            if report.window not in self._done:
                self._called_window = report.window
                return self._render(report)
        return None

    def record_outcome(self, call: PlatformCall, outcome: CallOutcome, now_s: float) -> None:
        """Record the outcome of the newest call."""
        match outcome:
            case CallOutcome.ACCEPTED:
                self._done.add(self._called_window)
                self._backoff.reset()
            case CallOutcome.REJECTED:
                self._done.add(self._called_window)
                self._on_rejected(self._called_window)
            case CallOutcome.THROTTLED | CallOutcome.UNKNOWN:
                self._backoff.record_failure(now_s)
            case CallOutcome.FENCED:
                pass  # the same report is sent under the next fencing token

    def _done_windows(self, state: SingletonState) -> tuple[int, ...]:
        """Return the windows to drop from the state; forget windows that are no longer in the state."""
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
        """Return the first window that is not final.

        If no window is final, this is the first window with counts: earlier owners may have made none final.

        """
        if state.last_fixed_window != NO_WINDOW:
            return max(state.last_fixed_window + 1, self._window_at(now_s) - MAX_WINDOWS)
        return self._sources.usage_log.first_window()

    def _is_complete(self, window: int, now_s: float) -> bool:
        """Return whether a window has ended and the wait for its counts is over."""
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
        waits_for_unresponsive = after_end_s < self._timings.delay_s * UNRESPONSIVE_WAIT_RATIO
        return not (waits_for_unresponsive and table.has_unresponsive_proxies(window, live))

    def _window_at(self, now_s: float) -> int:
        return usage_window_at(self._clock.unix_s(now_s), self._timings.window_s)
