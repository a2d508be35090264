"""Singleton roles on days with faults: real coordinators and a platform that checks fencing tokens."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import replace
from random import Random

import pytest

from coveport.serving.coordinator import duty_factory
from coveport.serving.coordinator.coordinator import Coordinator
from coveport.serving.duties.commands import FixUsageReports, SingletonCommand
from coveport.serving.duties.duty import CallOutcome, PlatformCall
from coveport.serving.duties.kinds import SingletonTaskKind
from coveport.serving.duties.lease import SingletonLease
from coveport.serving.duties.state import SingletonState, UsageReport
from coveport.serving.model.telemetry import TenantCount
from coveport.serving.settings.boot import PlatformSettings
from coveport.serving.simulation.deployment import BOUNDS, Deployment
from coveport.serving.simulation.duty_rules import PlatformHistory, judge_calls
from coveport.serving.simulation.faults import FaultInjector
from coveport.serving.simulation.machines import Machine
from coveport.serving.simulation.platform import SimulatedPlatform
from coveport.serving.simulation.world import SimulatedDeployment

PLATFORM = PlatformSettings(("10.250.0.1", 8346), frozenset(SingletonTaskKind), 50.0)
WINDOW_S = 0.5
RETRY_S = 0.3
QUIET_S = 14.0  # after the drawn faults
LEASE_S = BOUNDS.lease_ms / 1000


class WindowDuty:
    """Fixes a report of each short window, with counts unique to this instance, and sends the oldest."""

    def __init__(self) -> None:
        self.accepted: set[int] = set()
        self.takeovers = 0
        self.retry_at_s = 0.0

    def take_over(self, state: SingletonState, now_s: float) -> None:
        self.takeovers += 1
        self.accepted = set()

    def next_command(self, state: SingletonState, fence: int, now_s: float) -> SingletonCommand | None:
        window = int(now_s / WINDOW_S)
        known = self.accepted & {report.window for report in state.unsent_reports}
        if window <= state.last_fixed_window:
            return None
        report = UsageReport(window, (TenantCount("tenant", id(self) % 1000),))
        return FixUsageReports(fence, (report,), tuple(sorted(known)))

    def next_call(self, state: SingletonState, now_s: float) -> PlatformCall | None:
        waiting = [report for report in state.unsent_reports if report.window not in self.accepted]
        if not waiting or now_s < self.retry_at_s:
            return None
        counts = {count.tenant: count.requests for count in waiting[0].counts}
        body = json.dumps({"WindowNo": waiting[0].window, "Counts": counts}).encode()
        return PlatformCall("/usage", body)

    def record_outcome(self, call: PlatformCall, outcome: CallOutcome, now_s: float) -> None:
        if outcome is CallOutcome.ACCEPTED:
            self.accepted.add(json.loads(call.body)["WindowNo"])
        else:
            self.retry_at_s = now_s + RETRY_S


class DutyDay:
    """A day without clients, whose faults the tests schedule."""

    def __init__(self, seed: int, monkeypatch: pytest.MonkeyPatch) -> None:
        monkeypatch.setattr(duty_factory, "make_duties", lambda *_: (WindowDuty(),))
        deployment = replace(Deployment(), platform=PLATFORM, proxies=(0, 0, 0), nodes=(0, 0, 0), clients=())
        self.day = SimulatedDeployment(deployment, seed)
        self.faults = FaultInjector(self.day)
        assert self.day.platform is not None
        self.platform: SimulatedPlatform = self.day.platform
        self.from_s = self.day.traffic_from_s

    def play(self, length_s: float) -> None:
        for machine in self.day.coordinators:
            self.day.world.at(self.day.began_s, machine.start, True)
        self.day.world.run(self.from_s + length_s)
        problems = [problem for machine in self.day.coordinators for problem in machine.problems]
        assert problems == []
        starts_s = {machine.spot.ip: machine.started_s for machine in self.day.coordinators}
        history = PlatformHistory(self.platform.calls, BOUNDS, starts_s)
        assert [str(breach) for breach in judge_calls(history)] == []

    def at(self, at_s: float, step: Callable[[], object]) -> None:
        self.day.at(at_s, step)

    def program(self, machine: Machine) -> Coordinator:
        assert isinstance(machine.program, Coordinator)
        return machine.program

    def primary(self) -> Machine:
        return next(
            machine
            for machine in self.day.coordinators
            if machine.is_up and self.program(machine)._replica.is_primary
        )

    def leads(self) -> bool:
        """Return whether any coordinator is the primary."""
        return any(
            machine.is_up and self.program(machine)._replica.is_primary for machine in self.day.coordinators
        )

    def accepted(self, from_s: float = -1e9, until_s: float = 1e9) -> list[int]:
        """Return the windows that the platform accepted within a time after the start, in order."""
        return [
            call.body["WindowNo"]
            for call in self.platform.calls
            if call.status == 200 and from_s <= call.at_s - self.from_s <= until_s
        ]

    def machines(self) -> list[str]:
        """Return the machines whose calls were accepted, in the order in which they took over."""
        callers = [call.machine for call in self.platform.calls if call.status == 200]
        return [caller for at, caller in enumerate(callers) if at == 0 or callers[at - 1] != caller]

    def logged(self, event: str) -> int:
        lines = [line for machine in self.day.coordinators for line in machine.log_lines]
        return sum(f"event={event} " in f"{line} " for line in lines)


def assert_all_windows_are_sent(day: DutyDay, slack: int) -> None:
    """Assert that all fixed windows except the newest ones have reached the platform."""
    primary = day.program(day.primary())
    state: SingletonState = primary._replica._context.committed_log.state.singleton_state
    fixed = state.last_fixed_window
    sent = set(day.accepted())
    assert len(state.unsent_reports) <= slack + 1
    assert all(report.window in sent or report.window > fixed - slack for report in state.unsent_reports)


def test_without_faults_one_coordinator_acts_from_the_start(monkeypatch: pytest.MonkeyPatch) -> None:
    day = DutyDay(1, monkeypatch)
    day.play(10.0)
    assert len(day.machines()) == 1
    assert {call.fence for call in day.platform.calls} == {1}
    windows = day.accepted()
    assert windows == sorted(windows) and len(windows) == len(set(windows))
    first_s = day.platform.calls[0].at_s - day.day.began_s
    assert first_s < LEASE_S, "the first fencing token needs no wait"
    assert_all_windows_are_sent(day, 2)


def kill(day: DutyDay) -> None:
    day.primary().kill()


def lose_power(day: DutyDay) -> None:
    machine = day.primary()
    machine.place.silent = True
    machine.kill()


def freeze(day: DutyDay) -> None:
    day.primary().freeze(6.0)


def cut_off(day: DutyDay) -> None:
    """Partition the lease holder from its peers; it can still reach the platform."""
    holder = day.primary().spot.ip
    peers = [machine.spot.ip for machine in day.day.coordinators if machine.spot.ip != holder]
    pairs = {(holder, peer) for peer in peers} | {(peer, holder) for peer in peers}
    day.day.network.partition(7, frozenset(pairs))
    day.at(12.0, lambda: day.day.network.heal(7))


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("fault", [kill, lose_power, freeze, cut_off])
def test_another_coordinator_takes_over_after_a_lease_and_sends_the_fixed_reports(
    fault: Callable[[DutyDay], None], seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    day = DutyDay(seed, monkeypatch)
    day.at(5.0, lambda: fault(day))
    day.play(20.0)
    assert len(day.machines()) == 2
    assert day.accepted(0.0, 5.0) and day.accepted(11.0, 20.0)
    assert day.logged("duties_acquired") >= 2
    assert_all_windows_are_sent(day, 2)


def test_a_holder_that_is_cut_off_stops_within_its_lease(monkeypatch: pytest.MonkeyPatch) -> None:
    day = DutyDay(3, monkeypatch)
    day.at(5.0, lambda: cut_off(day))
    day.play(20.0)
    first = day.machines()[0]
    newest = max(call.at_s for call in day.platform.calls if call.machine == first) - day.from_s
    assert newest < 5.0 + LEASE_S
    assert day.logged("duties_lost") == 1


def test_a_restarted_holder_acts_with_another_fencing_token(monkeypatch: pytest.MonkeyPatch) -> None:
    day = DutyDay(4, monkeypatch)
    for machine in day.day.coordinators:
        day.faults.kill(5.0, machine, 0.5)
    day.play(20.0)
    assert {call.fence for call in day.platform.calls} == {1, 2}
    later = [call.at_s - day.from_s for call in day.platform.calls if call.fence == 2]
    assert 5.0 + LEASE_S < min(later) < 5.0 + 3 * LEASE_S


def test_an_unresponsive_platform_gets_every_window_afterwards(monkeypatch: pytest.MonkeyPatch) -> None:
    day = DutyDay(5, monkeypatch)

    def set_silent(silent: bool) -> None:
        day.platform.is_silent = silent

    day.at(3.0, lambda: set_silent(True))
    day.at(9.0, lambda: set_silent(False))
    day.play(20.0)
    assert day.accepted(9.0)
    windows = day.accepted()
    assert windows == sorted(windows)
    assert set(range(min(windows), max(windows) + 1)) == set(windows)
    assert day.logged("platform_call_failed") >= 1


def test_a_rejected_fencing_token_is_replaced_by_the_next(monkeypatch: pytest.MonkeyPatch) -> None:
    day = DutyDay(6, monkeypatch)
    day.platform._highest_fences[("/usage",)] = 3
    day.play(20.0)
    refused = [call.fence for call in day.platform.calls if call.status == 409]
    assert refused == [1, 2]
    assert day.accepted()


def test_repeated_changes_of_the_lease_holder_break_no_rule(monkeypatch: pytest.MonkeyPatch) -> None:
    day = DutyDay(7, monkeypatch)
    for round_number in range(5):
        day.at(3.0 + 5.0 * round_number, lambda: day.primary().freeze(2.0))
    day.play(32.0)
    assert len(day.machines()) >= 4


ROUNDS = 8
ROUND_S = 3.0


def inject_drawn_fault(day: DutyDay, rng: Random, at_s: float) -> None:
    machine = rng.choice(day.day.coordinators)
    for_s = rng.uniform(0.3, 4.0)
    match rng.randrange(6):
        case 0:
            day.faults.kill(at_s, machine, for_s)
        case 1:
            day.faults.lose_power(at_s, machine, for_s)
        case 2:
            day.faults.isolate(at_s, [machine], for_s, how=rng.choice(("both", "out", "in")))
        case 3:
            day.faults.slow_disk(at_s, machine, for_s, 1.0)
        case 4:
            day.faults.freeze(at_s, machine, for_s)
        case _:
            day.at(at_s, lambda: day.primary().freeze(for_s) if day.leads() else None)


@pytest.mark.parametrize("seed", range(10))
def test_drawn_faults_break_no_rule(seed: int, monkeypatch: pytest.MonkeyPatch) -> None:
    day = DutyDay(seed, monkeypatch)
    rng = Random(f"duties {seed}")
    for round_number in range(ROUNDS):  # the faults overlap
        inject_drawn_fault(day, rng, 1.0 + ROUND_S * round_number + rng.random())
    day.play(1.0 + ROUND_S * ROUNDS + QUIET_S)
    assert day.accepted(ROUND_S * ROUNDS + QUIET_S / 2), "calls are accepted again after the faults"
    assert_all_windows_are_sent(day, 2)


def any_fence(lease: SingletonLease, state: SingletonState) -> bool:
    return state.owner is not None


def test_a_shared_fencing_token_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(SingletonLease, "_is_owner", any_fence)
    with pytest.raises(AssertionError, match="sent by two machines"):
        test_another_coordinator_takes_over_after_a_lease_and_sends_the_fixed_reports(kill, 1, monkeypatch)


def never_refused(lease: SingletonLease, fencing_token: int, now_s: float) -> SingletonLease:
    return lease


def test_a_reused_rejected_fencing_token_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(SingletonLease, "reject_token", never_refused)
    with pytest.raises(AssertionError):
        test_a_rejected_fencing_token_is_replaced_by_the_next(monkeypatch)
