"""A node that fails part of what it runs, though it answers at once and its health is good."""

from __future__ import annotations

from random import Random

from proxy_ground import Ground
from scripted_node import Arrival

from coveport.serving.proxy.node_health import GREY_MEMORY_S, LONGEST_WAIT_S, NodeHealth

NOW = 100.0


def test_a_node_that_answers_requests_with_500_is_left_by_those_that_come_after() -> None:
    ground = Ground()

    def fail(arrival: Arrival) -> None:
        arrival.whole(b"", 500)

    def serve(arrival: Arrival) -> None:
        arrival.whole()

    ground.node(fail)
    ground.node(serve)
    statuses = []
    for _ in range(40):
        client = ground.client()
        client.ask("/u/x")
        answer = ground.run(client.answer())
        assert answer is not None
        statuses.append(answer.status)
    assert statuses[20:].count(500) <= 4
    assert ground.figure("node_failures") == statuses.count(500)
    ground.check()


def test_one_failure_is_no_reason_and_two_are() -> None:
    health = NodeHealth(Random(1))
    health.note_failed("n", NOW)
    assert not health.is_out("n", NOW)
    health.note_failed("n", NOW + 0.1)
    assert health.is_out("n", NOW + 0.1)


def test_failures_among_many_that_are_served_are_no_reason() -> None:
    health = NodeHealth(Random(1))
    for _ in range(10):
        health.note_failed("n", NOW)
        for _ in range(9):
            health.note_served("n", NOW)
    assert not health.is_out("n", NOW)


def test_a_node_that_fails_every_other_request_is_out_whichever_came_last() -> None:
    health = NodeHealth(Random(1))
    for _ in range(4):
        health.note_failed("n", NOW)
        health.note_served("n", NOW)
    assert health.is_out("n", NOW)


def test_trials_that_are_served_bring_it_back() -> None:
    health = NodeHealth(Random(1))
    health.note_failed("n", NOW)
    health.note_failed("n", NOW)
    now_s, trials = NOW, 0
    while health.is_out("n", now_s + 0.01):
        now_s += LONGEST_WAIT_S * 1.3  # a trial is due
        assert not health.is_out("n", now_s)
        health.note_served("n", now_s)
        trials += 1
    assert 1 <= trials <= 6


def test_what_it_failed_long_ago_is_forgotten() -> None:
    health = NodeHealth(Random(1))
    health.note_failed("n", NOW)
    health.note_failed("n", NOW)
    health.note_send("n", NOW + GREY_MEMORY_S)
    assert not health.is_out("n", NOW + GREY_MEMORY_S)
    health.note_served("n", NOW + GREY_MEMORY_S)
    assert not health.is_out("n", NOW + GREY_MEMORY_S)


def test_a_connect_that_comes_up_says_nothing_of_its_answers() -> None:
    health = NodeHealth(Random(1))
    health.note_failed("n", NOW)
    health.note_failed("n", NOW)
    health.note_good_end("n")
    assert health.is_out("n", NOW)
