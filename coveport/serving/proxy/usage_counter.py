"""Counts the requests that began to run, by tenant and usage window.

This module does no I/O and reads no clock.
"""

from __future__ import annotations

from typing import Final

from coveport.serving.model.telemetry import TenantCount, WindowCounts, usage_window_at

# Windows that are reported again on a new connection; they cover the longest time without a coordinator.
KEPT_WINDOWS: Final = 12
SETTLING_S: Final = 0.25  # longest delay of a count after its event, in the network and the event loop


class UsageCounter:
    """Owns the counts of the last windows, and the set of those changed since the last `take_changes`."""

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._counts: dict[int, dict[str, int]] = {}  # by window and tenant
        self._changed: dict[int, set[str]] = {}  # tenants whose counts changed, by window

    def add(self, tenant: str, unix_s: float) -> None:
        """Count a request that began to run at `unix_s` on the true clock."""
        window = usage_window_at(unix_s, self._window_s)
        counts = self._counts.get(window)
        if counts is None:
            counts = self._counts[window] = {}
            self._forget_all_but(KEPT_WINDOWS)
        counts[tenant] = counts.get(tenant, 0) + 1
        self._changed.setdefault(window, set()).add(tenant)

    def open_window(self, unix_s: float) -> int:
        """Return the first window whose counts may still change at `unix_s` on the true clock."""
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
        """Make the next `take_changes` return all retained counts."""
        self._changed = {window: set(counts) for window, counts in self._counts.items()}

    def _forget_all_but(self, max_windows: int) -> None:
        for window in sorted(self._counts)[:-max_windows]:
            del self._counts[window]
            self._changed.pop(window, None)
