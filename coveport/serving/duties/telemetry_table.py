"""The newest report of each run of a proxy, with load and final windows of that run. Does no I/O."""

from __future__ import annotations

from collections.abc import Collection, Iterator
from dataclasses import dataclass
from typing import Final

from coveport.serving.duties.usage_ledger import ReportSource
from coveport.serving.model.telemetry import ProxyTelemetry, ServiceLoad

NO_SEQUENCE: Final = 0  # sequence number of a report of which only the counts are known
RETENTION_S: Final = 30.0  # for this time, a proxy without reports may be partitioned and still serve


@dataclass(slots=True)
class ReportedState:
    """The content of the newest report of one run of a proxy."""

    source: ReportSource
    sequence: int
    open_window: int
    loads: tuple[ServiceLoad, ...]
    received_at_s: float


class TelemetryTable:
    """Owns the newest reports, by run of a proxy."""

    def __init__(self) -> None:
        self._entries: dict[ReportSource, ReportedState] = {}

    def record(self, report: ProxyTelemetry, now_s: float) -> bool:
        """Record a report; return whether the report is newer than the last report of the same source."""
        if report.sequence == NO_SEQUENCE:
            return False
        source = ReportSource(report.proxy, report.incarnation)
        last_report = self._entries.get(source)
        if last_report is None:
            self._entries[source] = ReportedState(
                source, report.sequence, report.open_window, report.loads, now_s
            )
            return True
        if report.sequence <= last_report.sequence:
            return False
        last_report.sequence = report.sequence
        last_report.open_window = max(last_report.open_window, report.open_window)
        last_report.loads = report.loads or last_report.loads
        last_report.received_at_s = now_s
        return True

    def expire(self, now_s: float) -> None:
        """Drop runs of proxies without a report for `RETENTION_S`."""
        expired = [
            entry.source for entry in self._entries.values() if now_s - entry.received_at_s > RETENTION_S
        ]
        for source in expired:
            del self._entries[source]

    def find(self, source: ReportSource) -> ReportedState | None:
        """Return the newest report of one run of a proxy."""
        return self._entries.get(source)

    def newest_runs(self) -> Iterator[ReportedState]:
        """Return the newest report of each proxy; earlier runs of the proxy have ended."""
        newest: dict[str, ReportedState] = {}
        for entry in self._entries.values():
            current = newest.get(entry.source.proxy)
            if current is None or entry.received_at_s >= current.received_at_s:
                newest[entry.source.proxy] = entry
        return iter(newest.values())

    def has_final_counts(self, window: int, live: Collection[ReportSource]) -> bool:
        """Return whether all proxies with a live lease have reported a later open window."""
        entries = (self._entries.get(source) for source in live)
        return all(entry is not None and entry.open_window > window for entry in entries)

    def has_unresponsive_proxies(self, window: int, live: Collection[ReportSource]) -> bool:
        """Return whether a proxy without a live lease may have unreported counts of a window."""
        live_names = {source.proxy for source in live}
        return any(
            entry.open_window <= window and entry.source.proxy not in live_names
            for entry in self.newest_runs()
        )
