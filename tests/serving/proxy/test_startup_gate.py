"""Clients that come before a proxy knows anything wait a moment, and no longer."""

from __future__ import annotations

import pytest
from proxy_environment import PORT, PROXY_IP, ProxyEnvironment
from scripted_node import Arrival, ScriptedClient

from coveport import http1
from coveport.serving.model.configuration import Configuration
from coveport.serving.proxy.startup_gate import MAX_WAIT_S, STARTUP_WINDOW_S


def respond(arrival: Arrival) -> None:
    arrival.respond()


@pytest.fixture
def environment() -> ProxyEnvironment:
    """A proxy that was just started."""
    return ProxyEnvironment()


def forget_configuration(environment: ProxyEnvironment) -> Configuration:
    configuration = environment.view.configuration
    assert configuration is not None
    environment.view.configuration = None
    return configuration


def send_request(environment: ProxyEnvironment) -> ScriptedClient:
    client = environment.connect_client()
    client.send_request("/u/x")
    return client


def wait_for_response(environment: ProxyEnvironment, client: ScriptedClient) -> http1.Response:
    found = environment.run(client.response())
    assert found is not None
    return found


def test_request_that_comes_briefly_early_is_served(environment: ProxyEnvironment) -> None:
    configuration = forget_configuration(environment)
    client = send_request(environment)
    environment.sleep(0.3)
    environment.view.configuration = configuration
    environment.add_node(respond)
    assert wait_for_response(environment, client).status == 200
    environment.check()


def test_request_without_a_configuration_is_rejected_after_its_wait(environment: ProxyEnvironment) -> None:
    forget_configuration(environment)
    began_s = environment.time.now
    found = wait_for_response(environment, send_request(environment))
    assert found.status == 503 and "retry-after" in found.headers
    assert MAX_WAIT_S <= environment.time.now - began_s < MAX_WAIT_S + 0.1
    environment.check()


def test_request_long_after_the_start_is_rejected_at_once(environment: ProxyEnvironment) -> None:
    forget_configuration(environment)
    environment.sleep(STARTUP_WINDOW_S)
    began_s = environment.time.now
    assert wait_for_response(environment, send_request(environment)).status == 503
    assert environment.time.now - began_s < 0.1
    environment.check()


def test_requests_that_wait_are_all_served_completely(environment: ProxyEnvironment) -> None:
    configuration = forget_configuration(environment)
    clients = [send_request(environment) for _ in range(20)]
    environment.sleep(0.2)
    environment.view.configuration = configuration
    node = environment.add_node(respond)
    assert [wait_for_response(environment, client).status for client in clients] == [200] * 20
    assert len(node.connections) <= 20
    assert (PROXY_IP, PORT) in environment.network.listening
    environment.check()
