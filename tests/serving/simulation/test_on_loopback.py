"""Emulated clients and nodes on real sockets, and the exit code and summary of the day on loopback."""

from __future__ import annotations

import asyncio
import json
from random import Random

from stub_core import KIND, SERVICE

from coveport.http1 import Request
from coveport.net.transport import Net
from coveport.serving.settings.boot import Bounds
from coveport.serving.simulation.client import Client, ClientFigures
from coveport.serving.simulation.events import AttemptEnded, EventLog, HeartbeatAnswered, RequestRan
from coveport.serving.simulation.exchange import ServerConnection
from coveport.serving.simulation.figures import KindFigures
from coveport.serving.simulation.history import Breach
from coveport.serving.simulation.judge import judge
from coveport.serving.simulation.local_day import BROKEN, LocalDayResult, summary
from coveport.serving.simulation.model_server import ModelServer, NodeFigures
from coveport.serving.simulation.registration import Registration

HOST = "127.0.0.1"


async def play_on_loopback(event_log: EventLog) -> list[bool]:
    """Run a node with heartbeats and a client that looks it up; return whether its requests were served."""
    net = Net(asyncio.get_running_loop())
    figures = NodeFigures(SERVICE, (HOST, free_port()), "hall-a", "north")
    node = ModelServer(net, figures, event_log, Random(1))

    async def answer(connection: ServerConnection, request: Request) -> None:
        addresses = ["{}:{}".format(*figures.address)]
        connection.answer(200, [], json.dumps({"Addresses": addresses, "TtlS": 2}).encode())

    core = await net.listen(
        lambda: ServerConnection(answer, lambda connection: None), (HOST, 0), accepts_per_turn=8, backlog=8
    )
    coordinators = [(HOST, core.port)]
    await node.start()
    registration = Registration(net, node, lambda: list(coordinators), 1000.0, event_log, Random(2))
    client = Client(net, ClientFigures("hall-a", "north"), lambda: list(coordinators), event_log, Random(3))
    served = [await client.send_request(KIND), await client.send_request(KIND)]
    await registration.leave(0.0)
    core.close()
    return served


def free_port() -> int:
    import socket

    with socket.create_server((HOST, 0)) as server:
        port: int = server.getsockname()[1]
    return port


def test_emulated_clients_and_nodes_work_on_real_sockets() -> None:
    event_log = EventLog()
    assert asyncio.run(play_on_loopback(event_log)) == [True, True]
    assert len(event_log.of(RequestRan)) == 2
    assert [event.number for event in event_log.of(AttemptEnded)[1].events] == list(range(1, 11))
    assert [line.state for line in event_log.of(HeartbeatAnswered)] == ["closing", "gone"]
    assert judge(event_log, Bounds()) == [
        Breach("ROUTE", ran.at_s, f"try {ran.attempt_id} ran at service {SERVICE}")
        for ran in event_log.of(RequestRan)
    ]  # no configuration was ever sent


SERVED = KindFigures(10, 9, 8, 11, (), (100.0, 200.0, 300.0))


def test_the_exit_code_is_0_only_if_the_day_was_ready_served_requests_and_broke_no_rule() -> None:
    breach = Breach("TWICE", 1.0, "a try ran twice")
    assert LocalDayResult(True, (), {"review": SERVED}, EventLog()).exit_code == 0
    assert LocalDayResult(True, (breach,), {"review": SERVED}, EventLog()).exit_code == BROKEN
    assert LocalDayResult(True, (), {}, EventLog()).exit_code == BROKEN
    assert LocalDayResult(False, (), {"review": SERVED}, EventLog()).exit_code == BROKEN


def test_the_summary_contains_figures_and_broken_rules() -> None:
    breach = Breach("TWICE", 1.0, "a try ran twice")
    good = "\n".join(summary(LocalDayResult(True, (), {"review": SERVED}, EventLog())))
    assert "no rule was broken" in good
    header = "kind        asked  served  in time    first event, ms: median, 95%"
    assert header in good.splitlines()
    assert ["review", "10", "9", "8", "100", "200"] in [line.split() for line in good.splitlines()]
    bad = "\n".join(summary(LocalDayResult(True, (breach,), {"review": SERVED}, EventLog())))
    assert "rule broken: TWICE at 1.000 s: a try ran twice" in bad
    assert "no rule" not in bad
    assert "not played" in "\n".join(summary(LocalDayResult(False, (), {}, EventLog())))
