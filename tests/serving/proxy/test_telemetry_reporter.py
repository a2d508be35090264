"""A proxy's reports: when they are made, and which requests of tenants they count."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest
from proxy_environment import RESUMABLE, ProxyEnvironment
from scripted_node import Arrival

from coveport import http1
from coveport.net.transport import Net
from coveport.serving.model.telemetry import ProxyTelemetry, ServiceLoad, TenantCount, WindowCounts
from coveport.serving.proxy.request_routing import RoutingFailure
from coveport.serving.proxy.routed_request import RoutedRequest
from coveport.serving.proxy.telemetry_reporter import MIN_INTERVAL_S, TelemetryReporter

WINDOW_S = 5.0
UNIX_S = 1_700_000_000.0  # the beginning of a window
WINDOW = 340_000_000


class SettableNet(Net):
    """Two clocks that a test sets."""

    def __init__(self) -> None:
        self.time_s = 100.0
        self.step_s = 0.0

    def now_s(self) -> float:
        return self.time_s

    def unix_s(self) -> float:
        return UNIX_S + self.time_s - 100.0 + self.step_s


def make_reporter() -> tuple[TelemetryReporter, SettableNet]:
    net = SettableNet()
    reporter = TelemetryReporter(net, "p1", 7, WINDOW_S)
    reporter.begin_connection()
    return reporter, net


def test_a_report_holds_the_changes_since_the_previous_report() -> None:
    reporter, net = make_reporter()
    net.time_s += 1.0
    reporter.record_begun("a", net.time_s)
    assert reporter.next_report() == ProxyTelemetry(
        "p1", 7, 1, WINDOW, (WindowCounts(WINDOW, (TenantCount("a", 1),)),)
    )
    reporter.record_begun("a", net.time_s)
    net.time_s += MIN_INTERVAL_S / 2
    assert reporter.next_report() is None, "the last report is younger than the interval"
    net.time_s += MIN_INTERVAL_S
    assert reporter.next_report() == ProxyTelemetry(
        "p1", 7, 2, WINDOW, (WindowCounts(WINDOW, (TenantCount("a", 2),)),)
    )
    net.time_s += 2 * MIN_INTERVAL_S
    assert reporter.next_report() is None, "nothing changed"
    net.time_s += WINDOW_S
    assert reporter.next_report() == ProxyTelemetry("p1", 7, 3, WINDOW + 1)


def test_another_coordinator_gets_all_counts_at_once() -> None:
    reporter, net = make_reporter()
    reporter.record_begun("a", net.time_s)
    net.time_s += WINDOW_S
    reporter.record_begun("b", net.time_s)
    first = reporter.next_report()
    reporter.begin_connection()
    second = reporter.next_report()
    assert first is not None and second is not None
    assert len(first.windows) == 2
    assert second == replace(first, sequence=2)


def test_current_loads_are_read_for_each_report() -> None:
    reporter, net = make_reporter()
    load = ServiceLoad("s", "z", 1, 2, 3)
    reporter.current_loads = lambda: (load,)
    reporter.next_report()
    net.time_s += 2 * MIN_INTERVAL_S
    report = reporter.next_report()
    assert report is not None
    assert report.loads == (load,)
    reporter.current_loads = tuple
    net.time_s += 2 * MIN_INTERVAL_S
    assert reporter.next_report() is None


@pytest.mark.parametrize("step_s", [2.0, -2.0])
def test_a_step_of_the_wall_clock_moves_no_count(step_s: float) -> None:
    reporter, net = make_reporter()
    for _ in range(10):
        reporter.next_report()
        net.time_s += 1.0
    net.step_s = step_s
    reporter.record_begun("a", net.time_s + 0.1)
    reporter.record_begun("a", net.time_s - 0.1)
    report = reporter.next_report()
    assert report is not None
    assert [counts.window for counts in report.windows] == [WINDOW + 1, WINDOW + 2]


class TenantEnvironment(ProxyEnvironment):
    """A data path whose requests all belong to one tenant, or to none."""

    def __init__(self, tenant: str | None = "acme") -> None:
        super().__init__()
        self.reporter = TelemetryReporter(self.net, "p", 1, WINDOW_S)
        self.data_path._context.telemetry = self.reporter
        router = self.data_path._router
        route = router.route

        def route_for_tenant(message: http1.Request) -> RoutedRequest | RoutingFailure:
            routed = route(message)
            return replace(routed, tenant=tenant) if isinstance(routed, RoutedRequest) else routed

        router.route = route_for_tenant  # type: ignore[method-assign]

    def counts(self) -> dict[str, int]:
        """Return the counts of the next report, over all windows."""
        self.reporter.begin_connection()
        report = self.reporter.next_report()
        assert report is not None
        requests_by_tenant: dict[str, int] = {}
        for window in report.windows:
            for count in window.counts:
                requests_by_tenant[count.tenant] = requests_by_tenant.get(count.tenant, 0) + count.requests
        return requests_by_tenant


def respond(arrival: Arrival) -> None:
    arrival.respond()


def request_once(environment: ProxyEnvironment, path: str) -> http1.Response | None:
    client = environment.connect_client()
    client.send_request(path)
    return environment.run(client.response())


def test_a_request_of_a_tenant_counts_once_a_node_answers_it() -> None:
    environment = TenantEnvironment()
    environment.add_node(respond)
    assert environment.counts() == {}
    request_once(environment, "/u/x")
    request_once(environment, "/safe/x")
    assert environment.counts() == {"acme": 2}
    environment.check()


def test_a_request_without_a_tenant_does_not_count() -> None:
    environment = TenantEnvironment(tenant=None)
    environment.add_node(respond)
    request_once(environment, "/u/x")
    assert environment.counts() == {}


def test_a_request_that_no_node_ran_does_not_count() -> None:
    environment = TenantEnvironment()
    environment.add_node(lambda arrival: arrival.reject())
    request_once(environment, "/u/x")
    assert environment.counts() == {}


def test_a_stream_that_another_node_resumes_counts_once() -> None:
    environment = TenantEnvironment()

    async def break_off_or_finish(arrival: Arrival) -> None:
        after = int(arrival.header("Last-Event-Id") or 0)
        arrival.begin_events()
        arrival.send_event(after + 1)
        await asyncio.sleep(0.05)
        if not after:
            arrival.connection.abort()
            return
        arrival.send_event(after + 2)
        arrival.end_events()

    nodes = [environment.add_node(break_off_or_finish) for _ in range(2)]
    response = request_once(environment, RESUMABLE.path_prefix + "x")
    assert response is not None and response.body.count(b"data:") == 3
    assert sum(len(node.arrivals) for node in nodes) == 2
    assert environment.counts() == {"acme": 1}
    environment.check()


def test_network_delay_from_a_node_in_another_region_is_subtracted() -> None:
    environment = TenantEnvironment()
    begun_times_s: list[float] = []
    record_begun = environment.reporter.record_begun

    def record(tenant: str, at_s: float) -> None:
        begun_times_s.append(at_s)
        record_begun(tenant, at_s)

    environment.reporter.record_begun = record  # type: ignore[method-assign]
    answer_times_s: list[float] = []

    def answer(arrival: Arrival) -> None:
        answer_times_s.append(environment.time.now)
        arrival.respond()

    environment.add_node(answer, region="q")
    request_once(environment, "/u/x")
    assert begun_times_s == pytest.approx(answer_times_s, abs=2e-4)
