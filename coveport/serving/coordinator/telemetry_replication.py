"""Replicates what proxies report of their traffic to the other coordinators, so that whoever leads has it."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Final

from coveport.serving.coordinator.peer_connections import PeerConnections
from coveport.serving.coordinator.peer_versions import PeerVersions
from coveport.serving.duties.telemetry_table import NO_SEQUENCE, ReportedState, TelemetryTable
from coveport.serving.duties.usage_ledger import ReportSource, UsageLedger
from coveport.serving.model.telemetry import ProxyTelemetry, TenantCount, WindowCounts
from coveport.serving.wire.messages import TelemetryShared
from coveport.serving.wire.versions import TELEMETRY_VERSION

PRIMARY_INTERVAL_S: Final = 0.5  # the primary's duties need reports soon ...
FOLLOWER_INTERVAL_S: Final = 2.0  # ... the others only once they lead; it saves half of the bytes


@dataclass(slots=True)
class _Backlog:
    """What was reported here since the last message to some peers."""

    _counts: dict[ReportSource, dict[int, dict[str, int]]] = field(default_factory=dict)

    def add(self, source: ReportSource, risen: tuple[WindowCounts, ...]) -> None:
        """Add a report of a source: the counts that it raised."""
        windows = self._counts.setdefault(source, {})
        for window in risen:
            counts = windows.setdefault(window.window, {})
            counts.update((count.tenant, count.requests) for count in window.counts)

    def take(self) -> dict[ReportSource, tuple[WindowCounts, ...]]:
        """Return everything by source, and forget it."""
        counts, self._counts = self._counts, {}
        return {source: _window_counts(windows) for source, windows in counts.items()}


def _window_counts(windows: dict[int, dict[str, int]]) -> tuple[WindowCounts, ...]:
    return tuple(
        WindowCounts(window, tuple(TenantCount(tenant, counts[tenant]) for tenant in sorted(counts)))
        for window, counts in sorted(windows.items())
    )


class TelemetryReplicator:
    """Owns the usage ledger, the table of reports, and what of them peers still lack."""

    def __init__(
        self,
        peers: PeerConnections,
        versions: PeerVersions,
        primary_address: Callable[[], str | None],
        now_s: Callable[[], float],
    ) -> None:
        """`primary_address`: inner address of the active primary; None: there is none."""
        self.ledger = UsageLedger()
        self.table = TelemetryTable()
        self._peers = peers
        self._versions = versions
        self._primary_address = primary_address
        self._now_s = now_s
        self._for_primary = _Backlog()
        self._for_all = _Backlog()
        self._new_peers: set[str] = set()  # addresses of peers that lack everything
        self._up_to_date: str | None = None  # the primary that has got everything but `_for_primary`
        self._sent_to_primary_s = 0.0
        self._sent_to_all_s = 0.0

    def receive_from_proxy(self, report: ProxyTelemetry) -> None:
        """Take a report of a proxy that subscribes here."""
        is_newer = self.table.record(report, self._now_s())
        risen = self.ledger.merge(report)
        if is_newer or risen:
            source = ReportSource(report.proxy, report.incarnation)
            self._for_primary.add(source, risen)
            self._for_all.add(source, risen)

    def receive_shared(self, message: TelemetryShared) -> None:
        """Take what another coordinator has received."""
        for report in message.reports:
            self.table.record(report, self._now_s())
            self.ledger.merge(report)

    def record_connected(self, address: str) -> None:
        """Note that a peer must be sent everything."""
        self._new_peers.add(address)

    def send_if_due(self) -> None:
        """Send what peers lack, where an interval has passed since the last time."""
        now_s = self._now_s()
        if now_s - self._sent_to_primary_s < PRIMARY_INTERVAL_S:
            return
        self._sent_to_primary_s = now_s
        self.table.expire(now_s)
        peers = self._reading_peers()
        self._send_to_new(peers)
        self._send_to_primary(peers)
        primary = self._primary_address()
        if primary not in peers:
            primary = None  # it is this coordinator, or there is none
        if now_s - self._sent_to_all_s >= FOLLOWER_INTERVAL_S or primary != self._up_to_date:
            self._sent_to_all_s = now_s
            self._send_to_all(peers)
            self._up_to_date = primary

    def _send_to_new(self, peers: list[str]) -> None:
        new_peers = self._new_peers.intersection(peers)
        self._new_peers -= new_peers
        if new_peers:
            runs: dict[ReportSource, tuple[WindowCounts, ...]] = {
                entry.source: () for entry in self.table.newest_runs()
            }
            self._send(new_peers, runs | self.ledger.by_source())

    def _send_to_primary(self, peers: list[str]) -> None:
        changes = self._for_primary.take()
        if self._up_to_date in peers:
            self._send([self._up_to_date], changes)
        else:
            self._up_to_date = None

    def _send_to_all(self, peers: list[str]) -> None:
        """Send what the peers lack that have not been the primary since the last time."""
        self._send([address for address in peers if address != self._up_to_date], self._for_all.take())

    def _send(self, peers: Iterable[str], windows: dict[ReportSource, tuple[WindowCounts, ...]]) -> None:
        if windows:
            message = TelemetryShared(self._reports(windows))
            for address in peers:
                self._peers.send(address, message)

    def _reading_peers(self) -> list[str]:
        return [
            address
            for address in self._peers.live()
            if self._versions.of_coordinator(address) >= TELEMETRY_VERSION
        ]

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
