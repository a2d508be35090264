"""Emulated clients call emulated model servers directly; both follow the protocol."""

from __future__ import annotations

from dataclasses import replace

import pytest
from stub_core import KIND, UNSAFE_KIND, StubDeployment, configuration

from coveport.serving.settings.boot import Bounds
from coveport.serving.simulation.documents import configuration_document, document_digest, judged_routes
from coveport.serving.simulation.engine import EngineFigures
from coveport.serving.simulation.events import (
    AttemptEnded,
    AttemptStarted,
    Ending,
    NodeEnded,
    Order,
    OrderStarted,
    RequestArrived,
    RequestRan,
    RequestRejected,
)
from coveport.serving.simulation.figures import Objective, figures
from coveport.serving.simulation.judge import judge

BOUNDS = Bounds(retry_slack=5.0)


def log_configuration(deployment: StubDeployment) -> None:
    """Write the configuration to the event log, from which the judge reads the routes."""
    initial = configuration()
    sent_digest = document_digest(configuration_document(initial))
    deployment.event_log.write(
        OrderStarted(
            deployment.world.now, 1, Order.PUT, 1, 0, True, judged_routes(initial.routes), sent_digest
        )
    )


def test_clients_and_nodes_without_faults_break_no_rule() -> None:
    deployment = StubDeployment()
    log_configuration(deployment)
    for number in range(3):
        deployment.node(number + 1)
    served = [
        deployment.send_requests(deployment.client(number), kind, 20)
        for number, kind in enumerate((KIND, UNSAFE_KIND) * 3)
    ]
    deployment.run(60.0)
    assert [sum(results) for results in served] == [20] * 6
    assert judge(deployment.event_log, BOUNDS) == []
    by_kind = figures(deployment.event_log, {"review": Objective(0.8, 0.4), "offer": Objective(1.0, 0.4)})
    assert by_kind["review"].requests == by_kind["review"].in_time == 60
    assert 0 < by_kind["review"].first_event_ms[0] < 200


def test_an_answer_is_a_stream_of_all_events() -> None:
    deployment = StubDeployment()
    deployment.node(1)
    served = deployment.send_requests(deployment.client())
    deployment.run(5.0)
    line = deployment.event_log.of(AttemptEnded)[0]
    assert served == [True]
    assert [event.number for event in line.events] == list(range(1, 11))
    assert line.stamp and line.answered_id == line.attempt_id
    assert line.first_event_s < line.at_s


def test_only_kept_connections_are_reused() -> None:
    for keeps, most in ((True, 1), (False, 5)):
        deployment = StubDeployment()
        deployment.node(1)
        before = deployment.network.connections
        deployment.send_requests(deployment.client(keeps_connections=keeps), times=5)
        deployment.run(1.5)
        assert len(deployment.event_log.of(AttemptStarted)) == 5
        # One further connection is for the lookup, whose answer is valid for two seconds.
        assert deployment.network.connections - before - 1 == most


def test_a_broken_stream_of_an_idempotent_request_is_resumed() -> None:
    deployment = StubDeployment(seed=3)
    log_configuration(deployment)
    nodes = [deployment.node(1), deployment.node(2)]
    nodes[0].faults.break_off_probability = 1.0
    client = deployment.client(keeps_connections=False)
    served = deployment.send_requests(client, replace(KIND, retries=3), times=10)
    deployment.run(60.0)
    assert all(served)
    resumed = [line for line in deployment.event_log.of(AttemptStarted) if line.resumes_after]
    broken = [line for line in deployment.event_log.of(AttemptEnded) if line.ending is Ending.BROKEN]
    assert broken
    assert resumed
    assert len(resumed) <= len(broken)
    assert [one for one in judge(deployment.event_log, BOUNDS) if one.rule not in ("BUDGET",)] == []


def test_a_non_idempotent_request_is_not_retried_after_a_break() -> None:
    deployment = StubDeployment()
    deployment.node(1).faults.break_off_probability = 1.0
    served = deployment.send_requests(deployment.client(), UNSAFE_KIND)
    deployment.run(10.0)
    assert served == [False]
    assert len(deployment.event_log.of(AttemptStarted)) == 1


def test_a_rejected_request_is_retried_after_the_backoff() -> None:
    deployment = StubDeployment()
    deployment.node(1).faults.refuse_probability = 1.0
    served = deployment.send_requests(deployment.client(), UNSAFE_KIND)
    deployment.run(10.0)
    sent = deployment.event_log.of(AttemptStarted)
    assert served == [False]
    assert len(sent) == 2
    assert sent[0].attempt_id != sent[1].attempt_id
    assert sent[1].at_s - sent[0].at_s >= 0.2
    assert not deployment.event_log.of(RequestRan)


def test_a_full_node_rejects_requests_without_running_them() -> None:
    deployment = StubDeployment()
    deployment.node(1, engine=EngineFigures(slots=1, queue=1))
    for number in range(4):
        deployment.send_requests(deployment.client(number), replace(KIND, answer_tokens=500, retries=0))
    deployment.run(10.0)
    rejected = deployment.event_log.of(RequestRejected)
    assert [one.status for one in rejected] == [503, 503]
    assert len(deployment.event_log.of(RequestRan)) == 2


def test_another_incarnation_at_the_address_refuses_with_421() -> None:
    from coveport.http1 import write_request
    from coveport.serving.simulation.exchange import CompleteAnswer, call

    deployment = StubDeployment()
    node = deployment.node(1)
    client = deployment.client()
    net = client.__dict__["_net"]
    found: list[CompleteAnswer | None] = []
    headers = [("Host", "a"), ("Coveport-Try-Id", "x"), ("Coveport-Tokens", "5,5")]

    async def work() -> None:
        for named in ("i-other", node.incarnation):
            request = write_request("POST", "/r/", [*headers, ("Coveport-Addressee", named)], b"b")
            found.append(await call(net, ("10.0.0.1", 8080), request, 1.0))

    deployment.run(0.1)
    deployment.run_in(client, work)
    deployment.run(2.0)
    statuses = [one.status for one in found if one is not None]
    assert statuses == [421, 200]
    assert found[0] is not None and "coveport-not-run" in found[0].headers


def test_clients_abandon_an_unresponsive_node_and_try_another() -> None:
    deployment = StubDeployment()
    deployment.node(1).set_unresponsive(True)
    deployment.node(2)
    served = deployment.send_requests(deployment.client(), replace(KIND, deadline_s=20.0), times=8)
    deployment.run(120.0)
    abandoned = [one for one in deployment.event_log.of(AttemptEnded) if one.ending is Ending.ABANDONED]
    sent = {one.attempt_id: one for one in deployment.event_log.of(AttemptStarted)}
    assert abandoned
    assert True in served
    assert all(one.at_s - sent[one.attempt_id].at_s == pytest.approx(3.2) for one in abandoned)


def test_a_node_that_warms_up_crashes_above_its_limit() -> None:
    deployment = StubDeployment()
    node = deployment.node(1, warm_up_s=10.0, warm_up_rate=5.0, warm_up_crash_rate=12.0)
    for number in range(14):
        deployment.send_requests(deployment.client(number), replace(KIND, retries=0))
    deployment.run(3.0)
    assert node.ended
    assert [one.planned for one in deployment.event_log.of(NodeEnded)] == [False]
    assert [
        one.rule
        for one in judge(deployment.event_log, Bounds(warm_up_overshoot=1.5, warm_up_slack=4.0))
        if one.rule == "FAILBACK"
    ] == ["FAILBACK"]
    assert len(deployment.event_log.of(RequestArrived)) == 13


def test_the_same_seed_gives_the_same_day() -> None:
    def play(seed: int) -> str:
        deployment = StubDeployment(seed)
        deployment.node(1)
        deployment.node(2).faults.break_off_probability = 0.3
        for number in range(3):
            deployment.send_requests(deployment.client(number), times=5)
        deployment.run(30.0)
        return deployment.network.trace

    assert play(5) == play(5)
    assert play(5) != play(6)
