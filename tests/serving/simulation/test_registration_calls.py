"""A node's heartbeats and its deregistration, against a stub coordinator with scripted answers."""

from __future__ import annotations

import json

import pytest
from stub_core import StubDeployment

from coveport.serving.simulation.events import HeartbeatAnswered, NodeEnded


def bodies(deployment: StubDeployment) -> list[dict[str, object]]:
    return [json.loads(call.body) for call in deployment.core.calls if call.method == "PUT"]


def test_heartbeats_have_rising_numbers_and_the_required_fields() -> None:
    deployment = StubDeployment()
    node = deployment.node(1, heartbeats=True, warm_up_s=2.0)
    deployment.run(5.0)
    heartbeats = bodies(deployment)
    assert 5 <= len(heartbeats) <= 6
    assert [heartbeat["CallSeq"] for heartbeat in heartbeats] == list(range(1, len(heartbeats) + 1))
    assert heartbeats[0]["Service"] == "scribe"
    assert heartbeats[0]["Zone"] == "hall-a"
    assert heartbeats[0]["Address"] == "10.0.0.1:8080"
    assert heartbeats[0]["State"] == "accepting"
    assert 1500 < float(str(heartbeats[0]["ColdLeftMs"])) <= 2000
    assert heartbeats[-1]["ColdLeftMs"] == 0
    assert all(call.target == f"/coveport/nodes/{node.incarnation}" for call in deployment.core.calls)


def test_a_redirect_is_followed_twice_and_not_three_times() -> None:
    deployment = StubDeployment()
    moved = (307, {"Location": "http://10.9.0.1:7000/coveport/nodes/x"}, b"")
    deployment.core.answers["PUT"] = [moved, moved, (200, {}, b"{}"), moved]
    deployment.node(1, heartbeats=True)
    deployment.run(0.9)
    assert len(deployment.event_log.of(HeartbeatAnswered)) == 1
    assert len(deployment.core.calls) == 3
    deployment.run(1.1)
    assert len(deployment.event_log.of(HeartbeatAnswered)) == 1
    assert len(deployment.core.calls) == 6


def test_heartbeats_follow_the_forward_address_until_a_call_to_it_fails() -> None:
    deployment = StubDeployment()
    forward_net = deployment.net("10.9.0.2", 0)
    from stub_core import StubCore

    forward = StubCore(forward_net, ("10.9.0.2", 7000))
    deployment.run_in(forward, forward.start)
    deployment.core.answers["PUT"] = [(200, {}, b'{"ForwardTo":"10.9.0.2:7000"}')]
    deployment.node(1, heartbeats=True)
    deployment.run(5.0)
    assert len(deployment.core.calls) == 1
    assert len(forward.calls) >= 4
    forward.silent = True
    deployment.run(2.5)
    assert len(deployment.core.calls) >= 2


def test_an_answer_after_a_second_or_above_four_kilobytes_acknowledges_nothing() -> None:
    deployment = StubDeployment()
    deployment.core.silent = True
    deployment.node(1, heartbeats=True)
    deployment.run(5.0)
    assert deployment.core.calls
    assert not deployment.event_log.of(HeartbeatAnswered)
    deployment = StubDeployment()
    deployment.core.answers["PUT"] = [(200, {}, b" " * 4097)]
    deployment.node(1, heartbeats=True)
    deployment.run(5.0)
    assert deployment.core.calls
    assert not deployment.event_log.of(HeartbeatAnswered)


def test_a_leaving_node_reports_closing_drains_deregisters_and_ends() -> None:
    deployment = StubDeployment()
    node = deployment.node(1)
    registration = deployment.registration(node)
    deployment.run(2.0)
    began = deployment.world.now
    deployment.run_in(node, lambda: registration.leave(2.5))
    deployment.run(1.0)
    assert not node.ended
    deployment.run(9.0)
    states = [line.state for line in deployment.event_log.of(HeartbeatAnswered)]
    assert states[-2:] == ["closing", "gone"]
    assert deployment.core.calls[-1].method == "DELETE"
    assert deployment.event_log.of(NodeEnded)[0].planned
    assert deployment.event_log.of(NodeEnded)[0].at_s - began == pytest.approx(2.8, abs=0.2)


def test_a_leaving_node_ends_without_an_acknowledgement() -> None:
    deployment = StubDeployment()
    node = deployment.node(1)
    registration = deployment.registration(node)
    deployment.run(0.5)
    deployment.core.silent = True
    began = deployment.world.now
    deployment.run_in(node, lambda: registration.leave(2.5))
    deployment.run(15.0)
    assert node.ended
    assert 5.0 <= deployment.event_log.of(NodeEnded)[0].at_s - began < 8.0


def test_short_notice_is_reported_and_the_node_ends_on_time() -> None:
    deployment = StubDeployment()
    node = deployment.node(1)
    registration = deployment.registration(node)
    deployment.run(0.5)
    began = deployment.world.now
    deployment.run_in(node, lambda: registration.leave(2.5, gone_in_s=1.0))
    deployment.run(10.0)
    closing = [heartbeat for heartbeat in bodies(deployment) if heartbeat["State"] == "closing"]
    assert 900 <= float(str(closing[0]["TimeLeftMs"])) <= 1000
    assert deployment.event_log.of(NodeEnded)[0].at_s - began == pytest.approx(1.0, abs=0.05)
