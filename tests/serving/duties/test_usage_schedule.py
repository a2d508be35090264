"""Usage reports in simulated time, with faults of proxies, lease owners and the platform."""

from __future__ import annotations

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from usage_world import FIRST_WINDOW, TIMINGS, UsageWorld

from coveport.serving.duties.commands import FixUsageReports
from coveport.serving.duties.duty import CallOutcome
from coveport.serving.duties.usage_ledger import MAX_WINDOWS


def assert_reported(world: UsageWorld, windows: range) -> None:
    """Assert that exactly these windows were reported, in order and with the true counts."""
    assert list(world.platform.accepted_at_s) == list(windows)
    for window in windows:
        expected = {"WindowNo": window, "Counts": dict(world.true_counts.get(window, {}))}
        assert json.loads(world.sent_body(window)) == expected


def test_each_window_is_reported_once_soon_after_its_end() -> None:
    world = UsageWorld()
    world.run(42.0)
    assert_reported(world, range(FIRST_WINDOW, FIRST_WINDOW + 8))
    assert len(world.platform.calls) == 8
    assert all(world.late_by_s(window) < 1.5 for window in world.platform.accepted_at_s)
    assert len(world.state.unsent_reports) == 1, "an accepted report is dropped by the next command"


def test_windows_without_a_request_are_reported_empty() -> None:
    world = UsageWorld()
    world.run(7.0)
    world.requests_per_step = 0
    world.run(22.0)
    world.requests_per_step = 1
    world.run(32.0)
    assert_reported(world, range(FIRST_WINDOW, FIRST_WINDOW + 6))
    assert world.sent_body(FIRST_WINDOW + 2) == b'{"WindowNo":340000002,"Counts":{}}'


def test_the_first_owner_begins_with_the_first_count_even_from_before_its_takeover() -> None:
    world = UsageWorld()
    world.has_owner = False
    world.run(23.0)
    world.has_owner = True
    world.take_over()
    world.run(42.0)
    assert_reported(world, range(FIRST_WINDOW, FIRST_WINDOW + 8))

    idle = UsageWorld()
    idle.requests_per_step = 0
    idle.run(23.0)
    idle.requests_per_step = 1
    idle.run(42.0)
    assert_reported(idle, range(FIRST_WINDOW + 4, FIRST_WINDOW + 8))


def test_counts_of_a_partitioned_proxy_are_awaited_while_the_report_is_in_time() -> None:
    world = UsageWorld()
    world.run(12.0)
    world.proxies[0].is_partitioned = True
    world.run(16.0)
    world.proxies[0].is_partitioned = False
    world.run(42.0)
    assert_reported(world, range(FIRST_WINDOW, FIRST_WINDOW + 8))
    assert all(world.late_by_s(window) < TIMINGS.delay_s for window in world.platform.accepted_at_s)


def test_a_killed_proxy_makes_no_report_late() -> None:
    world = UsageWorld()
    world.run(12.0)
    world.proxies[0].is_killed = True
    world.run(60.0)
    assert list(world.platform.accepted_at_s) == list(range(FIRST_WINDOW, FIRST_WINDOW + 11))
    assert all(world.late_by_s(window) < 6.0 for window in world.platform.accepted_at_s)
    assert world.late_by_s(FIRST_WINDOW + 10) < 1.5, "the proxy is dropped from the table by then"


def test_a_live_proxy_that_reports_nothing_makes_no_report_late() -> None:
    world = UsageWorld()
    world.proxies[0].is_partitioned = True

    def renew_lease() -> None:
        world.proxies[0].lease_renewed_at_s = world.now_s

    world.run(42.0, renew_lease)
    assert all(world.late_by_s(window) < TIMINGS.delay_s - 2.5 for window in world.platform.accepted_at_s)
    assert list(world.platform.accepted_at_s) == list(range(FIRST_WINDOW, FIRST_WINDOW + 7))


def test_the_next_owner_sends_the_same_bytes() -> None:
    world = UsageWorld()
    world.platform.outcome = CallOutcome.UNKNOWN
    world.run(12.0)
    assert [report.window for report in world.state.unsent_reports] == [FIRST_WINDOW, FIRST_WINDOW + 1]
    world.take_over()
    world.platform.outcome = CallOutcome.ACCEPTED
    world.run(42.0)
    assert_reported(world, range(FIRST_WINDOW, FIRST_WINDOW + 8))


def test_the_next_owner_repeats_an_accepted_report_that_is_still_in_the_state() -> None:
    world = UsageWorld()
    world.run(12.0)
    calls = len(world.platform.calls)
    world.take_over()
    world.run(14.0)
    assert len(world.platform.calls) == calls + 1
    assert_reported(world, range(FIRST_WINDOW, FIRST_WINDOW + 2))


@pytest.mark.parametrize("outcome", [CallOutcome.UNKNOWN, CallOutcome.THROTTLED])
def test_a_platform_that_is_down_for_a_minute_gets_all_reports_in_their_order(outcome: CallOutcome) -> None:
    world = UsageWorld()
    world.run(12.0)
    world.platform.outcome = outcome
    calls = len(world.platform.calls)
    world.run(72.0)
    assert len(world.platform.calls) - calls < 70, "about one call a second"
    world.platform.outcome = CallOutcome.ACCEPTED
    world.run(75.0)
    assert_reported(world, range(FIRST_WINDOW, FIRST_WINDOW + 14))


def test_windows_without_a_lease_owner_are_fixed_later() -> None:
    world = UsageWorld()
    world.run(12.0)
    world.has_owner = False
    world.run(50.0)
    world.has_owner = True
    world.take_over()
    world.run(57.0)
    assert_reported(world, range(FIRST_WINDOW, FIRST_WINDOW + 11))


def test_after_an_outage_of_hours_the_retained_windows_are_reported() -> None:
    world = UsageWorld()
    world.run(12.0)
    world.has_owner = False
    world.requests_per_step = 0
    world.now_s = 5 * 3600.0
    world.has_owner = True
    world.take_over()
    world.run(5 * 3600.0 + 20.0)
    windows = list(world.platform.accepted_at_s)
    assert windows[:2] == [FIRST_WINDOW, FIRST_WINDOW + 1]
    assert windows[2:] == list(range(FIRST_WINDOW + 3600 - MAX_WINDOWS, FIRST_WINDOW + 3603))


@pytest.mark.parametrize("step_s", [2.0, -2.0])
def test_a_step_of_the_owners_clock_has_no_effect(step_s: float) -> None:
    world = UsageWorld()
    world.run(28.0)
    world.clock_step_s = step_s
    world.run(36.0)
    world.clock_step_s = 0.0
    world.run(62.0)
    assert_reported(world, range(FIRST_WINDOW, FIRST_WINDOW + 12))
    assert all(0.5 < world.late_by_s(window) < 1.5 for window in world.platform.accepted_at_s)


def test_a_rejected_report_is_signalled_and_not_repeated() -> None:
    world = UsageWorld()
    world.platform.outcome = CallOutcome.REJECTED
    world.run(7.0)
    assert world.rejected == [FIRST_WINDOW]
    assert len(world.platform.calls) == 1
    world.platform.outcome = CallOutcome.ACCEPTED
    world.run(27.0)
    assert list(world.platform.accepted_at_s) == list(range(FIRST_WINDOW + 1, FIRST_WINDOW + 5))
    assert FIRST_WINDOW not in [report.window for report in world.state.unsent_reports]


def test_only_committed_reports_are_sent() -> None:
    world = UsageWorld()
    world.loses_commits = True
    world.run(30.0)
    assert world.platform.calls == []
    world.loses_commits = False
    world.run(42.0)
    assert_reported(world, range(FIRST_WINDOW, FIRST_WINDOW + 8))


def test_a_command_after_an_outage_has_a_limited_size() -> None:
    world = UsageWorld()
    world.run(12.0)
    world.has_owner = False
    world.run(400.0)
    world.take_over()
    world.run(401.0)
    command = world.schedule.next_command(world.state, world.state.fencing_token, world.now_s)
    assert isinstance(command, FixUsageReports)
    assert [report.window for report in command.reports] == list(range(FIRST_WINDOW + 2, FIRST_WINDOW + 14))


fault_steps = st.lists(
    st.tuples(
        st.sampled_from(["partition", "heal", "down", "up", "take over", "lose commits", "commit"]),
        st.floats(0.3, 6.0),
    ),
    max_size=12,
)


@settings(max_examples=40, deadline=None)
@given(fault_steps, st.integers(0, 1 << 30))
def test_under_random_faults_each_window_is_reported_with_one_body(
    steps: list[tuple[str, float]], seed: int
) -> None:
    world = UsageWorld(seed=seed)
    world.run(6.0)
    for fault, for_s in steps:
        match fault:
            case "partition" | "heal":
                world.random.choice(world.proxies).is_partitioned = fault == "partition"
            case "down" | "up":
                is_down = fault == "down"
                world.platform.outcome = CallOutcome.UNKNOWN if is_down else CallOutcome.ACCEPTED
            case "take over":
                world.take_over()
            case _:
                world.loses_commits = fault == "lose commits"
        world.run(world.now_s + for_s)
    world.loses_commits = False
    world.platform.outcome = CallOutcome.ACCEPTED
    for proxy in world.proxies:
        proxy.is_partitioned = False
    world.run(world.now_s + 20.0)
    reported = list(world.platform.accepted_at_s)
    assert reported == list(range(reported[0], reported[0] + len(reported)))
    assert reported[-1] >= world.window - 2
    assert all(len(bodies) == 1 for bodies in world.platform.bodies.values())
