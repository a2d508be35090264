"""Each rule passes a good day and detects a day that breaks only this rule."""

from __future__ import annotations

from dataclasses import replace

import pytest

from coveport.serving.settings.boot import Bounds
from coveport.serving.simulation.events import (
    AttemptEnded,
    AttemptStarted,
    Ending,
    EventLog,
    FaultBegan,
    FaultEnded,
    HeartbeatAnswered,
    JudgedRoute,
    LoggedEvent,
    NodeStarted,
    Order,
    OrderEnded,
    OrderStarted,
    ProxyStarted,
    RequestArrived,
    RequestFinished,
    RequestRan,
    RequestRejected,
    StreamEvent,
    Verdict,
    WarmUpBegan,
)
from coveport.serving.simulation.judge import judge
from coveport.serving.simulation.texts import complete_body, digest, event_text

BOUNDS = Bounds(drain_ms=2500, config_apply_ms=2500, evacuate_ms=5000, retry_slack=2.0, retry_ratio=0.2,
                warm_up_overshoot=1.5, warm_up_slack=5.0)  # fmt: skip
PROXY = "10.1.0.10:8263"


def route(path: str, *services: str, idempotent: bool = False, homes: tuple[str, ...] = ()) -> JudgedRoute:
    return JudgedRoute("a.example", path, frozenset(services), idempotent, True, frozenset(homes), 5.0)


class Day:
    """The event log of a good day, to which tests add breaches."""

    def __init__(self) -> None:
        self.lines: list[LoggedEvent] = [
            ProxyStarted(0.0, "proxy-1", PROXY),
            NodeStarted(0.0, "i-1", "scribe", "10.0.0.1:80", "hall-a", "north"),
            NodeStarted(0.0, "i-2", "scribe", "10.0.1.1:80", "hall-b", "south"),
            NodeStarted(0.0, "i-3", "reader", "10.0.0.2:80", "hall-a", "north"),
        ]
        self.numbers = 0
        self.order(
            1.0, Order.PUT, 1,
            (route("/once/", "scribe"), route("/often/", "scribe", idempotent=True),
             route("/north/", "scribe", homes=("north",))),
        )  # fmt: skip

    def order(
        self, at: float, order: Order, edition: int = 0, routes: tuple[JudgedRoute, ...] = (), *,
        based_on: int = 0, verdict: Verdict = Verdict.ACKNOWLEDGED, valid: bool = True, zone: str = "",
        took: float = 0.1,
    ) -> int:  # fmt: skip
        self.numbers += 1
        found = f"digest of {edition} by {self.numbers}" if edition else ""
        self.lines += [
            OrderStarted(at, self.numbers, order, edition, based_on, valid, routes, found, zone),
            OrderEnded(at + took, self.numbers, verdict),
        ]
        return self.numbers

    def sent(self, at: float, attempt_id: str, path: str = "/once/", **more: object) -> AttemptStarted:
        line = AttemptStarted(
            at,
            f"of {attempt_id}",
            attempt_id,
            "POST",
            path + "x",
            "a.example",
            "body",
            PROXY,
            "north",
            at + 5.0,
            at,
            3,
        )
        self.lines.append(replace(line, **more))  # type: ignore[arg-type]
        return line

    def arrived(
        self, at: float, attempt_id: str, path: str = "/once/", node: str = "i-1", after: int = 0
    ) -> None:
        self.lines.append(
            RequestArrived(at, node, attempt_id, "POST", path + "x", "a.example", "body", after)
        )

    def ran(self, at: float, attempt_id: str, node: str = "i-1", run: str = "", first: int = 1) -> str:
        run = run or f"{node}.{attempt_id}"
        self.lines.append(RequestRan(at, node, attempt_id, run, f"stamp {run}", first))
        return run

    def ended(self, at: float, attempt_id: str, run: str, **more: object) -> None:
        events = tuple(StreamEvent(number, run, event_text(run, number)) for number in (1, 2, 3))
        line = AttemptEnded(
            at, attempt_id, Ending.COMPLETE, 200, f"stamp {run}", attempt_id, events, at - 0.1, 0.05, "", True
        )
        self.lines.append(replace(line, **more))  # type: ignore[arg-type]

    def served(self, at: float, attempt_id: str, path: str = "/once/", node: str = "i-1") -> None:
        self.sent(at, attempt_id, path)
        self.arrived(at + 0.01, attempt_id, path, node)
        run = self.ran(at + 0.02, attempt_id, node)
        self.ended(at + 0.5, attempt_id, run)

    def answered(self, at: float, attempt_id: str, status: int, path: str = "/once/", **more: object) -> None:
        """Add an attempt that the proxy answers without a node."""
        self.sent(at, attempt_id, path, **more)
        self.lines.append(
            AttemptEnded(at + 0.1, attempt_id, Ending.COMPLETE, status, "", "", (), 0.0, 0.0, "", False)
        )

    def rules(self) -> list[str]:
        self.lines.sort(key=lambda line: line.at_s)
        return [breach.rule for breach in judge(EventLog(self.lines), BOUNDS)]


@pytest.fixture
def day() -> Day:
    day = Day()
    for at in range(10):
        day.served(10.0 + at, f"once-{at}")
        day.served(10.5 + at, f"often-{at}", "/often/", "i-2")
    assert day.rules() == []
    return day


def test_mixed_a_success_without_the_nodes_stamp(day: Day) -> None:
    day.sent(20.0, "t")
    day.arrived(20.0, "t")
    run = day.ran(20.1, "t")
    day.ended(21.0, "t", run, stamp="")
    assert day.rules() == ["MIXED"]


def test_mixed_the_answer_of_another_request(day: Day) -> None:
    day.sent(20.0, "t")
    day.arrived(20.0, "t")
    run = day.ran(20.1, "t")
    day.ended(21.0, "t", run, answered_id="once-1")
    assert day.rules() == ["MIXED"]


def test_mixed_events_that_another_run_wrote(day: Day) -> None:
    day.sent(20.0, "t")
    day.arrived(20.0, "t")
    day.ran(20.1, "t")
    day.ended(21.0, "t", "i-1.once-1", stamp="stamp i-1.t")
    assert day.rules() == ["MIXED"]


@pytest.mark.parametrize(
    "changes", [{"ending": Ending.GARBLED}, {"surplus": True}, {"is_stream": False, "body_digest": "other"}]
)
def test_mixed_garbled_surplus_and_changed_bodies(day: Day, changes: dict[str, object]) -> None:
    day.sent(20.0, "t")
    day.arrived(20.0, "t")
    run = day.ran(20.1, "t")
    if "body_digest" in changes:
        day.ended(21.0, "t", run, events=(), is_stream=False, body_digest=digest(complete_body(run, "body")))
        assert day.rules() == []
        day.lines.pop(
            next(
                at
                for at, line in enumerate(day.lines)
                if isinstance(line, AttemptEnded) and line.attempt_id == "t"
            )
        )
        day.ended(21.0, "t", run, events=(), **changes)
    else:
        day.ended(21.0, "t", run, **changes)
    assert day.rules() == ["MIXED"]


@pytest.mark.parametrize("numbers", [(1, 3), (1, 2, 2, 3), (2, 3), (1, 2)])
def test_order_a_gap_a_repetition_a_late_start_an_early_end(day: Day, numbers: tuple[int, ...]) -> None:
    day.sent(20.0, "t", "/often/")
    day.arrived(20.0, "t", "/often/")
    run = day.ran(20.1, "t")
    day.ended(21.0, "t", run, events=tuple(StreamEvent(at, run, event_text(run, at)) for at in numbers))
    assert day.rules() == ["ORDER"]


def test_order_runs_may_be_joined_where_the_second_resumes_and_only_there(day: Day) -> None:
    def join(path: str, first: int, attempt_id: str) -> None:
        day.sent(20.0, attempt_id, path)
        day.arrived(20.0, attempt_id, path)
        first_run, second_run = day.ran(20.1, attempt_id), day.ran(20.3, attempt_id, "i-2", first=first)
        runs = (first_run, first_run, second_run)
        events = tuple(
            StreamEvent(at, run, event_text(run, at)) for at, run in zip((1, 2, 3), runs, strict=True)
        )
        day.ended(21.0, attempt_id, first_run, events=events)

    join("/often/", 3, "correct")
    assert day.rules() == []
    join("/often/", 2, "overlapping")
    assert day.rules() == ["ORDER"]
    join("/once/", 3, "not idempotent")
    assert sorted(day.rules()) == ["ORDER", "ORDER", "TWICE"]


def test_a_stream_that_is_broken_off_is_in_order(day: Day) -> None:
    day.sent(20.0, "t")
    day.arrived(20.0, "t")
    run = day.ran(20.1, "t")
    day.ended(21.0, "t", run, ending=Ending.BROKEN, events=(StreamEvent(1, run, event_text(run, 1)),))
    assert day.rules() == []


def test_unasked_an_unknown_attempt_id_and_a_changed_request(day: Day) -> None:
    day.arrived(20.0, "ghost")
    assert day.rules() == []  # the request has not run
    day.ran(20.1, "ghost")
    assert day.rules() == ["UNASKED"]
    day.sent(30.0, "t", body_digest="another body")
    day.arrived(30.0, "t")
    run = day.ran(30.1, "t")
    day.ended(31.0, "t", run)
    assert day.rules() == ["UNASKED", "UNASKED"]


def test_twice_only_idempotent_requests_may_run_again(day: Day) -> None:
    for path in ("/often/", "/once/"):
        attempt_id = f"t{path}"
        day.sent(20.0, attempt_id, path)
        day.arrived(20.0, attempt_id, path)
        run = day.ran(20.1, attempt_id)
        day.arrived(20.2, attempt_id, path, "i-2")
        day.ran(20.3, attempt_id, "i-2")
        day.ended(21.0, attempt_id, run)
        assert day.rules() == (["TWICE"] if path == "/once/" else [])


@pytest.mark.parametrize("status", [408, 421, 429, 503])
def test_refused_a_status_that_denies_the_run(day: Day, status: int) -> None:
    day.answered(20.0, "t", status)
    assert day.rules() == []
    day.arrived(20.0, "t")
    day.ran(20.05, "t")
    assert day.rules() == ["REFUSED"]


def test_route_a_service_that_no_configuration_named(day: Day) -> None:
    day.served(20.0, "t", node="i-3")
    # CONFIG is not reported as well: no rejected configuration has this route either.
    assert day.rules() == ["ROUTE"]


def test_home_a_node_outside(day: Day) -> None:
    day.served(20.0, "t", "/north/", "i-1")
    assert day.rules() == []
    day.served(20.0, "u", "/north/", "i-2")
    assert day.rules() == ["HOME"]


def test_denied_more_than_a_few(day: Day) -> None:
    for at in range(5):
        day.answered(20.0 + at, f"t{at}", 400)
    assert day.rules() == []
    day.answered(26.0, "t", 400)
    assert day.rules() == ["DENIED"]


def test_lost_around_a_planned_stop(day: Day) -> None:
    def broken(at: float, attempt_id: str, node_broke: bool = False) -> None:
        day.sent(at, attempt_id)
        day.arrived(at, attempt_id)
        run = day.ran(at + 0.1, attempt_id)
        day.lines.append(RequestFinished(at + 0.5, "i-1", attempt_id, run, 200, False, node_broke))
        day.ended(at + 0.5, attempt_id, run, ending=Ending.BROKEN, events=())

    day.lines.append(FaultBegan(30.0, 1, "term", ("proxy-1",), planned=True))
    day.lines.append(FaultEnded(33.0, 1))
    broken(25.0, "before")
    broken(31.0, "excused", node_broke=True)
    assert day.rules() == []
    broken(31.0, "t")
    assert day.rules() == ["LOST"]
    day.lines.append(FaultBegan(29.0, 2, "kill", ("other",)))
    day.lines.append(FaultEnded(29.1, 2))
    assert day.rules() == []


def test_drain_a_request_after_the_bound(day: Day) -> None:
    day.lines.append(HeartbeatAnswered(30.0, "i-1", "closing", "c"))
    day.served(32.4, "soon")
    day.served(40.0, "elsewhere", node="i-2")
    assert day.rules() == []
    day.served(32.6, "late")
    assert day.rules() == ["DRAIN"]


def test_drain_requests_rejected_with_421_and_proxies_with_faults_do_not_count(day: Day) -> None:
    day.lines.append(HeartbeatAnswered(30.0, "i-1", "gone", "c"))
    day.sent(35.0, "t")
    day.arrived(35.01, "t")
    day.lines.append(RequestRejected(35.01, "i-1", "t", 421))
    assert day.rules() == []
    day.lines.append(FaultBegan(50.0, 1, "freeze", ("proxy-1",)))
    day.lines.append(FaultEnded(53.0, 1))
    day.served(56.0, "u")
    assert day.rules() == []
    day.served(58.0, "v")
    assert day.rules() == ["DRAIN"]


def test_evacuation_between_the_bound_and_the_revocation(day: Day) -> None:
    day.order(30.0, Order.EVACUATE, zone="hall-a")
    day.order(50.0, Order.TAKE_BACK, zone="hall-a")
    day.served(35.0, "soon")
    day.served(40.0, "elsewhere", node="i-2")
    day.served(50.5, "back")
    assert day.rules() == []
    day.served(35.2, "late")
    assert day.rules() == ["EVAC"]


def test_evacuation_without_acknowledgement_has_no_bound(day: Day) -> None:
    day.order(30.0, Order.EVACUATE, zone="hall-a", verdict=Verdict.UNCLEAR)
    day.served(40.0, "t")
    assert day.rules() == []


def test_failback_more_requests_in_one_second_than_the_warm_up_limit(day: Day) -> None:
    day.lines.append(WarmUpBegan(30.0, "i-1", 40.0, 2.0))
    for at in range(8):
        day.served(31.0 + at / 10, f"t{at}")
    for at in range(20):
        day.served(41.0 + at / 100, f"warm{at}")
    assert day.rules() == []
    day.served(31.99, "one too many")
    assert day.rules() == ["FAILBACK"]


def test_budget_second_arrivals_in_a_window(day: Day) -> None:
    def add_retried_request(at: float, attempt_id: str) -> None:
        day.sent(at, attempt_id, "/often/")
        for node in ("i-1", "i-2"):
            day.arrived(at, attempt_id, "/often/", node)
        day.lines.append(RequestRejected(at, "i-1", attempt_id, 503))
        run = day.ran(at + 0.1, attempt_id, "i-2")
        day.ended(at + 0.5, attempt_id, run)

    # The budget is 2 + 0.2 per request within ten seconds: two requests allow 2.4 retries, three 2.6.
    add_retried_request(60.0, "a")
    add_retried_request(61.0, "b")
    add_retried_request(72.0, "c")
    assert day.rules() == []
    add_retried_request(69.0, "d")
    assert day.rules() == ["BUDGET"]


def test_config_an_old_version_after_the_bound(day: Day) -> None:
    moved_routes = (route("/once/", "reader"), route("/often/", "scribe", idempotent=True))
    day.order(30.0, Order.PUT, 2, moved_routes, based_on=1)
    day.served(32.5, "soon")
    assert day.rules() == []
    day.served(32.7, "late")
    assert day.rules() == ["CONFIG"]


def test_config_a_404_though_the_route_is_there(day: Day) -> None:
    day.order(30.0, Order.PUT, 2, (route("/new/", "scribe"), route("/once/", "scribe")), based_on=1)
    day.answered(32.0, "soon", 404, "/new/", is_direct=True)
    day.answered(40.0, "never was", 404, "/nothing/", is_direct=True)
    assert day.rules() == []
    day.answered(33.0, "late", 404, "/new/", is_direct=True)
    assert day.rules() == ["CONFIG"]


def test_config_a_dropped_route_that_still_runs(day: Day) -> None:
    day.order(30.0, Order.PUT, 2, (route("/often/", "scribe", idempotent=True),), based_on=1)
    day.served(33.0, "late")
    assert day.rules() == ["CONFIG"]


def test_config_a_proxy_that_reverts_to_an_older_version(day: Day) -> None:
    moved_routes = (route("/once/", "reader"), route("/often/", "scribe", idempotent=True))
    day.order(30.0, Order.PUT, 2, moved_routes, based_on=1)
    day.served(30.5, "new", node="i-3")
    day.served(30.6, "within the slack")
    assert day.rules() == []
    day.served(31.0, "old")
    assert day.rules() == ["CONFIG"]
    day.lines.append(ProxyStarted(30.9, "proxy-1", PROXY))
    assert day.rules() == []  # in another incarnation


def test_config_a_refused_configuration_in_force(day: Day) -> None:
    lost = (route("/once/", "reader"),)
    day.order(30.0, Order.PUT, 2, lost, based_on=1, verdict=Verdict.REFUSED)
    day.served(40.0, "t")
    assert day.rules() == []
    day.served(40.0, "u", node="i-3")
    assert day.rules() == ["CONFIG"]


def test_config_an_unclear_change_may_or_may_not_be_in_force(day: Day) -> None:
    day.order(30.0, Order.PUT, 2, (route("/once/", "reader"),), based_on=1, verdict=Verdict.UNCLEAR)
    day.served(40.0, "t")
    assert day.rules() == []
    day.served(40.6, "u", node="i-3")
    assert day.rules() == []


def test_config_an_invalid_change_and_two_changes_of_one_version_must_not_be_acknowledged(day: Day) -> None:
    day.order(
        30.0, Order.PUT, 2, (route("/once/", "scribe"),), based_on=1, valid=False, verdict=Verdict.REFUSED
    )
    day.order(31.0, Order.PUT, 3, (route("/once/", "scribe"),), based_on=1)
    assert day.rules() == []
    day.order(32.0, Order.PUT, 4, (route("/once/", "scribe"),), based_on=1)
    assert day.rules() == ["CONFIG"]
    day.order(33.0, Order.PUT, 5, (route("/once/", "scribe"),), based_on=4, valid=False)
    assert day.rules() == ["CONFIG", "CONFIG"]


@pytest.mark.parametrize(
    ("edition", "digest_of", "breaches"), [(2, 2, 0), (1, 1, 1), (2, 1, 1), (0, 0, 1), (3, 3, 0)]
)
def test_config_the_last_read(day: Day, edition: int, digest_of: int, breaches: int) -> None:
    routes = (route("/once/", "scribe"),)
    day.order(30.0, Order.PUT, 2, routes, based_on=1)
    day.order(31.0, Order.PUT, 3, routes, based_on=2, verdict=Verdict.UNCLEAR)
    verdict = Verdict.ACKNOWLEDGED if edition else Verdict.UNCLEAR
    number = day.order(50.0, Order.READ, verdict=verdict)
    found = f"digest of {digest_of} by {digest_of}"
    day.lines[-1] = OrderEnded(50.1, number, verdict, 200, edition, found)
    assert day.rules() == ["CONFIG"] * breaches


def add_coordinator_fault(day: Day, *machines: str) -> None:
    """Add a fault of coordinators from 29 s until the end of the day."""
    day.lines.append(FaultBegan(29.0, 1, "kill", machines, True, False, machines))


def test_an_unstable_core_widens_the_bound_on_configurations(day: Day) -> None:
    moved_routes = (route("/once/", "reader"), route("/often/", "scribe", idempotent=True))
    day.order(30.0, Order.PUT, 2, moved_routes, based_on=1)
    add_coordinator_fault(day, "coordinator-1")
    day.served(38.0, "within the wider bound")
    assert day.rules() == []
    day.served(39.0, "late")
    assert day.rules() == ["CONFIG"]


def test_an_unstable_core_widens_the_bound_on_evacuations(day: Day) -> None:
    day.order(30.0, Order.EVACUATE, zone="hall-a")
    add_coordinator_fault(day, "coordinator-1")
    day.served(41.0, "within the wider bound")
    assert day.rules() == []
    day.served(41.2, "late")
    assert day.rules() == ["EVAC"]


def test_no_bound_applies_without_a_quorum_or_while_the_proxy_has_a_fault(day: Day) -> None:
    day.order(30.0, Order.EVACUATE, zone="hall-a")
    day.served(60.0, "t")
    add_coordinator_fault(day, "coordinator-1", "coordinator-2")
    assert day.rules() == []
    day.lines = [line for line in day.lines if not isinstance(line, FaultBegan)]
    assert day.rules() == ["EVAC"]
    day.lines.append(FaultBegan(58.0, 2, "freeze", ("proxy-1",)))
    assert day.rules() == []
