"""Commands of the lease owner, applied to the replicated state."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from coveport.serving.duties import state_machine
from coveport.serving.duties.commands import (
    AcquireDuties,
    FixUsageReports,
    RecordFleetOrders,
    SingletonCommand,
)
from coveport.serving.duties.state import FleetOrder, LeaseOwner, SingletonState, UsageReport
from coveport.serving.duties.state_machine import (
    CommandRefusal,
    RefusalReason,
    apply_singleton_command,
)
from coveport.serving.model.telemetry import TenantCount

FIRST, SECOND = LeaseOwner("one", "a"), LeaseOwner("two", "b")


def report(window: int, requests: int = 1) -> UsageReport:
    return UsageReport(window, (TenantCount("tenant", requests),))


def run(state: SingletonState, *commands: SingletonCommand) -> SingletonState:
    """Return the state after commands, none of which may be refused."""
    for command in commands:
        after = apply_singleton_command(state, command)
        assert isinstance(after, SingletonState), after
        state = after
    return state


def owned_state(fencing_token: int = 1) -> SingletonState:
    return SingletonState(FIRST, fencing_token)


def test_the_fencing_token_rises_with_every_acquisition() -> None:
    state = run(SingletonState(), AcquireDuties(FIRST, 0), AcquireDuties(SECOND, 1), AcquireDuties(SECOND, 2))
    assert (state.owner, state.fencing_token) == (SECOND, 3)


@pytest.mark.parametrize("previous_token", [0, 2])
def test_a_second_acquisition_on_one_fencing_token_is_refused(previous_token: int) -> None:
    command = AcquireDuties(SECOND, previous_token)
    assert apply_singleton_command(owned_state(), command) == CommandRefusal(RefusalReason.FENCE_CHANGED, 1)


@pytest.mark.parametrize(
    "command", [FixUsageReports(1, (report(5),), ()), RecordFleetOrders(1, (FleetOrder("s", "z", 3),))]
)
def test_a_command_under_an_older_fencing_token_is_refused(command: SingletonCommand) -> None:
    state = run(owned_state(), AcquireDuties(SECOND, 1))
    assert apply_singleton_command(state, command) == CommandRefusal(RefusalReason.FENCE_CHANGED, 2)


def test_a_window_that_is_fixed_keeps_its_counts() -> None:
    state = run(owned_state(), FixUsageReports(1, (report(5, 10), report(6, 20)), ()))
    again = run(state, FixUsageReports(1, (report(5, 99), report(6, 99), report(7, 30)), ()))
    assert again.unsent_reports == (report(5, 10), report(6, 20), report(7, 30))
    assert again.last_fixed_window == 7


def test_an_accepted_window_is_dropped_and_never_fixed_again() -> None:
    state = run(owned_state(), FixUsageReports(1, (report(5), report(6)), ()), FixUsageReports(1, (), (5, 6)))
    assert state.unsent_reports == ()
    again = run(state, FixUsageReports(1, (report(5, 9), report(6, 9)), ()))
    assert again == state


def test_reports_outlive_the_lease_owner() -> None:
    state = run(owned_state(), FixUsageReports(1, (report(5, 10),), ()), AcquireDuties(SECOND, 1))
    assert state.unsent_reports == (report(5, 10),)


@pytest.mark.parametrize(
    ("windows", "reason"),
    [
        ((6, 5), RefusalReason.WINDOWS_NOT_RISING),
        ((5, 5), RefusalReason.WINDOWS_NOT_RISING),
        ((-1,), RefusalReason.NEGATIVE_WINDOW),
    ],
)
def test_malformed_windows_are_refused(windows: tuple[int, ...], reason: RefusalReason) -> None:
    command = FixUsageReports(1, tuple(report(window) for window in windows), ())
    assert apply_singleton_command(owned_state(), command) == CommandRefusal(reason, 1)


def test_reports_beyond_the_limit_are_not_fixed(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(state_machine, "MAX_UNSENT_COUNTS", 2)
    offered = FixUsageReports(1, tuple(report(window) for window in (5, 6, 7)), ())
    full = run(owned_state(), offered)
    assert ([kept.window for kept in full.unsent_reports], full.last_fixed_window) == ([5, 6], 6)
    assert run(full, offered) == full
    after = run(full, replace(offered, accepted_windows=(5,)))
    assert [kept.window for kept in after.unsent_reports] == [6, 7]


def test_a_single_report_above_the_limit_is_fixed(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(state_machine, "MAX_UNSENT_COUNTS", 1)
    large = UsageReport(5, (TenantCount("a", 1), TenantCount("b", 1)))
    assert run(owned_state(), FixUsageReports(1, (large, report(6)), ())).unsent_reports == (large,)


def test_the_newest_order_of_each_service_and_zone_is_kept() -> None:
    first = RecordFleetOrders(1, (FleetOrder("s", "z", 3), FleetOrder("s", "a", 4)))
    second = RecordFleetOrders(1, (FleetOrder("s", "z", 5),))
    assert run(owned_state(), first, second).fleet_orders == (
        FleetOrder("s", "a", 4),
        FleetOrder("s", "z", 5),
    )


OWNERS = st.sampled_from([FIRST, SECOND])
TOKENS = st.integers(0, 4)
WINDOWS = st.integers(-1, 8)
COMMANDS = st.one_of(
    st.builds(AcquireDuties, OWNERS, TOKENS),
    st.builds(
        FixUsageReports,
        TOKENS,
        st.lists(st.builds(report, WINDOWS, st.integers(0, 9)), max_size=4).map(tuple),
        st.lists(WINDOWS, max_size=3).map(tuple),
    ),
    st.builds(
        RecordFleetOrders,
        TOKENS,
        st.lists(st.builds(FleetOrder, st.just("s"), st.just("z"), st.integers(0, 3))).map(tuple),
    ),
)


@given(st.lists(COMMANDS, max_size=25))
def test_no_fencing_token_has_two_owners_and_no_window_has_two_counts(
    commands: list[SingletonCommand],
) -> None:
    state = SingletonState()
    owners: dict[int, LeaseOwner | None] = {}
    counts: dict[int, UsageReport] = {}
    for command in commands:
        after = apply_singleton_command(state, command)
        if isinstance(after, CommandRefusal):
            continue
        assert (
            after.fencing_token >= state.fencing_token and after.last_fixed_window >= state.last_fixed_window
        )
        assert owners.setdefault(after.fencing_token, after.owner) == after.owner
        windows = [kept.window for kept in after.unsent_reports]
        assert windows == sorted(set(windows)) and all(
            window <= after.last_fixed_window for window in windows
        )
        for kept in after.unsent_reports:
            assert counts.setdefault(kept.window, kept) == kept
        gone = {kept.window for kept in state.unsent_reports} - set(windows)
        assert not gone or (isinstance(command, FixUsageReports) and gone <= set(command.accepted_windows))
        state = after


@given(st.lists(COMMANDS, max_size=8))
def test_a_command_that_is_repeated_changes_nothing_more(commands: list[SingletonCommand]) -> None:
    """A command is repeated after an unknown outcome; a repeated acquisition is refused."""
    state = SingletonState()
    for command in commands:
        after = apply_singleton_command(state, command)
        if isinstance(after, CommandRefusal):
            continue
        again = apply_singleton_command(after, command)
        assert again == after if not isinstance(command, AcquireDuties) else isinstance(again, CommandRefusal)
        state = after
