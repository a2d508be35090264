"""The state machine of one sidecar: (time, input) -> effects.

It is the one place where state changes. It owns the Balancer, the operations and their attempts. No I/O,
no clock, no HTTP: a second protocol would feed the same inputs and execute the same effects.
"""

from __future__ import annotations

import traceback
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from math import inf

from coveport import balancing
from coveport.balancing import Balancer
from coveport.sidecar.reducer.messages import (
    AnswerStarted,
    AttemptEnded,
    AttemptSent,
    BodyReceived,
    CancelAttempt,
    CheckHealth,
    ClientDisconnected,
    ConfigurationReloaded,
    Effect,
    EndAnswer,
    EndpointsUpdated,
    HealthCheckEnded,
    Input,
    OperationReceived,
    ProcessStalled,
    ReportFault,
    RequestEndpoints,
    SendAnswer,
    SendAttempt,
    SetDeadlineTimer,
    SetTimer,
    SlowStartGranted,
    StartAnswer,
    SwitchDiscovery,
    TimerExpired,
    Verdict,
)

# Of the answer slack: when this part has passed, an operation that nobody answered has failed.
DEADLINE_SLACK_SHARE = 0.25


@dataclass(slots=True)
class _Attempt:
    destination: int
    sent_at: float
    in_flight: bool = True
    began_at: float | None = None  # when its answer, a long one, began


@dataclass(slots=True)
class _Operation:
    deadline_ms: float
    id: str
    most_attempts: int  # as of when it came
    answered: bool = False  # or the client is gone: nothing is owed
    steps: list[_Attempt] = field(default_factory=list)
    stream: int = -1  # the attempt whose answer is being passed on

    @property
    def over(self) -> bool:
        return self.answered and not any(step.in_flight for step in self.steps)


class Reducer:
    """The state of one sidecar; `step` is its only transition."""

    def __init__(
        self,
        settings: balancing.Settings,
        seed: int,
        balancer: Callable[[balancing.Settings, int], Balancer] = Balancer,
    ) -> None:
        self._settings = settings
        self._balancer = balancer(settings, seed)
        self._operations: dict[int, _Operation] = {}
        self._ids: set[str] = set()  # of the open operations
        self._now = 0.0
        self._effects: list[Effect] = []
        self._events: deque[balancing.Event] = deque()

    @property
    def owed(self) -> int:
        """Number of operations that wait for their answer."""
        return sum(not operation.answered or operation.stream >= 0 for operation in self._operations.values())

    @property
    def members(self) -> tuple[int, int]:
        """How many destinations are listed, and how many of them the balancer avoids now."""
        return len(self._balancer.hosts), self._balancer.avoided()

    @property
    def service_ms(self) -> float:
        """Mean time of an operation at a destination, as the balancer knows it."""
        return self._balancer.service_time

    def in_slow_start(self) -> dict[int, tuple[int, float]]:
        """Destinations that count as cold: zone, and age in ms."""
        warm = self._settings.rules.warm_after_ms
        return {
            host.id: (host.zone, self._now - host.slow_start_at)
            for host in self._balancer.hosts.values()
            if self._now - host.slow_start_at < warm
        }

    def ejected(self) -> dict[int, float]:
        """Destinations that are out as they failed, and for how long, ms."""
        return {
            host.id: max(0.0, self._now - host.unresponsive_since)
            for host in self._balancer.hosts.values()
            if host.readmit_at < inf
        }

    def location_of(self, destination: int) -> tuple[int, int]:
        """Zone and cell of a destination; -1 both where it is not known any more."""
        host = self._balancer.hosts.get(destination)
        return (host.zone, host.cell) if host is not None else (-1, -1)

    @property
    def tables(self) -> dict[str, int]:
        """How many entries each table has, the balancer's included; all but `hosts` come back to nothing."""
        balancer = self._balancer
        return {
            "operations": len(self._operations),
            "ids": len(self._ids),
            "requests": len(balancer.requests),
            "queue": balancer.queue.count,
            "flights": len(balancer.in_flight),
            "due": len(balancer.timers),
            "hosts": len(balancer.hosts),
        }

    # The two dispatchers stay whole, most frequent first: a table of bound methods would be state that the
    # model check copies at every step, and one more call stands on every request's way.
    def step(self, now_ms: float, item: Input) -> list[Effect]:  # noqa: C901, PLR0912  # see above
        """Apply one input and return the effects, in the order in which they are to be executed."""
        self._now = max(self._now, now_ms)
        effects: list[Effect] = []
        self._effects = effects
        if isinstance(item, OperationReceived):
            self._operation_received(item)
        elif isinstance(item, AttemptEnded):
            self._attempt_ended(item)
        elif isinstance(item, TimerExpired):
            self._notify_balancer(balancing.TimerFired(item.token))
        elif isinstance(item, EndpointsUpdated):
            self._notify_balancer(item.update)
        elif isinstance(item, HealthCheckEnded):
            self._notify_balancer(
                balancing.HealthCheckResult(item.destination, item.outcome, item.latency_ms, item.load)
            )
        elif isinstance(item, ClientDisconnected):
            self._close(item.operation, None)
        elif isinstance(item, BodyReceived):
            self._body_received(item)
        elif isinstance(item, AttemptSent):
            operation = self._operations.get(item.operation)
            if operation is not None:
                operation.steps[item.step].sent_at = self._now
        elif isinstance(item, AnswerStarted):
            self._answer_started(item)
        elif isinstance(item, ProcessStalled):
            self._subtract_stall(item.duration_ms)
        elif isinstance(item, SlowStartGranted):
            self._notify_balancer(
                balancing.SlowStartGrant(item.destination, item.count, self._now + item.valid_ms)
            )
        elif isinstance(item, ConfigurationReloaded):
            if item.discovery is not None:
                self._effects.append(SwitchDiscovery(item.discovery))  # operations and attempts go on
            if item.settings is not None:
                self._settings = item.settings
                self._notify_balancer(balancing.SettingsChanged(item.settings))
        else:
            # Guards against a balancer that forgets an operation: it gets its answer within the slack.
            operation = self._operations.get(item.operation)
            if operation is not None and not operation.answered:
                self._effects.append(ReportFault(f"operation {item.operation} was left unanswered"))
                self._close(item.operation, Verdict.FAILED)
        return effects

    def _operation_received(self, item: OperationReceived) -> None:
        if not item.is_admitted:
            # Guards against running out of descriptors: turned away unseen, so it has never run.
            self._effects.append(self._rejection(item.operation, self._settings.classes[item.cls].aim_ms))
            return
        if item.id and item.id in self._ids:
            # Guards against a client that uses another's id: what is open keeps its one answer, and the
            # ledger nodes never hold two of a name.
            self._effects.append(SendAnswer(item.operation, Verdict.DUPLICATE))
            return
        self._ids.add(item.id)
        operation = self._operations[item.operation] = _Operation(
            item.deadline_ms, item.id, self._settings.limits.max_attempts
        )
        operation.steps.extend(_Attempt(-1, one.sent_ms, in_flight=False) for one in item.prior_attempts)
        if not item.long:
            self._set_deadline_timer(item.operation, operation)
        handled = self._notify_balancer(
            balancing.Request(
                item.operation,
                item.deadline_ms,
                item.cls,
                0,
                item.cost_ms,
                repeat=item.repeat,
                long=item.long,
                before=item.prior_attempts,
            )
        )
        self._close_if_done(item.operation, operation, handled)

    def _set_deadline_timer(self, number: int, operation: _Operation) -> None:
        guard = operation.deadline_ms + self._settings.rules.answer_slack_ms * DEADLINE_SLACK_SHARE
        self._effects.append(SetDeadlineTimer(number, guard))

    def _body_received(self, item: BodyReceived) -> None:
        operation = self._operations.get(item.operation)
        if operation is not None and not operation.answered:
            operation.deadline_ms = item.deadline_ms
            self._set_deadline_timer(item.operation, operation)

    def _answer_started(self, item: AnswerStarted) -> None:
        operation = self._operations.get(item.operation)
        if operation is None or operation.answered or not operation.steps[item.step].in_flight:
            self._effects.append(CancelAttempt(item.operation, item.step))  # somebody else's answer was first
            return
        step = operation.steps[item.step]
        operation.answered, operation.stream, step.began_at = True, item.step, self._now
        self._effects.append(StartAnswer(item.operation, item.step, item.answer))
        self._notify_balancer(balancing.StreamStarted(item.operation, item.step, step.destination))

    def _attempt_ended(self, item: AttemptEnded) -> None:
        operation = self._operations.get(item.operation)
        if operation is None or not operation.steps[item.step].in_flight:
            return
        step = operation.steps[item.step]
        step.in_flight = False
        if item.outcome is balancing.Outcome.OK and not operation.answered:
            operation.answered = True
            self._effects.append(SendAnswer(item.operation, Verdict.SERVED, item.answer))
        elif operation.stream == item.step:
            operation.stream = -1
            self._effects.append(EndAnswer(item.operation, item.outcome is balancing.Outcome.OK))
        # Of a long answer its first bytes alone speak of the destination's pace: the rest is its client's.
        took = (self._now if step.began_at is None else step.began_at) - step.sent_at
        # Guards against a balancer that ends one whose answer is still forwarded: it would cancel that.
        closed = operation.answered and operation.stream < 0
        handled = self._notify_balancer(
            balancing.Reply(
                item.operation, item.step, step.destination, item.outcome, took, closed, item.load
            )
        )
        self._close_if_done(item.operation, operation, handled)

    def _subtract_stall(self, duration_ms: float) -> None:
        # Guards against a sidecar that takes its own stall for slow nodes, and refuses for seconds after it.
        for operation in self._operations.values():
            for step in operation.steps:
                if step.in_flight:
                    step.sent_at = min(self._now, step.sent_at + duration_ms)

    def _close_if_done(self, number: int, operation: _Operation, handled: bool) -> None:
        # Guards against a balancer that raised over this operation: the answer is owed all the same.
        if not handled and not operation.answered and not any(step.in_flight for step in operation.steps):
            self._close(number, Verdict.FAILED)
        elif operation.over:
            self._remove(number)

    def _remove(self, number: int) -> None:
        operation = self._operations.pop(number, None)
        if operation is not None:
            self._ids.discard(operation.id)

    def _close(self, number: int, verdict: Verdict | None) -> None:
        """End an operation without the balancer: answered here, or its client has disconnected."""
        operation = self._operations.get(number)
        if operation is None or (operation.answered and operation.stream < 0):
            return
        operation.answered, operation.stream = True, -1
        if verdict is not None:
            self._effects.append(SendAnswer(number, verdict))
        self._notify_balancer(balancing.ClientDisconnected(number))
        for attempt, step in enumerate(operation.steps):
            if step.in_flight:  # the balancer's own cancel may have come already; a second one does nothing
                self._effects.append(CancelAttempt(number, attempt))
        if operation.over:
            self._remove(number)

    def _notify_balancer(self, event: balancing.Event) -> bool:
        """Let the balancer handle an event; return False where it raised."""
        fine = True
        self._events.append(event)
        while self._events:
            try:
                actions = self._balancer.handle(self._now, self._events.popleft())
            except Exception:  # noqa: BLE001  # reported with its traceback
                # Guards against a fault in the balancer: what it had decided so far stands in its books
                # and is carried out, the rest is answered by us.
                fine = False
                self._effects.append(ReportFault(traceback.format_exc()))
                actions = self._balancer.out
            for action in actions:
                fine = self._apply(action) and fine
        return fine

    def _apply(self, action: balancing.Action) -> bool:  # noqa: C901  # see `step`
        """Apply an action of the balancer; return False where it is invalid."""
        if isinstance(action, balancing.Send):
            self._send(action)
        elif isinstance(action, balancing.SetTimer):
            self._effects.append(SetTimer(action.delay_ms, action.token))
        elif isinstance(action, balancing.Cancel):
            operation = self._operations.get(action.id)
            if operation is not None and not 0 <= action.attempt < len(operation.steps):
                # Guards against a balancer that cancels what it never sent.
                self._effects.append(ReportFault(f"{action} names no route step"))
                return False
            if (
                operation is not None
                and operation.steps[action.attempt].in_flight
                and operation.stream != action.attempt
            ):  # what is passed on is the client's
                self._effects.append(CancelAttempt(action.id, action.attempt))
        elif isinstance(action, balancing.Refuse | balancing.Fail):
            operation = self._operations.get(action.id)
            if operation is None or operation.answered:
                return True
            operation.answered = True
            if isinstance(action, balancing.Fail):
                self._effects.append(SendAnswer(action.id, Verdict.FAILED))
            else:
                self._effects.append(self._rejection(action.id, action.wait_ms))
            if operation.over:
                self._remove(action.id)
        elif isinstance(action, balancing.HealthCheck):
            self._effects.append(CheckHealth(action.host))
        else:
            self._effects.append(RequestEndpoints(isinstance(action, balancing.FetchEndpoints)))
        return True

    def _rejection(self, number: int, wait_ms: float) -> SendAnswer:
        limits = self._settings.limits
        wait_ms = min(wait_ms, limits.max_retry_after_ms) if limits.retry_after else 0.0
        return SendAnswer(number, Verdict.BUSY, None, wait_ms)

    def _send(self, action: balancing.Send) -> None:
        operation = self._operations.get(action.id)
        if operation is None:
            return
        attempt = len(operation.steps)
        operation.steps.append(_Attempt(action.host, self._now))
        left = operation.deadline_ms - self._now
        if operation.answered or left <= 0 or attempt >= operation.most_attempts:
            operation.steps[attempt].in_flight = False
            self._events.append(
                balancing.Reply(
                    action.id, attempt, action.host, balancing.Outcome.MOOT, 0.0, operation.answered
                )
            )
            return
        timeout = min(action.timeout_ms, left) if action.timeout_ms else left
        self._effects.append(SendAttempt(action.id, attempt, action.host, timeout))
