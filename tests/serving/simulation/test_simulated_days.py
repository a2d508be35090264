"""Days of the real programs in simulated time, each judged: what was seen on the stand-ins' sockets."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from coveport.serving.simulation.deployment import OFFER, Deployment
from coveport.serving.simulation.engine import EngineFigures
from coveport.serving.simulation.events import (
    NodeEnded,
    NodeStarted,
    Order,
    OrderEnded,
    OrderStarted,
    Verdict,
)
from coveport.serving.simulation.faults import FaultInjector
from coveport.serving.simulation.world import DayResult, SimulatedDeployment

LENGTH_S = 12.0
AT_S = 3.0


def play(
    trouble: Callable[[SimulatedDeployment, FaultInjector], object], seed: int = 1, **told: object
) -> DayResult:
    """A day with a trouble."""
    day = SimulatedDeployment(Deployment(**told), seed)  # type: ignore[arg-type]
    trouble(day, FaultInjector(day))
    result = day.play(LENGTH_S)
    assert list(result.problems) == []
    assert [str(one) for one in result.breaches] == []
    return result


def nothing(day: SimulatedDeployment, faults: FaultInjector) -> None:
    pass


def verdicts(result: DayResult, order: Order) -> list[Verdict]:
    numbers = {one.number for one in result.event_log.of(OrderStarted) if one.order is order}
    return [one.verdict for one in result.event_log.of(OrderEnded) if one.number in numbers]


@pytest.mark.parametrize("seed", [1, 2])
def test_a_calm_day_serves_all_in_time(seed: int) -> None:
    result = play(nothing, seed)
    assert sum(one.requests for one in result.kinds.values()) > 50
    assert result.served_fraction == 1.0
    assert result.in_time_fraction > 0.97
    assert verdicts(result, Order.READ) == [Verdict.ACKNOWLEDGED]


def test_the_same_seed_gives_the_same_day_and_another_another() -> None:
    traces = [play(nothing, seed).trace for seed in (4, 4, 5)]
    assert traces[0] == traces[1]
    assert traces[0] != traces[2]


@pytest.mark.parametrize("number", [0, 1, 2])
def test_each_coordinator_may_be_killed_and_changes_go_on(number: int) -> None:
    def trouble(day: SimulatedDeployment, faults: FaultInjector) -> None:
        faults.kill(AT_S, day.coordinators[number], for_s=3.0)
        faults.add_route(AT_S + 0.1, "added")

    result = play(trouble)
    assert result.served_fraction > 0.97
    assert verdicts(result, Order.PATCH) == [Verdict.ACKNOWLEDGED]
    sent = next(one for one in result.event_log.of(OrderStarted) if one.order is Order.PATCH)
    ended = next(one for one in result.event_log.of(OrderEnded) if one.number == sent.number)
    assert ended.at_s - sent.at_s < 3.5


@pytest.mark.parametrize("wipe", [False, True])
def test_the_primary_may_lose_power_or_its_disk(wipe: bool) -> None:
    def trouble(day: SimulatedDeployment, faults: FaultInjector) -> None:
        faults.add_route(AT_S, "added")
        faults.lose_power(AT_S + 0.5, day.coordinators[0], for_s=3.0, wipe=wipe)

    result = play(trouble)
    assert result.served_fraction > 0.97
    assert verdicts(result, Order.READ) == [Verdict.ACKNOWLEDGED]


def test_a_frozen_coordinator_wakes_and_harms_nobody() -> None:
    def trouble(day: SimulatedDeployment, faults: FaultInjector) -> None:
        faults.freeze(AT_S, day.coordinators[0], for_s=3.0)
        faults.add_route(AT_S + 0.2, "added")

    assert play(trouble).served_fraction > 0.97


def test_proxies_stopped_in_turn_answer_what_they_took() -> None:
    result = play(lambda day, faults: faults.roll(AT_S, day.proxies), proxies=(2, 1, 1))
    assert result.served_fraction == 1.0


def test_a_proxy_that_is_killed_costs_little() -> None:
    result = play(lambda day, faults: faults.kill(AT_S, day.proxies[0], for_s=2.0))
    assert result.served_fraction > 0.85


def test_a_node_that_crashes_and_comes_back_cold() -> None:
    result = play(lambda day, faults: faults.crash_node(AT_S, day.nodes[0], for_s=3.0))
    assert result.served_fraction > 0.95
    assert len(result.event_log.of(NodeStarted)) == len(result.event_log.of(NodeEnded)) + 5


def test_a_node_that_goes_dark_is_left_alone() -> None:
    result = play(lambda day, faults: faults.hang_node(AT_S, day.nodes[0], for_s=4.0))
    assert result.served_fraction > 0.9


def test_a_node_that_leaves_is_drained_and_loses_nothing() -> None:
    result = play(lambda day, faults: faults.close_node(AT_S, day.nodes[0]))
    assert result.served_fraction == 1.0
    assert [one.planned for one in result.event_log.of(NodeEnded)] == [True]


def test_a_node_at_short_notice() -> None:
    result = play(lambda day, faults: faults.close_node(AT_S, day.nodes[0], None, 2.0))
    assert result.served_fraction > 0.95


def test_a_zone_is_emptied_and_taken_back() -> None:
    result = play(lambda day, faults: faults.evacuate(AT_S, "gijon", for_s=7.0))
    assert verdicts(result, Order.EVACUATE) == [Verdict.ACKNOWLEDGED]
    assert verdicts(result, Order.TAKE_BACK) == [Verdict.ACKNOWLEDGED]
    assert result.served_fraction > 0.97


def test_of_two_operators_one_wins() -> None:
    result = play(lambda day, faults: faults.race(AT_S))
    assert sorted(one.value for one in verdicts(result, Order.PATCH)) == ["acknowledged", "refused"]
    assert result.served_fraction == 1.0


def test_invalid_configurations_change_nothing() -> None:
    result = play(lambda day, faults: faults.send_invalid(AT_S))
    assert verdicts(result, Order.PUT)[1:] == [Verdict.REFUSED, Verdict.REFUSED]
    assert result.served_fraction == 1.0


@pytest.mark.parametrize("how", ["both", "in", "out"])
@pytest.mark.parametrize("region", ["bizkaia", "cantabria"])
def test_a_region_is_cut_off(region: str, how: str) -> None:
    def trouble(day: SimulatedDeployment, faults: FaultInjector) -> None:
        faults.isolate_region(AT_S, region, 5.0, how=how)
        faults.add_route(AT_S + 1.0, "added")

    assert play(trouble).served_fraction > 0.6


def test_a_node_turns_cold_without_notice() -> None:
    result = play(lambda day, faults: faults.begin_warm_up(AT_S, day.nodes[4], 4.0))
    assert result.served_fraction > 0.95


@pytest.mark.parametrize("number", [0, 2])
def test_a_coordinator_is_replaced_at_a_new_address_and_the_next_loss_is_borne(number: int) -> None:
    def trouble(day: SimulatedDeployment, faults: FaultInjector) -> None:
        faults.replace_coordinator(0.5, day.coordinators[number], after_s=1.0)
        faults.kill(9.0, day.coordinators[1], for_s=2.0)
        faults.add_route(9.3, "added")

    result = play(trouble)
    assert verdicts(result, Order.PATCH) == [Verdict.ACKNOWLEDGED]
    assert result.served_fraction > 0.97


def test_a_disk_that_refuses_writes_costs_no_change() -> None:
    def trouble(day: SimulatedDeployment, faults: FaultInjector) -> None:
        faults.reject_disk_writes(AT_S, day.coordinators[0], 4.0)
        faults.add_route(AT_S + 0.5, "added")

    result = play(trouble)
    assert verdicts(result, Order.PATCH) == [Verdict.ACKNOWLEDGED]
    assert result.served_fraction == 1.0


@pytest.mark.parametrize(
    "fault", ["break_off_probability", "garble_probability", "surplus_probability", "refuse_probability"]
)
def test_what_nodes_do_wrong_reaches_no_other_answer(fault: str) -> None:
    def trouble(day: SimulatedDeployment, faults: FaultInjector) -> None:
        for node in day.nodes:
            faults.inject_node_fault(AT_S, node, 5.0, fault, 0.4)

    result = play(trouble)
    assert result.served_fraction > 0.6


def test_an_address_that_another_service_uses_again_gets_nothing_of_the_old_one() -> None:
    result = play(lambda day, faults: faults.reuse_address(AT_S, day.nodes[0], "other", 2.0))
    assert [one.service for one in result.event_log.of(NodeStarted)].count("other") == 1
    assert result.served_fraction > 0.9


def test_a_burst_beyond_all_slots_is_refused_and_breaks_nothing() -> None:
    small = EngineFigures(slots=4, queue=4, kv_cache_tokens=80_000)
    result = play(lambda day, faults: faults.burst(AT_S, OFFER, 40.0, 4.0), engine=small)
    refused = dict(result.kinds["offer"].statuses).get("complete 503", 0)
    assert refused > 0
    assert result.kinds["offer"].requests > 150
