"""The table of the newest report of each run of a proxy."""

from __future__ import annotations

from coveport.serving.duties.telemetry_table import NO_SEQUENCE, RETENTION_S, TelemetryTable
from coveport.serving.duties.usage_ledger import ReportSource
from coveport.serving.model.telemetry import ProxyTelemetry, ServiceLoad

FIRST = ReportSource("p1", 1)
SECOND = ReportSource("p2", 1)
LOADS = (ServiceLoad("s", "z", 3, 1, 10),)


def report(
    source: ReportSource, sequence: int, open_window: int, loads: tuple[ServiceLoad, ...] = ()
) -> ProxyTelemetry:
    return ProxyTelemetry(source.proxy, source.incarnation, sequence, open_window, (), loads)


def test_an_out_of_order_report_is_ignored_and_a_report_without_loads_keeps_them() -> None:
    table = TelemetryTable()
    assert table.record(report(FIRST, 5, 9, LOADS), 1.0)
    assert not table.record(report(FIRST, 4, 12), 2.0)
    assert table.record(report(FIRST, 6, 10), 3.0)
    entry = table.find(FIRST)
    assert entry is not None
    assert (entry.open_window, entry.loads, entry.received_at_s) == (10, LOADS, 3.0)


def test_a_report_of_counts_alone_creates_no_entry() -> None:
    table = TelemetryTable()
    assert not table.record(report(FIRST, NO_SEQUENCE, 0), 1.0)
    assert table.find(FIRST) is None


def test_a_window_is_final_once_all_live_proxies_have_left_it() -> None:
    table = TelemetryTable()
    table.record(report(FIRST, 1, 8), 0.0)
    assert not table.has_final_counts(7, [FIRST, SECOND]), "SECOND has not reported at all"
    table.record(report(SECOND, 1, 7), 0.0)
    assert not table.has_final_counts(7, [FIRST, SECOND])
    table.record(report(SECOND, 2, 8), 0.0)
    assert table.has_final_counts(7, [FIRST, SECOND])


def test_a_proxy_without_a_lease_may_still_count_until_it_is_forgotten() -> None:
    table = TelemetryTable()
    table.record(report(FIRST, 1, 7), 0.0)
    assert table.has_unresponsive_proxies(7, [SECOND])
    assert not table.has_unresponsive_proxies(6, [SECOND]), "it has reported that window"
    table.expire(RETENTION_S + 1)
    assert not table.has_unresponsive_proxies(7, [SECOND])


def test_an_earlier_run_of_a_proxy_does_not_count_as_unresponsive() -> None:
    table = TelemetryTable()
    table.record(report(FIRST, 1, 7), 0.0)
    assert not table.has_unresponsive_proxies(7, [ReportSource("p1", 2)])
    table.record(report(ReportSource("p1", 2), 1, 8), 1.0)
    assert not table.has_unresponsive_proxies(7, [])
