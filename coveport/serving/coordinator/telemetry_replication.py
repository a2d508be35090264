"""Replicates what proxies report of their traffic to the other coordinators, so that whoever leads has it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from coveport.serving.coordinator.peer_connections import PeerConnections
from coveport.serving.coordinator.peer_versions import PeerVersions
from coveport.serving.duties.telemetry_table import NO_SEQUENCE, ReportedState, TelemetryTable
from coveport.serving.duties.usage_ledger import ReportSource, UsageLedger
from coveport.serving.model.telemetry import ProxyTelemetry, TenantCount, WindowCounts
from coveport.serving.wire.messages import TelemetryShared
from coveport.serving.wire.versions import TELEMETRY_VERSION

REPLICATION_INTERVAL_S: Final = 0.5  # half of it: twice the bytes, most of them the reports' own fields


@dataclass(slots=True)
class _Changes:
    """What one run of a proxy reported here since the last message to the peers."""

    counts: dict[int, dict[str, int]] = field(default_factory=dict)  # by window and tenant

    def add(self, windows: tuple[WindowCounts, ...]) -> None:
        for window in windows:
            counts = self.counts.setdefault(window.window, {})
            counts.update((count.tenant, count.requests) for count in window.counts)

    def windows(self) -> tuple[WindowCounts, ...]:
        return tuple(
            WindowCounts(window, tuple(TenantCount(tenant, counts[tenant]) for tenant in sorted(counts)))
            for window, counts in sorted(self.counts.items())
        )


class TelemetryReplicator:
    """Owns the usage ledger, the table of reports, and what of them peers still lack."""

    def __init__(
        self,
        peers: PeerConnections,
        versions: PeerVersions,
        now_s: Callable[[], float],
    ) -> None:
        self.ledger = UsageLedger()
        self.table = TelemetryTable()
        self._peers = peers
        self._versions = versions
        self._now_s = now_s
        self._changes: dict[ReportSource, _Changes] = {}
        self._new_peers: set[str] = set()  # addresses of peers that lack everything
        self._last_sent_s = 0.0

    def receive_from_proxy(self, report: ProxyTelemetry) -> None:
        """Take a report of a proxy that subscribes here."""
        is_newer = self.table.record(report, self._now_s())
        risen = self.ledger.merge(report)
        if is_newer or risen:
            source = ReportSource(report.proxy, report.incarnation)
            self._changes.setdefault(source, _Changes()).add(risen)

    def receive_shared(self, message: TelemetryShared) -> None:
        """Take what another coordinator has received."""
        for report in message.reports:
            self.table.record(report, self._now_s())
            self.ledger.merge(report)

    def record_connected(self, address: str) -> None:
        """Note that a peer must be sent everything."""
        self._new_peers.add(address)

    def send_if_due(self) -> None:
        """Send what peers lack, where `REPLICATION_INTERVAL_S` has passed since the last time."""
        now_s = self._now_s()
        if now_s - self._last_sent_s < REPLICATION_INTERVAL_S:
            return
        self._last_sent_s = now_s
        self.table.expire(now_s)
        self._send()

    def _send(self) -> None:
        changes, self._changes = self._changes, {}
        changed = self._reports({source: change.windows() for source, change in changes.items()})
        addresses = self._reading_peers()
        new_addresses = self._new_peers.intersection(addresses)
        self._new_peers -= new_addresses
        complete = self._complete_reports() if new_addresses else ()
        for address in addresses:
            reports = complete if address in new_addresses else changed
            if reports:
                self._peers.send(address, TelemetryShared(reports))

    def _reading_peers(self) -> list[str]:
        return [
            address
            for address in self._peers.live()
            if self._versions.of_coordinator(address) >= TELEMETRY_VERSION
        ]

    def _complete_reports(self) -> tuple[ProxyTelemetry, ...]:
        runs = {entry.source: () for entry in self.table.newest_runs()}
        return self._reports({**runs, **self.ledger.by_source()})

    def _reports(self, windows: dict[ReportSource, tuple[WindowCounts, ...]]) -> tuple[ProxyTelemetry, ...]:
        return tuple(
            _report(self.table.find(source) or _unknown_state(source), counts)
            for source, counts in windows.items()
        )


def _unknown_state(source: ReportSource) -> ReportedState:
    """Return the state of a run that ended so long ago that only its counts are left."""
    return ReportedState(source, NO_SEQUENCE, 0, (), 0.0)


def _report(state: ReportedState, windows: tuple[WindowCounts, ...]) -> ProxyTelemetry:
    source = state.source
    return ProxyTelemetry(
        source.proxy, source.incarnation, state.sequence, state.open_window, windows, state.loads
    )
