"""Each rule on singleton roles and usage reports passes good histories and detects its breach."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from coveport.serving.simulation.deployment import BOUNDS
from coveport.serving.simulation.duty_rules import PlatformHistory, UsageHistory, judge_calls, judge_usage
from coveport.serving.simulation.events import EventLog, FaultBegan, FaultEnded, RequestArrived, RequestRan
from coveport.serving.simulation.history import History
from coveport.serving.simulation.platform import PlatformCallSeen

WINDOW_S = BOUNDS.usage_window_s
DELAY_S = BOUNDS.usage_delay_s
LEASE_S = BOUNDS.lease_ms / 1000
COUNTS = {"north": 2}


@dataclass
class Day:
    """A day that begins at the start of window 0."""

    calls: list[PlatformCallSeen] = field(default_factory=list)
    event_log: EventLog = field(default_factory=EventLog)
    starts_s: dict[str, list[float]] = field(default_factory=dict)

    def report(
        self, at_s: float, window: int, machine: str = "a", fence: int = 1, status: int = 200,
        counts: dict[str, int] = COUNTS,
    ) -> None:  # fmt: skip
        body = {"WindowNo": window, "Counts": counts}
        self.calls.append(PlatformCallSeen(at_s, machine, machine, fence, "/usage", body, status))

    def order(self, at_s: float, zone: str, machine: str, fence: int, status: int = 200) -> None:
        body: dict[str, Any] = {"Service": "s", "Zone": zone, "Wanted": 1}
        self.calls.append(PlatformCallSeen(at_s, machine, machine, fence, "/fleet", body, status))

    def run(self, at_s: float, attempt: str, tenant: str = "north") -> None:
        arrived = RequestArrived(at_s, "i-1", attempt, "POST", "/x", "h", "", tenant=tenant)
        self.event_log.write(arrived)
        self.event_log.write(RequestRan(at_s, "i-1", attempt, f"{attempt}.1", "stamp", 1))

    def fault(self, from_s: float, until_s: float) -> None:
        self.event_log.write(FaultBegan(from_s, 1, "kill", ("p",)))
        self.event_log.write(FaultEnded(until_s, 1))

    def call_breaches(self) -> list[str]:
        """Return the breaches that the calls show, without their times."""
        return [f"{breach.rule}: {breach.text}" for breach in judge_calls(self._platform())]

    def usage_breaches(self, until_s: float = 60.0) -> list[str]:
        """Return the breaches of the rules on reports, without their times."""
        history = UsageHistory(self._platform(), History.of(self.event_log, BOUNDS, 3), 0.0, until_s)
        return [f"{breach.rule}: {breach.text}" for breach in judge_usage(history)]

    def _platform(self) -> PlatformHistory:
        return PlatformHistory(self.calls, BOUNDS, self.starts_s)


def day_with_two_runs() -> Day:
    """Return a day with two runs in window 0."""
    day = Day()
    day.run(1.0, "t1")
    day.run(2.0, "t2")
    return day


def test_a_repeat_of_a_report_by_the_next_holder_breaks_nothing() -> None:
    day = Day()
    day.report(6.0, 0)
    day.report(6.5, 0)
    day.report(11.0, 0, "b", 2)
    assert day.call_breaches() == []


def test_two_reports_of_a_window_that_differ() -> None:
    day = Day()
    day.report(6.0, 0)
    day.report(7.0, 0, counts={"north": 3})
    assert day.call_breaches() == ["ONE: window 0 has two reports that differ"]


def test_a_report_that_was_refused_may_differ() -> None:
    day = Day()
    day.report(6.0, 0, "a", 1, status=409)
    day.report(7.0, 0, "b", 2, counts={"north": 3})
    assert day.call_breaches() == []


def test_a_fence_that_two_machines_send() -> None:
    day = Day()
    day.report(6.0, 0, "a", 4)
    day.report(6.1, 1, "b", 4, status=409)
    text = "ONE: fence 4 is sent by two machines, or by two starts of one: b"
    assert day.call_breaches() == [text]


def test_a_fence_that_two_starts_of_a_machine_send() -> None:
    day = Day(starts_s={"a": [0.0, 10.0]})
    day.report(6.0, 0, "a", 4)
    day.report(11.0, 1, "a", 5)
    assert day.call_breaches() == []
    day.report(12.0, 2, "a", 4, status=409)
    assert day.call_breaches() == ["ONE: fence 4 is sent by two machines, or by two starts of one: a"]


def test_one_fence_sent_by_two_machines_for_different_subjects_breaks_nothing() -> None:
    day = Day()
    day.order(6.0, "hall-1", "a", 4)
    day.order(10.0, "hall-2", "b", 4)
    assert day.call_breaches() == []


def test_a_holder_that_returns_within_a_lease() -> None:
    day = Day()
    day.report(6.0, 0, "a", 1)
    day.report(6.5, 1, "b", 2)
    day.report(6.0 + LEASE_S - 0.1, 2, "a", 3)
    assert day.call_breaches() == ["ONE: a acts again within a lease"]


def test_a_holder_that_returns_after_a_lease_breaks_nothing() -> None:
    day = Day()
    day.report(6.0, 0, "a", 1)
    day.report(6.5, 1, "b", 2)
    day.report(6.0 + LEASE_S + 0.1, 2, "a", 3)
    assert day.call_breaches() == []


def test_a_rejected_call_does_not_count_for_its_holder() -> None:
    day = Day()
    day.report(6.0, 0, "a", 1)
    day.report(6.5, 1, "b", 2)
    day.report(7.0, 2, "a", 1, status=409)
    assert day.call_breaches() == []


def test_a_refused_fence_that_is_sent_again_after_a_lease() -> None:
    day = Day()
    day.report(6.0, 0, "a", 1, status=409)
    day.report(6.0 + LEASE_S - 0.1, 0, "a", 1, status=409)
    assert day.call_breaches() == []
    day.report(6.0 + LEASE_S + 0.1, 0, "a", 1, status=409)
    assert day.call_breaches() == ["Duty: a calls again with refused fence 1"]


def test_a_right_report_in_time_breaks_nothing() -> None:
    day = day_with_two_runs()
    day.report(6.0, 0)
    assert day.usage_breaches() == []


def test_a_window_without_a_report() -> None:
    day = day_with_two_runs()
    day.report(6.0, 0, status=429)
    assert day.usage_breaches() == ["Duty: window 0 is not reported"]
    assert day.usage_breaches(until_s=WINDOW_S + DELAY_S) == [], "the report may still arrive"


def test_a_report_that_comes_late_on_a_calm_day() -> None:
    day = day_with_two_runs()
    day.report(WINDOW_S + DELAY_S + 0.1, 0)
    assert day.usage_breaches() == ["Duty: window 0 is reported too late"]
    day.fault(3.0, 9.0)
    assert day.usage_breaches() == []


def test_a_count_that_is_off_on_a_calm_day() -> None:
    day = day_with_two_runs()
    day.report(6.0, 0, counts={"north": 1})
    assert day.usage_breaches() == ["Duty: window 0, north: 1 reported, 1.9 to 2.1 ran"]
    day.fault(3.0, 9.0)
    assert day.usage_breaches() == []


def test_a_tenant_without_runs_and_an_omitted_tenant() -> None:
    day = day_with_two_runs()
    day.run(3.0, "t3", "south")
    day.report(6.0, 0, counts={"north": 2, "west": 1})
    assert day.usage_breaches() == [
        "Duty: window 0, south: 0 reported, 0.9 to 1.1 ran",
        "Duty: window 0, west: 1 reported, 0.0 to 0.0 ran",
    ]


def test_a_run_at_the_edge_of_a_window_may_count_in_either() -> None:
    for counts in ({"north": 2}, {"north": 3}):
        day = day_with_two_runs()
        day.run(WINDOW_S - 0.01, "t3")
        day.report(6.0, 0, counts=counts)
        assert day.usage_breaches() == []


def test_a_second_run_of_an_attempt_and_a_run_without_a_tenant_are_not_counted() -> None:
    day = day_with_two_runs()
    day.run(3.0, "t2")
    day.run(3.0, "t4", "")
    day.report(6.0, 0)
    assert day.usage_breaches() == []
