"""Executes the reducer's effects (attempts, answers, timers, health checks) and feeds their results back."""

from __future__ import annotations

import asyncio
import traceback
from collections import deque
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from typing import Any

from coveport import balancing
from coveport.net.clock import Clock
from coveport.net.transport import Net
from coveport.sidecar.config.platform import Config
from coveport.sidecar.descriptor_limits import connection_limits
from coveport.sidecar.discovery.endpoint_reader import DiscoveredEndpoints, EndpointReader
from coveport.sidecar.discovery.endpoint_source import EndpointSource
from coveport.sidecar.discovery.errors import DiscoveryResponseError
from coveport.sidecar.downstream.operation_client import OperationClient
from coveport.sidecar.open_operation import DeferredAttempt, OpenOperation
from coveport.sidecar.operation_interfaces import HealthCheckSharing, OperationRecorder
from coveport.sidecar.reducer import messages as core
from coveport.sidecar.reducer.operation import Answer, Operation
from coveport.sidecar.reducer.reducer import Reducer
from coveport.sidecar.telemetry.counters import Counters, result_counter
from coveport.sidecar.telemetry.log import Log
from coveport.sidecar.upstream.attempt import LOOP_TURNS_S, Attempt, AttemptResult
from coveport.sidecar.upstream.connection_pool import ConnectionPool
from coveport.sidecar.upstream.protocol import Dial

# Connect time-out as a share of the shortest latency target: a longer connect leaves no time for a second
# attempt, which is safe, as the first has not run. A machine that has vanished refuses no connection: its
# connects just never complete.
CONNECT_SHARE = 0.25
UPLOAD_DEADLINE_MS = 3_600_000.0  # preliminary deadline of a long operation, until its last byte is received
STALL_CHECK_INTERVAL_S = 0.25  # longest time between stall checks while an operation is open
STALL_TOLERANCE_MS = 50.0  # if a check is later than this, the process had no CPU
# Lateness beyond the connect time-out up to which a first attempt may be sent: a drain counts after 750 ms.
MAX_START_LATENESS_MS = 300.0
MAX_RETRY_LATENESS_MS = 30.0  # the balancer reserves the time of one connect in the retry window


_RESULTS = {
    core.Verdict.SERVED: "completed",
    core.Verdict.BUSY: "rejected",
    core.Verdict.FAILED: "failed",
    core.Verdict.DUPLICATE: "failed",
}


def connect_timeout_ms(settings: balancing.Settings) -> float:
    """Return the connect time-out, short enough to leave time for a second attempt."""
    shortest_target_ms = min(request_class.aim_ms for request_class in settings.classes)
    return min(settings.limits.connect_timeout_ms, CONNECT_SHARE * shortest_target_ms)


class Effects:
    """Executes the reducer's effects and feeds it the resulting inputs."""

    def __init__(
        self,
        net: Net,
        config: Config,
        counters: Counters,
        log: Log,
        dial: Dial,
        reducer: Callable[[balancing.Settings, int], Reducer] = Reducer,
    ) -> None:
        self._net = net
        self._config = config
        self._clock = Clock(net)
        self.counters = counters
        self._log = log
        self._reducer = reducer(config.settings, config.seed)
        self._inputs: deque[core.Input] = deque()
        self._busy = False
        self._open: dict[int, OpenOperation] = {}
        self._last_active_ms = self._clock.now_ms()
        self._stall_timer: asyncio.TimerHandle | None = None  # set while an operation is open
        self.connection_pool = ConnectionPool(
            net,
            counters,
            log,
            dial,
            keepalive_ms=config.keepalive_ms,
            connect_timeout_ms=connect_timeout_ms(config.settings),
            max_connections=connection_limits(config.sockets)[1],
        )
        self._reader = EndpointReader(config.zones)
        self.endpoint_source = EndpointSource(
            net,
            config.discovery,
            self._reader,
            self.on_endpoints_update,
            counters,
            log,
            on_demand=config.settings.must_ask,
            seed=config.seed,
        )
        self._handlers: dict[type[core.Effect], Callable[[Any], None]] = {
            core.SendAttempt: self._send,
            core.SendAnswer: self._answer,
            core.StartAnswer: self._begin_answer,
            core.EndAnswer: self._end_answer,
            core.SetTimer: self._set_timer,
            core.SetDeadlineTimer: self._set_deadline_timer,
            core.CancelAttempt: self._cancel,
            core.CheckHealth: self._check_health,
            core.RequestEndpoints: self._request_endpoints,
            core.SwitchDiscovery: self._switch_discovery,
            core.ReportFault: self._report_fault,
        }
        self.has_endpoints = False
        self.health_checks: HealthCheckSharing | None = None
        self.recorder: OperationRecorder | None = None
        self.pending = 0  # operations accepted and not ended
        counters.gauge("pending", lambda: self.pending)
        counters.gauge("members", lambda: self._reducer.members[0])
        counters.gauge("members_unavailable", lambda: self._reducer.members[1])
        for request_class in config.settings.classes:
            counters.register_class(request_class.name)

    def load_known_endpoints(self) -> None:
        """Start from the endpoint list in the configuration: the last list that the sidecar had."""
        if self._config.known_endpoints is None:
            return
        try:
            update = self._reader.read(self._config.known_endpoints, balancing.EndpointUpdateKind.CACHED)
        except DiscoveryResponseError as error:
            self._log.note("endpoint list", f"the known list is garbled: {error}")
            return
        if update.endpoints:
            # This comes before the balancer's update, as the balancer may request endpoints at once.
            self.endpoint_source.resume_from(update.update.version)
        self._apply_update(update)

    @property
    def owed(self) -> int:
        """Number of operations that wait for their answer."""
        return self._reducer.owed

    @property
    def tables(self) -> dict[str, int]:
        """Entries in each table, to detect a table that only grows."""
        return {**self._reducer.tables, "open": len(self._open), **self.connection_pool.tables}

    @property
    def service_ms(self) -> float:
        """The balancer's estimate of the mean time of an operation at a destination, in ms."""
        return self._reducer.service_ms

    def in_slow_start(self) -> dict[int, tuple[int, float]]:
        """Return the destinations in slow start: zone, and age in ms."""
        return self._reducer.in_slow_start()

    # Inputs.

    def feed(self, item: core.Input) -> None:
        """Give the reducer an input and execute the effects; inputs that arise meanwhile are queued."""
        self._check_stall()
        self._inputs.append(item)
        if self._busy:
            return
        self._busy = True
        try:
            while self._inputs:
                for effect in self._reducer.step(self._clock.now_ms(), self._inputs.popleft()):
                    try:
                        self._execute(effect)
                    except Exception:  # noqa: BLE001  # logged with its traceback, see below
                        # Guards against losing the other effects to one fault; the operation concerned
                        # is answered at its deadline.
                        self.counters.add("complaints")
                        self._log.note("fault", traceback.format_exc())
        finally:
            self._busy = False

    def _check_stall(self) -> None:
        """Detect a stall: a long time since the last call means that the process had no CPU."""
        now = self._clock.now_ms()
        elapsed_ms = now - self._last_active_ms
        self._last_active_ms = now
        if elapsed_ms <= 1000 * STALL_CHECK_INTERVAL_S + STALL_TOLERANCE_MS:
            return
        if self._stall_timer is not None:
            self.counters.add("stalls_measured")
            self._inputs.append(core.ProcessStalled(elapsed_ms))
        # Guards against decisions by the old endpoint list while a newer one waits unread since the stall:
        # requests would go to a destination that began to drain long ago.
        self.endpoint_source.read_pending()

    def _on_stall_timer(self) -> None:
        self._check_stall()
        self._stall_timer = None
        if self._open:
            self._stall_timer = self._net.loop.call_later(STALL_CHECK_INTERVAL_S, self._on_stall_timer)

    def accept(self, number: int, client: OperationClient, operation: Operation) -> None:
        """Accept an operation from a client; the body of a long operation is still being received."""
        if self.recorder is not None:
            recorded = self.recorder.accept(number, client, operation)
            if recorded is None:
                return
            client = recorded
        self._open[number] = OpenOperation(
            client, operation, self._config.settings.classes[operation.cls].name
        )
        if operation.upload is None:
            self.pending += 1
        else:
            self._open[number].complete = False
        if self._stall_timer is None:
            self._check_stall()
            self._stall_timer = self._net.loop.call_later(STALL_CHECK_INTERVAL_S, self._on_stall_timer)
        deadline = self._clock.now_ms() + (
            operation.wait_ms if operation.upload is None else UPLOAD_DEADLINE_MS
        )
        self.feed(
            core.OperationReceived(
                number,
                operation.cls,
                deadline,
                operation.repeat,
                operation.cost_ms,
                operation.is_admitted,
                operation.id,
                operation.upload is not None,
                operation.prior_attempts,
            )
        )

    def complete_upload(self, number: int, waited_ms: float) -> None:
        """Record the last byte of a long operation, which may have waited unread for `waited_ms`."""
        opened = self._open.get(number)
        if opened is not None and not opened.complete:
            opened.complete = True
            self.pending += not opened.ended
            self.feed(core.BodyReceived(number, self._clock.now_ms() + opened.operation.wait_ms - waited_ms))

    def client_disconnected(self, number: int) -> None:
        """Record that the client of an operation has disconnected."""
        if self.recorder is not None:
            self.recorder.client_gone(number)
        if number in self._open:
            self._open[number].client = None
            self._count_result(self._open[number], "failed")
        self.feed(core.ClientDisconnected(number))
        self._forget(number, answered=True)

    def withdraw(self, number: int) -> None:
        """Drop an operation that another instance owns; the caller answers the client."""
        opened = self._open.get(number)
        if opened is not None:
            opened.client = None
            if not opened.ended:
                opened.ended = True
                self.pending -= opened.complete
        self.feed(core.ClientDisconnected(number))
        self._forget(number, answered=True)

    def answered_elsewhere(self, cls: str, verdict: core.Verdict) -> None:
        """Count the answer of an operation that was withdrawn."""
        self.counters.add(f"answers_{verdict.value}")
        self.counters.add(result_counter(cls, _RESULTS[verdict]))

    @property
    def settings(self) -> balancing.Settings:
        """The current settings."""
        return self._config.settings

    def now_ms(self) -> float:
        """Return the time by the reducer's clock, in ms."""
        return self._clock.now_ms()

    def location_of(self, destination: int) -> tuple[str, int, int]:
        """Return address, zone and cell of a destination."""
        host, port = self.connection_pool.address(destination) or ("", 0)
        return (f"{host}:{port}", *self._reducer.location_of(destination))

    def on_endpoints_update(self, update: DiscoveredEndpoints | None) -> None:
        """Apply an update from discovery; None if discovery failed."""
        if update is None:
            self.feed(core.EndpointsUpdated(balancing.EndpointUpdate(balancing.EndpointUpdateKind.FAILED)))
        else:
            self.has_endpoints = True
            self.counters.add("pool_updates")
            self._apply_update(update)

    def _apply_update(self, update: DiscoveredEndpoints) -> None:
        # The connection pool comes first: the balancer may send queued requests to a new address at once.
        self.connection_pool.update_endpoints(
            update.endpoints, complete=update.update.kind is not balancing.EndpointUpdateKind.DELTA
        )
        if (
            update.update.entries
            or update.update.kind is not balancing.EndpointUpdateKind.DELTA
            or (self._config.settings.must_ask)
        ):  # a balancer that requested endpoints waits for the answer, even an empty one
            self.feed(core.EndpointsUpdated(update.update))

    def ejected(self) -> dict[int, float]:
        """Return the ejected destinations, and for how long each has been ejected, in ms."""
        return self._reducer.ejected()

    def set_endpoints_listener(self, listener: Callable[[Any, bool], None]) -> None:
        """Call `listener` with each list or update from discovery, and whether it is a complete list."""
        self._reader.on_endpoints = listener

    def set_peer_count(self, peer_count: int) -> None:
        """Set how many instances share the destinations."""
        settings = replace(self._config.settings, peers_total=peer_count)
        if settings != self._config.settings:
            self._config = replace(self._config, settings=settings)
            self.feed(core.ConfigurationReloaded(None, settings))

    def reload(self, config: Config) -> None:
        """Apply a configuration that was read again; log the fields that only a restart changes."""
        before = self._config
        settings = config.settings
        restart_fields = [
            name
            for name in ("name", "listen", "console", "sockets", "memory_mb", "zones", "keepalive_ms")
            if getattr(before, name) != getattr(config, name)
        ]
        self.counters.add("config_reloads")
        self._log.write(
            f"{before.name}: configuration read anew, discovery at {config.discovery[0]}:"
            f"{config.discovery[1]}"
            + (f"; from the next start: {', '.join(restart_fields)}" if restart_fields else "")
        )
        for request_class in settings.classes:
            self.counters.register_class(request_class.name)
        # The balancer uses the new time-out from now on, too.
        self.connection_pool.connect_timeout_s = connect_timeout_ms(settings) / 1000
        changed = settings != before.settings
        self._config = replace(before, settings=settings)
        self.feed(core.ConfigurationReloaded(config.discovery, settings if changed else None))

    # Effects.

    def _execute(self, effect: core.Effect) -> None:
        self._handlers[type(effect)](effect)

    def _set_timer(self, effect: core.SetTimer) -> None:
        self._net.loop.call_later(effect.delay_ms / 1000, self.feed, core.TimerExpired(effect.token))

    def _set_deadline_timer(self, effect: core.SetDeadlineTimer) -> None:
        delay = (effect.at_ms - self._clock.now_ms()) / 1000
        self._open[effect.operation].deadline_timer = self._net.loop.call_later(
            delay, self.feed, core.DeadlineExpired(effect.operation)
        )

    def _cancel(self, effect: core.CancelAttempt) -> None:
        opened = self._open.get(effect.operation)
        if opened is not None and effect.step in opened.attempts:
            opened.attempts[effect.step].cancel()

    def _request_endpoints(self, effect: core.RequestEndpoints) -> None:
        self.endpoint_source.request(full=effect.full)

    def _switch_discovery(self, effect: core.SwitchDiscovery) -> None:
        self.endpoint_source.move_to(effect.discovery)

    def _report_fault(self, effect: core.ReportFault) -> None:
        self.counters.add("complaints")
        self._log.note("fault", effect.text)

    def _send(self, effect: core.SendAttempt) -> None:
        opened = self._open[effect.operation]
        self.counters.add("route_steps")
        requested_at_ms = self._clock.now_ms()
        if self.recorder is None:
            opened.attempts[effect.step] = self._start(effect, opened, requested_at_ms, None)
        else:
            self._send_recorded(self.recorder, effect, opened, requested_at_ms)

    def _send_recorded(
        self,
        recorder: OperationRecorder,
        effect: core.SendAttempt,
        opened: OpenOperation,
        requested_at_ms: float,
    ) -> None:
        deferred = DeferredAttempt(partial(self._attempt_ended, effect, opened))

        def resume(fence_check: Callable[[], bool] | None) -> None:
            if deferred.ended:
                return
            if fence_check is None:
                deferred.cancel()
            else:
                deferred.ended = True
                opened.attempts[effect.step] = self._start(effect, opened, requested_at_ms, fence_check)

        opened.attempts[effect.step] = deferred
        if recorder.send(effect.operation, effect.step, effect.destination, resume):
            deferred.ended = True
            opened.attempts[effect.step] = self._start(effect, opened, requested_at_ms, None)

    def _start(
        self,
        effect: core.SendAttempt,
        opened: OpenOperation,
        requested_at_ms: float,
        fence_check: Callable[[], bool] | None,
    ) -> Attempt:
        """Start an attempt; its time-out counts from `requested_at_ms`, when the reducer requested it."""
        started_at_ms = self._clock.now_ms()
        remaining_ms = effect.timeout_ms - (self._clock.now_ms() - requested_at_ms)
        return self.connection_pool.send(
            effect.destination,
            opened.operation,
            max(remaining_ms, 1.0) / 1000,
            partial(self._attempt_ended, effect, opened),
            partial(self._answer_began, effect, opened),
            partial(self._attempt_sent, effect),
            partial(self._may_start, effect, opened, started_at_ms, fence_check),
        )

    def _attempt_ended(self, effect: core.SendAttempt, opened: OpenOperation, result: AttemptResult) -> None:
        opened.attempts.pop(effect.step, None)
        self.counters.add(f"outcome_{result.outcome.name.lower()}")
        if self.health_checks is not None:
            self.health_checks.observed(effect.destination, result.outcome)
        if self.recorder is not None:
            self.recorder.attempt_ended(effect.operation, effect.step, result.outcome)
        self.feed(
            core.AttemptEnded(effect.operation, effect.step, result.outcome, result.load, result.answer)
        )
        self._forget(effect.operation)

    def _answer_began(
        self, effect: core.SendAttempt, opened: OpenOperation, _attempt: Attempt, answer: Answer
    ) -> OperationClient | None:
        self.feed(core.AnswerStarted(effect.operation, effect.step, answer))
        return opened.client if opened.forwarding else None

    def _attempt_sent(self, effect: core.SendAttempt) -> None:
        self.feed(core.AttemptSent(effect.operation, effect.step))

    def _may_start(
        self,
        effect: core.SendAttempt,
        opened: OpenOperation,
        started_at_ms: float,
        fence_check: Callable[[], bool] | None,
    ) -> bool:
        """Return whether an attempt may still be sent, right before its first byte.

        `started_at_ms`: when its connection was requested. `fence_check`: the recorder's own check.
        """
        # Guards against starting work for a client that has disconnected. The end of its stream may be
        # unread, behind pipelined requests or because this process stalled, or it may be read and not
        # reported yet.
        if opened.client is None or opened.client.has_disconnected():
            return False
        # Guards against a stall between the decision and the connection: a retry would be sent after its
        # window, or an attempt to a destination that began to drain long ago.
        connect_ms = 1000 * (self.connection_pool.connect_timeout_s + LOOP_TURNS_S)
        late_ms = self._clock.now_ms() - started_at_ms - connect_ms
        if late_ms > (MAX_RETRY_LATENESS_MS if effect.step else MAX_START_LATENESS_MS):
            return False
        return fence_check is None or fence_check()

    def _check_health(self, effect: core.CheckHealth) -> None:
        destination = effect.destination
        shared_result = (
            self.health_checks.shared_result(destination) if self.health_checks is not None else None
        )
        if shared_result is not None:
            self.counters.add("probes_spared")
            self._net.loop.call_soon(self.feed, shared_result)
            return
        started = self._clock.now_ms()
        # The settings have no time-out of health checks: twice the connect time-out.
        timeout_s = 2 * self._config.settings.limits.connect_timeout_ms / 1000
        self.counters.add("probes")

        def on_ended(result: AttemptResult) -> None:
            self.counters.add(f"probe_{result.outcome.name.lower()}")
            self.feed(
                core.HealthCheckEnded(
                    destination, result.outcome, self._clock.now_ms() - started, result.load
                )
            )

        self.connection_pool.send(destination, None, timeout_s, on_ended)

    def _answer(self, effect: core.SendAnswer) -> None:
        opened = self._open[effect.operation]
        client = opened.client
        opened.client = None
        self.counters.add(f"answers_{effect.verdict.value}")
        self._count_result(opened, _RESULTS[effect.verdict])
        if client is not None:
            client.answer(effect.verdict, effect.answer, effect.retry_after_ms)
        self._forget(effect.operation, answered=True)

    def _count_result(self, opened: OpenOperation, result: str) -> None:
        """Count the result of an operation, once."""
        if not opened.ended:
            opened.ended = True
            self.pending -= opened.complete
            self.counters.add(result_counter(opened.class_name, result))

    def _begin_answer(self, effect: core.StartAnswer) -> None:
        opened = self._open[effect.operation]
        opened.forwarding = opened.client is not None
        source = opened.attempts[effect.step]
        if opened.client is not None and isinstance(source, Attempt):
            opened.client.begin(effect.answer, source)
        if opened.deadline_timer is not None:
            opened.deadline_timer.cancel()

    def _end_answer(self, effect: core.EndAnswer) -> None:
        opened = self._open[effect.operation]
        client = opened.client
        opened.client = None
        self.counters.add("answers_long" if effect.complete else "answers_long_broken")
        self._count_result(opened, "completed" if effect.complete else "failed")
        if client is not None:
            client.finish(effect.complete)
        self._forget(effect.operation, answered=True)

    def _forget(self, number: int, answered: bool = False) -> None:
        opened = self._open.get(number)
        if opened is None:
            return
        opened.answered = opened.answered or answered
        if opened.answered:
            if opened.deadline_timer is not None:
                opened.deadline_timer.cancel()
            if not opened.attempts:
                del self._open[number]
                if opened.operation.upload is not None:
                    opened.operation.upload.close()
