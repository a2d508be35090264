"""A node that fails part of what it runs, though it answers at once and its health is good."""

from __future__ import annotations

from random import Random

from proxy_environment import ProxyEnvironment
from scripted_node import Arrival

from coveport.serving.proxy.outlier_ejection import FAILURE_DECAY_S, MAX_EJECTION_S, OutlierDetector

NOW = 100.0


def test_a_node_that_answers_requests_with_500_is_left_by_those_that_come_after() -> None:
    environment = ProxyEnvironment()

    def fail(arrival: Arrival) -> None:
        arrival.whole(b"", 500)

    def serve(arrival: Arrival) -> None:
        arrival.whole()

    environment.node(fail)
    environment.node(serve)
    statuses = []
    for _ in range(40):
        client = environment.client()
        client.ask("/u/x")
        answer = environment.run(client.answer())
        assert answer is not None
        statuses.append(answer.status)
    assert statuses[20:].count(500) <= 4
    assert environment.metric("node_failures") == statuses.count(500)
    environment.check()


def test_one_failure_is_no_reason_and_two_are() -> None:
    outliers = OutlierDetector(Random(1))
    outliers.record_server_error("n", NOW)
    assert not outliers.is_ejected("n", NOW)
    outliers.record_server_error("n", NOW + 0.1)
    assert outliers.is_ejected("n", NOW + 0.1)


def test_failures_among_many_that_are_served_are_no_reason() -> None:
    outliers = OutlierDetector(Random(1))
    for _ in range(10):
        outliers.record_server_error("n", NOW)
        for _ in range(9):
            outliers.record_served("n", NOW)
    assert not outliers.is_ejected("n", NOW)


def test_a_node_that_fails_every_other_request_is_out_whichever_came_last() -> None:
    outliers = OutlierDetector(Random(1))
    for _ in range(4):
        outliers.record_server_error("n", NOW)
        outliers.record_served("n", NOW)
    assert outliers.is_ejected("n", NOW)


def test_trials_that_are_served_bring_it_back() -> None:
    outliers = OutlierDetector(Random(1))
    outliers.record_server_error("n", NOW)
    outliers.record_server_error("n", NOW)
    now_s, trials = NOW, 0
    while outliers.is_ejected("n", now_s + 0.01):
        now_s += MAX_EJECTION_S * 1.3  # a trial is due
        assert not outliers.is_ejected("n", now_s)
        outliers.record_served("n", now_s)
        trials += 1
    assert 1 <= trials <= 6


def test_what_it_failed_long_ago_is_forgotten() -> None:
    outliers = OutlierDetector(Random(1))
    outliers.record_server_error("n", NOW)
    outliers.record_server_error("n", NOW)
    outliers.record_attempt("n", NOW + FAILURE_DECAY_S)
    assert not outliers.is_ejected("n", NOW + FAILURE_DECAY_S)
    outliers.record_served("n", NOW + FAILURE_DECAY_S)
    assert not outliers.is_ejected("n", NOW + FAILURE_DECAY_S)


def test_a_connect_that_comes_up_says_nothing_of_its_answers() -> None:
    outliers = OutlierDetector(Random(1))
    outliers.record_server_error("n", NOW)
    outliers.record_server_error("n", NOW)
    outliers.record_recovered("n")
    assert outliers.is_ejected("n", NOW)
