"""Ejection of nodes that fail some requests, although they answer at once and pass health checks."""

from __future__ import annotations

from random import Random

from proxy_environment import ProxyEnvironment
from scripted_node import Arrival

from coveport.serving.proxy.outlier_ejection import FAILURE_DECAY_S, MAX_EJECTION_S, OutlierDetector

NOW = 100.0


def test_node_that_answers_500_is_avoided_by_later_requests() -> None:
    environment = ProxyEnvironment()

    def fail(arrival: Arrival) -> None:
        arrival.respond(b"", 500)

    def serve(arrival: Arrival) -> None:
        arrival.respond()

    environment.add_node(fail)
    environment.add_node(serve)
    statuses = []
    for _ in range(40):
        client = environment.connect_client()
        client.send_request("/u/x")
        response = environment.run(client.response())
        assert response is not None
        statuses.append(response.status)
    assert statuses[20:].count(500) <= 4
    assert environment.metric("node_failures") == statuses.count(500)
    environment.check()


def test_one_server_error_does_not_eject_and_two_do() -> None:
    outliers = OutlierDetector(Random(1))
    outliers.record_server_error("n", NOW)
    assert not outliers.is_ejected("n", NOW)
    outliers.record_server_error("n", NOW + 0.1)
    assert outliers.is_ejected("n", NOW + 0.1)


def test_errors_among_many_served_requests_do_not_eject() -> None:
    outliers = OutlierDetector(Random(1))
    for _ in range(10):
        outliers.record_server_error("n", NOW)
        for _ in range(9):
            outliers.record_served("n", NOW)
    assert not outliers.is_ejected("n", NOW)


def test_node_that_fails_every_second_request_is_ejected() -> None:
    outliers = OutlierDetector(Random(1))
    for _ in range(4):
        outliers.record_server_error("n", NOW)
        outliers.record_served("n", NOW)
    assert outliers.is_ejected("n", NOW)


def test_served_requests_end_the_ejection() -> None:
    outliers = OutlierDetector(Random(1))
    outliers.record_server_error("n", NOW)
    outliers.record_server_error("n", NOW)
    now_s, half_open_requests = NOW, 0
    while outliers.is_ejected("n", now_s + 0.01):
        now_s += MAX_EJECTION_S * 1.3  # the circuit is half-open
        assert not outliers.is_ejected("n", now_s)
        outliers.record_served("n", now_s)
        half_open_requests += 1
    assert 1 <= half_open_requests <= 6


def test_old_errors_have_decayed() -> None:
    outliers = OutlierDetector(Random(1))
    outliers.record_server_error("n", NOW)
    outliers.record_server_error("n", NOW)
    outliers.record_attempt("n", NOW + FAILURE_DECAY_S)
    assert not outliers.is_ejected("n", NOW + FAILURE_DECAY_S)
    outliers.record_served("n", NOW + FAILURE_DECAY_S)
    assert not outliers.is_ejected("n", NOW + FAILURE_DECAY_S)


def test_connect_does_not_end_an_ejection_for_errors() -> None:
    outliers = OutlierDetector(Random(1))
    outliers.record_server_error("n", NOW)
    outliers.record_server_error("n", NOW)
    outliers.record_recovered("n")
    assert outliers.is_ejected("n", NOW)
