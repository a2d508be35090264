"""Carries out what the reducer asks: send, cancel, answer, timers, probes; feeds back what comes of it."""

from __future__ import annotations

import asyncio
import traceback
from collections import deque
from dataclasses import dataclass, field

from coveport.config.platform import Config
from coveport.core import reducer as core
from coveport.discovery.agent import PoolConfig, PoolReader, PoolUpdate
from coveport.http1 import codec as http1
from coveport.http1.clients import Client, Operation
from coveport.net.clock import Clock
from coveport.nodes.destinations import Destinations, RouteStep, StepResult
from coveport.telemetry import log
from coveport.telemetry.counters import Counters
from micaflow import interface as api

DESTINATION_SHARE = 0.4  # of the descriptors; clients have half, the rest is for all else
# Of the shortest aim: a connection that takes longer leaves no time for a second try, which is harmless, as
# nothing has run. Machines that vanish refuse nothing; they only show by connections that never come up.
CONNECT_SHARE = 0.25
ANSWER_SHARE = 1 / 32  # of the memory: ledger nodes do answer with hundreds of KiB, but never with GB
PASSED_ON = ("content-type", "accept")  # besides what the protocol names
PROBE_PATH = "/ping"


@dataclass(slots=True)
class _Open:
    """What is out in the world for an operation."""

    client: Client | None
    asked: Operation
    guard: asyncio.TimerHandle | None = None
    steps: dict[int, RouteStep] = field(default_factory=dict)
    answered: bool = False


class Effects:
    """The reducer's hands."""

    def __init__(self, loop: asyncio.AbstractEventLoop, config: Config, clock: Clock,
                 counters: Counters) -> None:
        self._loop, self._config, self._clock, self.counters = loop, config, clock, counters
        self._reducer = core.Reducer(config.settings, config.seed)
        self._inputs: deque[core.Input] = deque()
        self._busy = False
        self._open: dict[int, _Open] = {}
        self.destinations = Destinations(
            loop, counters, keepalive_ms=config.keepalive_ms,
            connect_timeout_ms=min(config.settings.limits.connect_timeout_ms,
                                   CONNECT_SHARE * min(one.aim_ms for one in config.settings.classes)),
            most_links=int(config.sockets * DESTINATION_SHARE),
            most_body=int(config.memory_mb * 1024 * 1024 * ANSWER_SHARE))
        self._reader = PoolReader(config.zones)
        self.pool_config = PoolConfig(loop, config.discovery, self._reader, self.told, counters,
                                      must_ask=config.settings.must_ask)
        self.has_list = False

    def know(self) -> None:
        """Start from the list that the sidecar last had."""
        if self._config.known is None:
            return
        try:
            update = self._reader.read(self._config.known, api.ListKind.CACHED)
        except ValueError as problem:
            log.note("pool config", f"the known list is garbled: {problem}")
            return
        self._place(update)

    @property
    def owed(self) -> int:
        """How many operations wait for their answer."""
        return self._reducer.owed

    # Inputs.

    def feed(self, item: core.Input) -> None:
        """Give the reducer one input and carry out what it asks; what that feeds in turn waits."""
        self._inputs.append(item)
        if self._busy:
            return
        self._busy = True
        try:
            while self._inputs:
                for effect in self._reducer.step(self._clock.now_ms(), self._inputs.popleft()):
                    try:
                        self._carry_out(effect)
                    except Exception:
                        # Guards against one fault taking the other effects along; what it leaves
                        # undone is answered at the deadline.
                        self.counters.add("complaints")
                        log.note("fault", traceback.format_exc())
        finally:
            self._busy = False

    def take(self, number: int, client: Client, asked: Operation) -> None:
        """A whole operation has come from a client."""
        self._open[number] = _Open(client, asked)
        deadline = self._clock.now_ms() + asked.wait_ms
        self.feed(core.OperationCame(number, asked.cls, deadline, asked.repeat, asked.cost_ms, asked.room,
                                     asked.id))

    def gone(self, number: int) -> None:
        """The client of an operation has gone away."""
        if number in self._open:
            self._open[number].client = None
        self.feed(core.ClientGone(number))
        self._forget(number, answered=True)

    def told(self, update: PoolUpdate | None) -> None:
        """Discovery has told a list, or has failed."""
        if update is None:
            self.feed(core.PoolTold(api.ListUpdate(api.ListKind.FAILED)))
        else:
            self.has_list = True
            self.counters.add("pool_updates")
            self._place(update)

    def _place(self, update: PoolUpdate) -> None:
        if update.update.entries or update.update.kind is not api.ListKind.DELTA or (
                self._config.settings.must_ask):  # whoever asked waits for an answer, an empty one too
            self.feed(core.PoolTold(update.update))  # before any later send
        self.destinations.place(update.places, update.update.kind is not api.ListKind.DELTA)

    def reload(self, config: Config) -> None:
        """The configuration was read anew: discovery moves, all else holds until the next start."""
        before = self._config
        kept = [name for name in ("name", "listen", "sockets", "memory_mb", "settings", "zones",
                                  "keepalive_ms")
                if getattr(before, name) != getattr(config, name)]
        self.counters.add("reloads")
        log.say(f"{before.name}: configuration read anew, discovery at {config.discovery[0]}:"
                f"{config.discovery[1]}" + (f"; from the next start: {', '.join(kept)}" if kept else ""))
        self.feed(core.Reloaded(config.discovery))

    # Effects.

    def _carry_out(self, effect: core.Effect) -> None:
        if isinstance(effect, core.SendStep):
            self._send(effect)
        elif isinstance(effect, core.Answer):
            self._answer(effect)
        elif isinstance(effect, core.SetTimer):
            self._loop.call_later(effect.delay_ms / 1000, self.feed, core.TimerDue(effect.token))
        elif isinstance(effect, core.GuardDeadline):
            delay = (effect.at_ms - self._clock.now_ms()) / 1000
            self._open[effect.operation].guard = self._loop.call_later(
                delay, self.feed, core.DeadlineDue(effect.operation))
        elif isinstance(effect, core.CancelStep):
            opened = self._open.get(effect.operation)
            if opened is not None and effect.step in opened.steps:
                opened.steps[effect.step].cancel()
        elif isinstance(effect, core.ProbeDestination):
            self._probe(effect.destination)
        elif isinstance(effect, core.AskPool):
            self.pool_config.ask(whole=effect.whole)
        elif isinstance(effect, core.MovePool):
            assert isinstance(effect.discovery, tuple)
            self.pool_config.move(effect.discovery)
        else:
            self.counters.add("complaints")
            log.note("fault", effect.text)

    def _send(self, effect: core.SendStep) -> None:
        opened = self._open[effect.operation]
        asked = opened.asked
        headers = [("Host", self._host(effect.destination)), ("X-Request-Id", asked.id),
                   ("X-Deadline", f"{max(1, round(effect.timeout_ms))}m")]
        if asked.key is not None:
            headers.append(("Idempotency-Key", asked.key))
        for name in PASSED_ON:
            headers.extend((name, value) for value in asked.request.headers.get(name, ()))
        data = http1.write_request(asked.request.method, asked.request.target, headers, asked.request.body)
        self.counters.add("route_steps")

        def done(result: StepResult) -> None:
            opened.steps.pop(effect.step, None)
            self.counters.add(f"outcome_{result.outcome.name.lower()}")
            self.feed(core.StepEnded(effect.operation, effect.step, result.outcome,
                                     self._load(result.response), result.response))
            self._forget(effect.operation)

        opened.steps[effect.step] = self.destinations.send(
            effect.destination, data, effect.timeout_ms / 1000, done)

    def _probe(self, destination: int) -> None:
        started = self._clock.now_ms()
        # The settings say nothing of how long a probe may take: twice what a connection may.
        timeout_s = 2 * self._config.settings.limits.connect_timeout_ms / 1000
        request = http1.write_request("GET", PROBE_PATH, [("Host", self._host(destination))])
        self.counters.add("probes")

        def done(result: StepResult) -> None:
            self.counters.add(f"probe_{result.outcome.name.lower()}")
            self.feed(core.ProbeEnded(destination, result.outcome, self._clock.now_ms() - started,
                                      self._load(result.response)))

        self.destinations.send(destination, request, timeout_s, done)

    def _host(self, destination: int) -> str:
        address = self.destinations.address(destination)
        return "{}:{}".format(*address) if address else "none"

    def _load(self, response: http1.Response | None) -> tuple[float, ...]:
        """The load report that came along, in the order of the settings; empty where it is not whole."""
        lines = response.headers.get("x-load") if response is not None else None
        if not lines:
            return ()
        told = dict(part.strip().partition("=")[::2] for part in lines[0].split(","))
        try:
            return tuple(float(told[name]) for name in self._config.settings.load_fields)
        except (KeyError, ValueError):
            return ()

    def _answer(self, effect: core.Answer) -> None:
        opened = self._open[effect.operation]
        client, opened.client = opened.client, None
        self.counters.add(f"answers_{effect.verdict.value}")
        if client is not None:
            headers: list[tuple[str, str]] = []
            status, body = 500, b""
            if effect.verdict is core.Verdict.SERVED:
                assert isinstance(effect.answer, http1.Response)
                status, body = 200, effect.answer.body
                kinds = effect.answer.headers.get("content-type", ())
                headers.extend(("Content-Type", kind) for kind in kinds[:1])
            elif effect.verdict is core.Verdict.DOUBLE:
                status = 409
            elif effect.verdict is core.Verdict.BUSY:
                status = 503
                if effect.retry_after_ms > 0:
                    headers.append(("Retry-After", f"{effect.retry_after_ms / 1000:.3f}"))
            client.answer(status, headers, body)
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
