"""The newest report of each run of a proxy: how far its counts are final, and its load. Pure."""

from __future__ import annotations

from collections.abc import Collection, Iterator
from dataclasses import dataclass
from typing import Final

from coveport.serving.duties.usage_ledger import ReportSource
from coveport.serving.model.telemetry import ProxyTelemetry, ServiceLoad

NO_SEQUENCE: Final = 0  # in a report of which only the counts are known
RETENTION_S: Final = 30.0  # a proxy that was heard of so lately may only be partitioned, and still serve


@dataclass(slots=True)
class ReportedState:
    """What the newest report of one run of a proxy said."""

    source: ReportSource
    sequence: int
    open_window: int
    loads: tuple[ServiceLoad, ...]
    received_at_s: float


class TelemetryTable:
    """Owns the newest reports."""

    def __init__(self) -> None:
        self._entries: dict[ReportSource, ReportedState] = {}

    def record(self, report: ProxyTelemetry, now_s: float) -> bool:
        """Take a report; return whether it is newer than what was known of its source."""
        if report.sequence == NO_SEQUENCE:
            return False
        source = ReportSource(report.proxy, report.incarnation)
        known = self._entries.get(source)
        if known is None:
            self._entries[source] = ReportedState(
                source, report.sequence, report.open_window, report.loads, now_s
            )
            return True
        if report.sequence <= known.sequence:
            return False
        known.sequence = report.sequence
        known.open_window = max(known.open_window, report.open_window)
        known.loads = report.loads or known.loads
        known.received_at_s = now_s
        return True

    def expire(self, now_s: float) -> None:
        """Forget what was last heard of too long ago."""
        expired = [
            entry.source for entry in self._entries.values() if now_s - entry.received_at_s > RETENTION_S
        ]
        for source in expired:
            del self._entries[source]

    def find(self, source: ReportSource) -> ReportedState | None:
        """Return the newest report of one run of a proxy."""
        return self._entries.get(source)

    def newest_runs(self) -> Iterator[ReportedState]:
        """Return the run of each proxy that was heard of last: the ones before it have ended."""
        newest: dict[str, ReportedState] = {}
        for entry in self._entries.values():
            other = newest.get(entry.source.proxy)
            if other is None or entry.received_at_s >= other.received_at_s:
                newest[entry.source.proxy] = entry
        return iter(newest.values())

    def has_final_counts(self, window: int, live: Collection[ReportSource]) -> bool:
        """Return whether all proxies with a live lease have reported a later open window."""
        entries = (self._entries.get(source) for source in live)
        return all(entry is not None and entry.open_window > window for entry in entries)

    def has_unresponsive_proxies(self, window: int, live: Collection[ReportSource]) -> bool:
        """Return whether a proxy without a live lease may have counted in a window and not reported it."""
        live_names = {source.proxy for source in live}
        return any(
            entry.open_window <= window and entry.source.proxy not in live_names
            for entry in self.newest_runs()
        )
