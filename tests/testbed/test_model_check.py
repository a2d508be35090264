"""The model checker: the shipped worlds hold, planted faults are found, and printed as tests."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Iterable
from typing import Any

import pytest
from click.testing import CliRunner, Result

from coveport import balancing
from coveport.balancing import Balancer
from coveport.balancing.host import Host
from coveport.balancing.request_state import RequestState
from coveport.cli.root import root
from coveport.sidecar.reducer import messages as core
from coveport.sidecar.reducer.reducer import Reducer
from coveport.testbed.check import check, printed
from coveport.testbed.check.chance import Chooser
from coveport.testbed.check.world import NODE, OPERATION, World
from coveport.testbed.check.worlds import SMALL, WORLDS, faulty


@pytest.mark.parametrize("world", SMALL, ids=lambda world: world.name)
def test_no_order_of_a_small_world_breaks_a_rule(world: World) -> None:
    report = check(world)
    assert report.whole and report.states > 50
    assert [(found.breach, found.path) for found in report.found] == []


# Faults planted in the reducer.


class _KeepsStepsOfTheGone(Reducer):
    def step(self, now_ms: float, item: core.Input) -> list[core.Effect]:
        effects = super().step(now_ms, item)
        left = isinstance(item, core.ClientDisconnected)
        return [effect for effect in effects if not (left and isinstance(effect, core.CancelAttempt))]


class _AnswersTwice(Reducer):
    def _attempt_ended(self, item: core.AttemptEnded) -> None:
        operation = self._operations.get(item.operation)
        if (
            operation is not None
            and operation.attempts[item.step].in_flight
            and item.outcome is balancing.Outcome.OK
        ):
            operation.answered = False
        super()._attempt_ended(item)


class _CountsNoAttempts(Reducer):
    def __init__(self, given: balancing.Settings, *rest: Any) -> None:
        super().__init__(given, *rest)
        self._settings = dataclasses.replace(
            given, limits=dataclasses.replace(given.limits, max_attempts=given.limits.max_attempts + 1)
        )


class _AsksForMore(Balancer):
    """Not a fault that shows by itself: the shipped reducer guards against it."""

    def __init__(self, given: balancing.Settings, seed: int) -> None:
        super().__init__(given, seed)
        limits = dataclasses.replace(given.limits, max_attempts=given.limits.max_attempts + 1)
        self.settings = dataclasses.replace(given, limits=limits)


# Faults planted in the module.


class _TakesResetsAsUnrun(Balancer):
    def _reply(self, event: balancing.Reply) -> None:
        reset = event.outcome is balancing.Outcome.RESET
        super()._reply(
            dataclasses.replace(event, outcome=balancing.Outcome.CONNECT_FAILED) if reset else event
        )


class _DeafToDrains(Balancer):
    def _update_endpoints(self, event: balancing.EndpointUpdate) -> None:
        entries = tuple(one for one in event.entries if one.state is not balancing.EndpointState.DRAINING)
        super()._update_endpoints(balancing.EndpointUpdate(event.kind, entries, event.version))


class _ForgetsWhoWaits(Balancer):
    def _schedule_queue_check(self, at: float) -> None:
        pass


class _BlindToCells(Balancer):
    def _is_allowed(self, request: RequestState, host: Host | None) -> bool:
        cls, request.cls = (
            request.cls,
            dataclasses.replace(request.cls, group=balancing.DeduplicationScope.ZONE),
        )
        legal = super()._is_allowed(request, host)
        request.cls = cls
        return legal


class _Raises(Balancer):
    """Fails once, before or after it has decided."""

    fails = 1

    def handle(self, now_ms: float, event: balancing.Event) -> list[balancing.Action]:
        how = self.random.choice(range(3)) if self.fails else 0
        self.fails -= how > 0
        if how == 1:
            self.actions = []
            raise KeyError("before")
        actions = super().handle(now_ms, event)
        if how == 2:
            raise KeyError("after")
        return actions


PLANTED = [
    ("leaves", "cancel-lost", _KeepsStepsOfTheGone, Balancer, 2),
    ("late-cancel", "answer-twice", _AnswersTwice, Balancer, 4),
    ("one-at-a-time", "attempts", _CountsNoAttempts, _AsksForMore, 4),
    ("redeem", "resent", Reducer, _TakesResetsAsUnrun, 3),
    ("drain", "drained", Reducer, _DeafToDrains, 3),
    ("unknown", "complaint", Reducer, _ForgetsWhoWaits, 3),
    ("earn", "resent", Reducer, _BlindToCells, 3),
]


@pytest.mark.parametrize(
    ("name", "rule", "reducer", "balancer", "moves"),
    PLANTED,
    ids=lambda value: getattr(value, "__name__", value),
)
def test_a_planted_fault_is_found_and_its_test_fails(
    name: str, rule: str, reducer: type[Reducer], balancer: type[Balancer], moves: int
) -> None:
    report = check(WORLDS[name], reducer=reducer, balancer=balancer, most_states=300)
    found = {one.breach.rule: one for one in report.found}[rule]
    assert len(found.path) == moves, found
    told: dict[str, Any] = {}
    exec(printed(report.world, found), told)
    (test,) = [value for key, value in told.items() if key.startswith("test_")]
    with pytest.raises(AssertionError):
        test(reducer, balancer)
    test()


Change = Callable[[core.Effect], Iterable[core.Effect]]


def _answer(effect: core.Effect, **changed: Any) -> Iterable[core.Effect]:
    return [dataclasses.replace(effect, **changed) if isinstance(effect, core.SendAnswer) else effect]


def _send(effect: core.Effect, *more: int, **changed: Any) -> Iterable[core.Effect]:
    if not isinstance(effect, core.SendAttempt):
        return [effect]
    return [
        dataclasses.replace(effect, **changed),
        *(dataclasses.replace(effect, step=number) for number in more),
    ]


@pytest.mark.parametrize(
    ("name", "rule", "change"),
    [
        ("redeem", "answer-none", lambda one: [] if isinstance(one, core.SetDeadlineTimer) else [one]),
        ("redeem", "answer-held", lambda one: [] if isinstance(one, core.SendAnswer) else [one]),
        ("redeem", "body", lambda one: _answer(one, answer=None)),
        ("redeem", "refused", lambda one: _answer(one, verdict=core.Verdict.BUSY)),
        ("redeem", "resent", lambda one: _send(one, 1)),
        ("redeem", "unnamed", lambda one: _send(one, destination=NODE + 7)),
        ("redeem", "span", lambda one: _send(one, timeout_ms=4000.0)),
        ("balance", "attempts", lambda one: _send(one, 1, 2, 3)),
        ("one-at-a-time", "second-copy", lambda one: _send(one, 1)),
        ("double", "double", lambda one: _answer(one, verdict=core.Verdict.DUPLICATE)),
        (
            "leaves",
            "after-end",
            lambda one: (
                [one, core.SendAttempt(OPERATION + 1, 1, NODE, 9.0)]
                if isinstance(one, core.SendAnswer)
                else [one]
            ),
        ),
        ("leaves", "cancel-wrong", lambda one: [one, core.CancelAttempt(OPERATION + 1, 0)]),
        ("no-cancel", "cancel-barred", lambda one: [one, core.CancelAttempt(OPERATION + 1, 0)]),
        ("leaves", "probe-barred", lambda one: [one, core.CheckHealth(NODE)]),
        ("must-ask", "unasked", lambda one: [] if isinstance(one, core.RequestEndpoints) else [one]),
    ],
)
def test_each_rule_can_be_broken(name: str, rule: str, change: Change) -> None:
    class Changed(Reducer):
        def step(self, now_ms: float, item: core.Input) -> list[core.Effect]:
            return [other for one in super().step(now_ms, item) for other in change(one)]

    assert rule in [one.breach.rule for one in check(WORLDS[name], reducer=Changed, most_states=200).found]


class _Hoards(Balancer):
    def _end(self, number: int, stream: int = -1) -> None:
        request = self.requests.get(number)
        super()._end(number, stream)
        if request is not None:
            self.requests[number] = request


def test_tables_and_timers_are_looked_at() -> None:
    assert [one.breach.rule for one in check(WORLDS["redeem"], balancer=_Hoards, most_states=99).found] == [
        "tables"
    ]
    crowd = dataclasses.replace(WORLDS["two"], most_timers=1)
    assert [one.breach.rule for one in check(crowd).found] == ["timers"]


@pytest.mark.parametrize("name", ["unknown", "leaves", "redeem"])
def test_whatever_the_module_raises_one_answer_is_given(name: str) -> None:
    report = check(faulty(WORLDS[name]), balancer=_Raises)
    assert report.whole and not report.found
    assert report.states > 2 * check(WORLDS[name]).states


@pytest.mark.parametrize("name", ["leaves", "two", "probes", "must-ask"])
def test_from_states_that_count_as_one_the_same_follows(name: str) -> None:
    folded, apart = check(WORLDS[name], audit=True), check(WORLDS[name], fold=False)
    assert folded.whole and folded.doubts == 0 and folded.found == apart.found == ()
    assert folded.states < apart.states and folded.depth == apart.depth


def test_what_counts_as_one_can_be_told_apart() -> None:
    folded, apart = check(WORLDS["unknown"]), check(WORLDS["unknown"], exact=True)
    assert folded.states < apart.states and folded.found == apart.found == ()


def test_the_same_report_every_time_and_bounds_are_told() -> None:
    report = check(WORLDS["two"], most_states=100)
    assert report == check(WORLDS["two"], most_states=100) and not report.whole and report.states >= 100


def test_at_random_it_goes_deep_and_shortens_what_it_finds() -> None:
    broad, deep = (
        check(WORLDS["large-drain"], most_states=400, seed=seed, balancer=_DeafToDrains) for seed in (None, 5)
    )
    assert deep.depth > 2 * broad.depth
    assert [one.breach.rule for one in deep.found] == ["drained"] and len(deep.found[0].path) <= 3
    assert "after word that it is draining" in deep.found[0].breach.text
    everything = check(WORLDS["leaves"], seed=1)
    assert everything.whole and everything.states == check(WORLDS["leaves"]).states


def test_the_verb_ends_with_its_verdict(monkeypatch: pytest.MonkeyPatch) -> None:
    def call(*args: str) -> Result:
        return CliRunner().invoke(root, ["lab", "check-model", *args])

    held = call("redeem")
    assert held.exit_code == 0 and "all orders" in held.stdout and " states " in held.stdout
    assert "BOUNDED" in call("redeem", "--states", "9").stdout
    assert call("redeem", "nonsense").exit_code == 2 and "large-drain " in call("--list").stdout
    monkeypatch.setitem(WORLDS, "two", dataclasses.replace(WORLDS["two"], most_timers=1))
    broken = call("two")
    assert broken.exit_code == 1 and "def test_timers_in_two(" in broken.stdout


def test_a_draw_is_explored_on_both_sides_of_every_limit() -> None:
    chooser, ends = Chooser(), set[tuple[bool, bool, int]]()
    script: list[int] | None = []
    while script is not None:
        chooser.script, chooser.taken = script, []
        draw = chooser.random()
        ends.add((2 + draw < 2.25, 1 + draw < 1.5, int(draw * 4)))
        script = chooser.next_script()
    assert ends == {(True, True, 0), (False, True, 1), (False, False, 2), (False, False, 3)}
