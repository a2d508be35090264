"""Clients that come before a proxy knows anything wait a moment, and no longer."""

from __future__ import annotations

import pytest
from proxy_ground import PORT, PROXY_IP, Ground
from scripted_node import Arrival, ScriptedClient

from coveport.http1 import codec
from coveport.serving.model.configuration import Configuration
from coveport.serving.proxy.startup_hold import AFTER_START_S, HOLD_S


def whole(arrival: Arrival) -> None:
    arrival.whole()


@pytest.fixture
def ground() -> Ground:
    """A proxy that was just started."""
    return Ground()


def forget_configuration(ground: Ground) -> Configuration:
    configuration = ground.view.configuration
    assert configuration is not None
    ground.view.configuration = None
    return configuration


def asked(ground: Ground) -> ScriptedClient:
    client = ground.client()
    client.ask("/u/x")
    return client


def answer(ground: Ground, client: ScriptedClient) -> codec.Response:
    found = ground.run(client.answer())
    assert found is not None
    return found


def test_one_that_comes_a_moment_early_is_served(ground: Ground) -> None:
    configuration = forget_configuration(ground)
    client = asked(ground)
    ground.sleep(0.3)
    ground.view.configuration = configuration
    ground.node(whole)
    assert answer(ground, client).status == 200
    ground.check()


def test_without_a_configuration_it_is_refused_when_it_has_waited(ground: Ground) -> None:
    forget_configuration(ground)
    began_s = ground.time.now
    found = answer(ground, asked(ground))
    assert found.status == 503 and "retry-after" in found.headers
    assert HOLD_S <= ground.time.now - began_s < HOLD_S + 0.1
    ground.check()


def test_long_after_the_start_it_is_refused_at_once(ground: Ground) -> None:
    forget_configuration(ground)
    ground.sleep(AFTER_START_S)
    began_s = ground.time.now
    assert answer(ground, asked(ground)).status == 503
    assert ground.time.now - began_s < 0.1
    ground.check()


def test_what_a_client_sent_is_held_back_whole_while_it_waits(ground: Ground) -> None:
    configuration = forget_configuration(ground)
    clients = [asked(ground) for _ in range(20)]
    ground.sleep(0.2)
    ground.view.configuration = configuration
    node = ground.node(whole)
    assert [answer(ground, client).status for client in clients] == [200] * 20
    assert len(node.connections) <= 20
    assert (PROXY_IP, PORT) in ground.network.listening
    ground.check()
