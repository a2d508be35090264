"""Orders of nodes under load curves, faults and changes of the lease owner, with a simulated fleet."""

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
from coveport.serving.duties.fleet_controller import group_of
from coveport.serving.duties.fleet_sizing import ToleratedLosses
from coveport.serving.duties.fleet_stability import STABILIZATION_S
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


def test_unneeded_nodes_are_removed_in_steps() -> None:
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


def test_no_node_is_removed_before_the_stabilization_time_under_load() -> None:
    world = FleetWorld(lambda zone, now_s: 16.0 if now_s >= 10 else 0.0)
    world.run(10 + STABILIZATION_S)
    assert world.calls == []
    world.run(5)
    assert world.downward_calls()


def test_a_wave_loses_no_requests_and_orders_do_not_oscillate() -> None:
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


def test_nodes_are_ordered_ahead_of_a_rise() -> None:
    world = FleetWorld(rise(3), nodes_per_zone=6)
    world.run(45)
    assert world.lost_requests == 0


def test_spare_nodes_for_a_lost_zone_are_kept() -> None:
    world = FleetWorld(lambda zone, now_s: 0.0 if zone == "a1" and now_s > 40 else 40.0)
    world.run(40)
    remaining = world.count("a2")
    assert remaining * 16 >= 2 * 40


def test_without_tolerated_losses_there_is_no_spare() -> None:
    with_spare = FleetWorld(constant(40))
    without_spare = FleetWorld(constant(40), tolerated=ToleratedLosses())
    for world in (with_spare, without_spare):
        world.run(60)
    assert without_spare.node_seconds < with_spare.node_seconds


def test_crashed_nodes_are_replaced_where_the_load_needs_them() -> None:
    world = FleetWorld(constant(60), nodes_per_zone=10)
    world.run(15)
    world.crash("a1", 5)
    world.run(30)
    assert world.count("a1") >= 8
    assert world.count("b1") >= 8


def test_crashed_nodes_are_not_replaced_where_no_load_needs_them() -> None:
    world = FleetWorld(constant(5), nodes_per_zone=10)
    world.run(3)
    world.crash("a1", 3)
    world.run(4)
    assert world.calls == []


# -- incomplete observations --


def test_an_unreachable_region_gets_no_orders() -> None:
    world = FleetWorld(constant(16))
    world.run(STABILIZATION_S + 1)
    world.unreachable_zones |= {"b1", "b2"}
    world.run(1)
    calls = len(world.calls)
    world.run(20)
    assert len(world.calls) == calls


def test_after_a_partition_no_node_is_removed_before_the_stabilization_time() -> None:
    world = FleetWorld(constant(16))
    world.unreachable_zones |= {"b1", "b2"}
    world.run(20)
    world.unreachable_zones.clear()
    world.run(STABILIZATION_S - 0.5)
    assert world.calls == []


def test_without_reports_of_a_proxy_no_node_is_removed() -> None:
    world = FleetWorld(constant(16))
    world.unresponsive_zones.add("b1")
    world.run(30)
    assert world.calls == []


def test_missing_reports_stop_orders_for_fewer_nodes() -> None:
    world = FleetWorld(constant(16))
    world.run(STABILIZATION_S + 2)
    world.unresponsive_zones.add("b1")
    world.run(3.5)
    calls = len(world.calls)
    world.run(20)
    assert len(world.calls) == calls


def test_while_a_zone_is_evacuated_no_node_is_removed() -> None:
    world = FleetWorld(constant(16))
    world.evacuated_zones.add("a1")
    world.run(30)
    assert world.calls == []


def test_with_reports_missing_nodes_are_still_added() -> None:
    world = FleetWorld(burst(20, 150, 10))
    world.unresponsive_zones.add("b1")
    world.run(20)
    assert world.count("a1") > 10


# -- lease owners and the platform --


def test_another_owner_orders_no_fewer_nodes_before_the_stabilization_time() -> None:
    world = FleetWorld(constant(16))
    world.run(12)
    world.start_lease_owner()
    taken_over_s = world.now_s
    world.run(STABILIZATION_S - 0.2)
    assert world.downward_calls(taken_over_s) == []
    world.run(15)
    assert world.downward_calls(taken_over_s)


def test_another_owner_does_not_repeat_an_order_that_the_nodes_already_match() -> None:
    world = FleetWorld(constant(16))
    world.run(40)
    world.start_lease_owner()
    world.run(20)
    assert [order for _, order in world.calls] == [order for _, order in world.commands]


def test_another_owner_sends_a_recorded_order_for_more_nodes_that_was_not_received() -> None:
    world = FleetWorld(constant(0))
    world.state = SingletonState(fleet_orders=(FleetOrder("s", "a1", 12),))
    world.start_lease_owner()
    world.run(15)
    assert [order for _, order in world.calls] == [FleetOrder("s", "a1", 12)]


def test_a_recorded_order_for_fewer_nodes_waits_for_the_stabilization_time() -> None:
    world = FleetWorld(constant(16))
    world.state = SingletonState(fleet_orders=(FleetOrder("s", "a1", 8),))
    world.start_lease_owner()
    world.run(STABILIZATION_S - 0.2)
    assert world.calls == []


def test_after_a_freeze_no_node_is_removed_before_the_stabilization_time() -> None:
    world = FleetWorld(constant(16))
    world.run(STABILIZATION_S + 2)
    world.run(8, is_polled=False)
    resumed_s = world.now_s
    world.run(STABILIZATION_S - 0.2)
    assert world.downward_calls(resumed_s) == []


def test_an_order_is_recorded_before_it_is_sent() -> None:
    world = FleetWorld(constant(16))
    world.run(40)
    recorded = [order for _, order in world.commands]
    assert [order for _, order in world.calls] == recorded


def test_a_failed_call_is_repeated_with_a_growing_backoff() -> None:
    world = FleetWorld(burst(20, 150, 5))
    world.outcome = CallOutcome.UNKNOWN
    world.run(30)
    times = [at_s for at_s, _ in world.calls]
    backoffs = [later - earlier for earlier, later in pairwise(times)]
    assert backoffs[0] == pytest.approx(1.0, abs=0.15)
    assert max(backoffs) >= 4
    assert len(times) < 8
    world.outcome = CallOutcome.ACCEPTED
    world.run(20)
    assert all(world.count(zone) > 10 for zone in REGIONS)


def test_while_the_platform_fails_no_new_order_for_fewer_is_made() -> None:
    world = FleetWorld(constant(16))
    world.outcome = CallOutcome.UNKNOWN
    world.run(30)
    assert len(world.commands) <= len(REGIONS)


def test_a_call_without_an_answer_is_not_repeated_where_the_nodes_match_the_order() -> None:
    world = FleetWorld(constant(16))
    world.outcome = CallOutcome.UNKNOWN
    world.accepts_when_unknown = True
    world.run(10)
    assert len({(order.zone, order.wanted) for _, order in world.calls}) == len(world.calls)


def test_a_rejected_order_is_not_repeated() -> None:
    world = FleetWorld(burst(20, 150, 5))
    world.outcome = CallOutcome.REJECTED
    world.run(30)
    assert len(world.calls) <= len(REGIONS)


# -- properties --


@settings(max_examples=25, deadline=None)
@given(data=st.data())
def test_orders_stay_within_bounds_under_random_faults(data: st.DataObject) -> None:
    rates = data.draw(st.lists(st.floats(0, 250), min_size=4, max_size=4))
    world = FleetWorld(
        lambda zone, now_s: rates[int(now_s / 6) % 4],
        nodes_per_zone=data.draw(st.integers(2, 14)),
        seed=data.draw(st.integers(0, 99)),
    )
    for _ in range(data.draw(st.integers(2, 6))):
        world.unreachable_zones = set(data.draw(st.sampled_from([(), (), ("b1", "b2"), ("a1",)])))
        world.unresponsive_zones = set(data.draw(st.sampled_from([(), (), ("a2",)])))
        world.outcome = data.draw(st.sampled_from([CallOutcome.ACCEPTED, *CallOutcome]))
        if data.draw(st.booleans()):
            world.start_lease_owner()
        fault_from_s = world.now_s
        world.run(data.draw(st.floats(0.5, 9)))
        if world.unreachable_zones or world.unresponsive_zones:
            assert world.downward_calls(fault_from_s + 3.3) == []
    _check_calls(world)


def _check_calls(world: FleetWorld) -> None:
    last: dict[tuple[str, str], tuple[float, FleetOrder]] = {}
    for at_s, order in world.calls:
        assert SCALING.min_nodes <= order.wanted <= SCALING.max_nodes
        group = group_of(order)
        before = last.get(group)
        assert before is None or at_s - before[0] > 0.95, "two calls a second"
        last[group] = (at_s, order)
    current_orders: dict[tuple[str, str], FleetOrder] = {}
    for _, order in world.commands:
        assert current_orders.get(group_of(order)) != order, "an order that repeats the current one"
        current_orders[group_of(order)] = order


# -- broken variants: each must be detected --


def test_without_stabilization_an_unreachable_region_would_lose_nodes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(fleet_stability.FleetStability, "allows_scale_down", lambda *_: True)
    world = FleetWorld(constant(16))
    world.unreachable_zones |= {"b1", "b2"}
    world.run(20)
    assert world.calls


def test_without_the_peak_demand_orders_would_oscillate_with_a_wave(monkeypatch: pytest.MonkeyPatch) -> None:
    unchanged = FleetWorld(wave(30, 0.6, 26))
    unchanged.run(120)
    monkeypatch.setattr("coveport.serving.duties.demand_history.PEAK_WINDOW_S", 0.5)
    monkeypatch.setattr(fleet_planner, "MAX_SCALE_DOWN_RATIO", 1.0)
    broken = FleetWorld(wave(30, 0.6, 26))
    broken.run(120)
    assert len(broken.calls) > len(unchanged.calls)


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
