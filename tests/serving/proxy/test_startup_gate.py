"""Clients that come before a proxy knows anything wait a moment, and no longer."""

from __future__ import annotations

import pytest
from proxy_environment import PORT, PROXY_IP, ProxyEnvironment
from scripted_node import Arrival, ScriptedClient

from coveport.http1 import codec
from coveport.serving.model.configuration import Configuration
from coveport.serving.proxy.startup_gate import MAX_WAIT_S, STARTUP_WINDOW_S


def whole(arrival: Arrival) -> None:
    arrival.whole()


@pytest.fixture
def environment() -> ProxyEnvironment:
    """A proxy that was just started."""
    return ProxyEnvironment()


def forget_configuration(environment: ProxyEnvironment) -> Configuration:
    configuration = environment.view.configuration
    assert configuration is not None
    environment.view.configuration = None
    return configuration


def asked(environment: ProxyEnvironment) -> ScriptedClient:
    client = environment.client()
    client.ask("/u/x")
    return client


def answer(environment: ProxyEnvironment, client: ScriptedClient) -> codec.Response:
    found = environment.run(client.answer())
    assert found is not None
    return found


def test_one_that_comes_a_moment_early_is_served(environment: ProxyEnvironment) -> None:
    configuration = forget_configuration(environment)
    client = asked(environment)
    environment.sleep(0.3)
    environment.view.configuration = configuration
    environment.node(whole)
    assert answer(environment, client).status == 200
    environment.check()


def test_without_a_configuration_it_is_refused_when_it_has_waited(environment: ProxyEnvironment) -> None:
    forget_configuration(environment)
    began_s = environment.time.now
    found = answer(environment, asked(environment))
    assert found.status == 503 and "retry-after" in found.headers
    assert MAX_WAIT_S <= environment.time.now - began_s < MAX_WAIT_S + 0.1
    environment.check()


def test_long_after_the_start_it_is_refused_at_once(environment: ProxyEnvironment) -> None:
    forget_configuration(environment)
    environment.sleep(STARTUP_WINDOW_S)
    began_s = environment.time.now
    assert answer(environment, asked(environment)).status == 503
    assert environment.time.now - began_s < 0.1
    environment.check()


def test_what_a_client_sent_is_held_back_whole_while_it_waits(environment: ProxyEnvironment) -> None:
    configuration = forget_configuration(environment)
    clients = [asked(environment) for _ in range(20)]
    environment.sleep(0.2)
    environment.view.configuration = configuration
    node = environment.node(whole)
    assert [answer(environment, client).status for client in clients] == [200] * 20
    assert len(node.connections) <= 20
    assert (PROXY_IP, PORT) in environment.network.listening
    environment.check()
