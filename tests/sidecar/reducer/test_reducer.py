"""The reducer: one final answer per operation and one outcome per attempt, in any order of inputs."""

from __future__ import annotations

import pytest
from helpers import hosts, settings
from hypothesis import given
from hypothesis import strategies as st

from coveport import balancing
from coveport.balancing import Balancer
from coveport.sidecar.reducer import messages as core
from coveport.sidecar.reducer.operation import Answer
from coveport.sidecar.reducer.reducer import Reducer

FULL = balancing.EndpointUpdate(balancing.EndpointUpdateKind.FULL, hosts())


def reducer_with_endpoints(entries: balancing.EndpointUpdate = FULL) -> Reducer:
    reducer = Reducer(settings(), 7)
    assert reducer.step(1000.0, core.EndpointsUpdated(entries)) == []
    return reducer


@given(
    st.lists(
        st.tuples(st.integers(0, 9), st.integers(0, 300), st.sampled_from(balancing.Outcome)), max_size=60
    )
)
def test_each_operation_gets_one_answer(script: list[tuple[int, int, balancing.Outcome]]) -> None:
    reducer, now, answers, disconnected = reducer_with_endpoints(), 1000.0, dict[int, int](), set[int]()
    sent: set[tuple[int, int]] = set()
    timers: list[tuple[float, core.Input]] = []

    def step(item: core.Input) -> None:
        for effect in reducer.step(now, item):
            if isinstance(effect, core.SendAnswer):
                answers[effect.operation] = answers.get(effect.operation, 0) + 1
                assert effect.operation not in disconnected
            elif isinstance(effect, core.SendAttempt):
                assert (effect.operation, effect.step) not in sent
                assert effect.operation not in answers and effect.operation not in disconnected
                sent.add((effect.operation, effect.step))
                timers.append(
                    (
                        now + effect.timeout_ms,
                        core.AttemptEnded(effect.operation, effect.step, balancing.Outcome.TIMEOUT),
                    )
                )
            elif isinstance(effect, core.CancelAttempt):
                assert (effect.operation, effect.step) in sent
                timers.append(
                    (now, core.AttemptEnded(effect.operation, effect.step, balancing.Outcome.CANCELLED))
                )
            elif isinstance(effect, core.SetTimer):
                timers.append((now + effect.delay_ms, core.TimerExpired(effect.token)))
            elif isinstance(effect, core.SetDeadlineTimer):
                timers.append((effect.at_ms, core.DeadlineExpired(effect.operation)))

    def advance(until: float) -> None:
        nonlocal now
        while timers and min(timers, key=lambda timer: timer[0])[0] <= until:
            timer = min(timers, key=lambda timer: timer[0])
            timers.remove(timer)
            now = max(now, timer[0])
            step(timer[1])
        now = max(now, until)

    received = 0
    for kind, wait, outcome in script:
        advance(now + wait)
        if kind < 5:
            received += 1
            step(core.OperationReceived(received, kind % 3, now + 1500.0))
        elif kind < 9 and sent:
            operation, attempt = sorted(sent)[wait % len(sent)]
            step(core.AttemptEnded(operation, attempt, outcome))
        elif received and received not in answers:
            disconnected.add(received)
            step(core.ClientDisconnected(received))
    if not disconnected:
        advance(now + 1520.0)  # the deadline and the slack
    advance(now + 10_000.0)
    assert answers == dict.fromkeys(set(range(1, received + 1)) - disconnected, 1) and reducer.owed == 0


def test_operations_are_answered_despite_a_balancer_that_raises(monkeypatch: pytest.MonkeyPatch) -> None:
    reducer, handle = reducer_with_endpoints(), Balancer.handle

    def handle_and_raise(self: Balancer, now_ms: float, event: balancing.Event) -> list[balancing.Action]:
        handle(self, now_ms, event)
        raise KeyError("a fault in the module")

    monkeypatch.setattr(Balancer, "handle", handle_and_raise)
    effects = reducer.step(1001.0, core.OperationReceived(1, 0, 3000.0))
    sent = [effect for effect in effects if isinstance(effect, core.SendAttempt)]
    assert len(sent) == 1  # the actions decided before the fault are applied
    assert any(isinstance(effect, core.ReportFault) for effect in effects)
    ended = reducer.step(1002.0, core.AttemptEnded(1, 0, balancing.Outcome.OK, (), Answer(b"body")))
    assert [effect.answer for effect in ended if isinstance(effect, core.SendAnswer)] == [Answer(b"body")]
    assert reducer.owed == 0

    def raise_at_once(self: Balancer, now_ms: float, event: balancing.Event) -> list[balancing.Action]:
        self.actions = []
        raise KeyError("a fault in the module")

    monkeypatch.setattr(Balancer, "handle", raise_at_once)
    verdicts = [
        effect.verdict
        for effect in reducer.step(1003.0, core.OperationReceived(2, 2, 3000.0))
        if isinstance(effect, core.SendAnswer)
    ]
    assert verdicts == [core.Verdict.FAILED] and reducer.owed == 0
    monkeypatch.undo()
    assert any(
        isinstance(effect, core.SendAttempt)
        for effect in reducer.step(1004.0, core.OperationReceived(3, 0, 3000.0))
    )


def test_an_operation_that_the_balancer_forgets_fails_at_its_deadline(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    reducer = reducer_with_endpoints()
    monkeypatch.setattr(Balancer, "handle", lambda self, now, event: [])
    (timer,) = reducer.step(1001.0, core.OperationReceived(1, 0, 3000.0))
    assert isinstance(timer, core.SetDeadlineTimer) and 3000.0 < timer.at_ms < 3020.0
    effects = reducer.step(timer.at_ms, core.DeadlineExpired(1))
    verdicts = [effect.verdict for effect in effects if isinstance(effect, core.SendAnswer)]
    assert verdicts == [core.Verdict.FAILED]


def test_a_cancel_of_an_attempt_never_sent_is_survived(monkeypatch: pytest.MonkeyPatch) -> None:
    reducer = reducer_with_endpoints()
    decided = [balancing.Cancel(1, 3), balancing.Send(1, 100, 0.0)]
    monkeypatch.setattr(Balancer, "handle", lambda self, now, event: decided)
    effects = reducer.step(1001.0, core.OperationReceived(1, 0, 3000.0))
    assert [type(effect) for effect in effects] == [core.SetDeadlineTimer, core.ReportFault, core.SendAttempt]


def test_a_send_after_the_deadline_is_moot(monkeypatch: pytest.MonkeyPatch) -> None:
    reducer, events = reducer_with_endpoints(), list[balancing.Event]()

    def record_and_send(self: Balancer, now_ms: float, event: balancing.Event) -> list[balancing.Action]:
        events.append(event)
        return [balancing.Send(1, 100, 0.0)] if isinstance(event, balancing.Request) else []

    monkeypatch.setattr(Balancer, "handle", record_and_send)
    effects = reducer.step(1001.0, core.OperationReceived(1, 0, 1000.0))  # its deadline has passed already
    assert not any(isinstance(effect, core.SendAttempt) for effect in effects)
    assert isinstance(events[-1], balancing.Reply) and events[-1].outcome is balancing.Outcome.MOOT


def test_a_stall_of_the_process_is_left_out_of_latencies(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # A sidecar without CPU for 7 s counted that as latency of its nodes, and rejected requests for 6 s more.
    reducer, events = reducer_with_endpoints(), list[balancing.Event]()
    handle = Balancer.handle

    def record(self: Balancer, now_ms: float, event: balancing.Event) -> list[balancing.Action]:
        events.append(event)
        return handle(self, now_ms, event)

    monkeypatch.setattr(Balancer, "handle", record)
    for number in (1, 2):
        reducer.step(1000.0, core.OperationReceived(number, 0, 9000.0))
    reducer.step(1040.0, core.AttemptEnded(1, 0, balancing.Outcome.OK, (), Answer(b"early")))
    reducer.step(8060.0, core.ProcessStalled(7000.0))
    reducer.step(8060.0, core.AttemptEnded(2, 0, balancing.Outcome.OK, (), Answer(b"late")))
    assert [event.latency_ms for event in events if isinstance(event, balancing.Reply)] == [40.0, 60.0]
