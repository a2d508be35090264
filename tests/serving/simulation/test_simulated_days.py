"""Days of the real programs in simulated time, judged by the events that clients and nodes observed."""

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
    inject_faults: Callable[[SimulatedDeployment, FaultInjector], object], seed: int = 1, **parameters: object
) -> DayResult:
    """Simulate a day with injected faults; return its result, which must have no breaches."""
    day = SimulatedDeployment(Deployment(**parameters), seed)  # type: ignore[arg-type]
    inject_faults(day, FaultInjector(day))
    result = day.play(LENGTH_S)
    assert list(result.problems) == []
    assert [str(breach) for breach in result.breaches] == []
    return result


def no_faults(day: SimulatedDeployment, faults: FaultInjector) -> None:
    pass


def verdicts(result: DayResult, order: Order) -> list[Verdict]:
    numbers = {started.number for started in result.event_log.of(OrderStarted) if started.order is order}
    return [ended.verdict for ended in result.event_log.of(OrderEnded) if ended.number in numbers]


@pytest.mark.parametrize("seed", [1, 2])
def test_a_day_without_faults_serves_all_requests_in_time(seed: int) -> None:
    result = play(no_faults, seed)
    assert sum(kind.requests for kind in result.kinds.values()) > 50
    assert result.served_fraction == 1.0
    assert result.in_time_fraction > 0.97
    assert verdicts(result, Order.READ) == [Verdict.ACKNOWLEDGED]


def test_the_same_seed_gives_the_same_day_and_another_seed_a_different_day() -> None:
    traces = [play(no_faults, seed).trace for seed in (4, 4, 5)]
    assert traces[0] == traces[1]
    assert traces[0] != traces[2]


@pytest.mark.parametrize("number", [0, 1, 2])
def test_changes_are_acknowledged_although_a_coordinator_is_killed(number: int) -> None:
    def inject_faults(day: SimulatedDeployment, faults: FaultInjector) -> None:
        faults.kill(AT_S, day.coordinators[number], for_s=3.0)
        faults.add_route(AT_S + 0.1, "added")

    result = play(inject_faults)
    assert result.served_fraction > 0.97
    assert verdicts(result, Order.PATCH) == [Verdict.ACKNOWLEDGED]
    sent = next(entry for entry in result.event_log.of(OrderStarted) if entry.order is Order.PATCH)
    ended = next(entry for entry in result.event_log.of(OrderEnded) if entry.number == sent.number)
    assert ended.at_s - sent.at_s < 3.5


@pytest.mark.parametrize("wipe", [False, True])
def test_the_primary_may_lose_power_or_its_disk(wipe: bool) -> None:
    def inject_faults(day: SimulatedDeployment, faults: FaultInjector) -> None:
        faults.add_route(AT_S, "added")
        faults.lose_power(AT_S + 0.5, day.coordinators[0], for_s=3.0, wipe=wipe)

    result = play(inject_faults)
    assert result.served_fraction > 0.97
    assert verdicts(result, Order.READ) == [Verdict.ACKNOWLEDGED]


def test_a_coordinator_that_resumes_after_a_freeze_breaks_no_rule() -> None:
    def inject_faults(day: SimulatedDeployment, faults: FaultInjector) -> None:
        faults.freeze(AT_S, day.coordinators[0], for_s=3.0)
        faults.add_route(AT_S + 0.2, "added")

    assert play(inject_faults).served_fraction > 0.97


def test_proxies_stopped_in_turn_answer_all_accepted_requests() -> None:
    result = play(lambda day, faults: faults.roll(AT_S, day.proxies), proxies=(2, 1, 1))
    assert result.served_fraction == 1.0


def test_a_killed_proxy_loses_few_requests() -> None:
    result = play(lambda day, faults: faults.kill(AT_S, day.proxies[0], for_s=2.0))
    assert result.served_fraction > 0.85


def test_a_node_crashes_and_warms_up_again() -> None:
    result = play(lambda day, faults: faults.crash_node(AT_S, day.nodes[0], for_s=3.0))
    assert result.served_fraction > 0.95
    assert len(result.event_log.of(NodeStarted)) == len(result.event_log.of(NodeEnded)) + 5


def test_an_unresponsive_node_gets_no_further_requests() -> None:
    result = play(lambda day, faults: faults.hang_node(AT_S, day.nodes[0], for_s=4.0))
    assert result.served_fraction > 0.9


def test_a_node_that_leaves_is_drained_without_losing_requests() -> None:
    result = play(lambda day, faults: faults.close_node(AT_S, day.nodes[0]))
    assert result.served_fraction == 1.0
    assert [ended.planned for ended in result.event_log.of(NodeEnded)] == [True]


def test_a_node_leaves_at_short_notice() -> None:
    result = play(lambda day, faults: faults.close_node(AT_S, day.nodes[0], None, 2.0))
    assert result.served_fraction > 0.95


def test_a_zone_is_evacuated_and_taken_back() -> None:
    result = play(lambda day, faults: faults.evacuate(AT_S, "gijon", for_s=7.0))
    assert verdicts(result, Order.EVACUATE) == [Verdict.ACKNOWLEDGED]
    assert verdicts(result, Order.TAKE_BACK) == [Verdict.ACKNOWLEDGED]
    assert result.served_fraction > 0.97


def test_of_two_concurrent_changes_one_is_acknowledged() -> None:
    result = play(lambda day, faults: faults.race(AT_S))
    assert sorted(verdict.value for verdict in verdicts(result, Order.PATCH)) == ["acknowledged", "refused"]
    assert result.served_fraction == 1.0


def test_invalid_configurations_change_nothing() -> None:
    result = play(lambda day, faults: faults.send_invalid(AT_S))
    assert verdicts(result, Order.PUT)[1:] == [Verdict.REFUSED, Verdict.REFUSED]
    assert result.served_fraction == 1.0


@pytest.mark.parametrize("how", ["both", "in", "out"])
@pytest.mark.parametrize("region", ["bizkaia", "cantabria"])
def test_a_region_is_partitioned(region: str, how: str) -> None:
    def inject_faults(day: SimulatedDeployment, faults: FaultInjector) -> None:
        faults.isolate_region(AT_S, region, 5.0, how=how)
        faults.add_route(AT_S + 1.0, "added")

    assert play(inject_faults).served_fraction > 0.6


def test_a_node_warms_up_again_without_reporting_it() -> None:
    result = play(lambda day, faults: faults.begin_warm_up(AT_S, day.nodes[4], 4.0))
    assert result.served_fraction > 0.95


@pytest.mark.parametrize("number", [0, 2])
def test_after_a_coordinator_is_replaced_another_loss_is_tolerated(number: int) -> None:
    def inject_faults(day: SimulatedDeployment, faults: FaultInjector) -> None:
        faults.replace_coordinator(0.5, day.coordinators[number], after_s=1.0)
        faults.kill(9.0, day.coordinators[1], for_s=2.0)
        faults.add_route(9.3, "added")

    result = play(inject_faults)
    assert verdicts(result, Order.PATCH) == [Verdict.ACKNOWLEDGED]
    assert result.served_fraction > 0.97


def test_a_disk_that_rejects_writes_loses_no_change() -> None:
    def inject_faults(day: SimulatedDeployment, faults: FaultInjector) -> None:
        faults.reject_disk_writes(AT_S, day.coordinators[0], 4.0)
        faults.add_route(AT_S + 0.5, "added")

    result = play(inject_faults)
    assert verdicts(result, Order.PATCH) == [Verdict.ACKNOWLEDGED]
    assert result.served_fraction == 1.0


@pytest.mark.parametrize(
    "fault", ["break_off_probability", "garble_probability", "surplus_probability", "refuse_probability"]
)
def test_faulty_nodes_corrupt_no_other_answer(fault: str) -> None:
    def inject_faults(day: SimulatedDeployment, faults: FaultInjector) -> None:
        for node in day.nodes:
            faults.inject_node_fault(AT_S, node, 5.0, fault, 0.4)

    result = play(inject_faults)
    assert result.served_fraction > 0.6


def test_an_address_reused_by_another_service_gets_no_requests_for_the_former_service() -> None:
    result = play(lambda day, faults: faults.reuse_address(AT_S, day.nodes[0], "other", 2.0))
    assert [started.service for started in result.event_log.of(NodeStarted)].count("other") == 1
    assert result.served_fraction > 0.9


def test_a_burst_beyond_all_slots_is_rejected_and_breaks_no_rule() -> None:
    small_engine = EngineFigures(slots=4, queue=4, kv_cache_tokens=80_000)
    result = play(lambda day, faults: faults.burst(AT_S, OFFER, 40.0, 4.0), engine=small_engine)
    rejected = dict(result.kinds["offer"].statuses).get("complete 503", 0)
    assert rejected > 0
    assert result.kinds["offer"].requests > 150
