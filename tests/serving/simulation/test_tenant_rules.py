"""The judge's rules on API keys: each passes a good day and detects a day that breaks only this rule."""

from __future__ import annotations

import pytest

from coveport.serving.settings.boot import Bounds
from coveport.serving.simulation.events import (
    AttemptEnded,
    AttemptStarted,
    Ending,
    EventLog,
    JudgedRoute,
    JudgedTenant,
    LoggedEvent,
    NodeStarted,
    Order,
    OrderEnded,
    OrderStarted,
    ProxyStarted,
    RequestArrived,
    RequestRan,
    Verdict,
)
from coveport.serving.simulation.judge import judge

BOUNDS = Bounds(config_apply_ms=3000, revert_slack_ms=250)
HOST = "a.example"
PROXY = "10.1.0.10:8263"
ROUTES = (JudgedRoute(HOST, "/safe/", frozenset({"scribe"}), True, True, frozenset()),)
INITIAL = (JudgedTenant("north", frozenset({"n1", "n2"})), JudgedTenant("south", frozenset({"s1"})))
REVOKED = (JudgedTenant("north", frozenset({"n2"})), INITIAL[1])
MOVED = (REVOKED[0], JudgedTenant("south", frozenset({"s1", "n1"})))


class Day:
    """A day with tenants, event by event."""

    def __init__(self) -> None:
        self.events: list[LoggedEvent] = [
            ProxyStarted(0.0, "proxy-1", PROXY),
            NodeStarted(0.0, "i-1", "scribe", "10.0.0.1:80", "hall-a", "north"),
        ]
        self.order(1.0, 1, INITIAL)
        self.runs(10.0, "n1", "north")

    def order(
        self,
        at_s: float,
        edition: int,
        tenants: tuple[JudgedTenant, ...] | None,
        verdict: Verdict = Verdict.ACKNOWLEDGED,
        *,
        valid: bool = True,
        routes: tuple[JudgedRoute, ...] = ROUTES,
    ) -> None:
        started = OrderStarted(
            at_s,
            edition,
            Order.PUT,
            edition,
            edition - 1,
            valid,
            routes,
            f"digest {edition}",
            tenants=tenants,
        )
        self.events += [started, OrderEnded(at_s, edition, verdict)]

    def _sent(self, at_s: float, key: str) -> str:
        attempt_id = f"t{len(self.events)}"
        attempt = AttemptStarted(
            at_s, attempt_id, attempt_id, "POST", "/safe/x", HOST, "body", PROXY, "north", at_s + 5, at_s, 0,
            api_key=key,
        )  # fmt: skip
        self.events.append(attempt)
        return attempt_id

    def runs(self, at_s: float, key: str, tenant: str, shown_key: str = "") -> None:
        """Add a request that runs at a node."""
        attempt_id = self._sent(at_s, key)
        self.events += [
            RequestArrived(
                at_s, "i-1", attempt_id, "POST", "/safe/x", HOST, "body", tenant=tenant, api_key=shown_key
            ),
            RequestRan(at_s, "i-1", attempt_id, f"run {attempt_id}", "stamp", 1),
        ]

    def denied(self, at_s: float, key: str, status: int = 401) -> None:
        """Add a request that a proxy ends."""
        attempt_id = self._sent(at_s, key)
        self.events.append(AttemptEnded(at_s, attempt_id, Ending.COMPLETE, status))

    def breaches(self) -> list[str]:
        return [breach.rule for breach in judge(EventLog(self.events), BOUNDS)]


@pytest.fixture
def day() -> Day:
    day = Day()
    assert day.breaches() == []
    return day


def test_a_revoked_key_may_run_until_the_bound_and_no_longer(day: Day) -> None:
    day.order(20.0, 2, REVOKED)
    day.runs(22.9, "n1", "north")
    assert day.breaches() == []
    day.runs(23.1, "n1", "north")
    assert day.breaches() == ["CONFIG"]


def test_a_revoked_key_may_be_denied_as_soon_as_the_change_is_sent(day: Day) -> None:
    day.order(20.0, 2, REVOKED)
    day.denied(20.1, "n1")
    day.denied(24.0, "n1")
    day.runs(24.0, "n2", "north")
    assert day.breaches() == []


@pytest.mark.parametrize("status", [401, 403, 404])
def test_an_added_key_may_be_denied_until_the_bound_and_no_longer(day: Day, status: int) -> None:
    day.order(20.0, 2, REVOKED)
    day.order(30.0, 3, INITIAL)
    day.denied(32.9, "n1", status)
    assert day.breaches() == []
    day.denied(33.1, "n1", status)
    assert day.breaches() == ["CONFIG"]


def test_a_proxy_that_accepts_a_revoked_key_again_has_reverted(day: Day) -> None:
    day.order(20.0, 2, REVOKED)
    day.denied(20.1, "n1")
    day.runs(20.3, "n1", "north")
    assert day.breaches() == []
    day.runs(20.4, "n1", "north")
    assert day.breaches() == ["CONFIG"]


def test_a_key_that_moved_may_run_for_either_tenant_until_the_bound(day: Day) -> None:
    day.order(20.0, 2, MOVED)
    day.runs(20.1, "n1", "south")
    day.runs(22.9, "n1", "north")
    assert day.breaches() == []
    day.runs(23.1, "n1", "north")
    assert day.breaches() == ["CONFIG"]


@pytest.mark.parametrize("tenant", ["", "south", "nobody"])
def test_a_request_that_runs_for_a_tenant_without_its_key_is_unasked(day: Day, tenant: str) -> None:
    day.runs(20.0, "n1", tenant)
    assert day.breaches() == ["UNASKED"]


def test_a_key_that_reaches_a_node_is_unasked(day: Day) -> None:
    day.runs(20.0, "n1", "north", shown_key="n1")
    assert day.breaches() == ["UNASKED"]


@pytest.mark.parametrize("key", ["", "never-held"])
def test_a_key_that_no_configuration_holds_breaks_the_rule_on_routes(day: Day, key: str) -> None:
    day.denied(20.0, key)
    assert day.breaches() == []
    day.runs(20.0, key, "")
    assert day.breaches() == ["ROUTE"]


def test_a_public_route_needs_no_key_but_rejects_unknown_keys() -> None:
    day = Day()
    day.events = day.events[:2]
    public = JudgedRoute(HOST, "/safe/", frozenset({"scribe"}), True, True, frozenset(), public=True)
    day.order(1.0, 1, INITIAL, routes=(public,))
    day.runs(10.0, "", "")
    day.runs(10.0, "n1", "north")
    day.denied(10.0, "never-held")
    assert day.breaches() == []
    day.denied(10.0, "")
    assert day.breaches() == ["CONFIG"]
    day.runs(11.0, "never-held", "")
    assert day.breaches() == ["CONFIG", "ROUTE"]


def test_a_key_of_a_refused_configuration_is_not_in_force(day: Day) -> None:
    day.order(20.0, 2, (*INITIAL, JudgedTenant("east", frozenset({"e1"}))), Verdict.REFUSED)
    day.runs(24.0, "e1", "east")
    assert day.breaches() == ["CONFIG"]


def test_an_invalid_configuration_must_not_be_acknowledged(day: Day) -> None:
    day.order(20.0, 2, (*INITIAL, JudgedTenant("twin", frozenset({"n1"}))), valid=False)
    assert day.breaches() == ["CONFIG"]


def test_denials_of_keys_that_every_version_admits_are_counted(day: Day) -> None:
    for number in range(5):
        day.denied(1.5 + number / 10, "n1")
    assert day.breaches() == []
    day.denied(2.5, "n1")
    assert day.breaches() == ["DENIED"]


def test_without_tenants_requests_need_no_key_and_name_no_tenant() -> None:
    day = Day()
    day.events = day.events[:2]
    day.order(1.0, 1, None)
    day.runs(10.0, "", "")
    day.runs(10.0, "any", "")
    assert day.breaches() == []
