"""The requests of tenants that all proxies have counted, by usage window. Pure.

Counts are absolute and only rise within an incarnation of a proxy, so reports are merged by the maximum: in
any order, repeated or received by way of another coordinator, they lead to the same ledger.
"""

from __future__ import annotations

from collections import Counter
from typing import Final, NamedTuple

from coveport.serving.duties.state import NO_WINDOW
from coveport.serving.model.telemetry import ProxyTelemetry, TenantCount, WindowCounts

MAX_WINDOWS: Final = 120  # that are not fixed yet: ten minutes without a majority, at windows of 5 s


class ReportSource(NamedTuple):
    """One run of one proxy."""

    proxy: str
    incarnation: int


class UsageLog:
    """Owns the counts of the windows that are not fixed."""

    def __init__(self) -> None:
        self._windows: dict[int, dict[ReportSource, dict[str, int]]] = {}  # the last key is the tenant
        self._last_dropped = NO_WINDOW

    def merge(self, report: ProxyTelemetry) -> tuple[WindowCounts, ...]:
        """Take a report, and return those of its counts that are higher than what was known."""
        source = ReportSource(report.proxy, report.incarnation)
        risen = (self._merge_window(source, counts) for counts in report.windows)
        return tuple(counts for counts in risen if counts.counts)

    def _merge_window(self, source: ReportSource, reported: WindowCounts) -> WindowCounts:
        window = reported.window
        if window <= self._last_dropped:
            return WindowCounts(window, ())
        known = self._windows.get(window, {}).get(source, {})
        risen = tuple(count for count in reported.counts if count.requests > known.get(count.tenant, 0))
        if risen:
            counts = self._windows.setdefault(window, {}).setdefault(source, {})
            counts.update((count.tenant, count.requests) for count in risen)
            self._drop_surplus()
        return WindowCounts(window, risen)

    def _drop_surplus(self) -> None:
        if len(self._windows) > MAX_WINDOWS:
            self.drop_until(min(self._windows))

    def drop_until(self, window: int) -> None:
        """Forget a window and all before it, and ignore what is reported of them from now on."""
        if window <= self._last_dropped:
            return
        self._last_dropped = window
        for known in [known for known in self._windows if known <= window]:
            del self._windows[known]

    def first_window(self) -> int | None:
        """Return the first window with a count; None where there is none."""
        return min(self._windows, default=None)

    def counts(self, window: int) -> tuple[TenantCount, ...]:
        """Return the sums of a window over all proxies, by rising name of the tenant."""
        sums: Counter[str] = Counter()
        for counts in self._windows.get(window, {}).values():
            sums.update(counts)
        return tuple(TenantCount(tenant, sums[tenant]) for tenant in sorted(sums))

    def by_source(self) -> dict[ReportSource, tuple[WindowCounts, ...]]:
        """Return all counts by the run of a proxy that made them."""
        found: dict[ReportSource, list[WindowCounts]] = {}
        for window in sorted(self._windows):
            for source, counts in self._windows[window].items():
                tenants = tuple(TenantCount(tenant, counts[tenant]) for tenant in sorted(counts))
                found.setdefault(source, []).append(WindowCounts(window, tenants))
        return {source: tuple(windows) for source, windows in found.items()}
