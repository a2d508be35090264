"""Each rule passes a good day and catches the day that breaks it alone."""

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


def place(path: str, *services: str, idempotent: bool = False, homes: tuple[str, ...] = ()) -> JudgedRoute:
    return JudgedRoute("a.example", path, frozenset(services), idempotent, True, frozenset(homes), 5.0)


class Day:
    """A good day, line by line; tests spoil it."""

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
            (place("/once/", "scribe"), place("/often/", "scribe", idempotent=True),
             place("/north/", "scribe", homes=("north",))),
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
        """By the proxy alone."""
        self.sent(at, attempt_id, path, **more)
        self.lines.append(
            AttemptEnded(at + 0.1, attempt_id, Ending.COMPLETE, status, "", "", (), 0.0, 0.0, "", False)
        )

    def rules(self) -> list[str]:
        self.lines.sort(key=lambda line: line.at_s)
        return [one.rule for one in judge(EventLog(self.lines), BOUNDS)]


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
    "spoiled", [{"ending": Ending.GARBLED}, {"surplus": True}, {"is_stream": False, "body_digest": "other"}]
)
def test_mixed_garbled_surplus_and_changed_bodies(day: Day, spoiled: dict[str, object]) -> None:
    day.sent(20.0, "t")
    day.arrived(20.0, "t")
    run = day.ran(20.1, "t")
    if "body_digest" in spoiled:
        day.ended(21.0, "t", run, events=(), is_stream=False, body_digest=digest(complete_body(run, "body")))
        assert day.rules() == []
        day.lines.pop(
            next(
                at
                for at, one in enumerate(day.lines)
                if isinstance(one, AttemptEnded) and one.attempt_id == "t"
            )
        )
        day.ended(21.0, "t", run, events=(), **spoiled)
    else:
        day.ended(21.0, "t", run, **spoiled)
    assert day.rules() == ["MIXED"]


@pytest.mark.parametrize("numbers", [(1, 3), (1, 2, 2, 3), (2, 3), (1, 2)])
def test_order_a_gap_a_repetition_a_late_begin_an_early_end(day: Day, numbers: tuple[int, ...]) -> None:
    day.sent(20.0, "t", "/often/")
    day.arrived(20.0, "t", "/often/")
    run = day.ran(20.1, "t")
    day.ended(21.0, "t", run, events=tuple(StreamEvent(at, run, event_text(run, at)) for at in numbers))
    assert day.rules() == ["ORDER"]


def test_order_runs_may_be_joined_where_the_second_resumes_and_only_there(day: Day) -> None:
    def join(path: str, first: int, attempt_id: str) -> None:
        day.sent(20.0, attempt_id, path)
        day.arrived(20.0, attempt_id, path)
        one, other = day.ran(20.1, attempt_id), day.ran(20.3, attempt_id, "i-2", first=first)
        runs = (one, one, other)
        events = tuple(
            StreamEvent(at, run, event_text(run, at)) for at, run in zip((1, 2, 3), runs, strict=True)
        )
        day.ended(21.0, attempt_id, one, events=events)

    join("/often/", 3, "well")
    assert day.rules() == []
    join("/often/", 2, "ill")
    assert day.rules() == ["ORDER"]
    join("/once/", 3, "never")
    assert sorted(day.rules()) == ["ORDER", "ORDER", "TWICE"]


def test_a_stream_that_is_broken_off_is_in_order(day: Day) -> None:
    day.sent(20.0, "t")
    day.arrived(20.0, "t")
    run = day.ran(20.1, "t")
    day.ended(21.0, "t", run, ending=Ending.BROKEN, events=(StreamEvent(1, run, event_text(run, 1)),))
    assert day.rules() == []


def test_unasked_an_id_that_nobody_sent_and_a_changed_request(day: Day) -> None:
    day.arrived(20.0, "ghost")
    assert day.rules() == []  # it has not run
    day.ran(20.1, "ghost")
    assert day.rules() == ["UNASKED"]
    day.sent(30.0, "t", body_digest="another body")
    day.arrived(30.0, "t")
    run = day.ran(30.1, "t")
    day.ended(31.0, "t", run)
    assert day.rules() == ["UNASKED", "UNASKED"]


def test_twice_only_what_is_idempotent_may_run_again(day: Day) -> None:
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
def test_refused_a_promise_about_what_has_run(day: Day, status: int) -> None:
    day.answered(20.0, "t", status)
    assert day.rules() == []
    day.arrived(20.0, "t")
    day.ran(20.05, "t")
    assert day.rules() == ["REFUSED"]


def test_route_a_service_that_no_configuration_named(day: Day) -> None:
    day.served(20.0, "t", node="i-3")
    # No version in force allows it either, but none that was refused would.
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


def test_drain_what_gets_421_and_machines_in_trouble_don_t_count(day: Day) -> None:
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


def test_evacuation_between_the_bound_and_the_taking_back(day: Day) -> None:
    day.order(30.0, Order.EVACUATE, zone="hall-a")
    day.order(50.0, Order.TAKE_BACK, zone="hall-a")
    day.served(35.0, "soon")
    day.served(40.0, "elsewhere", node="i-2")
    day.served(50.5, "back")
    assert day.rules() == []
    day.served(35.2, "late")
    assert day.rules() == ["EVAC"]


def test_evacuation_that_was_not_acknowledged_binds_nobody(day: Day) -> None:
    day.order(30.0, Order.EVACUATE, zone="hall-a", verdict=Verdict.UNCLEAR)
    day.served(40.0, "t")
    assert day.rules() == []


def test_failback_more_than_a_cold_node_bears_in_one_second(day: Day) -> None:
    day.lines.append(WarmUpBegan(30.0, "i-1", 40.0, 2.0))
    for at in range(8):
        day.served(31.0 + at / 10, f"t{at}")
    for at in range(20):
        day.served(41.0 + at / 100, f"warm{at}")
    assert day.rules() == []
    day.served(31.99, "one too many")
    assert day.rules() == ["FAILBACK"]


def test_budget_second_arrivals_in_a_window(day: Day) -> None:
    def again(at: float, attempt_id: str) -> None:
        day.sent(at, attempt_id, "/often/")
        for node in ("i-1", "i-2"):
            day.arrived(at, attempt_id, "/often/", node)
        day.lines.append(RequestRejected(at, "i-1", attempt_id, 503))
        run = day.ran(at + 0.1, attempt_id, "i-2")
        day.ended(at + 0.5, attempt_id, run)

    # 2 + 0.2 of those asked in ten seconds: two ask alone, so 2.4; three would be 2.6.
    again(60.0, "a")
    again(61.0, "b")
    again(72.0, "c")
    assert day.rules() == []
    again(69.0, "d")
    assert day.rules() == ["BUDGET"]


def test_config_an_old_version_after_the_bound(day: Day) -> None:
    moved = (place("/once/", "reader"), place("/often/", "scribe", idempotent=True))
    day.order(30.0, Order.PUT, 2, moved, based_on=1)
    day.served(32.5, "soon")
    assert day.rules() == []
    day.served(32.7, "late")
    assert day.rules() == ["CONFIG"]


def test_config_a_404_though_the_route_is_there(day: Day) -> None:
    day.order(30.0, Order.PUT, 2, (place("/new/", "scribe"), place("/once/", "scribe")), based_on=1)
    day.answered(32.0, "soon", 404, "/new/", is_direct=True)
    day.answered(40.0, "never was", 404, "/nothing/", is_direct=True)
    assert day.rules() == []
    day.answered(33.0, "late", 404, "/new/", is_direct=True)
    assert day.rules() == ["CONFIG"]


def test_config_a_dropped_route_that_still_runs(day: Day) -> None:
    day.order(30.0, Order.PUT, 2, (place("/often/", "scribe", idempotent=True),), based_on=1)
    day.served(33.0, "late")
    assert day.rules() == ["CONFIG"]


def test_config_a_machine_that_goes_back(day: Day) -> None:
    moved = (place("/once/", "reader"), place("/often/", "scribe", idempotent=True))
    day.order(30.0, Order.PUT, 2, moved, based_on=1)
    day.served(30.5, "new", node="i-3")
    day.served(30.6, "within the slack")
    assert day.rules() == []
    day.served(31.0, "old")
    assert day.rules() == ["CONFIG"]
    day.lines.append(ProxyStarted(30.9, "proxy-1", PROXY))
    assert day.rules() == []  # in another life


def test_config_a_refused_one_in_force(day: Day) -> None:
    lost = (place("/once/", "reader"),)
    day.order(30.0, Order.PUT, 2, lost, based_on=1, verdict=Verdict.REFUSED)
    day.served(40.0, "t")
    assert day.rules() == []
    day.served(40.0, "u", node="i-3")
    assert day.rules() == ["CONFIG"]


def test_config_one_that_got_no_clear_answer_may_be_in_force_or_not(day: Day) -> None:
    day.order(30.0, Order.PUT, 2, (place("/once/", "reader"),), based_on=1, verdict=Verdict.UNCLEAR)
    day.served(40.0, "t")
    assert day.rules() == []
    day.served(40.6, "u", node="i-3")
    assert day.rules() == []


def test_config_an_invalid_one_and_two_on_the_same_are_not_taken(day: Day) -> None:
    day.order(
        30.0, Order.PUT, 2, (place("/once/", "scribe"),), based_on=1, valid=False, verdict=Verdict.REFUSED
    )
    day.order(31.0, Order.PUT, 3, (place("/once/", "scribe"),), based_on=1)
    assert day.rules() == []
    day.order(32.0, Order.PUT, 4, (place("/once/", "scribe"),), based_on=1)
    assert day.rules() == ["CONFIG"]
    day.order(33.0, Order.PUT, 5, (place("/once/", "scribe"),), based_on=4, valid=False)
    assert day.rules() == ["CONFIG", "CONFIG"]


@pytest.mark.parametrize(
    ("edition", "digest_of", "breaches"), [(2, 2, 0), (1, 1, 1), (2, 1, 1), (0, 0, 1), (3, 3, 0)]
)
def test_config_what_is_read_back(day: Day, edition: int, digest_of: int, breaches: int) -> None:
    routes = (place("/once/", "scribe"),)
    day.order(30.0, Order.PUT, 2, routes, based_on=1)
    day.order(31.0, Order.PUT, 3, routes, based_on=2, verdict=Verdict.UNCLEAR)
    verdict = Verdict.ACKNOWLEDGED if edition else Verdict.UNCLEAR
    number = day.order(50.0, Order.READ, verdict=verdict)
    found = f"digest of {digest_of} by {digest_of}"
    day.lines[-1] = OrderEnded(50.1, number, verdict, 200, edition, found)
    assert day.rules() == ["CONFIG"] * breaches


def core_trouble(day: Day, *machines: str) -> None:
    """From 29 s on, to the end of the day."""
    day.lines.append(FaultBegan(29.0, 1, "kill", machines, True, False, machines))


def test_an_unstable_core_widens_the_bound_on_configurations(day: Day) -> None:
    moved = (place("/once/", "reader"), place("/often/", "scribe", idempotent=True))
    day.order(30.0, Order.PUT, 2, moved, based_on=1)
    core_trouble(day, "coordinator-1")
    day.served(38.0, "within the wider bound")
    assert day.rules() == []
    day.served(39.0, "late")
    assert day.rules() == ["CONFIG"]


def test_an_unstable_core_widens_the_bound_on_evacuations(day: Day) -> None:
    day.order(30.0, Order.EVACUATE, zone="hall-a")
    core_trouble(day, "coordinator-1")
    day.served(41.0, "within the wider bound")
    assert day.rules() == []
    day.served(41.2, "late")
    assert day.rules() == ["EVAC"]


def test_nothing_is_bound_while_half_of_the_core_is_gone_or_the_proxy_itself_is_in_trouble(day: Day) -> None:
    day.order(30.0, Order.EVACUATE, zone="hall-a")
    day.served(60.0, "t")
    core_trouble(day, "coordinator-1", "coordinator-2")
    assert day.rules() == []
    day.lines = [one for one in day.lines if not isinstance(one, FaultBegan)]
    assert day.rules() == ["EVAC"]
    day.lines.append(FaultBegan(58.0, 2, "freeze", ("proxy-1",)))
    assert day.rules() == []
