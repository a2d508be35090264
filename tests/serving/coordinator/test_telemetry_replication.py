"""Replication of proxies' reports between coordinators."""

from __future__ import annotations

from typing import Any

from coveport.serving.coordinator.peer_versions import PeerVersions
from coveport.serving.coordinator.telemetry_replication import (
    FOLLOWER_INTERVAL_S,
    PRIMARY_INTERVAL_S,
    TelemetryReplicator,
)
from coveport.serving.duties.telemetry_table import RETENTION_S
from coveport.serving.duties.usage_ledger import ReportSource
from coveport.serving.model.telemetry import ProxyTelemetry, ServiceLoad, TenantCount, WindowCounts
from coveport.serving.wire.messages import TelemetryShared
from coveport.serving.wire.versions import TELEMETRY_VERSION

WINDOW = 340_000_000
LOADS = (ServiceLoad("s", "z", 1, 2, 3),)


class FakePeers:
    """Live peers, which a test can change; records the messages that are sent to them."""

    def __init__(self, *addresses: str) -> None:
        self.addresses = list(addresses)
        self.primary: str | None = None
        self.sent: list[tuple[str, TelemetryShared]] = []

    def live(self) -> list[str]:
        return list(self.addresses)

    def send(self, address: str, message: Any) -> None:
        assert isinstance(message, TelemetryShared)
        self.sent.append((address, message))

    def take(self) -> list[tuple[str, TelemetryShared]]:
        """Return the messages that were sent since the last call."""
        sent, self.sent = self.sent, []
        return sent


class Clock:
    """A clock that a test advances."""

    def __init__(self) -> None:
        self.now_s = 100.0

    def pass_interval(self, replicator: TelemetryReplicator, interval_s: float = FOLLOWER_INTERVAL_S) -> None:
        self.now_s += interval_s
        replicator.send_if_due()


def make_replicator(*new_peers: str) -> tuple[TelemetryReplicator, FakePeers, Clock]:
    peers, versions, clock = FakePeers(*new_peers), PeerVersions(), Clock()
    for address in new_peers:
        versions.record_coordinator(address, TELEMETRY_VERSION)
    replicator = TelemetryReplicator(
        peers,  # type: ignore[arg-type]
        versions,
        lambda: peers.primary,
        lambda: clock.now_s,
    )
    replicator.send_if_due()
    return replicator, peers, clock


def report(sequence: int, proxy: str = "p1", window: int = WINDOW, **counts: int) -> ProxyTelemetry:
    tenants = tuple(TenantCount(tenant, requests) for tenant, requests in counts.items())
    windows = (WindowCounts(window, tenants),) if tenants else ()
    return ProxyTelemetry(proxy, 1, sequence, window, windows, LOADS)


def test_peers_get_the_changes_of_an_interval_in_one_report_for_each_proxy() -> None:
    replicator, peers, clock = make_replicator("c2", "c3")
    replicator.receive_from_proxy(report(1, a=1, b=1))
    replicator.receive_from_proxy(report(2, a=2))
    replicator.receive_from_proxy(report(1, "p2", c=1))
    replicator.send_if_due()
    clock.pass_interval(replicator)
    message = TelemetryShared((report(2, a=2, b=1), report(1, "p2", c=1)))
    assert peers.take() == [("c2", message), ("c3", message)]
    replicator.receive_from_proxy(report(3, a=2, b=2))
    clock.pass_interval(replicator)
    assert peers.take()[0] == ("c2", TelemetryShared((report(3, b=2),)))
    clock.pass_interval(replicator)
    assert peers.take() == []


def test_the_primary_gets_changes_sooner_than_the_others_and_only_once() -> None:
    replicator, peers, clock = make_replicator("c2", "c3")
    peers.primary = "c2"
    clock.pass_interval(replicator)
    replicator.receive_from_proxy(report(1, a=1))
    clock.pass_interval(replicator, PRIMARY_INTERVAL_S)
    assert peers.take() == [("c2", TelemetryShared((report(1, a=1),)))]
    clock.pass_interval(replicator)
    assert peers.take() == [("c3", TelemetryShared((report(1, a=1),)))]


def test_new_primary_gets_changes_that_only_the_previous_primary_has() -> None:
    replicator, peers, clock = make_replicator("c2", "c3")
    peers.primary = "c2"
    clock.pass_interval(replicator)
    replicator.receive_from_proxy(report(1, a=1))
    clock.pass_interval(replicator, PRIMARY_INTERVAL_S)
    peers.take()
    replicator.receive_from_proxy(report(2, a=2))
    peers.primary = "c3"
    clock.pass_interval(replicator, PRIMARY_INTERVAL_S)
    assert ("c3", TelemetryShared((report(2, a=2),))) in peers.take()
    replicator.receive_from_proxy(report(3, a=3))
    clock.pass_interval(replicator, PRIMARY_INTERVAL_S)
    assert peers.take() == [("c3", TelemetryShared((report(3, a=3),)))]


def test_primary_sends_to_followers_at_their_interval() -> None:
    replicator, peers, clock = make_replicator("c2")
    peers.primary = "c1"
    clock.pass_interval(replicator)
    replicator.receive_from_proxy(report(1, a=1))
    clock.pass_interval(replicator, PRIMARY_INTERVAL_S)
    assert peers.take() == []
    clock.pass_interval(replicator)
    assert peers.take() == [("c2", TelemetryShared((report(1, a=1),)))]


def test_primary_that_reconnects_gets_all_changes() -> None:
    replicator, peers, clock = make_replicator("c2", "c3")
    peers.primary = "c2"
    clock.pass_interval(replicator)
    replicator.receive_from_proxy(report(1, a=1))
    peers.addresses.remove("c2")
    clock.pass_interval(replicator, PRIMARY_INTERVAL_S)
    peers.take()
    peers.addresses.append("c2")
    replicator.record_connected("c2")
    clock.pass_interval(replicator, PRIMARY_INTERVAL_S)
    assert ("c2", TelemetryShared((report(1, a=1),))) in peers.take()


def test_reports_from_a_peer_are_recorded_and_not_forwarded() -> None:
    replicator, peers, clock = make_replicator("c2", "c3")
    replicator.receive_shared(TelemetryShared((report(1, a=4),)))
    clock.pass_interval(replicator)
    assert peers.take() == []
    assert replicator.usage_log.counts(WINDOW) == (TenantCount("a", 4),)
    entry = replicator.table.find(ReportSource("p1", 1))
    assert entry is not None and entry.loads == LOADS


def test_peer_that_connects_gets_reports_received_here_and_by_other_peers() -> None:
    replicator, peers, clock = make_replicator("c2", "c3")
    replicator.receive_shared(TelemetryShared((report(1, a=4),)))
    replicator.receive_from_proxy(report(1, "p2", b=1))
    clock.pass_interval(replicator)
    peers.take()
    replicator.record_connected("c3")
    clock.pass_interval(replicator)
    ((address, message),) = peers.take()
    assert address == "c3"
    assert sorted(message.reports, key=lambda sent_report: sent_report.proxy) == [
        report(1, a=4),
        report(1, "p2", b=1),
    ]


def test_peer_that_connects_gets_counts_of_a_proxy_that_ended_long_ago() -> None:
    replicator, _, clock = make_replicator("c2")
    replicator.receive_from_proxy(report(1, a=4))
    clock.now_s += RETENTION_S
    clock.pass_interval(replicator)
    peer_replicator, _, _ = make_replicator()
    replicator.record_connected("c2")
    clock.pass_interval(replicator)
    peers = replicator._peers
    assert isinstance(peers, FakePeers)
    peer_replicator.receive_shared(peers.take()[-1][1])
    assert peer_replicator.usage_log.counts(WINDOW) == (TenantCount("a", 4),)
    assert peer_replicator.table.find(ReportSource("p1", 1)) is None, "counts alone make no live proxy"


def test_coordinators_of_older_versions_get_no_reports() -> None:
    replicator, peers, clock = make_replicator("c2")
    peers.addresses.append("c3")
    replicator._versions.record_coordinator("c3", TELEMETRY_VERSION - 1)
    peers.addresses.append("c4")  # has not announced its version yet
    replicator.record_connected("c4")
    replicator.receive_from_proxy(report(1, a=1))
    clock.pass_interval(replicator)
    assert [address for address, _ in peers.take()] == ["c2"]
    replicator._versions.record_coordinator("c4", TELEMETRY_VERSION)
    clock.pass_interval(replicator)
    assert peers.take() == [("c4", TelemetryShared((report(1, a=1),)))]


def test_late_report_without_changes_is_not_forwarded() -> None:
    replicator, peers, clock = make_replicator("c2")
    replicator.receive_from_proxy(report(2, a=2))
    clock.pass_interval(replicator)
    peers.take()
    replicator.receive_from_proxy(report(1, a=1))
    clock.pass_interval(replicator)
    assert peers.take() == []
