"""The reducer with a module that follows a script: what it is told, and what is done with what it says."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from typing import Any

import pytest
from helpers import SAFE, settings

from coveport import balancing
from coveport.balancing import Cancel, ClientDisconnected, Fail, Outcome, Refuse, Reply, Send
from coveport.sidecar.reducer import messages as core
from coveport.sidecar.reducer.messages import (
    AttemptEnded,
    CancelAttempt,
    SendAnswer,
    SendAttempt,
    SetDeadlineTimer,
    Verdict,
)
from coveport.sidecar.reducer.operation import Answer
from coveport.sidecar.reducer.reducer import Reducer

Says = list[balancing.Action] | Exception
LIMITS = balancing.Limits(
    max_attempts=2, second_copies=True, cancel=True, retry_after=True, max_retry_after_ms=700
)
SETTINGS = dataclasses.replace(settings(SAFE, dataclasses.replace(SAFE, aim_ms=400.0)), limits=LIMITS)
GUARD = SetDeadlineTimer(1, 3005.0)  # a quarter of the slack of 20 ms past the deadline
ANSWER = Answer(b"body")


class Module:
    """Says what the script holds for each kind of event, once; keeps what it was told."""

    def __init__(self, script: dict[type, list[Says]]) -> None:
        self.script = script
        self.told = list[tuple[float, balancing.Event]]()
        self.out = list[balancing.Action]()

    def handle(self, now: float, event: balancing.Event) -> list[balancing.Action]:
        self.told.append((now, event))
        said = self.script.get(type(event), [])
        says = said.pop(0) if said else []
        if isinstance(says, Exception):
            raise says
        self.out = says
        return says


def scripted(limits: balancing.Limits = LIMITS, **script: Any) -> tuple[Reducer, Module]:
    made: list[tuple[balancing.Settings, int]] = []
    module = Module({getattr(balancing, kind): list(says) for kind, says in script.items()})

    def make(*arguments: Any) -> Any:
        made.append(arguments)
        return module

    with_limits = dataclasses.replace(SETTINGS, limits=limits)
    reducer = Reducer(with_limits, 7, make)
    assert made == [(with_limits, 7)]
    return reducer, module


def came(number: int = 1, deadline: float = 3000.0, **more: Any) -> core.OperationReceived:
    return core.OperationReceived(number, more.pop("cls", 0), deadline, **more)


def told(module: Module) -> list[balancing.Event]:
    return [event for _, event in module.told]


@pytest.mark.parametrize(
    ("item", "event"),
    [
        (came(cls=1, repeat=True, cost_ms=12.0), balancing.Request(1, 3000.0, 1, 0, 12.0, repeat=True)),
        (core.TimerExpired(4), balancing.TimerFired(4)),
        (
            core.EndpointsUpdated(balancing.EndpointUpdate(balancing.EndpointUpdateKind.FAILED)),
            balancing.EndpointUpdate(balancing.EndpointUpdateKind.FAILED),
        ),
        (
            core.HealthCheckEnded(101, Outcome.FULL, 3.5, (0.5,)),
            balancing.HealthCheckResult(101, Outcome.FULL, 3.5, (0.5,)),
        ),
    ],
    ids=lambda one: type(one).__name__,
)
def test_an_input_is_told_as_it_came(item: core.Input, event: balancing.Event) -> None:
    reducer, module = scripted()
    reducer.step(0.5, item)
    reducer.step(
        0.2, item if not isinstance(item, core.OperationReceived) else came(2)
    )  # time never goes back
    assert told(module)[0] == event and [now for now, _ in module.told] == [0.5, 0.5]


@pytest.mark.parametrize(
    ("says", "effect"),
    [
        (balancing.SetTimer(12.0, 3), core.SetTimer(12.0, 3)),
        (balancing.HealthCheck(101), core.CheckHealth(101)),
        (balancing.Subscribe(), core.RequestEndpoints(False)),
        (balancing.FetchEndpoints(), core.RequestEndpoints(True)),
    ],
)
def test_an_action_is_done_as_it_was_said(says: balancing.Action, effect: core.Effect) -> None:
    reducer, module = scripted(TimerFired=[[says, says]])
    assert reducer.step(50.0, core.TimerExpired(0)) == [effect, effect]
    assert reducer.step(51.0, core.TimerExpired(0)) == [], "and not again"
    assert len(module.told) == 2


def test_a_reload_moves_the_pool_and_nothing_else() -> None:
    reducer, module = scripted()
    there = ("127.0.0.1", 4711)
    assert (
        reducer.step(50.0, core.ConfigurationReloaded(there)) == [core.SwitchDiscovery(there)]
        and not module.told
    )


def test_the_life_of_an_operation_that_is_served_by_its_second_copy() -> None:
    reducer, module = scripted(
        Request=[[Send(1, 101, 800.0), Send(1, 102, 0.0)]], Reply=[[Cancel(1, 0), Cancel(1, 1)]]
    )
    assert reducer.step(1000.0, came()) == [
        GUARD,
        SendAttempt(1, 0, 101, 800.0),
        SendAttempt(1, 1, 102, 2000.0),
    ]
    assert reducer.owed == 1
    effects = reducer.step(1060.0, AttemptEnded(1, 1, Outcome.OK, (0.25,), ANSWER))
    assert effects == [SendAnswer(1, Verdict.SERVED, ANSWER), CancelAttempt(1, 0)], "the answered one is over"
    assert reducer.owed == 0
    assert reducer.step(1070.0, AttemptEnded(1, 0, Outcome.OK, (), ANSWER)) == [], "no second answer"
    assert told(module)[1:] == [
        Reply(1, 1, 102, Outcome.OK, 60.0, True, (0.25,)),
        Reply(1, 0, 101, Outcome.OK, 70.0, True, ()),
    ]
    assert reducer.step(1080.0, AttemptEnded(1, 0, Outcome.OK)) == [] and len(module.told) == 3, "forgotten"


def test_an_outcome_other_than_an_answer_leaves_the_operation_open_and_is_told_once() -> None:
    reducer, module = scripted(Request=[[Send(1, 101, 800.0)]], Reply=[[Send(1, 102, 5000.0)]])
    reducer.step(1000.0, came())
    assert reducer.step(1100.0, AttemptEnded(1, 0, Outcome.RESET)) == [SendAttempt(1, 1, 102, 1900.0)], (
        "the rest"
    )
    assert reducer.step(1101.0, AttemptEnded(1, 0, Outcome.RESET)) == [] and reducer.owed == 1
    assert told(module)[1:] == [Reply(1, 0, 101, Outcome.RESET, 100.0, False, ())]
    assert reducer.step(1200.0, AttemptEnded(2, 0, Outcome.OK)) == [], "of an operation nobody knows"


@pytest.mark.parametrize(
    ("limits", "said", "given"),
    [
        (LIMITS, 300.0, 300.0),
        (LIMITS, 5000.0, 700.0),
        (balancing.Limits(retry_after=False, max_retry_after_ms=700), 300.0, 0.0),
    ],
)
def test_advice_when_to_come_back_stays_within_what_the_site_allows(
    limits: balancing.Limits, said: float, given: float
) -> None:
    reducer, _ = scripted(limits, Request=[[Refuse(1, said), Refuse(1, said), Fail(1), Refuse(2, said)]])
    assert reducer.step(1000.0, came()) == [GUARD, SendAnswer(1, Verdict.BUSY, None, given)], "one answer"
    assert reducer.owed == 0


@pytest.mark.parametrize(("cls", "wait"), [(0, 700.0), (1, 400.0)])
def test_what_comes_where_there_is_no_room_is_turned_away_unseen(cls: int, wait: float) -> None:
    reducer, module = scripted()
    assert reducer.step(1000.0, came(cls=cls, is_admitted=False)) == [SendAnswer(1, Verdict.BUSY, None, wait)]
    assert reducer.owed == 0 and not module.told


def ended(outcome: Outcome) -> Callable[[Reducer], list[core.Effect]]:
    return lambda reducer: reducer.step(1100.0, AttemptEnded(1, 0, outcome, (), ANSWER))


@pytest.mark.parametrize(
    ("request_says", "reply_says", "ends", "verdicts"),
    [
        ([Fail(1)], [], None, [Verdict.FAILED]),
        ([Refuse(1, 0.0)], [], None, [Verdict.BUSY]),
        ([Send(1, 101, 0.0)], [Fail(1)], ended(Outcome.ERROR), [Verdict.FAILED]),
        ([Send(1, 101, 0.0)], [], ended(Outcome.OK), [Verdict.SERVED]),
        ([Send(1, 101, 0.0)], ValueError("a fault"), ended(Outcome.OK), [Verdict.SERVED]),
        ([], [], lambda r: r.step(1100.0, core.ClientDisconnected(1)), []),
        ([], [Fail(1)], lambda r: r.step(1100.0, core.TimerExpired(0)), [Verdict.FAILED]),
        ([], [], lambda r: r.step(3005.0, core.DeadlineExpired(1)), [Verdict.FAILED]),
    ],
)
def test_an_id_is_free_again_once_its_operation_is_over(
    request_says: Says,
    reply_says: Says,
    ends: Callable[[Reducer], list[core.Effect]] | None,
    verdicts: list[Verdict],
) -> None:
    reducer, module = scripted(Request=[request_says], Reply=[reply_says], TimerFired=[reply_says])
    effects = reducer.step(1000.0, came(id="one"))
    if ends:
        assert reducer.step(1001.0, came(2, id="one")) == [SendAnswer(2, Verdict.DUPLICATE)]
        assert reducer.step(1002.0, came(3, id="two"))[0] == SetDeadlineTimer(3, 3005.0)
        assert [event.id for event in told(module) if isinstance(event, balancing.Request)] == [1, 3]
        effects = ends(reducer)
    assert [one.verdict for one in effects if isinstance(one, SendAnswer)] == verdicts
    assert reducer.step(4000.0, came(4, 9000.0, id="one")) == [SetDeadlineTimer(4, 9005.0)]


def test_an_id_is_taken_until_the_last_route_step_is_over() -> None:
    reducer, _ = scripted(Request=[[Send(1, 101, 0.0), Fail(1)]])
    reducer.step(1000.0, came(id="one"))
    assert reducer.step(1001.0, came(2, id="one")) == [SendAnswer(2, Verdict.DUPLICATE)]
    reducer.step(1002.0, AttemptEnded(1, 0, Outcome.CANCELLED))
    assert reducer.step(1003.0, came(3, id="one")) == [SetDeadlineTimer(3, 3005.0)]


def test_operations_without_an_id_are_never_doubles() -> None:
    reducer, _ = scripted(Request=[[], [Fail(9), Refuse(9, 0.0)]])  # what is said of others is no fault of it
    reducer.step(1000.0, came())
    assert reducer.step(1001.0, came(2)) == [SetDeadlineTimer(2, 3005.0)] and reducer.owed == 2


def test_a_client_that_goes_away_is_told_and_what_is_out_for_it_is_given_up() -> None:
    reducer, module = scripted(
        Request=[[Send(1, 101, 0.0), Send(1, 102, 0.0)]], ClientDisconnected=[[Fail(1), Cancel(1, 0)]]
    )
    reducer.step(1000.0, came())
    reducer.step(1010.0, AttemptEnded(1, 0, Outcome.RESET))
    assert reducer.step(1020.0, core.ClientDisconnected(1)) == [CancelAttempt(1, 1)], (
        "no answer, and what ended is over"
    )
    assert reducer.owed == 0 and told(module)[-1] == ClientDisconnected(1)
    assert (
        reducer.step(1021.0, core.ClientDisconnected(1)) == []
        and reducer.step(1022.0, core.ClientDisconnected(9)) == []
    )
    assert reducer.step(3005.0, core.DeadlineExpired(1)) == [] and len(module.told) == 3
    assert reducer.step(3006.0, AttemptEnded(1, 1, Outcome.CANCELLED)) == []
    assert told(module)[-1] == Reply(1, 1, 102, Outcome.CANCELLED, 2006.0, True, ())


def test_an_operation_that_the_module_forgets_is_answered_by_the_guard_with_a_complaint() -> None:
    reducer, module = scripted(Request=[[Send(1, 101, 0.0)]])
    reducer.step(1000.0, came())
    complaint, *rest = reducer.step(3005.0, core.DeadlineExpired(1))
    assert isinstance(complaint, core.ReportFault) and "operation 1 " in complaint.text
    assert rest == [SendAnswer(1, Verdict.FAILED), CancelAttempt(1, 0)] and told(module)[
        -1
    ] == ClientDisconnected(1)
    assert (
        reducer.step(3006.0, core.DeadlineExpired(1)) == []
        and reducer.step(3006.0, core.DeadlineExpired(2)) == []
    )


@pytest.mark.parametrize(
    ("deadline", "sent", "moot", "closed"),
    [
        (1000.0, [Send(1, 101, 50.0)], 0, False),  # its time is over
        (1000.5, [Send(1, 103, 50.0), Fail(1), Send(1, 101, 50.0)], 1, True),  # it is answered
        (3000.0, [Send(1, 103, 50.0), Send(1, 104, 50.0), Send(1, 101, 50.0)], 2, False),  # more than allowed
    ],
)
def test_a_send_that_may_not_be_is_moot_and_told_so(
    deadline: float, sent: Says, moot: int, closed: bool
) -> None:
    reducer, module = scripted(Request=[[Send(2, 101, 0.0)], sent])  # the first names what nobody asked for
    assert reducer.step(1000.0, came(9)) == [SetDeadlineTimer(9, 3005.0)]
    effects = reducer.step(1000.0, came(1, deadline))
    assert [(one.step, one.destination) for one in effects if isinstance(one, SendAttempt)] == [
        (0, 103),
        (1, 104),
    ][:moot]
    # Not told of it before all that the module said is done.
    assert told(module)[1:] == [
        balancing.Request(1, deadline),
        Reply(1, moot, 101, Outcome.MOOT, 0.0, closed),
    ]
    if not closed:
        assert reducer.step(1001.0, AttemptEnded(1, moot, Outcome.OK)) == [], "it never was out"


@pytest.mark.parametrize("attempt", [-1, 1, 2])
def test_a_cancel_of_what_was_never_sent_is_complained_of(attempt: int) -> None:
    reducer, _ = scripted(Request=[[Send(1, 101, 0.0), Cancel(1, attempt), Cancel(8, 0)]])
    guard, sent, complaint = reducer.step(1000.0, came())
    assert (guard, sent) == (GUARD, SendAttempt(1, 0, 101, 2000.0)) and reducer.owed == 1
    assert isinstance(complaint, core.ReportFault) and f"attempt={attempt}" in complaint.text


@pytest.mark.parametrize("says", [[Cancel(1, 0)], ValueError("a fault in the module")])
def test_an_operation_over_which_the_module_fails_is_answered_where_nothing_is_out(says: Says) -> None:
    reducer, module = scripted(
        Request=[says, []], Reply=[ValueError("again")], ClientDisconnected=[[Fail(1)]]
    )
    guard, complaint, answer = reducer.step(1000.0, came(id="one"))
    assert guard == GUARD and isinstance(complaint, core.ReportFault)
    assert (
        answer == SendAnswer(1, Verdict.FAILED)
        and reducer.owed == 0
        and told(module)[-1] == ClientDisconnected(1)
    )
    assert reducer.step(1001.0, came(2, id="one")) == [SetDeadlineTimer(2, 3005.0)], "its id is free"


def test_a_fault_while_a_route_step_is_out_waits_for_it() -> None:
    reducer, module = scripted(
        Request=[[Send(1, 101, 0.0), Send(1, 102, 0.0)]], Reply=[ValueError("one"), ValueError("two")]
    )
    reducer.step(1000.0, came())
    module.out = []
    (complaint,) = reducer.step(1100.0, AttemptEnded(1, 0, Outcome.RESET))
    assert isinstance(complaint, core.ReportFault) and "one" in complaint.text and reducer.owed == 1
    complaint, answer = reducer.step(1200.0, AttemptEnded(1, 1, Outcome.RESET))
    assert isinstance(complaint, core.ReportFault) and answer == SendAnswer(1, Verdict.FAILED)


def test_what_a_failing_module_had_decided_is_done_and_a_fault_over_one_event_spoils_no_later_one() -> None:
    # The first event leads to a moot send, whose outcome is the second event.
    reducer, module = scripted(Request=[ValueError("fault")], Reply=[[balancing.SetTimer(5.0, 0)]])
    module.out = [Send(1, 101, 50.0)]
    guard, complaint, timer, answer = reducer.step(1000.0, came(deadline=900.0))
    assert guard == SetDeadlineTimer(1, 905.0) and isinstance(complaint, core.ReportFault)
    assert timer == core.SetTimer(5.0, 0) and answer == SendAnswer(1, Verdict.FAILED), "still told as failed"
