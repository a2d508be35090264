"""The admission queue: who waits, and who is admitted first."""

from __future__ import annotations

from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from coveport.serving.model.configuration import Route, RouteKind
from coveport.serving.proxy.admission import AdmissionQueue, AdmissionQueues, max_wait_s

ROUTE = Route("r", "h", "/", RouteKind.UNSAFE, 5000, latency_target_ms=800)


def nothing() -> None:
    pass


def test_wait_of_any_latency_target_is_under_a_quarter_of_it() -> None:
    for objective in (100, 800, 1200, 60_000):
        assert 0 < max_wait_s(replace(ROUTE, latency_target_ms=objective)) < objective / 4000
    assert 0 < max_wait_s(replace(ROUTE, latency_target_ms=0)) <= 0.5


@given(st.lists(st.integers(0, 3), max_size=40), st.data())
def test_first_is_the_oldest_of_the_highest_priority(ranks: list[int], data: st.DataObject) -> None:
    queue = AdmissionQueue()
    here = []
    for rank in ranks:
        here.append(queue.enqueue(rank, nothing))
        if data.draw(st.booleans()):
            leaving = here.pop(data.draw(st.integers(0, len(here) - 1)))
            assert leaving is not None
            queue.remove(leaving)
        assert len(queue) == len(here)
        order = sorted(
            (queued for queued in here if queued is not None),
            key=lambda queued: (queued.priority, queued.arrival_number),
        )
        assert [queue.is_first(queued) for queued in order] == [queued is order[0] for queued in order]


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
    calm = [queue.enqueue(2, lambda: woken.append("calm")) for _ in range(3)]
    assert queue.enqueue(2, nothing) is None
    urgent = queue.enqueue(0, nothing)
    assert urgent is not None and queue.is_first(urgent) and len(queue) == 3
    assert [queued.is_removed for queued in calm if queued is not None] == [False, False, True]
    assert woken == ["calm"]


def test_requests_for_different_nodes_wait_in_separate_queues() -> None:
    queues = AdmissionQueues()
    home = frozenset({"r"})
    assert queues.queue_for("s", home) is queues.queue_for("s", frozenset({"r"}))
    assert queues.queue_for("s", home) is not queues.queue_for("s", frozenset())
    assert queues.queue_for("s", home) is not queues.queue_for("t", home)
    queues.queue_for("s", home).enqueue(0, nothing)
    assert len(queues) == 1
