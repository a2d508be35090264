"""Counts of the requests of tenants by usage window."""

from __future__ import annotations

from coveport.serving.model.telemetry import TenantCount, WindowCounts
from coveport.serving.proxy.usage_counter import KEPT_WINDOWS, SETTLING_S, UsageCounter

WINDOW_S = 5.0


def test_a_request_counts_in_the_window_of_its_time() -> None:
    counter = UsageCounter(WINDOW_S)
    for tenant, unix_s in [("b", 99.9), ("a", 100.0), ("a", 104.99), ("a", 105.0)]:
        counter.add(tenant, unix_s)
    assert counter.take_changes() == (
        WindowCounts(19, (TenantCount("b", 1),)),
        WindowCounts(20, (TenantCount("a", 2),)),
        WindowCounts(21, (TenantCount("a", 1),)),
    )


def test_only_changes_are_taken_with_their_absolute_counts() -> None:
    counter = UsageCounter(WINDOW_S)
    counter.add("a", 100.0)
    counter.add("b", 100.0)
    counter.take_changes()
    assert counter.take_changes() == ()
    counter.add("a", 101.0)
    assert counter.take_changes() == (WindowCounts(20, (TenantCount("a", 2),)),)
    counter.mark_all_changed()
    assert counter.take_changes() == (WindowCounts(20, (TenantCount("a", 2), TenantCount("b", 1))),)


def test_only_the_last_windows_are_kept() -> None:
    counter = UsageCounter(WINDOW_S)
    for number in range(KEPT_WINDOWS + 5):
        counter.add("a", number * WINDOW_S)
    changes = counter.take_changes()
    assert [counts.window for counts in changes] == list(range(5, KEPT_WINDOWS + 5))


def test_a_window_stays_open_until_its_late_requests_are_counted() -> None:
    counter = UsageCounter(WINDOW_S)
    assert counter.open_window(100.0 + SETTLING_S / 2) == 19
    assert counter.open_window(100.0 + SETTLING_S) == 20


def test_windows_need_not_last_whole_seconds() -> None:
    counter = UsageCounter(2.5)
    counter.add("a", 102.4)
    counter.add("a", 102.5)
    assert [counts.window for counts in counter.take_changes()] == [40, 41]
