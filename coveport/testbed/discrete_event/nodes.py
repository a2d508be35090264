"""Ledger nodes on bare ground: `model.NodeModel` with its connections, handshakes, fates and load reports."""

from __future__ import annotations

from collections.abc import Callable
from math import inf, prod

from coveport.balancing import Outcome
from coveport.testbed import model as core
from coveport.testbed.day import Change, Day, NodeDrawn, Wish
from coveport.testbed.discrete_event.scheduler import Agenda, Entry
from coveport.testbed.event_log import Arrived, Ended, EventLog, Linked, NodeLoad, Probed, Ran, Replied
from coveport.testbed.model import Attempt, KeyMemory, NodeModel
from coveport.testbed.standins.fates import UNRUN, Fate, Fates
from coveport.testbed.standins.node_state import BusyShare, LoadReports, state_row
from coveport.testbed.standins.nodes import NUMBERS
from coveport.testbed.standins.operation_costs import WorkBook

LOAD_EVERY_MS = 500.0
SPOILT = "spoilt"  # a body after which the connection is of no use
_PROBE = -1  # the class of a probe

Heard = Callable[[Outcome, tuple[float, ...], str], None]


class Link:
    """A connection from a sidecar to a node; each carries one attempt at a time."""

    __slots__ = ("attempt", "ended", "idle_since", "node", "number", "open", "ready_at", "sidecar", "surplus")

    def __init__(self, node: BareNode, sidecar: int, number: int, ready_at: float) -> None:
        self.node = node
        self.sidecar = sidecar
        self.number = number
        self.ready_at = ready_at
        self.open = True
        self.surplus = False
        self.attempt: Attempt | None = None  # seen from the node
        self.ended: Heard | None = None  # the sidecar's, who waits for an answer on it
        self.idle_since = 0.0


class BareNode:
    """One ledger node; what goes out to sidecars travels, what comes in has travelled."""

    def __init__(
        self,
        agenda: Agenda,
        event_log: EventLog,
        day: Day,
        drawn: NodeDrawn,
        keys: KeyMemory,
        works: WorkBook,
        zones: list[int],
        base_ms: Callable[[int, int], float],
    ) -> None:
        """`zones`: of the sidecars; `base_ms`: one way between two zones in calm."""
        self.drawn = drawn
        self.model = NodeModel(drawn, day.scenario.classes, keys)
        self._agenda = agenda
        self._write = event_log.write
        self._works = works
        self._zones = zones
        self._base_ms = base_ms
        self._links: dict[Link, None] = {}
        self._attempts = self._numbers = drawn.number * NUMBERS
        self._slow: dict[int, float] = {}  # by fault, as the next two
        self._silent: set[int] = set()
        self._leaving: set[int] = set()
        self._fates = Fates(drawn)
        self._busy = BusyShare(drawn, self.model)  # for the event log
        self._reports = LoadReports[tuple[float, ...]](drawn, self.model, (0.0, 0.0), lambda *both: both)
        self._due = inf
        self._due_entry = Entry(None, ())
        self._life = 0  # how often it was started
        self._jammed = False

    # The process.

    def rise(self, cold: bool) -> None:
        """Start: cold, or as one that has run for long."""
        now, drawn = self._agenda.now, self.drawn
        self._leaving.clear()
        self.model.start(now, cold)
        self._jammed = False
        self._life += 1
        self._reports.restart(now)
        self._busy.restart(now)
        self._agenda.at(now + LOAD_EVERY_MS, self._sample, self._life)
        self._agenda.at(now + drawn.report_every_ms * self._reports.random.random(), self._report, self._life)
        self._tell(now)
        self.settle()

    def change(self, change: Change) -> None:
        """Take in one of `day.NODE_CHANGES` for this node."""
        now, what = self._agenda.now, change.what
        if what == "die":
            self._die(now)
        elif what == "start":
            if not self.model.alive:
                self.rise(cold=True)
        elif what == "slow":
            if change.on:
                self._slow[change.fault] = change.value
            else:
                self._slow.pop(change.fault, None)
            self.model.slow_down(now, prod(self._slow.values()))
            self._tell(now)
        elif what == "silent":
            (self._silent.add if change.on else self._silent.discard)(change.fault)
            if not self._silent:  # what was open is reset once it is back
                for link in list(self._links):
                    self._break(link, "cut")
            self._tell(now)
        elif what == "leaving":
            (self._leaving.add if change.on else self._leaving.discard)(change.fault)
            self.model.drain(now, bool(self._leaving))
            self._tell(now)
        else:
            self._fates.change(change)
        self.settle()

    def _die(self, now: float) -> None:
        if self.model.alive:
            for link in list(self._links):
                self._break(link, "down")
            self.model.die(now)
            self._due_entry.do, self._due = None, inf
            self._tell(now)

    def _break(self, link: Link, how: str) -> None:
        """The connection is reset from this side."""
        now, attempt = self._agenda.now, link.attempt
        if attempt is not None and attempt.cls != _PROBE:
            self._write(Ended(now, attempt.op, self.drawn.number, attempt.number, how))
        link.attempt = None
        self._drop(link, now)
        if attempt is not None:
            attempt.owner = None
            if how != "down":
                self.model.cancel(now, attempt)
        if not self._silent:
            self._reply(link, Outcome.RESET, "")

    def _drop(self, link: Link, now: float) -> None:
        if link.open:
            link.open = False
            del self._links[link]
            self.model.disconnect()
            self._write(Linked(now, self.drawn.number, link.sidecar, link.number, False))

    def _tell(self, at: float) -> None:
        self._write(state_row(at, self.drawn, self.model, bool(self._silent)))

    # Time.

    def settle(self) -> None:
        """Carry out what the model has to say, and be there when it wants to be asked next."""
        model, now = self.model, self._agenda.now
        while effects := model.take():
            for attempt, what in effects:
                if what == core.RUN:
                    self._write(
                        Ran(now, attempt.op, self.drawn.number, self.drawn.cell, attempt.number, attempt.key)
                    )
                elif attempt.owner is not None:
                    link: Link = attempt.owner
                    attempt.owner = link.attempt = None
                    if what == core.DONE:
                        link.node.done(link, attempt)  # it may be a repeat at another node
                    elif what == core.EXPIRED:
                        self._answer(link, attempt.op, attempt.number, 504, Outcome.FULL)
        if model.jammed != self._jammed:
            self._jammed = model.jammed
            self._tell(model.jam_changed_at)
        due = model.next_at
        if due != self._due:
            self._due_entry.do, self._due = None, due
            if due < inf:
                self._due_entry = self._agenda.at(due, self._come_due)

    def _come_due(self) -> None:
        self._due = inf
        self.model.advance(self._agenda.now)
        self.settle()

    def _sample(self, life: int) -> None:
        if life != self._life or not self.model.alive:
            return
        now, model = self._agenda.now, self.model
        model.advance(now)
        self._write(
            NodeLoad(now, self.drawn.number, model.working, model.waiting, self._busy.look(now), model.conns)
        )
        self.settle()
        self._agenda.at(now + LOAD_EVERY_MS, self._sample, life)

    def _report(self, life: int) -> None:
        if life != self._life or not self.model.alive:
            return
        now = self._agenda.now
        self.model.advance(now)
        self._reports.make(now)
        self.settle()
        self._agenda.at(now + self.drawn.report_every_ms, self._report, life)

    # Connections. What is called here has travelled.

    def dialed(self, sidecar: int, up: Callable[[Link | None], None]) -> None:
        """A sidecar wants to connect; `up` hears of it with the link, or None where it is refused."""
        zone = self._zones[sidecar]
        if self._silent:
            return
        if not self.model.alive:
            self._agenda.travel(self.drawn.zone, zone, up, None)
            return
        now = self._agenda.now
        self._numbers += 1
        trip_ms = 2 * self._base_ms(zone, self.drawn.zone)
        link = Link(self, sidecar, self._numbers, now + self.drawn.handshake_trips * trip_ms)
        self._links[link] = None
        self._write(Linked(now, self.drawn.number, sidecar, link.number, True))
        link.surplus = not self.model.connect(now)
        self.settle()
        self._agenda.travel(self.drawn.zone, zone, up, link)

    def came(self, link: Link, wish: Wish, op: str, key: str, handed: float) -> None:
        """An attempt's last byte has come."""
        now, drawn, model = self._agenda.now, self.drawn, self.model
        if self._silent or not link.open:
            return
        if now < link.ready_at:
            self._agenda.at(link.ready_at, self.came, link, wish, op, key, handed)
            return
        self._attempts = number = self._attempts + 1
        work_ms = self._works.work_ms(wish, op, drawn.number)
        attempt = Attempt(number, op, key, wish.cls, work_ms, inf, link)
        attempt.fate = fate = self._fates.draw()
        if link.surplus:
            took = core.FULL
        elif model.draining or fate not in UNRUN:
            took = model.arrive(now, attempt)
        else:
            took = core.WORK
        self._write(
            Arrived(
                now,
                op,
                drawn.number,
                link.sidecar,
                number,
                link.number,
                now,
                handed,
                wish.cls,
                key,
                wish.op,
                work_ms,
                took,
            )
        )
        if took in (core.FULL, core.DRAIN):
            self._answer(link, op, number, 503, Outcome.FULL)
            if link.surplus:
                self._break(link, "cut")
        elif fate is Fate.ERROR_UNRUN:
            self._answer(link, op, number, 500, Outcome.ERROR)
        else:
            link.attempt = attempt
            if fate is Fate.RESET_UNRUN:
                self._break(link, "cut")
        self.settle()

    def probed(self, link: Link) -> None:
        """A probe has come."""
        now = self._agenda.now
        if self._silent or not link.open:
            return
        if now < link.ready_at:
            self._agenda.at(link.ready_at, self.probed, link)
            return
        self._write(Probed(now, self.drawn.number, link.sidecar, self.drawn.probe_ms))
        link.attempt = Attempt(0, "", "", _PROBE, self.drawn.probe_ms, inf, link)
        self.model.probe(now, link.attempt)
        self.settle()

    def closed(self, link: Link) -> None:
        """The sidecar has closed a connection."""
        if not link.open:
            return
        now, attempt = self._agenda.now, link.attempt
        link.attempt = None
        if attempt is not None:
            attempt.owner = None
            if attempt.cls != _PROBE:
                self._write(Ended(now, attempt.op, self.drawn.number, attempt.number, "end"))
        self._drop(link, now)
        if attempt is not None:
            self.model.cancel(now, attempt)
        self.settle()

    # Answers.

    def done(self, link: Link, attempt: Attempt) -> None:
        """The model is done with it."""
        fate: Fate = attempt.fate
        if attempt.cls == _PROBE:
            self._reply(link, Outcome.FULL if self.model.draining else Outcome.OK, "")
        elif fate is Fate.ERROR:
            self._answer(link, attempt.op, attempt.number, 500, Outcome.ERROR)
        elif fate is Fate.RESET:
            link.attempt = attempt
            self._break(link, "cut")
        elif fate is Fate.SPOILT:
            now = self._agenda.now
            self._write(Replied(now, attempt.op, self.drawn.number, attempt.number, 200, "", False))
            self._reply(link, Outcome.ERROR, SPOILT)
        else:
            self._answer(link, attempt.op, attempt.number, 200, Outcome.OK)

    def _answer(self, link: Link, op: str, number: int, status: int, outcome: Outcome) -> None:
        self._reports.errors += status == 500
        body = f"{op} {number}" if status == 200 else ""
        self._write(Replied(self._agenda.now, op, self.drawn.number, number, status, body, True))
        self._reply(link, outcome, body)

    def _reply(self, link: Link, outcome: Outcome, body: str) -> None:
        load = self._reports.shown(self._agenda.now)
        ended, link.ended = link.ended, None
        if ended is not None and not self._silent:
            self._agenda.travel(self.drawn.zone, self._zones[link.sidecar], ended, outcome, load, body)
