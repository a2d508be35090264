"""Tests of the admission queue: the order of admission and the bound on its length."""

from __future__ import annotations

from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from coveport.serving.model.configuration import Route, RouteKind
from coveport.serving.proxy.admission import AdmissionQueue, AdmissionQueues, max_wait_s

ROUTE = Route("r", "h", "/", RouteKind.UNSAFE, 5000, latency_target_ms=800)


def ignore_wake() -> None:
    pass


def test_wait_of_any_latency_target_is_under_a_quarter_of_it() -> None:
    for target_ms in (100, 800, 1200, 60_000):
        assert 0 < max_wait_s(replace(ROUTE, latency_target_ms=target_ms)) < target_ms / 4000
    assert 0 < max_wait_s(replace(ROUTE, latency_target_ms=0)) <= 0.5


@given(st.lists(st.integers(0, 3), max_size=40), st.data())
def test_first_is_the_oldest_of_the_highest_priority(priorities: list[int], data: st.DataObject) -> None:
    queue = AdmissionQueue()
    waiting = []
    for drawn_priority in priorities:
        waiting.append(queue.enqueue(drawn_priority, ignore_wake))
        if data.draw(st.booleans()):
            removed = waiting.pop(data.draw(st.integers(0, len(waiting) - 1)))
            assert removed is not None
            queue.remove(removed)
        assert len(queue) == len(waiting)
        admission_order = sorted(
            (queued for queued in waiting if queued is not None),
            key=lambda queued: (queued.priority, queued.arrival_number),
        )
        assert [queue.is_first(queued) for queued in admission_order] == [
            queued is admission_order[0] for queued in admission_order
        ]


def test_request_is_woken_when_it_becomes_first() -> None:
    queue = AdmissionQueue()
    woken: list[str] = []
    first = queue.enqueue(1, lambda: woken.append("first"))
    second = queue.enqueue(1, lambda: woken.append("second"))
    assert first is not None and second is not None
    queue.remove(second)
    assert woken == []
    third = queue.enqueue(1, lambda: woken.append("third"))
    queue.remove(first)
    queue.remove(first)
    assert woken == ["third"] and third is not None and queue.is_first(third)


def test_full_queue_removes_its_last_for_a_higher_priority() -> None:
    queue = AdmissionQueue(max_length=3)
    woken: list[str] = []
    low_priority = [queue.enqueue(2, lambda: woken.append("low")) for _ in range(3)]
    assert queue.enqueue(2, ignore_wake) is None
    urgent = queue.enqueue(0, ignore_wake)
    assert urgent is not None and queue.is_first(urgent) and len(queue) == 3
    assert [queued.is_removed for queued in low_priority if queued is not None] == [False, False, True]
    assert woken == ["low"]


def test_requests_for_different_nodes_wait_in_separate_queues() -> None:
    queues = AdmissionQueues()
    home = frozenset({"r"})
    assert queues.queue_for("s", home) is queues.queue_for("s", frozenset({"r"}))
    assert queues.queue_for("s", home) is not queues.queue_for("s", frozenset())
    assert queues.queue_for("s", home) is not queues.queue_for("t", home)
    queues.queue_for("s", home).enqueue(0, ignore_wake)
    assert len(queues) == 1
