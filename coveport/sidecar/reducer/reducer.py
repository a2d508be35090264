"""The state machine of one sidecar: (time, input) -> effects.

All state changes happen in the reducer. It owns the Balancer, the operations and their attempts. The reducer
has no I/O, no clock and no HTTP: a second protocol would feed the same inputs and execute the same effects.
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

# Share of the answer slack after the deadline at which an operation without an answer fails.
DEADLINE_SLACK_SHARE = 0.25


@dataclass(slots=True)
class _Attempt:
    destination: int
    sent_at: float
    in_flight: bool = True
    answer_began_at: float | None = None  # time of a streamed answer's head, in ms; None: not received


@dataclass(slots=True)
class _Operation:
    deadline_ms: float
    id: str
    max_attempts: int  # limit that applied when the operation was received
    # Whether no answer is needed any more: one was given, or the client has disconnected.
    answered: bool = False
    attempts: list[_Attempt] = field(default_factory=list)
    stream: int = -1  # number of the attempt whose answer is being forwarded; -1: none

    @property
    def is_over(self) -> bool:
        return self.answered and not any(attempt.in_flight for attempt in self.attempts)


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
        self._ids: set[str] = set()  # request ids of the open operations
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
        return len(self._balancer.hosts), self._balancer.unavailable_host_count()

    @property
    def service_ms(self) -> float:
        """The balancer's estimate of the mean time of an operation at a destination."""
        return self._balancer.service_time

    def in_slow_start(self) -> dict[int, tuple[int, float]]:
        """Return the destinations in slow start: zone, and age in ms."""
        warm_after_ms = self._settings.rules.warm_after_ms
        return {
            host.id: (host.zone, self._now - host.slow_start_at)
            for host in self._balancer.hosts.values()
            if self._now - host.slow_start_at < warm_after_ms
        }

    def ejected(self) -> dict[int, float]:
        """Return the ejected destinations, and for how long each has been ejected, in ms."""
        return {
            host.id: max(0.0, self._now - host.unresponsive_since)
            for host in self._balancer.hosts.values()
            if host.readmit_at < inf
        }

    def location_of(self, destination: int) -> tuple[int, int]:
        """Return zone and cell of a destination; -1 for both if it isn't listed any more."""
        host = self._balancer.hosts.get(destination)
        return (host.zone, host.cell) if host is not None else (-1, -1)

    @property
    def tables(self) -> dict[str, int]:
        """Entries in each table, the balancer's included; all but `hosts` are empty without operations."""
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

    # `step` and `_apply` are chains of branches, most frequent first: a table of bound methods would be state
    # that the model check copies at every step, and would add a call to every request.
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
                operation.attempts[item.step].sent_at = self._now
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
                self._effects.append(SwitchDiscovery(item.discovery))  # operations and attempts continue
            if item.settings is not None:
                self._settings = item.settings
                self._notify_balancer(balancing.SettingsChanged(item.settings))
        else:
            # Guards against a balancer that forgets an operation: the operation is answered within the slack.
            operation = self._operations.get(item.operation)
            if operation is not None and not operation.answered:
                self._effects.append(ReportFault(f"operation {item.operation} was left unanswered"))
                self._close(item.operation, Verdict.FAILED)
        return effects

    def _operation_received(self, item: OperationReceived) -> None:
        if not item.is_admitted:
            # Guards against running out of descriptors: the operation is rejected before the balancer
            # gets it, so it has never run.
            self._effects.append(self._rejection(item.operation, self._settings.classes[item.cls].aim_ms))
            return
        if item.id and item.id in self._ids:
            # Guards against two clients with one request id: the open operation keeps its one answer, and no
            # ledger node gets two operations with the same id.
            self._effects.append(SendAnswer(item.operation, Verdict.DUPLICATE))
            return
        self._ids.add(item.id)
        operation = self._operations[item.operation] = _Operation(
            item.deadline_ms, item.id, self._settings.limits.max_attempts
        )
        operation.attempts.extend(
            _Attempt(-1, prior.sent_ms, in_flight=False) for prior in item.prior_attempts
        )
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
                streams_body=item.long,
                prior_attempts=item.prior_attempts,
            )
        )
        self._close_if_done(item.operation, operation, handled)

    def _set_deadline_timer(self, number: int, operation: _Operation) -> None:
        expires_at = operation.deadline_ms + self._settings.rules.answer_slack_ms * DEADLINE_SLACK_SHARE
        self._effects.append(SetDeadlineTimer(number, expires_at))

    def _body_received(self, item: BodyReceived) -> None:
        operation = self._operations.get(item.operation)
        if operation is not None and not operation.answered:
            operation.deadline_ms = item.deadline_ms
            self._set_deadline_timer(item.operation, operation)

    def _answer_started(self, item: AnswerStarted) -> None:
        operation = self._operations.get(item.operation)
        if operation is None or operation.answered or not operation.attempts[item.step].in_flight:
            # Another attempt was answered first.
            self._effects.append(CancelAttempt(item.operation, item.step))
            return
        attempt = operation.attempts[item.step]
        operation.answered, operation.stream, attempt.answer_began_at = True, item.step, self._now
        self._effects.append(StartAnswer(item.operation, item.step, item.answer))
        self._notify_balancer(balancing.StreamStarted(item.operation, item.step, attempt.destination))

    def _attempt_ended(self, item: AttemptEnded) -> None:
        operation = self._operations.get(item.operation)
        if operation is None or not operation.attempts[item.step].in_flight:
            return
        attempt = operation.attempts[item.step]
        attempt.in_flight = False
        if item.outcome is balancing.Outcome.OK and not operation.answered:
            operation.answered = True
            self._effects.append(SendAnswer(item.operation, Verdict.SERVED, item.answer))
        elif operation.stream == item.step:
            operation.stream = -1
            self._effects.append(EndAnswer(item.operation, item.outcome is balancing.Outcome.OK))
        # For a streamed answer, only the head shows the destination's latency: the client paces the body.
        latency_ms = (
            self._now if attempt.answer_began_at is None else attempt.answer_began_at
        ) - attempt.sent_at
        # Guards against a balancer that ends an operation whose answer is being forwarded, and so cancels it.
        closed = operation.answered and operation.stream < 0
        handled = self._notify_balancer(
            balancing.Reply(
                item.operation, item.step, attempt.destination, item.outcome, latency_ms, closed, item.load
            )
        )
        self._close_if_done(item.operation, operation, handled)

    def _subtract_stall(self, duration_ms: float) -> None:
        # Guards against counting a stall of this process as slow nodes, and rejecting requests for seconds.
        for operation in self._operations.values():
            for attempt in operation.attempts:
                if attempt.in_flight:
                    attempt.sent_at = min(self._now, attempt.sent_at + duration_ms)

    def _close_if_done(self, number: int, operation: _Operation, handled: bool) -> None:
        # Guards against a balancer that raised at this operation: it must be answered all the same.
        if (
            not handled
            and not operation.answered
            and not any(attempt.in_flight for attempt in operation.attempts)
        ):
            self._close(number, Verdict.FAILED)
        elif operation.is_over:
            self._remove(number)

    def _remove(self, number: int) -> None:
        operation = self._operations.pop(number, None)
        if operation is not None:
            self._ids.discard(operation.id)

    def _close(self, number: int, verdict: Verdict | None) -> None:
        """End an operation without the balancer: with a verdict, or because its client has disconnected."""
        operation = self._operations.get(number)
        if operation is None or (operation.answered and operation.stream < 0):
            return
        operation.answered, operation.stream = True, -1
        if verdict is not None:
            self._effects.append(SendAnswer(number, verdict))
        self._notify_balancer(balancing.ClientDisconnected(number))
        for index, attempt in enumerate(operation.attempts):
            if attempt.in_flight:  # a second cancel, after that of the balancer, does nothing
                self._effects.append(CancelAttempt(number, index))
        if operation.is_over:
            self._remove(number)

    def _notify_balancer(self, event: balancing.Event) -> bool:
        """Let the balancer handle an event; return False if the balancer raised an exception."""
        succeeded = True
        self._events.append(event)
        while self._events:
            try:
                actions = self._balancer.handle(self._now, self._events.popleft())
            except Exception:  # noqa: BLE001  # reported with its traceback
                # Guards against a fault in the balancer: the actions that it had decided on are in its state
                # and are applied; the reducer itself answers the operation.
                succeeded = False
                self._effects.append(ReportFault(traceback.format_exc()))
                actions = self._balancer.actions
            for action in actions:
                succeeded = self._apply(action) and succeeded
        return succeeded

    def _apply(self, action: balancing.Action) -> bool:  # noqa: C901  # see `step`
        """Apply an action of the balancer; return False if the action is invalid."""
        if isinstance(action, balancing.Send):
            self._send(action)
        elif isinstance(action, balancing.SetTimer):
            self._effects.append(SetTimer(action.delay_ms, action.token))
        elif isinstance(action, balancing.Cancel):
            operation = self._operations.get(action.id)
            if operation is not None and not 0 <= action.attempt < len(operation.attempts):
                # Guards against a balancer that cancels an attempt it never sent.
                self._effects.append(ReportFault(f"{action} names no attempt of the operation"))
                return False
            if (
                operation is not None
                and operation.attempts[action.attempt].in_flight
                and operation.stream != action.attempt
            ):  # an answer that is being forwarded is not cancelled
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
            if operation.is_over:
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
        index = len(operation.attempts)
        operation.attempts.append(_Attempt(action.host, self._now))
        remaining_ms = operation.deadline_ms - self._now
        if operation.answered or remaining_ms <= 0 or index >= operation.max_attempts:
            operation.attempts[index].in_flight = False
            self._events.append(
                balancing.Reply(
                    action.id, index, action.host, balancing.Outcome.MOOT, 0.0, operation.answered
                )
            )
            return
        timeout_ms = min(action.timeout_ms, remaining_ms) if action.timeout_ms else remaining_ms
        self._effects.append(SendAttempt(action.id, index, action.host, timeout_ms))
