"""Carries out what the reducer asks: send, cancel, answer, timers, probes; feeds back what comes of it."""

from __future__ import annotations

import asyncio
import traceback
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any, Protocol

from coveport import balancing
from coveport.net.clock import Clock
from coveport.net.transport import Net
from coveport.sidecar.config.platform import Config
from coveport.sidecar.discovery.endpoint_list_reader import EndpointListReader, EndpointListUpdate
from coveport.sidecar.discovery.endpoint_list_source import EndpointListSource
from coveport.sidecar.discovery.errors import EndpointListError
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
LONGEST_MS = 3_600_000.0  # stands for the deadline of a long operation until its last byte has come
BEAT_MS = 250.0  # while anything is open we do something at least so often ...
LAG_MS = 50.0  # ... and where that is later by more than this, we had no CPU
# How much later than connections may come up a first attempt may begin (a drain counts from 750 ms on), and a
LATE_MS, REPEAT_LATE_MS = 300.0, 30.0  # repeat: the module leaves the time of a connect within the window
REST_SHARE, REST_LEAST = 0.1, 16  # of the descriptors, for all else: a listener, discovery, the loop's own
CLIENT_PART = 5 / 9  # of what is left; destinations have the others


def descriptors(most: int) -> tuple[int, int]:
    """How many of a process' descriptors clients may hold, and how many destinations; at least two each."""
    # Guards against a small limit of which nothing is left for the tenth that all else needs: a listener that
    # runs out accepts nothing for a second.
    free = most - max(REST_SHARE * most, REST_LEAST)
    return max(2, int(free * CLIENT_PART)), max(2, int(free * (1 - CLIENT_PART)))


def callers(most: int) -> int:
    """How many callers the console holds at a time: a third of the descriptors for all else.

    For a moment there may be twice as many.
    """
    return max(2, int(max(REST_SHARE * most, REST_LEAST) / 3))


_ENDS = {
    core.Verdict.SERVED: "completed",
    core.Verdict.BUSY: "rejected",
    core.Verdict.FAILED: "failed",
    core.Verdict.DOUBLE: "failed",
}


class Asker(Protocol):
    """The client side of a protocol: whoever has brought an operation and waits for its answer."""

    def begin(self, answer: Answer, source: Attempt) -> None:
        """The one final answer begins: a long one, passed on as it comes from the source."""

    def more(self, data: bytes) -> None:
        """More of the long answer."""

    def finish(self, complete: bool) -> None:
        """End a streamed response; the client must be able to tell one that is not complete."""

    def answer(self, verdict: core.Verdict, answer: Answer | None, retry_after_ms: float) -> None:
        """Give the one final answer."""

    def left(self) -> bool:
        """Whether it has gone, even where that stands behind what is not read; it is told as gone soon."""


class Looks(Protocol):
    """Who else looks at destinations; where nobody does, there is none of it."""

    def look(self, destination: int) -> core.HealthCheckEnded | None:
        """Another's look at a destination that the module wishes to look at; None: look yourself."""

    def saw(self, destination: int, outcome: balancing.Outcome) -> None:
        """What we saw of a destination ourselves."""


class Records(Protocol):
    """Records operations before they can run (`intent_log.recorder`); optional."""

    def accept(self, number: int, client: Asker, operation: Operation) -> Asker | None:
        """Accept an operation; return who gets its response, None: it is answered past the executor."""

    def send(self, number: int, step: int, destination: int, resume: ResumeSend) -> bool:
        """Ask to send a route step: True: at once; False: `resume` is called once, in a later turn."""

    def attempt_ended(self, number: int, step: int, outcome: balancing.Outcome) -> None:
        """Note the outcome of a route step."""

    def client_gone(self, number: int) -> None:
        """Note that an operation's client has disconnected."""


ResumeSend = Callable[[Callable[[], bool] | None], None]
"""Sends a step, only where the fence check returns True right before the first byte; None: don't send it."""


class _Gate:
    """A route step that waits to be written down."""

    def __init__(self, done: Callable[[AttemptResult], None]) -> None:
        self._done = done
        self.over = False

    def cancel(self) -> None:
        """Give it up: nothing was sent."""
        if not self.over:
            self.over = True
            self._done(AttemptResult(balancing.Outcome.MOOT))


@dataclass(slots=True)
class _Open:
    """What is out in the world for an operation."""

    client: Asker | None
    asked: Operation
    cls: str  # the name of its class when it came
    guard: asyncio.TimerHandle | None = None
    steps: dict[int, Attempt | _Gate] = field(default_factory=dict)
    answered: bool = False
    passing: bool = False  # a long answer is being passed on
    taken: bool = True  # its last byte has come
    ended: bool = False  # counted under how it ended


def connect_timeout_ms(settings: balancing.Settings) -> float:
    """After which a connect is given up, so that there is time for a second try."""
    return min(
        settings.limits.connect_timeout_ms, CONNECT_SHARE * min(one.aim_ms for one in settings.classes)
    )


class Effects:
    """The reducer's hands."""

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
        self._open: dict[int, _Open] = {}
        self._beat_ms = self._clock.now_ms()
        self._beating: asyncio.TimerHandle | None = None  # set while anything is open
        self.connection_pool = ConnectionPool(
            net,
            counters,
            log,
            dial,
            keepalive_ms=config.keepalive_ms,
            connect_timeout_ms=connect_timeout_ms(config.settings),
            max_connections=descriptors(config.sockets)[1],
        )
        self._reader = EndpointListReader(config.zones)
        self.endpoint_list = EndpointListSource(
            net,
            config.discovery,
            self._reader,
            self.told,
            counters,
            log,
            on_demand=config.settings.must_ask,
            seed=config.seed,
        )
        self.has_list = False
        self.looks: Looks | None = None
        self.records: Records | None = None
        self.pending = 0  # operations taken and not ended
        counters.gauge("pending", lambda: self.pending)
        counters.gauge("members", lambda: self._reducer.members[0])
        counters.gauge("members_unavailable", lambda: self._reducer.members[1])
        for one in config.settings.classes:
            counters.name_class(one.name)

    def know(self) -> None:
        """Start from the list that the sidecar last had."""
        if self._config.known is None:
            return
        try:
            update = self._reader.read(self._config.known, balancing.EndpointUpdateKind.CACHED)
        except EndpointListError as problem:
            self._log.note("endpoint list", f"the known list is garbled: {problem}")
            return
        if update.endpoints:
            # Before the balancer is told, which may ask at once.
            self.endpoint_list.resume_from(update.update.version)
        self._place(update)

    @property
    def owed(self) -> int:
        """How many operations wait for their answer."""
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
        """Give the reducer one input and carry out what it asks; what that feeds in turn waits."""
        self._beat()
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
                        self._log.note("fault", traceback.format_exc())
        finally:
            self._busy = False

    def _beat(self) -> None:
        """Note that we are awake, and for how long we were not."""
        now = self._clock.now_ms()
        missed, self._beat_ms = now - self._beat_ms, now
        if missed <= BEAT_MS + LAG_MS:
            return
        if self._beating is not None:
            self.counters.add("stalls_measured")
            self._inputs.append(core.ProcessStalled(missed))
        # Guards against what waits beside a list that has waited for as long: it would be decided by the old
        # one, and go to a destination that has long begun to drain.
        self.endpoint_list.read_pending()

    def _pulse(self) -> None:
        self._beat()
        self._beating = self._net.loop.call_later(BEAT_MS / 1000, self._pulse) if self._open else None

    def take(self, number: int, client: Asker, asked: Operation) -> None:
        """A whole operation has come from a client."""
        if self.records is not None:
            recorded = self.records.accept(number, client, asked)
            if recorded is None:
                return
            client = recorded
        self._open[number] = _Open(client, asked, self._config.settings.classes[asked.cls].name)
        if asked.upload is None:
            self.pending += 1
        else:
            self._open[number].taken = False
        if self._beating is None:
            self._beat()
            self._beating = self._net.loop.call_later(BEAT_MS / 1000, self._pulse)
        deadline = self._clock.now_ms() + (asked.wait_ms if asked.upload is None else LONGEST_MS)
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
        """The last byte of a long operation has come; it may have stood below us for so long."""
        opened = self._open.get(number)
        if opened is not None and not opened.taken:
            opened.taken = True
            self.pending += not opened.ended
            self.feed(core.BodyReceived(number, self._clock.now_ms() + opened.asked.wait_ms - waited_ms))

    def gone(self, number: int) -> None:
        """The client of an operation has gone away."""
        if self.records is not None:
            self.records.client_gone(number)
        if number in self._open:
            self._open[number].client = None
            self._ended(self._open[number], "failed")
        self.feed(core.ClientDisconnected(number))
        self._forget(number, answered=True)

    def withdraw(self, number: int) -> None:
        """An operation is somebody else's: nothing more is done for it here. Who withdraws it answers it."""
        opened = self._open.get(number)
        if opened is not None:
            opened.client = None
            if not opened.ended:
                opened.ended = True
                self.pending -= opened.taken
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
        """Our clock."""
        return self._clock.now_ms()

    def place_of(self, destination: int) -> tuple[str, int, int]:
        """Address, zone and cell of a destination."""
        host, port = self.connection_pool.address(destination) or ("", 0)
        return (f"{host}:{port}", *self._reducer.place_of(destination))

    def told(self, update: EndpointListUpdate | None) -> None:
        """Discovery has told a list, or has failed."""
        if update is None:
            self.feed(core.EndpointsUpdated(balancing.EndpointUpdate(balancing.EndpointUpdateKind.FAILED)))
        else:
            self.has_list = True
            self.counters.add("pool_updates")
            self._place(update)

    def _place(self, update: EndpointListUpdate) -> None:
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
        self._reader.on_list = heard

    def share(self, peers: int) -> None:
        """So many share the destinations from now on."""
        settings = replace(self._config.settings, peers_total=peers)
        if settings != self._config.settings:
            self._config = replace(self._config, settings=settings)
            self.feed(core.ConfigurationReloaded(None, settings))

    def reload(self, config: Config) -> None:
        """The configuration was read anew: discovery moves, other settings hold, the rest waits."""
        before, settings = self._config, config.settings
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
        for one in settings.classes:
            self.counters.name_class(one.name)
        # The balancer counts with it from now on.
        self.connection_pool.connect_timeout_s = connect_timeout_ms(settings) / 1000
        changed = settings != before.settings
        self._config = replace(before, settings=settings)
        self.feed(core.ConfigurationReloaded(config.discovery, settings if changed else None))

    # Effects.

    def _carry_out(self, effect: core.Effect) -> None:
        if isinstance(effect, core.SendAttempt):
            self._send(effect)
        elif isinstance(effect, core.SendAnswer):
            self._answer(effect)
        elif isinstance(effect, core.StartAnswer):
            self._begin_answer(effect)
        elif isinstance(effect, core.EndAnswer):
            self._end_answer(effect)
        elif isinstance(effect, core.SetTimer):
            self._net.loop.call_later(effect.delay_ms / 1000, self.feed, core.TimerExpired(effect.token))
        elif isinstance(effect, core.SetDeadlineTimer):
            delay = (effect.at_ms - self._clock.now_ms()) / 1000
            self._open[effect.operation].guard = self._net.loop.call_later(
                delay, self.feed, core.DeadlineExpired(effect.operation)
            )
        elif isinstance(effect, core.CancelAttempt):
            opened = self._open.get(effect.operation)
            if opened is not None and effect.step in opened.steps:
                opened.steps[effect.step].cancel()
        elif isinstance(effect, core.CheckHealth):
            self._probe(effect.destination)
        elif isinstance(effect, core.RequestEndpoints):
            self.endpoint_list.request(full=effect.whole)
        elif isinstance(effect, core.SwitchDiscovery):
            self.endpoint_list.move_to(effect.discovery)
        else:
            self.counters.add("complaints")
            self._log.note("fault", effect.text)

    def _send(self, effect: core.SendAttempt) -> None:
        opened = self._open[effect.operation]
        self.counters.add("route_steps")

        def done(result: AttemptResult) -> None:
            opened.steps.pop(effect.step, None)
            self.counters.add(f"outcome_{result.outcome.name.lower()}")
            if self.looks is not None:
                self.looks.saw(effect.destination, result.outcome)
            if self.records is not None:
                self.records.attempt_ended(effect.operation, effect.step, result.outcome)
            self.feed(
                core.AttemptEnded(effect.operation, effect.step, result.outcome, result.load, result.answer)
            )
            self._forget(effect.operation)

        def began(_step: Attempt, answer: Answer) -> Asker | None:
            self.feed(core.AnswerStarted(effect.operation, effect.step, answer))
            return opened.client if opened.passing else None

        def handed() -> None:
            self.feed(core.AttemptSent(effect.operation, effect.step))

        asked_ms = self._clock.now_ms()

        def send(written: Callable[[], bool] | None = None) -> Attempt:
            begun_ms = self._clock.now_ms()

            def fence() -> bool:
                # Guards against beginning anything for a client that has gone: its end may stand below,
                # unread, behind what it sent ahead or behind a stall of ours, or be read and not told yet.
                if opened.client is None or opened.client.left():
                    return False
                # Guards against such a stall between the decision and the connection: a repeat would come
                # after its window, anything to a destination that has long begun to drain.
                connect_ms = 1000 * (self.connection_pool.connect_timeout_s + LOOP_TURNS_S)
                late_ms = self._clock.now_ms() - begun_ms - connect_ms
                if late_ms > (REPEAT_LATE_MS if effect.step else LATE_MS):
                    return False
                return written is None or written()

            left_ms = effect.timeout_ms - (self._clock.now_ms() - asked_ms)
            return self.connection_pool.send(
                effect.destination, opened.asked, max(left_ms, 1.0) / 1000, done, began, handed, fence
            )

        if self.records is None:
            opened.steps[effect.step] = send()
            return
        gate = _Gate(done)

        def go(fence: Callable[[], bool] | None) -> None:
            if gate.over:
                return
            if fence is None:
                gate.cancel()
            else:
                gate.over = True
                opened.steps[effect.step] = send(fence)

        opened.steps[effect.step] = gate
        if self.records.send(effect.operation, effect.step, effect.destination, go):
            gate.over = True
            opened.steps[effect.step] = send()

    def _probe(self, destination: int) -> None:
        heard = self.looks.look(destination) if self.looks is not None else None
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
        client, opened.client = opened.client, None
        self.counters.add(f"answers_{effect.verdict.value}")
        self._ended(opened, _ENDS[effect.verdict])
        if client is not None:
            client.answer(effect.verdict, effect.answer, effect.retry_after_ms)
        self._forget(effect.operation, answered=True)

    def _ended(self, opened: _Open, how: str) -> None:
        """An operation has ended; it is counted once, whatever comes after that."""
        if not opened.ended:
            opened.ended = True
            self.pending -= opened.taken
            self.counters.add(ended(opened.cls, how))

    def _begin_answer(self, effect: core.StartAnswer) -> None:
        opened = self._open[effect.operation]
        opened.passing = opened.client is not None
        source = opened.steps[effect.step]
        if opened.client is not None and isinstance(source, Attempt):
            opened.client.begin(effect.answer, source)
        if opened.guard is not None:
            opened.guard.cancel()

    def _end_answer(self, effect: core.EndAnswer) -> None:
        opened = self._open[effect.operation]
        client, opened.client = opened.client, None
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
