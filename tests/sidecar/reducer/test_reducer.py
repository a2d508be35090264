"""The reducer: one final answer per operation and one outcome per route step, whatever happens."""

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


def started(entries: balancing.EndpointUpdate = FULL) -> Reducer:
    reducer = Reducer(settings(), 7)
    assert reducer.step(1000.0, core.EndpointsUpdated(entries)) == []
    return reducer


@given(
    st.lists(
        st.tuples(st.integers(0, 9), st.integers(0, 300), st.sampled_from(balancing.Outcome)), max_size=60
    )
)
def test_each_operation_gets_one_answer(script: list[tuple[int, int, balancing.Outcome]]) -> None:
    reducer, now, answers, gone = started(), 1000.0, dict[int, int](), set[int]()
    out: set[tuple[int, int]] = set()
    timers: list[tuple[float, core.Input]] = []

    def step(item: core.Input) -> None:
        for effect in reducer.step(now, item):
            if isinstance(effect, core.SendAnswer):
                answers[effect.operation] = answers.get(effect.operation, 0) + 1
                assert effect.operation not in gone
            elif isinstance(effect, core.SendAttempt):
                assert (effect.operation, effect.step) not in out
                assert effect.operation not in answers and effect.operation not in gone
                out.add((effect.operation, effect.step))
                timers.append(
                    (
                        now + effect.timeout_ms,
                        core.AttemptEnded(effect.operation, effect.step, balancing.Outcome.TIMEOUT),
                    )
                )
            elif isinstance(effect, core.CancelAttempt):
                assert (effect.operation, effect.step) in out
                timers.append(
                    (now, core.AttemptEnded(effect.operation, effect.step, balancing.Outcome.CANCELLED))
                )
            elif isinstance(effect, core.SetTimer):
                timers.append((now + effect.delay_ms, core.TimerExpired(effect.token)))
            elif isinstance(effect, core.SetDeadlineTimer):
                timers.append((effect.at_ms, core.DeadlineExpired(effect.operation)))

    def advance(until: float) -> None:
        nonlocal now
        while timers and min(timers, key=lambda one: one[0])[0] <= until:
            timer = min(timers, key=lambda one: one[0])
            timers.remove(timer)
            now = max(now, timer[0])
            step(timer[1])
        now = max(now, until)

    came = 0
    for kind, wait, outcome in script:
        advance(now + wait)
        if kind < 5:
            came += 1
            step(core.OperationReceived(came, kind % 3, now + 1500.0))
        elif kind < 9 and out:
            operation, attempt = sorted(out)[wait % len(out)]
            step(core.AttemptEnded(operation, attempt, outcome))
        elif came and came not in answers:
            gone.add(came)
            step(core.ClientDisconnected(came))
    if not gone:
        advance(now + 1520.0)  # the deadline and the slack
    advance(now + 10_000.0)
    assert answers == dict.fromkeys(set(range(1, came + 1)) - gone, 1) and reducer.owed == 0


def test_a_module_that_raises_leaves_nothing_owed(monkeypatch: pytest.MonkeyPatch) -> None:
    reducer, handle = started(), Balancer.handle

    def fails(self: Balancer, now_ms: float, event: balancing.Event) -> list[balancing.Action]:
        handle(self, now_ms, event)
        raise KeyError("a fault in the module")

    monkeypatch.setattr(Balancer, "handle", fails)
    came = reducer.step(1001.0, core.OperationReceived(1, 0, 3000.0))
    sent = [effect for effect in came if isinstance(effect, core.SendAttempt)]
    assert len(sent) == 1  # what was decided before the fault is carried out
    assert any(isinstance(effect, core.ReportFault) for effect in came)
    ended = reducer.step(1002.0, core.AttemptEnded(1, 0, balancing.Outcome.OK, (), Answer(b"body")))
    assert [e.answer for e in ended if isinstance(e, core.SendAnswer)] == [Answer(b"body")]
    assert reducer.owed == 0

    def raises(self: Balancer, now_ms: float, event: balancing.Event) -> list[balancing.Action]:
        self.actions = []
        raise KeyError("a fault in the module")

    monkeypatch.setattr(Balancer, "handle", raises)
    verdicts = [
        e.verdict
        for e in reducer.step(1003.0, core.OperationReceived(2, 2, 3000.0))
        if isinstance(e, core.SendAnswer)
    ]
    assert verdicts == [core.Verdict.FAILED] and reducer.owed == 0
    monkeypatch.undo()
    assert any(
        isinstance(e, core.SendAttempt) for e in reducer.step(1004.0, core.OperationReceived(3, 0, 3000.0))
    )


def test_what_the_module_forgets_is_failed_at_its_deadline(monkeypatch: pytest.MonkeyPatch) -> None:
    reducer = started()
    monkeypatch.setattr(Balancer, "handle", lambda self, now, event: [])
    (guard,) = reducer.step(1001.0, core.OperationReceived(1, 0, 3000.0))
    assert isinstance(guard, core.SetDeadlineTimer) and 3000.0 < guard.at_ms < 3020.0
    effects = reducer.step(guard.at_ms, core.DeadlineExpired(1))
    verdicts = [effect.verdict for effect in effects if isinstance(effect, core.SendAnswer)]
    assert verdicts == [core.Verdict.FAILED]


def test_a_cancel_of_what_was_never_sent_is_survived(monkeypatch: pytest.MonkeyPatch) -> None:
    reducer = started()
    decided = [balancing.Cancel(1, 3), balancing.Send(1, 100, 0.0)]
    monkeypatch.setattr(Balancer, "handle", lambda self, now, event: decided)
    effects = reducer.step(1001.0, core.OperationReceived(1, 0, 3000.0))
    assert [type(effect) for effect in effects] == [core.SetDeadlineTimer, core.ReportFault, core.SendAttempt]


def test_a_send_for_what_is_over_is_moot(monkeypatch: pytest.MonkeyPatch) -> None:
    reducer, told = started(), list[balancing.Event]()

    def sends(self: Balancer, now_ms: float, event: balancing.Event) -> list[balancing.Action]:
        told.append(event)
        return [balancing.Send(1, 100, 0.0)] if isinstance(event, balancing.Request) else []

    monkeypatch.setattr(Balancer, "handle", sends)
    effects = reducer.step(1001.0, core.OperationReceived(1, 0, 1000.0))  # its time has passed already
    assert not any(isinstance(effect, core.SendAttempt) for effect in effects)
    assert isinstance(told[-1], balancing.Reply) and told[-1].outcome is balancing.Outcome.MOOT


def test_what_was_measured_over_a_stall_of_ours_says_nothing_of_a_destination(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # A sidecar without CPU for 7 s took its nodes for that slow, and refused for 6 s more while they idled.
    reducer, told = started(), list[balancing.Event]()
    handle = Balancer.handle

    def listens(self: Balancer, now_ms: float, event: balancing.Event) -> list[balancing.Action]:
        told.append(event)
        return handle(self, now_ms, event)

    monkeypatch.setattr(Balancer, "handle", listens)
    for number in (1, 2):
        reducer.step(1000.0, core.OperationReceived(number, 0, 9000.0))
    reducer.step(1040.0, core.AttemptEnded(1, 0, balancing.Outcome.OK, (), Answer(b"early")))
    reducer.step(8060.0, core.ProcessStalled(7000.0))
    reducer.step(8060.0, core.AttemptEnded(2, 0, balancing.Outcome.OK, (), Answer(b"late")))
    assert [event.latency_ms for event in told if isinstance(event, balancing.Reply)] == [40.0, 60.0]
