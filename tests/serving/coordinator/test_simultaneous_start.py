"""Update requests while proxies and coordinators start at the same time, as after a power loss."""

from __future__ import annotations

import pytest
from subscription_fakes import FakeConnection, FakeLoop, FakeNet, FakeStatus

from coveport.serving.coordinator.state_history import StateHistory
from coveport.serving.coordinator.subscriptions import POLL_TIMEOUT_S, Subscriptions
from coveport.serving.membership.leases import LeaseTable, ProxyLease
from coveport.serving.membership.node_table import NodeTable
from coveport.serving.simulation.deployment import Deployment
from coveport.serving.simulation.faults import FaultInjector
from coveport.serving.simulation.world import SimulatedDeployment
from coveport.serving.wire.messages import Update, UpdateRequest


class StartedCoordinator:
    """A coordinator that has just started, and one proxy that subscribes to it."""

    def __init__(self) -> None:
        self.net = FakeNet()
        self.status = FakeStatus(quorum=False, all_nodes=False)
        self.history = StateHistory()
        self.subscriptions = Subscriptions(
            self.net, NodeTable(5.0), "t", LeaseTable(), self.history, self.status, lambda: None
        )
        self.connection = FakeConnection()

    def request(self, sequence: int = -1) -> list[Update]:
        """Request an update for the proxy; return all updates that it has received."""
        lease = ProxyLease("p", "127.0.0.2:1", "a", "north", False, 1, 1)
        request = UpdateRequest(lease, "", -1, sequence, 1)
        self.subscriptions.receive(self.connection, request)  # type: ignore[arg-type]
        return self.connection.updates

    @property
    def loop(self) -> FakeLoop:
        return self.net.fake_loop


def test_request_when_both_have_just_started_is_answered_with_the_first_state() -> None:
    coordinator = StartedCoordinator()
    assert coordinator.request() == []
    assert len(coordinator.loop.timers) == 1
    coordinator.history.advance(7, b"state", None)
    coordinator.subscriptions.notify()
    assert [(update.state_sequence, update.state) for update in coordinator.connection.updates] == [
        (7, b"state")
    ]
    assert coordinator.loop.timers == []


def test_request_without_a_state_is_answered_without_quorum_after_the_time_out() -> None:
    coordinator = StartedCoordinator()
    assert coordinator.request() == []
    assert coordinator.loop.delays_s == [POLL_TIMEOUT_S]
    coordinator.loop.fire()
    assert [update.has_quorum for update in coordinator.connection.updates] == [False]


def test_request_of_a_proxy_with_a_state_is_answered_without_quorum_at_once() -> None:
    coordinator = StartedCoordinator()
    assert [update.has_quorum for update in coordinator.request(sequence=3)] == [False]
    assert coordinator.loop.timers == []


def test_request_at_a_coordinator_with_a_state_is_answered_without_quorum_at_once() -> None:
    coordinator = StartedCoordinator()
    coordinator.history.advance(7, b"state", None)
    assert [update.has_quorum for update in coordinator.request()] == [False]


def test_request_at_a_coordinator_with_quorum_is_answered_at_once_without_a_state() -> None:
    coordinator = StartedCoordinator()
    coordinator.status.quorum = True
    assert [update.has_quorum for update in coordinator.request()] == [True]


@pytest.mark.parametrize("seed", [1, 2, 4])
def test_proxies_serve_within_a_quarter_second_of_the_primary(seed: int) -> None:
    deployment = SimulatedDeployment(Deployment(proxies=(3, 3, 3)), seed)
    faults = FaultInjector(deployment)
    for machine in (*deployment.coordinators, *deployment.proxies):
        faults.lose_power(1.0, machine, for_s=1.0)
    deployment.play(3.0)
    primary_s = min(
        log_time_s(line)
        for machine in deployment.coordinators
        for line in machine.log_lines
        if "event=view_changed role=primary epoch=2 " in line
    )
    serving_s = [
        max(log_time_s(line) for line in machine.log_lines if "event=proxy_serving" in line)
        for machine in deployment.proxies
    ]
    assert primary_s > deployment.traffic_from_s + 2.0
    assert max(serving_s) - primary_s < 0.25


def log_time_s(line: str) -> float:
    """Return the time of a log line, in seconds on the simulated clock."""
    return float(line.split()[0].removeprefix("at="))
