"""Executes the reducer's effects: attempts, answers, timers, health checks; feeds their results back."""

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
from coveport.sidecar.telemetry.counters import Counters, ended
from coveport.sidecar.telemetry.log import Log
from coveport.sidecar.upstream.attempt import LOOP_TURNS_S, Attempt, AttemptResult
from coveport.sidecar.upstream.connection_pool import ConnectionPool
from coveport.sidecar.upstream.protocol import Dial

# Of the shortest aim: a connection that takes longer leaves no time for a second try, which is harmless, as
# nothing has run. Machines that vanish refuse nothing; they only show by connections that never come up.
CONNECT_SHARE = 0.25
UPLOAD_DEADLINE_MS = 3_600_000.0  # stands for the deadline of a long operation until its last byte has come
STALL_CHECK_INTERVAL_S = 0.25  # while anything is open we do something at least so often ...
STALL_TOLERANCE_MS = 50.0  # ... and where that is later by more than this, we had no CPU
# How much later than a connection may come up a first attempt may begin: a drain counts from 750 ms on.
MAX_START_LATENESS_MS = 300.0
MAX_RETRY_LATENESS_MS = 30.0  # the balancer leaves the time of one connect within the retry window


_ENDS = {
    core.Verdict.SERVED: "completed",
    core.Verdict.BUSY: "rejected",
    core.Verdict.FAILED: "failed",
    core.Verdict.DOUBLE: "failed",
}


def connect_timeout_ms(settings: balancing.Settings) -> float:
    """Return the time-out of a connect, which leaves time for a second attempt."""
    shortest_target_ms = min(request_class.aim_ms for request_class in settings.classes)
    return min(settings.limits.connect_timeout_ms, CONNECT_SHARE * shortest_target_ms)


class Effects:
    """Executes the reducer's effects, and feeds it the inputs that follow."""

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
        self._stall_timer: asyncio.TimerHandle | None = None  # set while anything is open
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
            self.told,
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
        self.has_list = False
        self.health_checks: HealthCheckSharing | None = None
        self.records: OperationRecorder | None = None
        self.pending = 0  # operations taken and not ended
        counters.gauge("pending", lambda: self.pending)
        counters.gauge("members", lambda: self._reducer.members[0])
        counters.gauge("members_unavailable", lambda: self._reducer.members[1])
        for request_class in config.settings.classes:
            counters.name_class(request_class.name)

    def know(self) -> None:
        """Start from the list in the configuration, which the sidecar had last."""
        if self._config.known_endpoints is None:
            return
        try:
            update = self._reader.read(self._config.known_endpoints, balancing.EndpointUpdateKind.CACHED)
        except DiscoveryResponseError as problem:
            self._log.note("endpoint list", f"the known list is garbled: {problem}")
            return
        if update.endpoints:
            # Before the balancer is told, which may ask at once.
            self.endpoint_source.resume_from(update.update.version)
        self._place(update)

    @property
    def owed(self) -> int:
        """Number of operations that wait for their answer."""
        return self._reducer.owed

    @property
    def tables(self) -> dict[str, int]:
        """How many entries each table has, for whoever looks whether one only grows."""
        return {**self._reducer.tables, "open": len(self._open), **self.connection_pool.tables}

    @property
    def service_ms(self) -> float:
        """Mean time of an operation at a destination, as the module knows it."""
        return self._reducer.service_ms

    def fresh(self) -> dict[int, tuple[int, float]]:
        """Destinations that count as cold: zone, and age in ms."""
        return self._reducer.fresh()

    # Inputs.

    def feed(self, item: core.Input) -> None:
        """Give the reducer one input and execute its effects; inputs that those feed are queued."""
        self._check_stall()
        self._inputs.append(item)
        if self._busy:
            return
        self._busy = True
        try:
            while self._inputs:
                for effect in self._reducer.step(self._clock.now_ms(), self._inputs.popleft()):
                    try:
                        self._carry_out(effect)
                    except Exception:  # noqa: BLE001  # logged with its traceback, see below
                        # Guards against one fault taking the other effects along; what it leaves
                        # undone is answered at the deadline.
                        self.counters.add("complaints")
                        self._log.note("fault", traceback.format_exc())
        finally:
            self._busy = False

    def _check_stall(self) -> None:
        """Detect a stall of this process: so long since the last call that it had no CPU."""
        now = self._clock.now_ms()
        missed = now - self._last_active_ms
        self._last_active_ms = now
        if missed <= 1000 * STALL_CHECK_INTERVAL_S + STALL_TOLERANCE_MS:
            return
        if self._stall_timer is not None:
            self.counters.add("stalls_measured")
            self._inputs.append(core.ProcessStalled(missed))
        # Guards against what waits beside a list that has waited for as long: it would be decided by the old
        # one, and go to a destination that has long begun to drain.
        self.endpoint_source.read_pending()

    def _on_stall_timer(self) -> None:
        self._check_stall()
        self._stall_timer = None
        if self._open:
            self._stall_timer = self._net.loop.call_later(STALL_CHECK_INTERVAL_S, self._on_stall_timer)

    def take(self, number: int, client: OperationClient, asked: Operation) -> None:
        """Accept an operation from a client; of a long one the body is still coming."""
        if self.records is not None:
            recorded = self.records.accept(number, client, asked)
            if recorded is None:
                return
            client = recorded
        self._open[number] = OpenOperation(client, asked, self._config.settings.classes[asked.cls].name)
        if asked.upload is None:
            self.pending += 1
        else:
            self._open[number].complete = False
        if self._stall_timer is None:
            self._check_stall()
            self._stall_timer = self._net.loop.call_later(STALL_CHECK_INTERVAL_S, self._on_stall_timer)
        deadline = self._clock.now_ms() + (asked.wait_ms if asked.upload is None else UPLOAD_DEADLINE_MS)
        self.feed(
            core.OperationReceived(
                number,
                asked.cls,
                deadline,
                asked.repeat,
                asked.cost_ms,
                asked.room,
                asked.id,
                asked.upload is not None,
                asked.before,
            )
        )

    def whole(self, number: int, waited_ms: float) -> None:
        """Note the last byte of a long operation, which may have waited unread for `waited_ms`."""
        opened = self._open.get(number)
        if opened is not None and not opened.complete:
            opened.complete = True
            self.pending += not opened.ended
            self.feed(core.BodyReceived(number, self._clock.now_ms() + opened.asked.wait_ms - waited_ms))

    def gone(self, number: int) -> None:
        """Note that the client of an operation has disconnected."""
        if self.records is not None:
            self.records.client_gone(number)
        if number in self._open:
            self._open[number].client = None
            self._ended(self._open[number], "failed")
        self.feed(core.ClientDisconnected(number))
        self._forget(number, answered=True)

    def withdraw(self, number: int) -> None:
        """Drop an operation that another instance owns; who withdraws it answers it."""
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
        self.counters.add(ended(cls, _ENDS[verdict]))

    @property
    def settings(self) -> balancing.Settings:
        """As they are now."""
        return self._config.settings

    def now_ms(self) -> float:
        """Return the time in ms by this process' clock."""
        return self._clock.now_ms()

    def place_of(self, destination: int) -> tuple[str, int, int]:
        """Address, zone and cell of a destination."""
        host, port = self.connection_pool.address(destination) or ("", 0)
        return (f"{host}:{port}", *self._reducer.place_of(destination))

    def told(self, update: DiscoveredEndpoints | None) -> None:
        """Apply an update from discovery; None: it failed."""
        if update is None:
            self.feed(core.EndpointsUpdated(balancing.EndpointUpdate(balancing.EndpointUpdateKind.FAILED)))
        else:
            self.has_list = True
            self.counters.add("pool_updates")
            self._place(update)

    def _place(self, update: DiscoveredEndpoints) -> None:
        # First: what is held goes to a new destination, or to one's new address, as soon as the module knows.
        self.connection_pool.update_endpoints(
            update.endpoints, complete=update.update.kind is not balancing.EndpointUpdateKind.DELTA
        )
        if (
            update.update.entries
            or update.update.kind is not balancing.EndpointUpdateKind.DELTA
            or (self._config.settings.must_ask)
        ):  # whoever asked waits for an answer, an empty one too
            self.feed(core.EndpointsUpdated(update.update))

    def out(self) -> dict[int, float]:
        """Destinations that are out as they failed, and for how long, ms."""
        return self._reducer.out()

    def hear(self, heard: Callable[[Any, bool], None]) -> None:
        """Be told each list as discovery tells it, and whether it is a whole one."""
        self._reader.on_endpoints = heard

    def share(self, peers: int) -> None:
        """Set how many instances share the destinations."""
        settings = replace(self._config.settings, peers_total=peers)
        if settings != self._config.settings:
            self._config = replace(self._config, settings=settings)
            self.feed(core.ConfigurationReloaded(None, settings))

    def reload(self, config: Config) -> None:
        """Apply a configuration that was read again; what needs a restart is logged as such."""
        before = self._config
        settings = config.settings
        kept = [
            name
            for name in ("name", "listen", "console", "sockets", "memory_mb", "zones", "keepalive_ms")
            if getattr(before, name) != getattr(config, name)
        ]
        self.counters.add("config_reloads")
        self._log.say(
            f"{before.name}: configuration read anew, discovery at {config.discovery[0]}:"
            f"{config.discovery[1]}" + (f"; from the next start: {', '.join(kept)}" if kept else "")
        )
        for request_class in settings.classes:
            self.counters.name_class(request_class.name)
        # The balancer counts with it from now on.
        self.connection_pool.connect_timeout_s = connect_timeout_ms(settings) / 1000
        changed = settings != before.settings
        self._config = replace(before, settings=settings)
        self.feed(core.ConfigurationReloaded(config.discovery, settings if changed else None))

    # Effects.

    def _carry_out(self, effect: core.Effect) -> None:
        self._handlers[type(effect)](effect)

    def _set_timer(self, effect: core.SetTimer) -> None:
        self._net.loop.call_later(effect.delay_ms / 1000, self.feed, core.TimerExpired(effect.token))

    def _set_deadline_timer(self, effect: core.SetDeadlineTimer) -> None:
        delay = (effect.at_ms - self._clock.now_ms()) / 1000
        self._open[effect.operation].guard = self._net.loop.call_later(
            delay, self.feed, core.DeadlineExpired(effect.operation)
        )

    def _cancel(self, effect: core.CancelAttempt) -> None:
        opened = self._open.get(effect.operation)
        if opened is not None and effect.step in opened.steps:
            opened.steps[effect.step].cancel()

    def _request_endpoints(self, effect: core.RequestEndpoints) -> None:
        self.endpoint_source.request(full=effect.whole)

    def _switch_discovery(self, effect: core.SwitchDiscovery) -> None:
        self.endpoint_source.move_to(effect.discovery)

    def _report_fault(self, effect: core.ReportFault) -> None:
        self.counters.add("complaints")
        self._log.note("fault", effect.text)

    def _send(self, effect: core.SendAttempt) -> None:
        opened = self._open[effect.operation]
        self.counters.add("route_steps")
        asked_ms = self._clock.now_ms()
        if self.records is None:
            opened.steps[effect.step] = self._start(effect, opened, asked_ms, None)
        else:
            self._send_recorded(self.records, effect, opened, asked_ms)

    def _send_recorded(
        self, records: OperationRecorder, effect: core.SendAttempt, opened: OpenOperation, asked_ms: float
    ) -> None:
        deferred = DeferredAttempt(partial(self._attempt_ended, effect, opened))

        def resume(written: Callable[[], bool] | None) -> None:
            if deferred.ended:
                return
            if written is None:
                deferred.cancel()
            else:
                deferred.ended = True
                opened.steps[effect.step] = self._start(effect, opened, asked_ms, written)

        opened.steps[effect.step] = deferred
        if records.send(effect.operation, effect.step, effect.destination, resume):
            deferred.ended = True
            opened.steps[effect.step] = self._start(effect, opened, asked_ms, None)

    def _start(
        self,
        effect: core.SendAttempt,
        opened: OpenOperation,
        asked_ms: float,
        written: Callable[[], bool] | None,
    ) -> Attempt:
        """Start an attempt; `asked_ms`: when the reducer asked for it, from where its time-out counts."""
        begun_ms = self._clock.now_ms()
        left_ms = effect.timeout_ms - (self._clock.now_ms() - asked_ms)
        return self.connection_pool.send(
            effect.destination,
            opened.asked,
            max(left_ms, 1.0) / 1000,
            partial(self._attempt_ended, effect, opened),
            partial(self._answer_began, effect, opened),
            partial(self._attempt_sent, effect),
            partial(self._may_start, effect, opened, begun_ms, written),
        )

    def _attempt_ended(self, effect: core.SendAttempt, opened: OpenOperation, result: AttemptResult) -> None:
        opened.steps.pop(effect.step, None)
        self.counters.add(f"outcome_{result.outcome.name.lower()}")
        if self.health_checks is not None:
            self.health_checks.observed(effect.destination, result.outcome)
        if self.records is not None:
            self.records.attempt_ended(effect.operation, effect.step, result.outcome)
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
        begun_ms: float,
        written: Callable[[], bool] | None,
    ) -> bool:
        """Return whether an attempt may still be sent, right before its first byte.

        `begun_ms`: when its connection was begun. `written`: the recorder's own check.
        """
        # Guards against beginning anything for a client that has gone: its end may stand below, unread,
        # behind what it sent ahead or behind a stall of ours, or be read and not reported yet.
        if opened.client is None or opened.client.has_disconnected():
            return False
        # Guards against such a stall between the decision and the connection: a retry would come after its
        # window, anything to a destination that has long begun to drain.
        connect_ms = 1000 * (self.connection_pool.connect_timeout_s + LOOP_TURNS_S)
        late_ms = self._clock.now_ms() - begun_ms - connect_ms
        if late_ms > (MAX_RETRY_LATENESS_MS if effect.step else MAX_START_LATENESS_MS):
            return False
        return written is None or written()

    def _check_health(self, effect: core.CheckHealth) -> None:
        destination = effect.destination
        heard = self.health_checks.shared_result(destination) if self.health_checks is not None else None
        if heard is not None:
            self.counters.add("probes_spared")
            self._net.loop.call_soon(self.feed, heard)
            return
        started = self._clock.now_ms()
        # The settings say nothing of how long a probe may take: twice what a connection may.
        timeout_s = 2 * self._config.settings.limits.connect_timeout_ms / 1000
        self.counters.add("probes")

        def done(result: AttemptResult) -> None:
            self.counters.add(f"probe_{result.outcome.name.lower()}")
            self.feed(
                core.HealthCheckEnded(
                    destination, result.outcome, self._clock.now_ms() - started, result.load
                )
            )

        self.connection_pool.send(destination, None, timeout_s, done)

    def _answer(self, effect: core.SendAnswer) -> None:
        opened = self._open[effect.operation]
        client = opened.client
        opened.client = None
        self.counters.add(f"answers_{effect.verdict.value}")
        self._ended(opened, _ENDS[effect.verdict])
        if client is not None:
            client.answer(effect.verdict, effect.answer, effect.retry_after_ms)
        self._forget(effect.operation, answered=True)

    def _ended(self, opened: OpenOperation, how: str) -> None:
        """Count the end of an operation, once, whatever follows."""
        if not opened.ended:
            opened.ended = True
            self.pending -= opened.complete
            self.counters.add(ended(opened.cls, how))

    def _begin_answer(self, effect: core.StartAnswer) -> None:
        opened = self._open[effect.operation]
        opened.forwarding = opened.client is not None
        source = opened.steps[effect.step]
        if opened.client is not None and isinstance(source, Attempt):
            opened.client.begin(effect.answer, source)
        if opened.guard is not None:
            opened.guard.cancel()

    def _end_answer(self, effect: core.EndAnswer) -> None:
        opened = self._open[effect.operation]
        client = opened.client
        opened.client = None
        self.counters.add("answers_long" if effect.whole else "answers_long_broken")
        self._ended(opened, "completed" if effect.whole else "failed")
        if client is not None:
            client.finish(effect.whole)
        self._forget(effect.operation, answered=True)

    def _forget(self, number: int, answered: bool = False) -> None:
        opened = self._open.get(number)
        if opened is None:
            return
        opened.answered = opened.answered or answered
        if opened.answered:
            if opened.guard is not None:
                opened.guard.cancel()
            if not opened.steps:
                del self._open[number]
                if opened.asked.upload is not None:
                    opened.asked.upload.close()
