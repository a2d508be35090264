"""Bounded waits of requests that arrive before a proxy has a configuration and nodes."""

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
    """A proxy right after its start."""
    return ProxyEnvironment()


def remove_configuration(environment: ProxyEnvironment) -> Configuration:
    """Remove the configuration from the proxy's view, and return it."""
    configuration = environment.view.configuration
    assert configuration is not None
    environment.view.configuration = None
    return configuration


def send_request(environment: ProxyEnvironment) -> ScriptedClient:
    client = environment.connect_client()
    client.send_request("/u/x")
    return client


def wait_for_response(environment: ProxyEnvironment, client: ScriptedClient) -> http1.Response:
    response = environment.run(client.response())
    assert response is not None
    return response


def test_request_shortly_before_the_first_configuration_is_served(environment: ProxyEnvironment) -> None:
    configuration = remove_configuration(environment)
    client = send_request(environment)
    environment.sleep(0.3)
    environment.view.configuration = configuration
    environment.add_node(respond)
    assert wait_for_response(environment, client).status == 200
    environment.check()


def test_request_without_a_configuration_is_rejected_after_its_wait(environment: ProxyEnvironment) -> None:
    remove_configuration(environment)
    began_s = environment.time.now
    response = wait_for_response(environment, send_request(environment))
    assert response.status == 503 and "retry-after" in response.headers
    assert MAX_WAIT_S <= environment.time.now - began_s < MAX_WAIT_S + 0.1
    environment.check()


def test_request_long_after_the_start_is_rejected_at_once(environment: ProxyEnvironment) -> None:
    remove_configuration(environment)
    environment.sleep(STARTUP_WINDOW_S)
    began_s = environment.time.now
    assert wait_for_response(environment, send_request(environment)).status == 503
    assert environment.time.now - began_s < 0.1
    environment.check()


def test_all_waiting_requests_are_served_completely(environment: ProxyEnvironment) -> None:
    configuration = remove_configuration(environment)
    clients = [send_request(environment) for _ in range(20)]
    environment.sleep(0.2)
    environment.view.configuration = configuration
    node = environment.add_node(respond)
    assert [wait_for_response(environment, client).status for client in clients] == [200] * 20
    assert len(node.connections) <= 20
    assert (PROXY_IP, PORT) in environment.network.listening
    environment.check()
