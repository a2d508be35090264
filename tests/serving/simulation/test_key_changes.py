"""Days on which API keys of tenants are added, removed and moved while clients send requests."""

from __future__ import annotations

from functools import partial

from coveport.serving.model.configuration import Tenant
from coveport.serving.simulation.deployment import Deployment
from coveport.serving.simulation.events import (
    AttemptEnded,
    AttemptStarted,
    Order,
    OrderEnded,
    OrderStarted,
    Verdict,
)
from coveport.serving.simulation.faults import FaultInjector
from coveport.serving.simulation.world import DayResult, SimulatedDeployment

LENGTH_S = 9.0
CHANGED_AT_S = 2.0
TENANTS = (Tenant("north", ("n1", "n2")), Tenant("south", ("s1", "s2")), Tenant("west", ("w1",)))


class KeyDay:
    """A day of a deployment with tenants."""

    def __init__(self, seed: int = 7) -> None:
        self.day = SimulatedDeployment(Deployment(tenants=TENANTS), seed)
        self.faults = FaultInjector(self.day)

    def play(self) -> DayResult:
        result = self.day.play(LENGTH_S)
        assert list(result.problems) == []
        return result


def breaches(result: DayResult, rule: str) -> list[str]:
    """Return the breaches of one rule."""
    return [str(breach) for breach in result.breaches if breach.rule == rule]


def last_statuses(result: DayResult, key: str) -> list[int]:
    """Return the statuses of the last check of each proxy with a key."""
    ended = {entry.attempt_id: entry for entry in result.event_log.of(AttemptEnded)}
    checks = [
        entry for entry in result.event_log.of(AttemptStarted) if entry.is_direct and entry.api_key == key
    ]
    by_proxy = {entry.proxy: ended[entry.attempt_id].status for entry in checks}
    return list(by_proxy.values())


def test_requests_reach_nodes_under_the_name_of_their_tenant_and_without_its_key() -> None:
    result = KeyDay().play()
    assert breaches(result, "UNASKED") == []
    assert result.served_fraction == 1.0


def test_a_removed_key_is_rejected_in_time() -> None:
    day = KeyDay()
    day.faults.change_tenants(CHANGED_AT_S, Tenant("north", ("n2",)), checked_keys=("n1", "n2"))
    result = day.play()
    assert breaches(result, "CONFIG") == []
    assert (last_statuses(result, "n1"), last_statuses(result, "n2")) == ([401] * 3, [200] * 3)


def test_a_tenant_without_its_last_key_is_rejected_in_time() -> None:
    day = KeyDay()
    day.faults.change_tenants(CHANGED_AT_S, Tenant("west"), checked_keys=("w1",))
    result = day.play()
    assert breaches(result, "CONFIG") == []
    assert last_statuses(result, "w1") == [401] * 3


def test_requests_with_a_moved_key_run_for_its_new_tenant_in_time() -> None:
    day = KeyDay()
    moved = (Tenant("north", ("n2",)), Tenant("south", ("s1", "s2", "n1")))
    day.faults.change_tenants(CHANGED_AT_S, *moved, checked_keys=("n1",))
    result = day.play()
    assert breaches(result, "CONFIG") + breaches(result, "UNASKED") == []
    assert last_statuses(result, "n1") == [200] * 3


def test_an_added_key_is_served_in_time() -> None:
    day = KeyDay()
    day.faults.change_tenants(CHANGED_AT_S, Tenant("east", ("e1",)), checked_keys=("e1",))
    result = day.play()
    assert breaches(result, "CONFIG") + breaches(result, "DENIED") == []
    assert last_statuses(result, "e1") == [200] * 3


def test_a_request_with_an_unknown_key_or_without_a_key_runs_on_no_node() -> None:
    day = KeyDay()
    for key in ("never-held", ""):
        day.day.at(CHANGED_AT_S, partial(day.faults.check_proxies, "/review/", key))
    result = day.play()
    assert breaches(result, "ROUTE") == []
    assert last_statuses(result, "never-held") + last_statuses(result, "") == [401] * 6


def test_a_public_route_that_is_added_is_served_without_a_key() -> None:
    day = KeyDay()
    day.faults.add_route(CHANGED_AT_S, "added")
    result = day.play()
    assert breaches(result, "CONFIG") + breaches(result, "DENIED") == []
    assert last_statuses(result, "") == [200] * 3


def test_a_configuration_with_a_shared_key_is_rejected_and_the_next_change_is_accepted() -> None:
    day = KeyDay()
    day.faults.send_shared_key(CHANGED_AT_S)
    day.faults.change_tenants(CHANGED_AT_S + 1.0, Tenant("west"))
    result = day.play()
    assert breaches(result, "CONFIG") == []
    patches = [order.number for order in result.event_log.of(OrderStarted) if order.order is Order.PATCH]
    verdicts = [ended.verdict for ended in result.event_log.of(OrderEnded) if ended.number in patches]
    assert verdicts == [Verdict.ACKNOWLEDGED]
