"""The usage log: requests of tenants as counted by all proxies, by usage window. Does no I/O.

Counts are absolute and never decrease within an incarnation of a proxy. Reports are merged by the maximum, so
that reports give the same log in any order, also if a report is repeated or forwarded by another coordinator.
"""

from __future__ import annotations

from collections import Counter
from typing import Final, NamedTuple

from coveport.serving.duties.state import NO_WINDOW
from coveport.serving.model.telemetry import ProxyTelemetry, TenantCount, WindowCounts

MAX_WINDOWS: Final = 120  # windows that are not final: ten minutes without a majority, if windows last 5 s


class ReportSource(NamedTuple):
    """One run of one proxy."""

    proxy: str
    incarnation: int


class UsageLog:
    """Owns the counts of the windows that are not yet final."""

    def __init__(self) -> None:
        self._windows: dict[int, dict[ReportSource, dict[str, int]]] = {}  # the last key is the tenant
        self._last_dropped = NO_WINDOW

    def merge(self, report: ProxyTelemetry) -> tuple[WindowCounts, ...]:
        """Merge a report; return the report's counts that are higher than the known counts."""
        source = ReportSource(report.proxy, report.incarnation)
        increased = (self._merge_window(source, counts) for counts in report.windows)
        return tuple(counts for counts in increased if counts.counts)

    def _merge_window(self, source: ReportSource, reported: WindowCounts) -> WindowCounts:
        window = reported.window
        if window <= self._last_dropped:
            return WindowCounts(window, ())
        known = self._windows.get(window, {}).get(source, {})
        increased = tuple(count for count in reported.counts if count.requests > known.get(count.tenant, 0))
        if increased:
            counts = self._windows.setdefault(window, {}).setdefault(source, {})
            counts.update((count.tenant, count.requests) for count in increased)
            self._limit_windows()
        return WindowCounts(window, increased)

    def _limit_windows(self) -> None:
        if len(self._windows) > MAX_WINDOWS:
            self.drop_until(min(self._windows))

    def drop_until(self, window: int) -> None:
        """Drop a window and all earlier windows; later reports of these windows are ignored."""
        if window <= self._last_dropped:
            return
        self._last_dropped = window
        for dropped in [dropped for dropped in self._windows if dropped <= window]:
            del self._windows[dropped]

    def first_window(self) -> int | None:
        """Return the first window with counts; None where no window has counts."""
        return min(self._windows, default=None)

    def counts(self, window: int) -> tuple[TenantCount, ...]:
        """Return the sums of a window over all proxies, sorted by tenant name."""
        sums: Counter[str] = Counter()
        for counts in self._windows.get(window, {}).values():
            sums.update(counts)
        return tuple(TenantCount(tenant, sums[tenant]) for tenant in sorted(sums))

    def by_source(self) -> dict[ReportSource, tuple[WindowCounts, ...]]:
        """Return all counts by the run of a proxy that reported them."""
        windows_by_source: dict[ReportSource, list[WindowCounts]] = {}
        for window in sorted(self._windows):
            for source, counts in self._windows[window].items():
                tenants = tuple(TenantCount(tenant, counts[tenant]) for tenant in sorted(counts))
                windows_by_source.setdefault(source, []).append(WindowCounts(window, tenants))
        return {source: tuple(windows) for source, windows in windows_by_source.items()}
