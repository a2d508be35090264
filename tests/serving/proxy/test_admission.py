"""Who waits for a place, and who is let in first."""

from __future__ import annotations

from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from coveport.serving.model.configuration import Route, RouteKind
from coveport.serving.proxy.admission import AdmissionQueue, AdmissionQueues, max_wait_s

ROUTE = Route("r", "h", "/", RouteKind.UNSAFE, 5000, latency_target_ms=800)


def nothing() -> None:
    pass


def test_nobody_waits_longer_than_a_quarter_of_the_objective() -> None:
    for objective in (100, 800, 1200, 60_000):
        assert 0 < max_wait_s(replace(ROUTE, latency_target_ms=objective)) < objective / 4000
    assert 0 < max_wait_s(replace(ROUTE, latency_target_ms=0)) <= 0.5


@given(st.lists(st.integers(0, 3), max_size=40), st.data())
def test_the_first_is_the_most_urgent_and_of_those_the_oldest(ranks: list[int], data: st.DataObject) -> None:
    queue = AdmissionQueue()
    here = []
    for rank in ranks:
        here.append(queue.enqueue(rank, nothing))
        if data.draw(st.booleans()):
            leaving = here.pop(data.draw(st.integers(0, len(here) - 1)))
            assert leaving is not None
            queue.remove(leaving)
        assert len(queue) == len(here)
        order = sorted((one for one in here if one is not None), key=lambda one: (one.priority, one.number))
        assert [queue.is_first(one) for one in order] == [one is order[0] for one in order]


def test_who_becomes_first_is_woken() -> None:
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


def test_a_full_queue_takes_the_urgent_in_and_lets_the_last_of_the_others_go() -> None:
    queue = AdmissionQueue(max_length=3)
    woken: list[str] = []
    calm = [queue.enqueue(2, lambda: woken.append("calm")) for _ in range(3)]
    assert queue.enqueue(2, nothing) is None
    urgent = queue.enqueue(0, nothing)
    assert urgent is not None and queue.is_first(urgent) and len(queue) == 3
    assert [one.is_removed for one in calm if one is not None] == [False, False, True]
    assert woken == ["calm"]


def test_requests_for_other_nodes_wait_in_queues_of_their_own() -> None:
    queues = AdmissionQueues()
    home = frozenset({"r"})
    assert queues.of("s", home) is queues.of("s", frozenset({"r"}))
    assert queues.of("s", home) is not queues.of("s", frozenset())
    assert queues.of("s", home) is not queues.of("t", home)
    queues.of("s", home).enqueue(0, nothing)
    assert len(queues) == 1
