"""Replicates proxies' traffic reports to the other coordinators: each new primary needs these reports."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Final

from coveport.serving.coordinator.peer_connections import PeerConnections
from coveport.serving.coordinator.peer_versions import PeerVersions
from coveport.serving.duties.telemetry_table import NO_SEQUENCE, ReportedState, TelemetryTable
from coveport.serving.duties.usage_ledger import ReportSource, UsageLog
from coveport.serving.model.telemetry import ProxyTelemetry, TenantCount, WindowCounts
from coveport.serving.wire.messages import TelemetryShared
from coveport.serving.wire.versions import TELEMETRY_VERSION

PRIMARY_INTERVAL_S: Final = 0.5  # the duties of the primary need reports soon
FOLLOWER_INTERVAL_S: Final = 2.0  # longer, as followers need reports only later; saves half of the bytes


@dataclass(slots=True)
class _UnsentCounts:
    """Counts reported here that have not been sent to some peers yet."""

    _counts: dict[ReportSource, dict[int, dict[str, int]]] = field(default_factory=dict)

    def add(self, source: ReportSource, increased: tuple[WindowCounts, ...]) -> None:
        """Add the counts that a report of a source increased."""
        windows = self._counts.setdefault(source, {})
        for window in increased:
            counts = windows.setdefault(window.window, {})
            counts.update((count.tenant, count.requests) for count in window.counts)

    def take(self) -> dict[ReportSource, tuple[WindowCounts, ...]]:
        """Remove and return all counts, by source."""
        counts, self._counts = self._counts, {}
        return {source: _window_counts(windows) for source, windows in counts.items()}


def _window_counts(windows: dict[int, dict[str, int]]) -> tuple[WindowCounts, ...]:
    return tuple(
        WindowCounts(window, tuple(TenantCount(tenant, counts[tenant]) for tenant in sorted(counts)))
        for window, counts in sorted(windows.items())
    )


class TelemetryReplicator:
    """Owns the usage log, the table of reports, and the changes that peers still lack."""

    def __init__(
        self,
        peers: PeerConnections,
        versions: PeerVersions,
        primary_address: Callable[[], str | None],
        now_s: Callable[[], float],
    ) -> None:
        """Create a replicator; `primary_address` returns the primary's inner address; None: no primary."""
        self.usage_log = UsageLog()
        self.table = TelemetryTable()
        self._peers = peers
        self._versions = versions
        self._primary_address = primary_address
        self._now_s = now_s
        self._unsent_to_primary = _UnsentCounts()
        self._unsent_to_followers = _UnsentCounts()
        self._new_peers: set[str] = set()  # addresses of peers that need all reports
        self._synced_primary: str | None = None  # primary that lacks only the counts in `_unsent_to_primary`
        self._sent_to_primary_s = 0.0
        self._sent_to_followers_s = 0.0

    def receive_from_proxy(self, report: ProxyTelemetry) -> None:
        """Record a report of a proxy that subscribes here."""
        is_newer = self.table.record(report, self._now_s())
        increased = self.usage_log.merge(report)
        if is_newer or increased:
            source = ReportSource(report.proxy, report.incarnation)
            self._unsent_to_primary.add(source, increased)
            self._unsent_to_followers.add(source, increased)

    def receive_shared(self, message: TelemetryShared) -> None:
        """Record reports that another coordinator has received."""
        for report in message.reports:
            self.table.record(report, self._now_s())
            self.usage_log.merge(report)

    def record_connected(self, address: str) -> None:
        """Record that all reports must be sent to a peer that has connected."""
        self._new_peers.add(address)

    def send_if_due(self) -> None:
        """Send the changes that peers lack, if the interval since the last messages has passed."""
        now_s = self._now_s()
        if now_s - self._sent_to_primary_s < PRIMARY_INTERVAL_S:
            return
        self._sent_to_primary_s = now_s
        self.table.expire(now_s)
        peers = self._supporting_peers()
        self._send_to_new(peers)
        self._send_to_primary(peers)
        primary = self._primary_address()
        if primary not in peers:
            primary = None  # this coordinator is the primary, or there is no primary
        if now_s - self._sent_to_followers_s >= FOLLOWER_INTERVAL_S or primary != self._synced_primary:
            self._sent_to_followers_s = now_s
            self._send_to_followers(peers)
            self._synced_primary = primary

    def _send_to_new(self, peers: list[str]) -> None:
        new_peers = self._new_peers.intersection(peers)
        self._new_peers -= new_peers
        if new_peers:
            windows_by_source: dict[ReportSource, tuple[WindowCounts, ...]] = {
                entry.source: () for entry in self.table.newest_runs()
            }
            self._send(new_peers, windows_by_source | self.usage_log.by_source())

    def _send_to_primary(self, peers: list[str]) -> None:
        changes = self._unsent_to_primary.take()
        if self._synced_primary in peers:
            self._send([self._synced_primary], changes)
        else:
            self._synced_primary = None

    def _send_to_followers(self, peers: list[str]) -> None:
        """Send the counts of the interval to all peers but the primary that already has them."""
        self._send(
            [address for address in peers if address != self._synced_primary],
            self._unsent_to_followers.take(),
        )

    def _send(self, peers: Iterable[str], windows: dict[ReportSource, tuple[WindowCounts, ...]]) -> None:
        if windows:
            message = TelemetryShared(self._reports(windows))
            for address in peers:
                self._peers.send(address, message)

    def _supporting_peers(self) -> list[str]:
        return [
            address
            for address in self._peers.live()
            if self._versions.coordinator_version(address) >= TELEMETRY_VERSION
        ]

    def _reports(self, windows: dict[ReportSource, tuple[WindowCounts, ...]]) -> tuple[ProxyTelemetry, ...]:
        return tuple(
            _report(self.table.find(source) or _unknown_state(source), counts)
            for source, counts in windows.items()
        )


def _unknown_state(source: ReportSource) -> ReportedState:
    """Return the state of a proxy run that ended so long ago that only its counts are kept."""
    return ReportedState(source, NO_SEQUENCE, 0, (), 0.0)


def _report(state: ReportedState, windows: tuple[WindowCounts, ...]) -> ProxyTelemetry:
    source = state.source
    return ProxyTelemetry(
        source.proxy, source.incarnation, state.sequence, state.open_window, windows, state.loads
    )
