"""The load that a proxy reports, compared with a count of every request."""

from __future__ import annotations

from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from coveport.serving.model.configuration import Configuration, Scaling, Service
from coveport.serving.model.node import Node, NodeState
from coveport.serving.model.telemetry import ServiceLoad
from coveport.serving.model.view import ControlView
from coveport.serving.proxy.admission import AdmissionQueues
from coveport.serving.proxy.load_sampler import SAMPLE_INTERVAL_S, LoadCounters, LoadSampler

SCALED = Service("s", scaling=Scaling(1, 5, 8.0))
FIXED = Service("fixed")


def node(service: str = "s", zone: str = "z") -> Node:
    return Node(f"{service}-{zone}", 1, service, "10.0.0.1:80", zone, "r", 16, NodeState.ACCEPTING)


class SampledProxy:
    """The load counters and queues of a proxy in zone `z`, with a settable clock."""

    def __init__(self, *services: Service) -> None:
        self.now_s = 100.0
        self.counters = LoadCounters()
        self.queues = AdmissionQueues()
        view = ControlView(configuration=Configuration(1, (), services))
        self.sampler = LoadSampler(
            view, self.counters, self.queues.lengths_by_service, "z", lambda: self.now_s
        )

    def next_loads(self) -> tuple[ServiceLoad, ...]:
        self.now_s += SAMPLE_INTERVAL_S
        return self.sampler.next_loads()


def test_an_idle_proxy_reports_that_it_has_no_load() -> None:
    assert SampledProxy(SCALED).next_loads() == (ServiceLoad("s", "z", 0, 0, 0),)


def test_services_of_a_fixed_size_are_not_reported() -> None:
    proxy = SampledProxy(FIXED)
    proxy.counters.record_selected(node("fixed"))
    assert proxy.next_loads() == ()


def test_loads_are_sampled_again_only_after_the_interval() -> None:
    proxy = SampledProxy(SCALED)
    assert proxy.next_loads()
    assert proxy.sampler.next_loads() == ()
    assert proxy.next_loads()


def test_waiting_requests_count_in_the_proxys_zone_for_any_home_regions() -> None:
    proxy = SampledProxy(SCALED)
    proxy.counters.record_selected(node(zone="far"))
    proxy.queues.queue_for("s", frozenset()).enqueue(0, lambda: None)
    proxy.queues.queue_for("s", frozenset({"r"})).enqueue(0, lambda: None)
    assert proxy.next_loads() == (ServiceLoad("s", "far", 1, 0, 1), ServiceLoad("s", "z", 0, 2, 0))


@given(st.lists(st.tuples(st.sampled_from(("s", "t")), st.sampled_from(("z", "y")), st.booleans())))
def test_counts_equal_those_of_every_request(steps: list[tuple[str, str, bool]]) -> None:
    proxy = SampledProxy(SCALED, Service("t", scaling=Scaling(1, 5)))
    begun: Counter[tuple[str, str]] = Counter()
    ended: Counter[tuple[str, str]] = Counter()
    for service, zone, is_begin in steps:
        key = (service, zone)
        if is_begin:
            begun[key] += 1
            proxy.counters.record_selected(node(service, zone))
        elif ended[key] < begun[key]:
            ended[key] += 1
            proxy.counters.record_finished(node(service, zone))
    for load in proxy.next_loads():
        key = (load.service, load.zone)
        assert (load.in_flight, load.arrivals) == (begun[key] - ended[key], begun[key])
