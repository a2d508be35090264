"""Requests with the same versions share one encoded update, and no update is outdated."""

from __future__ import annotations

import pytest
from subscription_fakes import FakeConnection, FakeNet, FakeStatus

from coveport.serving.coordinator.state_history import StateHistory
from coveport.serving.coordinator.subscriptions import Subscriptions
from coveport.serving.membership.leases import LeaseTable, ProxyLease
from coveport.serving.membership.node_table import NodeTable
from coveport.serving.model.node import Node, NodeState
from coveport.serving.model.view import INITIAL_MAX_PROXIES
from coveport.serving.wire.messages import CoordinatorEndpoint, Update, UpdateRequest
from coveport.serving.wire.shared_update import SharedUpdate


class Coordinator:
    """A coordinator's subscriptions, and the tables that they read."""

    def __init__(self) -> None:
        self.net = FakeNet()
        endpoint = CoordinatorEndpoint("127.0.0.1:7300", "a", "north")
        self.status = FakeStatus(quorum=True, all_nodes=True, coordinators=(endpoint,))
        self.table = NodeTable(5.0)
        self.leases = LeaseTable()
        self.history = StateHistory()
        self.subscriptions = Subscriptions(
            self.net, self.table, "t", self.leases, self.history, self.status, lambda: None
        )

    def request(self, number: int, revision: int = -1, sequence: int = -1) -> Update:
        lease = ProxyLease(f"p{number}", f"127.0.0.2:{number}", "a", "north", True, number, 1)
        connection = FakeConnection()
        table = "t" if revision >= 0 else ""
        request = UpdateRequest(lease, table, revision, sequence, number)
        self.subscriptions.receive(connection, request)  # type: ignore[arg-type]
        (update,) = connection.updates
        return update


def node(number: int, warm_up_left_ms: float = 0.0, shutdown_in_ms: float = 0.0) -> Node:
    address = f"127.0.1.1:{number}"
    state = NodeState.DRAINING if shutdown_in_ms else NodeState.ACCEPTING
    return Node(f"i-{number}", 1, "s", address, "a", "north", 8, state, warm_up_left_ms, shutdown_in_ms)


@pytest.fixture
def encoded_updates(monkeypatch: pytest.MonkeyPatch) -> list[Update]:
    """Return a list to which each update is added when it is encoded."""
    updates: list[Update] = []

    def encode(update: Update) -> object:
        updates.append(update)
        return SharedUpdate(update)

    monkeypatch.setattr("coveport.serving.coordinator.update_cache.SharedUpdate", encode)
    return updates


def test_full_table_is_encoded_once_for_all_requests(encoded_updates: list[Update]) -> None:
    coordinator = Coordinator()
    for number in range(20):
        coordinator.table.apply_report(node(number), 100.0)
    updates = [coordinator.request(number) for number in range(20)]
    assert [update.request_number for update in updates] == list(range(20))
    assert all(len(update.nodes) == 20 and update.is_full_table for update in updates)
    assert [update.max_proxies for update in updates] == list(range(1, 21))
    assert len(encoded_updates) == 1


def test_max_proxies_above_the_initial_value_is_sent_before_all_nodes_are_known() -> None:
    coordinator = Coordinator()
    coordinator.status.all_nodes = False
    early_max_proxies = [coordinator.request(number).max_proxies for number in range(89)]
    assert early_max_proxies == [0] * INITIAL_MAX_PROXIES + list(range(INITIAL_MAX_PROXIES + 1, 90))


def test_request_after_a_change_gets_the_change(encoded_updates: list[Update]) -> None:
    coordinator = Coordinator()
    coordinator.table.apply_report(node(1), 100.0)
    assert [sent.incarnation for sent in coordinator.request(1).nodes] == ["i-1"]
    coordinator.table.apply_report(node(2), 100.0)
    assert sorted(sent.incarnation for sent in coordinator.request(1).nodes) == ["i-1", "i-2"]
    coordinator.history.advance(0, b"state", None)
    assert coordinator.request(1).state == b"state"
    coordinator.status.quorum = False
    assert not coordinator.request(1).has_quorum
    assert len(encoded_updates) == 4


def test_requests_with_different_versions_get_different_updates(encoded_updates: list[Update]) -> None:
    coordinator = Coordinator()
    coordinator.table.apply_report(node(1), 100.0)
    first = coordinator.table.revision
    coordinator.table.apply_report(node(2), 100.0)
    assert len(coordinator.request(1).nodes) == 2
    assert [sent.incarnation for sent in coordinator.request(1, revision=first).nodes] == ["i-2"]
    assert len(encoded_updates) == 2


@pytest.mark.parametrize(
    ("reported", "lifetime_s"),
    [(node(1, warm_up_left_ms=3000.0), 0.25), (node(1, shutdown_in_ms=3000.0), 0.05)],
)
def test_remaining_times_are_computed_again_after_the_lifetime(reported: Node, lifetime_s: float) -> None:
    coordinator = Coordinator()
    coordinator.leases.renew(ProxyLease("p", "127.0.0.2:1", "a", "north", True, 0, 1), 100.0, local=True)
    coordinator.table.apply_report(reported, 100.0)

    def remaining_ms(at_s: float) -> float:
        coordinator.net.time_s = at_s
        (sent,) = coordinator.request(1).nodes
        return sent.warm_up_left_ms + sent.shutdown_in_ms

    assert remaining_ms(100.02) == pytest.approx(2980.0)
    assert remaining_ms(100.02 + lifetime_s * 0.9) == pytest.approx(2980.0)
    later_s = 100.02 + lifetime_s * 1.2
    assert remaining_ms(later_s) == pytest.approx((103.0 - later_s) * 1000)
