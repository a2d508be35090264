"""The two days that operators recorded (docs/incidents), shortened: the same faults in the same order."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from coveport.serving.simulation.deployment import Deployment
from coveport.serving.simulation.events import (
    AttemptEnded,
    AttemptStarted,
    NodeStarted,
    Order,
    OrderEnded,
    OrderStarted,
    Verdict,
    WarmUpBegan,
)
from coveport.serving.simulation.faults import FaultInjector
from coveport.serving.simulation.world import DayResult, SimulatedDeployment

POWER_LOST_S = 14.0  # on all machines
POWER_BACK_S = 15.0
LENGTH_S = 20.0
FROZEN_S = 5.0  # the primary of the first day freezes
KILLED_S = 4.52  # the primary of the second day is killed
TAKEOVER_LIMIT_S = 1.3  # limit until another coordinator is the primary
RECOVERY_LIMIT_S = 0.8  # limit until a coordinator is the primary after a power loss everywhere
ACKNOWLEDGEMENT_LIMIT_S = 5.0  # the operators' bound for an acknowledgement


def lose_all_power(day: SimulatedDeployment, faults: FaultInjector) -> None:
    """Cut the power everywhere right after a change was acknowledged; the end of both days."""
    faults.add_route(POWER_LOST_S - 0.2, "last")
    for machine in (*day.coordinators, *day.proxies):
        faults.lose_power(POWER_LOST_S, machine, for_s=POWER_BACK_S - POWER_LOST_S)


def frozen_primary_and_a_cold_zone(day: SimulatedDeployment, faults: FaultInjector) -> None:
    """pnc-coveport: proxies stopped in turn, races, the primary freezes, a region loses its node."""
    faults.roll(0.5, day.proxies[:2], gap_s=0.5)
    faults.race(1.0)
    faults.race(2.0)
    faults.crash_node(4.0, day.nodes[4], for_s=4.0)
    faults.freeze(FROZEN_S, day.coordinators[0], for_s=3.3)
    faults.add_route(5.5, "while-frozen")
    faults.race(8.35)  # when the frozen primary resumes
    faults.close_node(9.5, day.nodes[0])
    lose_all_power(day, faults)


def evacuated_zone_that_goes_down(day: SimulatedDeployment, faults: FaultInjector) -> None:
    """whda-coveport: primary killed while it acknowledges, zone failing after its evacuation is revoked."""
    faults.evacuate(0.5, "gijon", for_s=4.0)
    faults.add_route(1.0, "added")
    faults.kill(KILLED_S, day.coordinators[0], for_s=1.0)  # while the revocation is in flight
    for node in day.nodes[2:4]:
        faults.crash_node(5.0, node, for_s=4.0)
    faults.race(6.0)
    faults.crash_node(8.0, day.nodes[0], for_s=3.0)
    lose_all_power(day, faults)


Day = Callable[[SimulatedDeployment, FaultInjector], None]


def play(day: Day, seed: int) -> tuple[SimulatedDeployment, DayResult]:
    """Play a recorded day, and assert that no rule is broken."""
    played = SimulatedDeployment(Deployment(proxies=(2, 1, 1)), seed)
    day(played, FaultInjector(played))
    result = played.play(LENGTH_S)
    assert list(result.problems) == []
    assert [str(breach) for breach in result.breaches] == []
    return played, result


def served_between(
    day: SimulatedDeployment, result: DayResult, from_s: float, until_s: float, kinds: str = "review offer"
) -> float:
    """Return the fraction of requests first sent in an interval that eventually succeeded."""
    start_s = day.traffic_from_s
    attempts = {
        one.attempt_id: one for one in result.event_log.of(AttemptStarted) if one.kind in kinds.split()
    }
    requests = {
        one.request for one in attempts.values() if from_s <= one.request_started_s - start_s < until_s
    }
    served = {
        attempts[one.attempt_id].request
        for one in result.event_log.of(AttemptEnded)
        if one.attempt_id in attempts and one.status == 200 and one.ending.value == "complete"
    }
    return len(requests & served) / len(requests)


def led_from_s(day: SimulatedDeployment, epoch: int) -> float:
    """Return when a primary first logged that it leads an epoch, in seconds after the traffic's start."""
    times = [
        float(line.split()[0].removeprefix("at=")) - day.traffic_from_s
        for machine in day.coordinators
        for line in machine.log_lines
        if f"event=view_changed role=primary epoch={epoch} " in line
    ]
    return min(times)


def changes(result: DayResult) -> list[tuple[OrderStarted, OrderEnded]]:
    """Return every change of the configuration or of a zone, with its end."""
    ended = {one.number: one for one in result.event_log.of(OrderEnded)}
    return [
        (one, ended[one.number]) for one in result.event_log.of(OrderStarted) if one.order is not Order.READ
    ]


def assert_changes_answered(result: DayResult) -> None:
    """Assert that changes got clear answers in time and the newest acknowledged edition is read back."""
    for sent, ended in changes(result):
        assert ended.verdict is not Verdict.UNCLEAR, sent
        assert ended.at_s - sent.at_s < ACKNOWLEDGEMENT_LIMIT_S, sent
    acknowledged = [sent.edition for sent, ended in changes(result) if ended.verdict is Verdict.ACKNOWLEDGED]
    read = [
        one for one in result.event_log.of(OrderEnded) if one.edition and not _is_change(result, one.number)
    ]
    assert [one.edition for one in read] == [max(acknowledged)]


def _is_change(result: DayResult, number: int) -> bool:
    return any(sent.number == number for sent, _ in changes(result))


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_frozen_primary_costs_neither_changes_nor_requests(seed: int) -> None:
    day, result = play(frozen_primary_and_a_cold_zone, seed)
    assert_changes_answered(result)
    frozen = day.coordinators[0]
    # Operators notice the stall by this log event.
    assert any("event=process_stalled" in line for line in frozen.log_lines)
    assert led_from_s(day, 2) - FROZEN_S < TAKEOVER_LIMIT_S
    assert served_between(day, result, 4.0, 9.0) > 0.97  # while the primary was frozen and one node was down


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_primary_killed_at_an_acknowledgement_loses_no_order(seed: int) -> None:
    day, result = play(evacuated_zone_that_goes_down, seed)
    assert_changes_answered(result)
    taken_back = [ended for sent, ended in changes(result) if sent.order is Order.TAKE_BACK]
    assert led_from_s(day, 2) - KILLED_S < TAKEOVER_LIMIT_S
    assert [one.verdict for one in taken_back] == [Verdict.ACKNOWLEDGED]
    assert len(result.event_log.of(NodeStarted)) == 5 + 3
    assert len(result.event_log.of(WarmUpBegan)) >= 3  # without a breach of FAILBACK
    # Another node resumes reviews; an offer that ran on a lost node must not be retried.
    assert served_between(day, result, 0.0, 11.0, "review") == 1.0
    assert served_between(day, result, 0.0, 11.0, "offer") > 0.8


@pytest.mark.parametrize("recorded", [frozen_primary_and_a_cold_zone, evacuated_zone_that_goes_down])
def test_all_is_served_again_soon_after_all_power_was_lost(recorded: Day) -> None:
    day, result = play(recorded, 4)
    assert led_from_s(day, 3) - POWER_BACK_S < RECOVERY_LIMIT_S
    assert served_between(day, result, POWER_BACK_S + 1.5, LENGTH_S) == 1.0
