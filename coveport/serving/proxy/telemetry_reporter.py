"""Makes a proxy's reports on its traffic, which are sent with its requests for updates."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from coveport.net.transport import Net
from coveport.serving.model.telemetry import ProxyTelemetry, ServiceLoad
from coveport.serving.model.true_clock import TrueClock
from coveport.serving.proxy.usage_counter import UsageCounter

MIN_INTERVAL_S: Final = 0.3  # time between two reports; requests for updates are at most 0.4 s apart


class TelemetryReporter:
    """Owns the true clock of a proxy, its usage counts, and the sequence numbers of its reports."""

    def __init__(
        self,
        net: Net,
        name: str,
        incarnation: int,
        usage_window_s: float,
    ) -> None:
        """Create a reporter; `name`: of the proxy's machine, `incarnation`: as in the proxy's lease."""
        self._net = net
        self._name = name
        self._incarnation = incarnation
        self._usage = UsageCounter(usage_window_s)
        # Called for each report; returns an empty tuple if there are no loads to report.
        self.current_loads: Callable[[], tuple[ServiceLoad, ...]] = tuple
        self._clock = TrueClock()
        self._sequence = 0
        self._reported_window: int | None = None  # open window of the last report on this connection
        self._reported_at_s: float | None = None

    def record_begun(self, tenant: str, at_s: float) -> None:
        """Count a tenant's request that began to run at `at_s` on the clock of `Net.now_s`."""
        self._observe_clocks()
        self._usage.add(tenant, self._clock.unix_s(at_s))

    def begin_connection(self) -> None:
        """Make the next report a complete one, as the new connection may be to another coordinator."""
        self._usage.mark_all_changed()
        self._reported_window = None
        self._reported_at_s = None

    def next_report(self) -> ProxyTelemetry | None:
        """Return the next report; None if nothing changed, or within `MIN_INTERVAL_S` of the last report."""
        self._observe_clocks()
        now_s = self._net.now_s()
        if self._reported_at_s is not None and now_s - self._reported_at_s < MIN_INTERVAL_S:
            return None
        open_window = self._usage.open_window(self._clock.unix_s(now_s))
        windows = self._usage.take_changes()
        loads = self.current_loads()
        if open_window == self._reported_window and not windows and not loads:
            return None
        self._reported_window = open_window
        self._reported_at_s = now_s
        self._sequence += 1
        return ProxyTelemetry(self._name, self._incarnation, self._sequence, open_window, windows, loads)

    def _observe_clocks(self) -> None:
        self._clock.observe(self._net.now_s(), self._net.unix_s())
