"""Counts the requests of tenants that began to run, by usage window. Pure."""

from __future__ import annotations

from typing import Final

from coveport.serving.model.telemetry import TenantCount, WindowCounts, usage_window_at

KEPT_WINDOWS: Final = 12  # reported again at a new connection: longer than a proxy is without a coordinator
SETTLING_S: Final = 0.25  # an event is counted at most so long after its moment, way and event loop included


class UsageCounter:
    """Owns the counts of the last windows, and which of them changed since they were last taken."""

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._counts: dict[int, dict[str, int]] = {}  # by window and tenant
        self._changed: dict[int, set[str]] = {}  # tenants by window

    def add(self, tenant: str, unix_s: float) -> None:
        """Count a request that began to run at a moment of true time."""
        window = usage_window_at(unix_s, self._window_s)
        counts = self._counts.get(window)
        if counts is None:
            counts = self._counts[window] = {}
            self._forget_all_but(KEPT_WINDOWS)
        counts[tenant] = counts.get(tenant, 0) + 1
        self._changed.setdefault(window, set()).add(tenant)

    def open_window(self, unix_s: float) -> int:
        """Return the first window whose counts may still change at a moment of true time."""
        return usage_window_at(unix_s - SETTLING_S, self._window_s)

    def take_changes(self) -> tuple[WindowCounts, ...]:
        """Return the counts that changed since the last call."""
        changed, self._changed = self._changed, {}
        return tuple(
            WindowCounts(
                window,
                tuple(TenantCount(tenant, self._counts[window][tenant]) for tenant in sorted(tenants)),
            )
            for window, tenants in sorted(changed.items())
            if window in self._counts
        )

    def mark_all_changed(self) -> None:
        """Let the next `take_changes` return all counts that are kept."""
        self._changed = {window: set(counts) for window, counts in self._counts.items()}

    def _forget_all_but(self, newest: int) -> None:
        for window in sorted(self._counts)[:-newest]:
            del self._counts[window]
            self._changed.pop(window, None)
