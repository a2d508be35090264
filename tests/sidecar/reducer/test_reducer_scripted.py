"""The reducer with a scripted balancer: the events that it passes on, and the actions that it applies."""

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

Script = list[balancing.Action] | Exception
LIMITS = balancing.Limits(
    max_attempts=2, second_copies=True, cancel=True, retry_after=True, max_retry_after_ms=700
)
SETTINGS = dataclasses.replace(settings(SAFE, dataclasses.replace(SAFE, aim_ms=400.0)), limits=LIMITS)
DEADLINE_TIMER = SetDeadlineTimer(1, 3005.0)  # a quarter of the slack of 20 ms past the deadline
ANSWER = Answer(b"body")


class ScriptedBalancer:
    """Returns the script's actions for each kind of event, once each; records the events."""

    def __init__(self, script: dict[type, list[Script]]) -> None:
        self.script = script
        self.events = list[tuple[float, balancing.Event]]()
        self.actions = list[balancing.Action]()

    def handle(self, now: float, event: balancing.Event) -> list[balancing.Action]:
        self.events.append((now, event))
        answers = self.script.get(type(event), [])
        answer = answers.pop(0) if answers else []
        if isinstance(answer, Exception):
            raise answer
        self.actions = answer
        return answer


def scripted(limits: balancing.Limits = LIMITS, **script: Any) -> tuple[Reducer, ScriptedBalancer]:
    calls: list[tuple[balancing.Settings, int]] = []
    balancer = ScriptedBalancer({getattr(balancing, kind): list(answers) for kind, answers in script.items()})

    def make(*arguments: Any) -> Any:
        calls.append(arguments)
        return balancer

    with_limits = dataclasses.replace(SETTINGS, limits=limits)
    reducer = Reducer(with_limits, 7, make)
    assert calls == [(with_limits, 7)]
    return reducer, balancer


def received(number: int = 1, deadline: float = 3000.0, **more: Any) -> core.OperationReceived:
    return core.OperationReceived(number, more.pop("cls", 0), deadline, **more)


def events_of(balancer: ScriptedBalancer) -> list[balancing.Event]:
    return [event for _, event in balancer.events]


@pytest.mark.parametrize(
    ("item", "event"),
    [
        (received(cls=1, repeat=True, cost_ms=12.0), balancing.Request(1, 3000.0, 1, 0, 12.0, repeat=True)),
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
    ids=lambda message: type(message).__name__,
)
def test_an_input_is_passed_to_the_balancer(item: core.Input, event: balancing.Event) -> None:
    reducer, balancer = scripted()
    reducer.step(0.5, item)
    reducer.step(
        0.2, item if not isinstance(item, core.OperationReceived) else received(2)
    )  # time never goes backwards
    assert events_of(balancer)[0] == event and [now for now, _ in balancer.events] == [0.5, 0.5]


@pytest.mark.parametrize(
    ("action", "effect"),
    [
        (balancing.SetTimer(12.0, 3), core.SetTimer(12.0, 3)),
        (balancing.HealthCheck(101), core.CheckHealth(101)),
        (balancing.Subscribe(), core.RequestEndpoints(False)),
        (balancing.FetchEndpoints(), core.RequestEndpoints(True)),
    ],
)
def test_an_action_becomes_one_effect(action: balancing.Action, effect: core.Effect) -> None:
    reducer, balancer = scripted(TimerFired=[[action, action]])
    assert reducer.step(50.0, core.TimerExpired(0)) == [effect, effect]
    assert reducer.step(51.0, core.TimerExpired(0)) == [], "no second time"
    assert len(balancer.events) == 2


def test_a_reload_of_the_discovery_address_only_switches_discovery() -> None:
    reducer, balancer = scripted()
    address = ("127.0.0.1", 4711)
    assert (
        reducer.step(50.0, core.ConfigurationReloaded(address)) == [core.SwitchDiscovery(address)]
        and not balancer.events
    )


def test_an_operation_that_is_served_by_its_second_copy() -> None:
    reducer, balancer = scripted(
        Request=[[Send(1, 101, 800.0), Send(1, 102, 0.0)]], Reply=[[Cancel(1, 0), Cancel(1, 1)]]
    )
    assert reducer.step(1000.0, received()) == [
        DEADLINE_TIMER,
        SendAttempt(1, 0, 101, 800.0),
        SendAttempt(1, 1, 102, 2000.0),
    ]
    assert reducer.owed == 1
    effects = reducer.step(1060.0, AttemptEnded(1, 1, Outcome.OK, (0.25,), ANSWER))
    assert effects == [SendAnswer(1, Verdict.SERVED, ANSWER), CancelAttempt(1, 0)], (
        "the answered attempt has ended"
    )
    assert reducer.owed == 0
    assert reducer.step(1070.0, AttemptEnded(1, 0, Outcome.OK, (), ANSWER)) == [], "no second answer"
    assert events_of(balancer)[1:] == [
        Reply(1, 1, 102, Outcome.OK, 60.0, True, (0.25,)),
        Reply(1, 0, 101, Outcome.OK, 70.0, True, ()),
    ]
    assert reducer.step(1080.0, AttemptEnded(1, 0, Outcome.OK)) == [] and len(balancer.events) == 3, (
        "the operation was removed"
    )


def test_a_failed_attempt_leaves_the_operation_open_and_is_reported_once() -> None:
    reducer, balancer = scripted(Request=[[Send(1, 101, 800.0)]], Reply=[[Send(1, 102, 5000.0)]])
    reducer.step(1000.0, received())
    assert reducer.step(1100.0, AttemptEnded(1, 0, Outcome.RESET)) == [SendAttempt(1, 1, 102, 1900.0)], (
        "the time-out is the time until the deadline"
    )
    assert reducer.step(1101.0, AttemptEnded(1, 0, Outcome.RESET)) == [] and reducer.owed == 1
    assert events_of(balancer)[1:] == [Reply(1, 0, 101, Outcome.RESET, 100.0, False, ())]
    assert reducer.step(1200.0, AttemptEnded(2, 0, Outcome.OK)) == [], "an unknown operation"


@pytest.mark.parametrize(
    ("limits", "wait_ms", "retry_after_ms"),
    [
        (LIMITS, 300.0, 300.0),
        (LIMITS, 5000.0, 700.0),
        (balancing.Limits(retry_after=False, max_retry_after_ms=700), 300.0, 0.0),
    ],
)
def test_retry_after_stays_within_the_limit_of_the_settings(
    limits: balancing.Limits, wait_ms: float, retry_after_ms: float
) -> None:
    reducer, _ = scripted(
        limits, Request=[[Refuse(1, wait_ms), Refuse(1, wait_ms), Fail(1), Refuse(2, wait_ms)]]
    )
    assert reducer.step(1000.0, received()) == [
        DEADLINE_TIMER,
        SendAnswer(1, Verdict.BUSY, None, retry_after_ms),
    ], "one answer"
    assert reducer.owed == 0


@pytest.mark.parametrize(("cls", "retry_after_ms"), [(0, 700.0), (1, 400.0)])
def test_an_operation_above_the_client_limit_is_rejected_before_the_balancer(
    cls: int, retry_after_ms: float
) -> None:
    reducer, balancer = scripted()
    assert reducer.step(1000.0, received(cls=cls, is_admitted=False)) == [
        SendAnswer(1, Verdict.BUSY, None, retry_after_ms)
    ]
    assert reducer.owed == 0 and not balancer.events


def end_attempt(outcome: Outcome) -> Callable[[Reducer], list[core.Effect]]:
    return lambda reducer: reducer.step(1100.0, AttemptEnded(1, 0, outcome, (), ANSWER))


@pytest.mark.parametrize(
    ("on_request", "on_reply", "end", "verdicts"),
    [
        ([Fail(1)], [], None, [Verdict.FAILED]),
        ([Refuse(1, 0.0)], [], None, [Verdict.BUSY]),
        ([Send(1, 101, 0.0)], [Fail(1)], end_attempt(Outcome.ERROR), [Verdict.FAILED]),
        ([Send(1, 101, 0.0)], [], end_attempt(Outcome.OK), [Verdict.SERVED]),
        ([Send(1, 101, 0.0)], ValueError("a fault"), end_attempt(Outcome.OK), [Verdict.SERVED]),
        ([], [], lambda r: r.step(1100.0, core.ClientDisconnected(1)), []),
        ([], [Fail(1)], lambda r: r.step(1100.0, core.TimerExpired(0)), [Verdict.FAILED]),
        ([], [], lambda r: r.step(3005.0, core.DeadlineExpired(1)), [Verdict.FAILED]),
    ],
)
def test_an_id_can_be_used_again_after_its_operation(
    on_request: Script,
    on_reply: Script,
    end: Callable[[Reducer], list[core.Effect]] | None,
    verdicts: list[Verdict],
) -> None:
    reducer, balancer = scripted(Request=[on_request], Reply=[on_reply], TimerFired=[on_reply])
    effects = reducer.step(1000.0, received(id="one"))
    if end:
        assert reducer.step(1001.0, received(2, id="one")) == [SendAnswer(2, Verdict.DUPLICATE)]
        assert reducer.step(1002.0, received(3, id="two"))[0] == SetDeadlineTimer(3, 3005.0)
        assert [event.id for event in events_of(balancer) if isinstance(event, balancing.Request)] == [1, 3]
        effects = end(reducer)
    assert [effect.verdict for effect in effects if isinstance(effect, SendAnswer)] == verdicts
    assert reducer.step(4000.0, received(4, 9000.0, id="one")) == [SetDeadlineTimer(4, 9005.0)]


def test_an_id_is_in_use_until_the_last_attempt_has_ended() -> None:
    reducer, _ = scripted(Request=[[Send(1, 101, 0.0), Fail(1)]])
    reducer.step(1000.0, received(id="one"))
    assert reducer.step(1001.0, received(2, id="one")) == [SendAnswer(2, Verdict.DUPLICATE)]
    reducer.step(1002.0, AttemptEnded(1, 0, Outcome.CANCELLED))
    assert reducer.step(1003.0, received(3, id="one")) == [SetDeadlineTimer(3, 3005.0)]


def test_operations_without_an_id_are_never_duplicates() -> None:
    # Actions for unknown operations are no fault.
    reducer, _ = scripted(Request=[[], [Fail(9), Refuse(9, 0.0)]])
    reducer.step(1000.0, received())
    assert reducer.step(1001.0, received(2)) == [SetDeadlineTimer(2, 3005.0)] and reducer.owed == 2


def test_a_disconnected_client_is_reported_and_its_attempts_are_cancelled() -> None:
    reducer, balancer = scripted(
        Request=[[Send(1, 101, 0.0), Send(1, 102, 0.0)]], ClientDisconnected=[[Fail(1), Cancel(1, 0)]]
    )
    reducer.step(1000.0, received())
    reducer.step(1010.0, AttemptEnded(1, 0, Outcome.RESET))
    assert reducer.step(1020.0, core.ClientDisconnected(1)) == [CancelAttempt(1, 1)], (
        "no answer, and no cancel of the ended attempt"
    )
    assert reducer.owed == 0 and events_of(balancer)[-1] == ClientDisconnected(1)
    assert (
        reducer.step(1021.0, core.ClientDisconnected(1)) == []
        and reducer.step(1022.0, core.ClientDisconnected(9)) == []
    )
    assert reducer.step(3005.0, core.DeadlineExpired(1)) == [] and len(balancer.events) == 3
    assert reducer.step(3006.0, AttemptEnded(1, 1, Outcome.CANCELLED)) == []
    assert events_of(balancer)[-1] == Reply(1, 1, 102, Outcome.CANCELLED, 2006.0, True, ())


def test_an_operation_that_the_balancer_forgets_is_failed_and_reported_at_its_deadline() -> None:
    reducer, balancer = scripted(Request=[[Send(1, 101, 0.0)]])
    reducer.step(1000.0, received())
    fault, *rest = reducer.step(3005.0, core.DeadlineExpired(1))
    assert isinstance(fault, core.ReportFault) and "operation 1 " in fault.text
    assert rest == [SendAnswer(1, Verdict.FAILED), CancelAttempt(1, 0)] and events_of(balancer)[
        -1
    ] == ClientDisconnected(1)
    assert (
        reducer.step(3006.0, core.DeadlineExpired(1)) == []
        and reducer.step(3006.0, core.DeadlineExpired(2)) == []
    )


@pytest.mark.parametrize(
    ("deadline", "actions", "sent_attempts", "closed"),
    [
        (1000.0, [Send(1, 101, 50.0)], 0, False),  # its deadline has passed
        (1000.5, [Send(1, 103, 50.0), Fail(1), Send(1, 101, 50.0)], 1, True),  # it is answered already
        # more attempts than allowed
        (3000.0, [Send(1, 103, 50.0), Send(1, 104, 50.0), Send(1, 101, 50.0)], 2, False),
    ],
)
def test_a_forbidden_send_is_moot_and_reported(
    deadline: float, actions: Script, sent_attempts: int, closed: bool
) -> None:
    # The first send is for an unknown operation.
    reducer, balancer = scripted(Request=[[Send(2, 101, 0.0)], actions])
    assert reducer.step(1000.0, received(9)) == [SetDeadlineTimer(9, 3005.0)]
    effects = reducer.step(1000.0, received(1, deadline))
    assert [(effect.step, effect.destination) for effect in effects if isinstance(effect, SendAttempt)] == [
        (0, 103),
        (1, 104),
    ][:sent_attempts]
    # The balancer gets the outcome only after all its actions have been applied.
    assert events_of(balancer)[1:] == [
        balancing.Request(1, deadline),
        Reply(1, sent_attempts, 101, Outcome.MOOT, 0.0, closed),
    ]
    if not closed:
        assert reducer.step(1001.0, AttemptEnded(1, sent_attempts, Outcome.OK)) == [], "it was never sent"


@pytest.mark.parametrize("attempt", [-1, 1, 2])
def test_a_cancel_of_an_attempt_never_sent_is_a_fault(attempt: int) -> None:
    reducer, _ = scripted(Request=[[Send(1, 101, 0.0), Cancel(1, attempt), Cancel(8, 0)]])
    deadline_timer, send, fault = reducer.step(1000.0, received())
    assert (deadline_timer, send) == (DEADLINE_TIMER, SendAttempt(1, 0, 101, 2000.0)) and reducer.owed == 1
    assert isinstance(fault, core.ReportFault) and f"attempt={attempt}" in fault.text


@pytest.mark.parametrize("actions", [[Cancel(1, 0)], ValueError("a fault in the balancer")])
def test_an_operation_is_failed_if_the_balancer_raises_and_no_attempt_is_in_flight(actions: Script) -> None:
    reducer, balancer = scripted(
        Request=[actions, []], Reply=[ValueError("again")], ClientDisconnected=[[Fail(1)]]
    )
    deadline_timer, fault, answer = reducer.step(1000.0, received(id="one"))
    assert deadline_timer == DEADLINE_TIMER and isinstance(fault, core.ReportFault)
    assert (
        answer == SendAnswer(1, Verdict.FAILED)
        and reducer.owed == 0
        and events_of(balancer)[-1] == ClientDisconnected(1)
    )
    assert reducer.step(1001.0, received(2, id="one")) == [SetDeadlineTimer(2, 3005.0)], (
        "its id can be used again"
    )


def test_an_operation_is_failed_only_after_its_last_attempt_if_the_balancer_raises() -> None:
    reducer, balancer = scripted(
        Request=[[Send(1, 101, 0.0), Send(1, 102, 0.0)]], Reply=[ValueError("one"), ValueError("two")]
    )
    reducer.step(1000.0, received())
    balancer.actions = []
    (fault,) = reducer.step(1100.0, AttemptEnded(1, 0, Outcome.RESET))
    assert isinstance(fault, core.ReportFault) and "one" in fault.text and reducer.owed == 1
    fault, answer = reducer.step(1200.0, AttemptEnded(1, 1, Outcome.RESET))
    assert isinstance(fault, core.ReportFault) and answer == SendAnswer(1, Verdict.FAILED)


def test_actions_before_a_fault_are_applied_and_later_events_are_handled() -> None:
    # The first event leads to a moot send, whose outcome is the second event.
    reducer, balancer = scripted(Request=[ValueError("fault")], Reply=[[balancing.SetTimer(5.0, 0)]])
    balancer.actions = [Send(1, 101, 50.0)]
    deadline_timer, fault, timer, answer = reducer.step(1000.0, received(deadline=900.0))
    assert deadline_timer == SetDeadlineTimer(1, 905.0) and isinstance(fault, core.ReportFault)
    assert timer == core.SetTimer(5.0, 0) and answer == SendAnswer(1, Verdict.FAILED), (
        "the operation still fails"
    )
