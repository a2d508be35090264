"""The usage log: counts of proxies give the same sums in any order, with repeats and losses."""

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


def sums(usage_log: UsageLog, window: int = FIRST_WINDOW) -> dict[str, int]:
    return {count.tenant: count.requests for count in usage_log.counts(window)}


def test_counts_are_summed_over_proxies_and_their_incarnations() -> None:
    usage_log = UsageLog()
    usage_log.merge(report("p1", 1, 4, a=3, b=1))
    usage_log.merge(report("p1", 2, 1, a=2))
    usage_log.merge(report("p2", 1, 9, a=10))
    assert sums(usage_log) == {"a": 15, "b": 1}
    assert [count.tenant for count in usage_log.counts(FIRST_WINDOW)] == ["a", "b"]


def test_only_increased_counts_are_returned() -> None:
    usage_log = UsageLog()
    usage_log.merge(report("p1", 1, 1, a=3, b=1))
    (increased,) = usage_log.merge(report("p1", 1, 2, a=3, b=2))
    assert increased == WindowCounts(FIRST_WINDOW, (TenantCount("b", 2),))
    assert usage_log.merge(report("p1", 1, 1, a=3, b=1)) == ()


def test_dropped_windows_are_not_counted_again() -> None:
    usage_log = UsageLog()
    usage_log.merge(report("p1", 1, 1, a=3))
    usage_log.drop_until(FIRST_WINDOW)
    assert usage_log.merge(report("p1", 1, 2, a=5)) == ()
    assert usage_log.first_window() is None
    usage_log.drop_until(FIRST_WINDOW - 5)
    usage_log.merge(report("p1", 1, 3, a=5))
    assert usage_log.first_window() is None, "dropping earlier windows has no effect"


def test_the_oldest_windows_beyond_the_limit_are_dropped() -> None:
    usage_log = UsageLog()
    for number in range(MAX_WINDOWS + 3):
        usage_log.merge(report("p1", 1, number + 1, FIRST_WINDOW + number, a=1))
    assert usage_log.first_window() == FIRST_WINDOW + 3


def test_another_coordinator_gets_all_counts_by_source() -> None:
    usage_log = UsageLog()
    usage_log.merge(report("p1", 1, 1, a=3))
    usage_log.merge(report("p1", 1, 2, FIRST_WINDOW + 1, b=1))
    usage_log.merge(report("p2", 7, 1, a=1))
    peer_log = UsageLog()
    for source, windows in usage_log.by_source().items():
        peer_log.merge(ProxyTelemetry(source.proxy, source.incarnation, 0, 0, windows))
    assert peer_log.by_source() == usage_log.by_source()
    assert set(usage_log.by_source()) == {ReportSource("p1", 1), ReportSource("p2", 7)}


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
    """A proxy's counter and all reports since its first start."""

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
def test_reports_give_the_counts_of_the_proxies_in_any_order_with_repeats_and_losses(
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
    delivered = [sent for proxy in proxies.values() for sent in proxy.reports if random.random() >= loss]
    for proxy in proxies.values():
        proxy.counter.mark_all_changed()
        proxy.report()
        kept.append(proxy.reports[-1])
    arrivals = [*delivered, *kept, *random.sample(delivered, len(delivered) // 2)]
    random.shuffle(arrivals)
    usage_log = UsageLog()
    for arrival in arrivals:
        usage_log.merge(arrival)
    counted = {
        (window, tenant): requests
        for window in range(FIRST_WINDOW, FIRST_WINDOW + 3)
        for tenant, requests in sums(usage_log, window).items()
    }
    assert counted == dict(truth)
