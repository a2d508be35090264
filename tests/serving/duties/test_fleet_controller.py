"""Orders of nodes under load curves, faults and take-overs, against a small model of a fleet."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from itertools import pairwise
from math import pi, sin

import pytest
from fleet_world import REGIONS, SERVICE, FleetWorld
from hypothesis import given, settings
from hypothesis import strategies as st

from coveport.serving.duties import fleet_planner, fleet_stability
from coveport.serving.duties.duty import CallOutcome
from coveport.serving.duties.fleet_controller import subject_of
from coveport.serving.duties.fleet_sizing import ToleratedLosses
from coveport.serving.duties.fleet_stability import QUIET_S
from coveport.serving.duties.state import FleetOrder, SingletonState

Curve = Callable[[str, float], float]
assert SERVICE.scaling is not None
SCALING = SERVICE.scaling


def constant(rate: float) -> Curve:
    return lambda zone, now_s: rate


def wave(mean: float, swing: float, period_s: float) -> Curve:
    return lambda zone, now_s: mean * (1 + swing * sin(2 * pi * now_s / period_s))


def burst(before: float, during: float, from_s: float) -> Curve:
    return lambda zone, now_s: during if now_s >= from_s else before


def rise(per_s: float) -> Curve:
    return lambda zone, now_s: 20 + max(0.0, now_s - 20) * per_s


@pytest.fixture(scope="module", autouse=True)
def _orders_fewer() -> Iterator[None]:
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(fleet_planner, "ORDERS_FEWER", True)
        yield


# -- load curves --


def test_nodes_that_are_not_needed_go_in_steps() -> None:
    world = FleetWorld(constant(16))
    world.run(40)
    assert {world.count(zone) for zone in REGIONS} <= {4, 5, 6}
    assert world.lost_requests == 0
    steps = [order.wanted for _, order in world.calls if order.zone == "a1"]
    assert steps == sorted(steps, reverse=True)
    assert len(steps) >= 3


def test_a_service_without_traffic_keeps_its_nodes() -> None:
    world = FleetWorld(constant(0))
    world.run(40)
    assert world.calls == []


def test_no_node_goes_before_the_first_quiet_time_under_load() -> None:
    world = FleetWorld(lambda zone, now_s: 16.0 if now_s >= 10 else 0.0)
    world.run(10 + QUIET_S)
    assert world.calls == []
    world.run(5)
    assert world.downward_calls()


def test_a_wave_loses_no_requests_and_swings_no_orders() -> None:
    world = FleetWorld(wave(30, 0.4, 26))
    world.run(120)
    assert world.lost_requests == 0
    assert world.node_seconds < 0.9 * 120 * 40
    assert len(world.calls) < 8 * len(REGIONS)


def test_a_burst_gets_nodes_at_once() -> None:
    world = FleetWorld(burst(20, 150, 30), nodes_per_zone=10)
    world.run(60)
    first_up_s = min(at_s for at_s, order in world.calls if at_s > 30)
    assert first_up_s < 32
    assert all(world.count(zone) >= 15 for zone in REGIONS)


def test_a_rise_is_met_before_it_comes() -> None:
    world = FleetWorld(rise(3), nodes_per_zone=6)
    world.run(45)
    assert world.lost_requests == 0


def test_spare_for_a_lost_zone_stays() -> None:
    world = FleetWorld(lambda zone, now_s: 0.0 if zone == "a1" and now_s > 40 else 40.0)
    world.run(40)
    left = world.count("a2")
    assert left * 16 >= 2 * 40


def test_without_tolerated_losses_there_is_no_spare() -> None:
    spared = FleetWorld(constant(40))
    lean = FleetWorld(constant(40), tolerated=ToleratedLosses())
    for world in (spared, lean):
        world.run(60)
    assert lean.node_seconds < spared.node_seconds


def test_nodes_lost_for_good_are_replaced_where_the_load_needs_them() -> None:
    world = FleetWorld(constant(60), nodes_per_zone=10)
    world.run(15)
    world.crash("a1", 5)
    world.run(30)
    assert world.count("a1") >= 8
    assert world.count("b1") >= 8


def test_nodes_lost_for_good_are_not_replaced_where_no_load_needs_them() -> None:
    world = FleetWorld(constant(5), nodes_per_zone=10)
    world.run(3)
    world.crash("a1", 3)
    world.run(4)
    assert world.calls == []


# -- what is not seen --


def test_a_region_that_is_cut_off_gets_no_orders() -> None:
    world = FleetWorld(constant(16))
    world.run(QUIET_S + 1)
    world.cut_zones |= {"b1", "b2"}
    world.run(1)
    calls = len(world.calls)
    world.run(20)
    assert len(world.calls) == calls


def test_after_a_cut_no_node_goes_before_a_quiet_time() -> None:
    world = FleetWorld(constant(16))
    world.cut_zones |= {"b1", "b2"}
    world.run(20)
    world.cut_zones.clear()
    world.run(QUIET_S - 0.5)
    assert world.calls == []


def test_without_reports_of_a_proxy_no_node_goes() -> None:
    world = FleetWorld(constant(16))
    world.silent_zones.add("b1")
    world.run(30)
    assert world.calls == []


def test_reports_that_end_stop_orders_down() -> None:
    world = FleetWorld(constant(16))
    world.run(QUIET_S + 2)
    world.silent_zones.add("b1")
    world.run(3.5)
    calls = len(world.calls)
    world.run(20)
    assert len(world.calls) == calls


def test_while_a_zone_is_evacuated_no_node_goes() -> None:
    world = FleetWorld(constant(16))
    world.evacuated_zones.add("a1")
    world.run(30)
    assert world.calls == []


def test_with_reports_missing_nodes_are_still_added() -> None:
    world = FleetWorld(burst(20, 150, 10))
    world.silent_zones.add("b1")
    world.run(20)
    assert world.count("a1") > 10


# -- holders and the platform --


def test_another_holder_orders_no_fewer_before_a_quiet_time() -> None:
    world = FleetWorld(constant(16))
    world.run(12)
    world.begin_holder()
    taken_over_s = world.now_s
    world.run(QUIET_S - 0.2)
    assert world.downward_calls(taken_over_s) == []
    world.run(15)
    assert world.downward_calls(taken_over_s)


def test_another_holder_repeats_no_order_that_the_nodes_show_was_taken() -> None:
    world = FleetWorld(constant(16))
    world.run(40)
    world.begin_holder()
    world.run(20)
    assert [order for _, order in world.calls] == [order for _, order in world.commands]


def test_another_holder_sends_a_recorded_order_for_more_that_never_arrived() -> None:
    world = FleetWorld(constant(0))
    world.state = SingletonState(fleet_orders=(FleetOrder("s", "a1", 12),))
    world.begin_holder()
    world.run(15)
    assert [order for _, order in world.calls] == [FleetOrder("s", "a1", 12)]


def test_a_recorded_order_for_fewer_waits_for_a_quiet_time() -> None:
    world = FleetWorld(constant(16))
    world.state = SingletonState(fleet_orders=(FleetOrder("s", "a1", 8),))
    world.begin_holder()
    world.run(QUIET_S - 0.2)
    assert world.calls == []


def test_after_a_freeze_no_node_goes_before_a_quiet_time() -> None:
    world = FleetWorld(constant(16))
    world.run(QUIET_S + 2)
    world.run(8, is_asked=False)
    thawed_s = world.now_s
    world.run(QUIET_S - 0.2)
    assert world.downward_calls(thawed_s) == []


def test_an_order_is_recorded_before_it_is_sent() -> None:
    world = FleetWorld(constant(16))
    world.run(40)
    recorded = [order for _, order in world.commands]
    assert [order for _, order in world.calls] == recorded


def test_a_failed_call_is_repeated_with_growing_pauses() -> None:
    world = FleetWorld(burst(20, 150, 5))
    world.outcome = CallOutcome.UNKNOWN
    world.run(30)
    times = [at_s for at_s, _ in world.calls]
    pauses = [later - earlier for earlier, later in pairwise(times)]
    assert pauses[0] == pytest.approx(1.0, abs=0.15)
    assert max(pauses) >= 4
    assert len(times) < 8
    world.outcome = CallOutcome.ACCEPTED
    world.run(20)
    assert all(world.count(zone) > 10 for zone in REGIONS)


def test_while_the_platform_fails_no_new_order_for_fewer_is_made() -> None:
    world = FleetWorld(constant(16))
    world.outcome = CallOutcome.UNKNOWN
    world.run(30)
    assert len(world.commands) <= len(REGIONS)


def test_a_call_whose_answer_was_lost_is_not_repeated_where_the_nodes_show_it_was_taken() -> None:
    world = FleetWorld(constant(16))
    world.outcome = CallOutcome.UNKNOWN
    world.is_taken_when_unknown = True
    world.run(10)
    assert len({(order.zone, order.wanted) for _, order in world.calls}) == len(world.calls)


def test_a_rejected_order_is_not_repeated() -> None:
    world = FleetWorld(burst(20, 150, 5))
    world.outcome = CallOutcome.REJECTED
    world.run(30)
    assert len(world.calls) <= len(REGIONS)


# -- always --


@settings(max_examples=25, deadline=None)
@given(data=st.data())
def test_orders_keep_their_bounds_whatever_happens(data: st.DataObject) -> None:
    rates = data.draw(st.lists(st.floats(0, 250), min_size=4, max_size=4))
    world = FleetWorld(
        lambda zone, now_s: rates[int(now_s / 6) % 4],
        nodes_per_zone=data.draw(st.integers(2, 14)),
        seed=data.draw(st.integers(0, 99)),
    )
    for _ in range(data.draw(st.integers(2, 6))):
        world.cut_zones = set(data.draw(st.sampled_from([(), (), ("b1", "b2"), ("a1",)])))
        world.silent_zones = set(data.draw(st.sampled_from([(), (), ("a2",)])))
        world.outcome = data.draw(st.sampled_from([CallOutcome.ACCEPTED, *CallOutcome]))
        if data.draw(st.booleans()):
            world.begin_holder()
        gap_from_s = world.now_s
        world.run(data.draw(st.floats(0.5, 9)))
        if world.cut_zones or world.silent_zones:
            assert world.downward_calls(gap_from_s + 3.3) == []
    _check_calls(world)


def _check_calls(world: FleetWorld) -> None:
    last: dict[tuple[str, str], tuple[float, FleetOrder]] = {}
    for at_s, order in world.calls:
        assert SCALING.min_nodes <= order.wanted <= SCALING.max_nodes
        subject = subject_of(order)
        before = last.get(subject)
        assert before is None or at_s - before[0] > 0.95, "two calls a second"
        last[subject] = (at_s, order)
    in_force: dict[tuple[str, str], FleetOrder] = {}
    for _, order in world.commands:
        assert in_force.get(subject_of(order)) != order, "an order that repeats the one in force"
        in_force[subject_of(order)] = order


# -- broken variants: each must be found --


def test_without_the_quiet_time_a_cut_region_would_cost_nodes(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(fleet_stability.FleetStability, "allows_fewer", lambda *_: True)
    world = FleetWorld(constant(16))
    world.cut_zones |= {"b1", "b2"}
    world.run(20)
    assert world.calls


def test_without_the_peak_a_wave_would_swing_orders(monkeypatch: pytest.MonkeyPatch) -> None:
    kept = FleetWorld(wave(30, 0.6, 26))
    kept.run(120)
    monkeypatch.setattr("coveport.serving.duties.demand_history.PEAK_WINDOW_S", 0.5)
    monkeypatch.setattr(fleet_planner, "STEP_DOWN_RATIO", 1.0)
    broken = FleetWorld(wave(30, 0.6, 26))
    broken.run(120)
    assert len(broken.calls) > len(kept.calls)


def test_without_a_forecast_a_rise_would_lose_more_requests(monkeypatch: pytest.MonkeyPatch) -> None:
    def lost_requests() -> float:
        world = FleetWorld(rise(3), nodes_per_zone=6, tolerated=ToleratedLosses())
        world.run(45)
        return world.lost_requests

    with_forecast = lost_requests()
    monkeypatch.setattr("coveport.serving.duties.demand_history.MAX_GROWTH", 1.0)
    assert lost_requests() > 2 * with_forecast


def test_orders_for_fewer_can_be_turned_off(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(fleet_planner, "ORDERS_FEWER", False)
    world = FleetWorld(constant(16))
    world.run(40)
    assert world.calls == []
