"""Counts of proxies: merged in any order, with repeats and losses, to the same sums."""

from __future__ import annotations

from collections import Counter
from random import Random

from hypothesis import given
from hypothesis import strategies as st

from coveport.serving.duties.usage_ledger import MAX_WINDOWS, ReportSource, UsageLog
from coveport.serving.model.telemetry import ProxyTelemetry, TenantCount, WindowCounts
from coveport.serving.proxy.usage_counter import UsageCounter

FIRST_WINDOW = 340_000_000
WINDOW_S = 5.0


def report(
    proxy: str, incarnation: int, sequence: int, window: int = FIRST_WINDOW, **counts: int
) -> ProxyTelemetry:
    tenants = tuple(TenantCount(tenant, requests) for tenant, requests in sorted(counts.items()))
    return ProxyTelemetry(proxy, incarnation, sequence, window, (WindowCounts(window, tenants),))


def sums(ledger: UsageLog, window: int = FIRST_WINDOW) -> dict[str, int]:
    return {count.tenant: count.requests for count in ledger.counts(window)}


def test_counts_are_summed_over_proxies_and_their_incarnations() -> None:
    ledger = UsageLog()
    ledger.merge(report("p1", 1, 4, a=3, b=1))
    ledger.merge(report("p1", 2, 1, a=2))
    ledger.merge(report("p2", 1, 9, a=10))
    assert sums(ledger) == {"a": 15, "b": 1}
    assert [count.tenant for count in ledger.counts(FIRST_WINDOW)] == ["a", "b"]


def test_only_what_rises_is_returned_to_be_passed_on() -> None:
    ledger = UsageLog()
    ledger.merge(report("p1", 1, 1, a=3, b=1))
    (risen,) = ledger.merge(report("p1", 1, 2, a=3, b=2))
    assert risen == WindowCounts(FIRST_WINDOW, (TenantCount("b", 2),))
    assert ledger.merge(report("p1", 1, 1, a=3, b=1)) == ()


def test_what_is_dropped_is_not_counted_again() -> None:
    ledger = UsageLog()
    ledger.merge(report("p1", 1, 1, a=3))
    ledger.drop_until(FIRST_WINDOW)
    assert ledger.merge(report("p1", 1, 2, a=5)) == ()
    assert ledger.first_window() is None
    ledger.drop_until(FIRST_WINDOW - 5)
    ledger.merge(report("p1", 1, 3, a=5))
    assert ledger.first_window() is None, "a state of before changes nothing"


def test_without_a_majority_the_oldest_windows_go_first() -> None:
    ledger = UsageLog()
    for number in range(MAX_WINDOWS + 3):
        ledger.merge(report("p1", 1, number + 1, FIRST_WINDOW + number, a=1))
    assert ledger.first_window() == FIRST_WINDOW + 3


def test_another_coordinator_gets_everything_by_source() -> None:
    ledger = UsageLog()
    ledger.merge(report("p1", 1, 1, a=3))
    ledger.merge(report("p1", 1, 2, FIRST_WINDOW + 1, b=1))
    ledger.merge(report("p2", 7, 1, a=1))
    other = UsageLog()
    for source, windows in ledger.by_source().items():
        other.merge(ProxyTelemetry(source.proxy, source.incarnation, 0, 0, windows))
    assert other.by_source() == ledger.by_source()
    assert set(ledger.by_source()) == {ReportSource("p1", 1), ReportSource("p2", 7)}


requests = st.lists(
    st.tuples(
        st.sampled_from(["p1", "p2"]),
        st.sampled_from(["a", "b", "größe"]),
        st.floats(0, 14.9),
        st.sampled_from(["count", "report", "reconnect", "restart"]),
    ),
    max_size=60,
)


class _CountingProxy:
    """A proxy's counter and its reports, and what it has counted since its first start."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.incarnation = 1
        self.sequence = 0
        self.counter = UsageCounter(WINDOW_S)
        self.reports: list[ProxyTelemetry] = []

    def report(self) -> None:
        self.sequence += 1
        windows = self.counter.take_changes()
        self.reports.append(ProxyTelemetry(self.name, self.incarnation, self.sequence, 0, windows))

    def restart(self) -> None:
        self.report()
        self.incarnation += 1
        self.counter = UsageCounter(WINDOW_S)


@given(requests, st.integers(0, 1 << 30), st.floats(0.0, 0.7))
def test_any_order_repeat_and_loss_of_reports_leads_to_what_the_proxies_counted(
    steps: list[tuple[str, str, float, str]], seed: int, loss: float
) -> None:
    random = Random(seed)
    proxies = {name: _CountingProxy(name) for name in ("p1", "p2")}
    truth: Counter[tuple[int, str]] = Counter()
    kept: list[ProxyTelemetry] = []
    for name, tenant, after_s, step in steps:
        proxy = proxies[name]
        proxy.counter.add(tenant, FIRST_WINDOW * WINDOW_S + after_s)
        truth[FIRST_WINDOW + int(after_s // WINDOW_S), tenant] += 1
        if step == "report":
            proxy.report()
        elif step == "reconnect":
            proxy.counter.mark_all_changed()
        elif step == "restart":
            proxy.counter.mark_all_changed()
            proxy.restart()
            kept.append(proxy.reports[-1])
    lost = [one for proxy in proxies.values() for one in proxy.reports if random.random() >= loss]
    for proxy in proxies.values():
        proxy.counter.mark_all_changed()
        proxy.report()
        kept.append(proxy.reports[-1])
    arrivals = [*lost, *kept, *random.sample(lost, len(lost) // 2)]
    random.shuffle(arrivals)
    ledger = UsageLog()
    for arrival in arrivals:
        ledger.merge(arrival)
    counted = {
        (window, tenant): requests
        for window in range(FIRST_WINDOW, FIRST_WINDOW + 3)
        for tenant, requests in sums(ledger, window).items()
    }
    assert counted == dict(truth)
