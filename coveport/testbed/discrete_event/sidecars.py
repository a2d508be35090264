"""Sidecars on bare ground: the reducer and the module as they are, and what carries out their effects.

Connections are kept as `nodes.destinations` keeps them: the one used last is taken, idle ones are closed at
four fifths of the keep-alive, a time-out or cancel closes its connection. What takes a sidecar CPU takes none
here, and nobody is short of descriptors.
"""

from __future__ import annotations

import json
from collections.abc import Callable

from coveport import balancing
from coveport.balancing.balancer import Balancer
from coveport.balancing.simulator_settings import parse_settings
from coveport.sidecar.effects import connect_timeout_ms
from coveport.sidecar.reducer import messages as core
from coveport.sidecar.reducer.operation import Answer
from coveport.sidecar.reducer.reducer import Reducer
from coveport.sidecar.upstream.connection_pool import IDLE_SHARE
from coveport.testbed.day import Day, SidecarDrawn, sidecar_settings
from coveport.testbed.discrete_event.clients import Try
from coveport.testbed.discrete_event.listing import EPOCH_MS
from coveport.testbed.discrete_event.nodes import SPOILT, BareNode, Link
from coveport.testbed.discrete_event.scheduler import Agenda, Entry
from coveport.testbed.event_log import EventLog, Life

DRAIN_MS = 700.0  # how long one that was told to stop takes new work
START_MS = 200.0  # until the next one is ready

Answered = Callable[[Try, int, str, float], None]
_STATUS = {
    core.Verdict.SERVED: 200,
    core.Verdict.BUSY: 503,
    core.Verdict.FAILED: 500,
    core.Verdict.DUPLICATE: 409,
}


class _Flight:
    """A route step, or a probe."""

    __slots__ = (
        "asked",
        "began",
        "handed",
        "link",
        "node",
        "operation",
        "over",
        "run",
        "step",
        "timer",
        "up_by",
    )

    def __init__(self, run: _Run, node: BareNode, operation: int, step: int) -> None:
        self.run = run
        self.node = node
        self.operation = operation
        self.step = step
        self.asked = run.open.get(operation)  # a try and its key; None: a probe
        self.link: Link | None = None
        self.handed = self.over = False
        self.timer = self.up_by = Entry(None, ())
        self.began = run.agenda.now

    def up(self, link: Link | None) -> None:
        """A connection has come up, or was refused."""
        if self.over:
            if link is not None:
                self.run.close(link)
        elif link is None:
            self.end(balancing.Outcome.CONNECT_FAILED)
        else:
            self.up_by.do = None
            self.carry(link)

    def carry(self, link: Link) -> None:
        """Send on it."""
        self.link = link
        self.handed = True
        link.ended = self.answered
        run, agenda = self.run, self.run.agenda
        if self.asked is None:
            agenda.travel(run.zone, self.node.drawn.zone, self.node.probed, link)
            return
        one, key = self.asked
        agenda.travel(run.zone, self.node.drawn.zone, self.node.came, link, one.wish, one.op, key, agenda.now)

    def answered(self, outcome: balancing.Outcome, load: tuple[float, ...], body: str) -> None:
        """The node has said something, or its connection has broken."""
        self.end(outcome, load, body, keep=outcome is not balancing.Outcome.RESET and body != SPOILT)

    def expire(self) -> None:
        """It has waited long enough."""
        self.end(balancing.Outcome.TIMEOUT if self.handed else balancing.Outcome.CONNECT_FAILED)

    def end(
        self,
        outcome: balancing.Outcome,
        load: tuple[float, ...] = (),
        body: str = "",
        keep: bool = False,
        told: bool = True,
    ) -> None:
        """Say once how it ended."""
        if self.over:
            return
        self.over = True
        self.timer.do = self.up_by.do = None
        link, self.link = self.link, None
        if link is not None:
            link.ended = None
            if keep and link.open:
                self.run.rest(link)
            else:
                self.run.close(link)
        if not told:
            return
        if self.operation < 0:
            self.run.feed(
                core.HealthCheckEnded(
                    self.node.drawn.number + 1, outcome, self.run.agenda.now - self.began, load
                )
            )
        else:
            self.run.flights.pop((self.operation, self.step), None)
            answer = Answer(body.encode()) if outcome is balancing.Outcome.OK else None
            self.run.feed(core.AttemptEnded(self.operation, self.step, outcome, load, answer))


class _Run:
    """One life of a sidecar."""

    def __init__(
        self, sidecar: BareSidecar, seed: int, balancer: Callable[[balancing.Settings, int], Balancer]
    ) -> None:
        day = sidecar.day
        self.agenda = sidecar.agenda
        self.zone = sidecar.drawn.zone
        self._nodes = sidecar.nodes
        settings = sidecar.settings
        self.reducer = Reducer(settings, seed, balancer)
        self._sidecar = sidecar
        self.dead = False
        self.open: dict[int, tuple[Try, str]] = {}
        self._numbers: dict[str, int] = {}  # of open operations, by id
        self.flights: dict[tuple[int, int], _Flight] = {}
        self._idle: dict[int, list[Link]] = {}
        self.came = 0  # operations
        self._idle_ms = _low(day.scenario.fleet.idle_s) * 1000 * IDLE_SHARE
        self._connect_ms = connect_timeout_ms(settings)

    def feed(self, item: core.Input) -> None:
        """Tell the reducer, and carry out what it says."""
        if not self.dead:
            for effect in self.reducer.step(self.agenda.now + EPOCH_MS, item):
                self._carry_out(effect)

    def take(self, one: Try, key: str) -> None:
        """An operation has come."""
        self.came += 1
        self.open[self.came] = one, key
        self._numbers[one.op] = self.came
        deadline = self.agenda.now + one.patience + EPOCH_MS
        self.feed(core.OperationReceived(self.came, one.wish.cls, deadline, one.number > 0, id=one.op))

    def gone(self, one: Try) -> None:
        """Its till has left."""
        number = self._numbers.get(one.op)
        if number is not None:
            self.feed(core.ClientDisconnected(number))
            self._forget(number)

    def _forget(self, number: int) -> None:
        one = self.open.pop(number, None)
        if one is not None:
            self._numbers.pop(one[0].op, None)

    def _carry_out(self, effect: core.Effect) -> None:
        agenda = self.agenda
        if isinstance(effect, core.SendAttempt):
            self._send(effect.destination, effect.operation, effect.step, effect.timeout_ms)
        elif isinstance(effect, core.SendAnswer):
            if (found := self.open.get(effect.operation)) is not None:
                body = effect.answer.body.decode() if effect.answer is not None else ""
                self._sidecar.answer(found[0], _STATUS[effect.verdict], body, effect.retry_after_ms)
                self._forget(effect.operation)
        elif isinstance(effect, core.CancelAttempt):
            if (flight := self.flights.get((effect.operation, effect.step))) is not None:
                # Told in a turn of its own, as the reducer is in the middle of its step.
                agenda.at(agenda.now, flight.end, balancing.Outcome.CANCELLED)
        elif isinstance(effect, core.SetTimer):
            agenda.at(agenda.now + effect.delay_ms, self.feed, core.TimerExpired(effect.token))
        elif isinstance(effect, core.SetDeadlineTimer):
            agenda.at(effect.at_ms - EPOCH_MS, self._guard, effect.operation)
        elif isinstance(effect, core.CheckHealth):
            self._send(effect.destination, -1, 0, 2 * self._connect_ms)
        elif isinstance(effect, core.ReportFault):
            self._sidecar.complaints.append(f"sidecar {self._sidecar.drawn.number}: {effect.text}")

    def _guard(self, operation: int) -> None:
        if operation in self.open:
            self.feed(core.DeadlineExpired(operation))

    def _send(self, destination: int, operation: int, step: int, timeout_ms: float) -> None:
        agenda, node = self.agenda, self._nodes[destination - 1]
        flight = _Flight(self, node, operation, step)
        if operation >= 0:
            self.flights[operation, step] = flight
        flight.timer = agenda.at(agenda.now + timeout_ms, flight.expire)
        idle = self._idle.get(destination, [])
        while idle:
            link = idle.pop()
            if link.open:
                flight.carry(link)
                return
        flight.up_by = agenda.at(agenda.now + self._connect_ms, flight.expire)
        agenda.travel(self.zone, node.drawn.zone, node.dialed, self._sidecar.drawn.number, flight.up)

    def rest(self, link: Link) -> None:
        """A connection waits for its next route step."""
        link.idle_since = now = self.agenda.now
        self._idle.setdefault(link.node.drawn.number + 1, []).append(link)
        self.agenda.at(now + self._idle_ms, self._rested, link, now)

    def _rested(self, link: Link, since: float) -> None:
        idle = self._idle.get(link.node.drawn.number + 1, [])
        if link.idle_since == since and link in idle:
            idle.remove(link)
            self.close(link)

    def close(self, link: Link) -> None:
        """End a connection."""
        self.agenda.travel(self.zone, link.node.drawn.zone, link.node.closed, link)

    def leave(self) -> None:
        """Close what rests; what is owed goes on."""
        for idle in self._idle.values():
            for link in idle:
                self.close(link)
        self._idle = {}

    def die(self) -> list[Try]:
        """Be gone; says who waited."""
        self.dead = True
        for flight in list(self.flights.values()):
            flight.end(balancing.Outcome.RESET, told=False)
        self.leave()
        return [one for one, _ in self.open.values()]


class BareSidecar:
    """A sidecar over its lives."""

    def __init__(
        self,
        agenda: Agenda,
        event_log: EventLog,
        day: Day,
        drawn: SidecarDrawn,
        nodes: list[BareNode],
        complaints: list[str],
        answered: Answered,
        broke: Callable[[Try], None],
        balancer: Callable[[balancing.Settings, int], Balancer],
    ) -> None:
        """`answered` and `broke`: what a till is told."""
        self.agenda = agenda
        self.day = day
        self.drawn = drawn
        self.nodes = nodes
        self.complaints = complaints
        self._write = event_log.write
        self._answered = answered
        self._broke = broke
        self._balancer = balancer
        self.settings = parse_settings(json.dumps(sidecar_settings(day, drawn)))
        self.run: _Run | None = None
        self._ending: list[_Run] = []
        self._generation = 0

    def start(self, told: Callable[[int], None]) -> None:
        """Begin a life; `told` gives it its first list."""
        self._write(Life(self.agenda.now, self.drawn.number, "start", str(self._generation)))
        seed = (self.drawn.seed * 1_000_003 + self._generation) % (1 << 64)
        self._generation += 1
        self.run = _Run(self, seed, self._balancer)
        told(self.drawn.number)
        self._write(Life(self.agenda.now, self.drawn.number, "ready"))

    def kill(self) -> None:
        """SIGKILL."""
        self._write(Life(self.agenda.now, self.drawn.number, "kill"))
        for run in [*self._ending, *([self.run] if self.run is not None else [])]:
            for one in run.die():
                self._broke(one)
        self.run = None
        self._ending = []

    def term(self, told: Callable[[int], None] | None = None) -> None:
        """SIGTERM; with `told` it starts again once it has ended."""
        self._write(Life(self.agenda.now, self.drawn.number, "term"))
        self.agenda.at(self.agenda.now + DRAIN_MS, self._drained, told)

    def _drained(self, told: Callable[[int], None] | None) -> None:
        run, self.run = self.run, None
        if run is not None:
            run.leave()
            self._ending.append(run)
            self._look(run, told)

    def _look(self, run: _Run, told: Callable[[int], None] | None) -> None:
        if run.dead:
            return
        if run.open or run.flights:
            self.agenda.at(self.agenda.now + 20.0, self._look, run, told)
            return
        run.die()
        self._ending.remove(run)
        self._write(Life(self.agenda.now, self.drawn.number, "exit", "0"))
        if told is not None:
            self.agenda.at(self.agenda.now + START_MS, self.start, told)

    def take(self, one: Try, key: str) -> bool:
        """An operation comes; False where nobody is there."""
        if self.run is None:
            return False
        self.run.take(one, key)
        return True

    def gone(self, one: Try) -> None:
        """A till has left."""
        for run in [*self._ending, *([self.run] if self.run is not None else [])]:
            run.gone(one)

    def answer(self, one: Try, status: int, body: str, after_ms: float) -> None:
        """Pass a final answer on."""
        self.agenda.at(self.agenda.now + self.day.client_ms, self._answered, one, status, body, after_ms)

    def told(self, update: balancing.EndpointUpdate) -> None:
        """Discovery has spoken."""
        for run in [*self._ending, *([self.run] if self.run is not None else [])]:
            run.feed(core.EndpointsUpdated(update))


def _low(figure: float | tuple[float, float]) -> float:
    return figure[0] if isinstance(figure, tuple) else figure
