"""A ledger node: HTTP/1.1 around `model.NodeModel`, on any ground.

What is not plain from the protocol:

- A new connection's first request is read only once the handshake's round trips are over: it has not arrived
  before. If the connection ends meanwhile, a request that was whole is entered all the same, as "over".
- A connection beyond those the node takes is accepted and its first request answered 503 with `X-Not-Run`,
  then closed. To close it at once would race with a request on its way, and look like one that may have run.
- A second request on a connection whose answer is out is "bad", and the connection is reset.
- An attempt whose answer was written with `whole=False` has an `Ended` row, too, once its connection ends.
"""

from __future__ import annotations

import asyncio
import re
from collections.abc import Callable
from math import inf, prod

from coveport.http1 import RemoteProtocolError, Request
from coveport.testbed import model as core
from coveport.testbed.backend import Host
from coveport.testbed.day import Change, Day, NodeDrawn
from coveport.testbed.event_log import (
    Arrived,
    Ended,
    EventLog,
    Linked,
    NodeLoad,
    Probed,
    Ran,
    Replied,
    digest_of_body,
    digest_of_request,
)
from coveport.testbed.model import Attempt, KeyMemory, NodeModel
from coveport.testbed.standins.fates import SPOILT, UNRUN, Fate, Fates, spoilt_answer
from coveport.testbed.standins.node_link import NodeLink
from coveport.testbed.standins.node_state import BusyShare, LoadReports, state_row
from coveport.testbed.standins.operation_costs import WorkBook

LOAD_EVERY_S = 0.5
TRIP_MS = 0.6  # a round trip where nobody says how far the sidecar is
NUMBERS = 10**9  # attempts and connections are numbered from this times the node's number
DRIP_S, DRIPS, DRIP = 0.05, 100, b"." * 64

_PROBE = -1  # the class of a probe
_PROBES = ("/ping", "/_load")
_NO_CLASS = (-1, "")
_EMPTY = digest_of_body(b"")
_DEADLINE = re.compile(r"([0-9]{1,12}(?:\.[0-9]{1,9})?)(m|u)")
_REASONS = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    500: b"Internal Server Error",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}
_NOT_RUN = b"X-Not-Run: 1\r\n"
_CLOSE = b"Connection: close\r\n"


class LedgerNode:
    """A ledger node of a day, up or down."""

    def __init__(
        self,
        host: Host,
        event_log: EventLog,
        day: Day,
        drawn: NodeDrawn,
        keys: KeyMemory,
        wishes: WorkBook,
        rtt_ms: Callable[[int], float] | None = None,
    ) -> None:
        """Prepare; nothing is listened on before `start` or a "start" among the changes.

        `keys` is the one of all nodes. `rtt_ms` tells the round trip to a sidecar by its number, which a
        handshake takes several of; without it each takes `TRIP_MS`.
        """
        self.host = host
        self.drawn = drawn
        self.model = NodeModel(drawn, day.scenario.classes, keys)
        self._write = event_log.write
        self._wishes = wishes
        self._rtt_ms = rtt_ms
        self._probes = day.scenario.rules.probes
        self._classes = {
            one.name: (number, "GET" if one.repeats == "safe" else "POST")
            for number, one in enumerate(day.scenario.classes)
        }
        self._attempts = self._numbers = drawn.number * NUMBERS
        self._links: dict[NodeLink, None] = {}
        self._idle: dict[NodeLink, float] = {}  # since when, the longest first
        self._slow: dict[int, float] = {}  # by fault, as all below
        self._silent: dict[int, float] = {}
        self._leaving: dict[int, float] = {}
        self._fates = Fates(drawn)
        self._busy = BusyShare(drawn, self.model)  # for the event log
        self._reports = LoadReports(drawn, self.model, b"X-Load: fail_rate=0,busy=0\r\n", _load_line)
        self._due = inf
        self._due_timer: asyncio.TimerHandle | None = None
        self._idle_timer: asyncio.TimerHandle | None = None
        self._load_timer: asyncio.TimerHandle | None = None
        self._report_timer: asyncio.TimerHandle | None = None
        self._listening: asyncio.Task[None] | None = None
        self._was_jammed = False

    # The process.

    async def start(self) -> None:
        """Be there from the day's beginning, long since warm; a replacement that comes later is left out."""
        if self.drawn.born:
            self._rise(cold=False)
            await self._listen()

    async def _listen(self) -> None:
        await self.host.listen(lambda sidecar: NodeLink(self, sidecar))
        if not self.model.alive:  # guards against a death while the address was being bound
            self.host.refuse()

    def close(self) -> None:
        """The day is over: let go of everything, without a word in the event log."""
        self._stop_timers()
        if self._listening is not None:
            self._listening.cancel()
        self.host.refuse()
        for link in list(self._links):
            self._forget(link)
            link.transport.abort()

    def change(self, change: Change) -> None:
        """Take in one of `day.NODE_CHANGES`; those for other nodes are passed over.

        A death of a dead process and a start of a running one are nothing. A new process is not draining any
        more, but as slow and troubled as its machine.
        """
        if change.target not in (-1, self.drawn.number):
            return
        now, what = self.host.day_ms(), change.what
        if what == "die":
            self._die(now)
        elif what == "start":
            if not self.model.alive:
                self._rise(cold=True)
                self._listening = self.host.net.loop.create_task(self._listen())
        elif what == "slow":
            _put(self._slow, change)
            self.model.slow_down(now, prod(self._slow.values()))
            self._tell(now)
        elif what == "silent":
            was = bool(self._silent)
            _put(self._silent, change)
            if bool(self._silent) != was:
                self.host.silence(not was)
            self._tell(now)
        elif what == "leaving":
            _put(self._leaving, change)
            self.model.drain(now, bool(self._leaving))
            self._tell(now)
        else:
            self._fates.change(change)
        self._settle(now)

    def _rise(self, cold: bool) -> None:
        now = self.host.day_ms()
        self._leaving.clear()
        self.model.start(now, cold)
        self._was_jammed = False
        self._reports.restart(now)
        self._busy.restart(now)
        loop, every_s = self.host.net.loop, self.drawn.report_every_ms / 1000
        self._load_timer = loop.call_later(LOAD_EVERY_S, self._sample)
        self._report_timer = loop.call_later(every_s * self._reports.random.random(), self._report)
        self._tell(now)

    def _die(self, now: float) -> None:
        if not self.model.alive:
            return
        self._stop_timers()
        self.host.refuse()
        for link in list(self._links):
            self._end_open(link, "down", now)
            self._unlink(link, now)
            self.host.net.reset(link.transport)
        self.model.die(now)
        self._tell(now)

    def _tell(self, at: float) -> None:
        self._write(state_row(at, self.drawn, self.model, bool(self._silent)))

    # Time.

    def _stop_timers(self) -> None:
        for timer in (self._due_timer, self._idle_timer, self._load_timer, self._report_timer):
            if timer is not None:
                timer.cancel()
        self._due = inf
        self._due_timer = None
        self._idle_timer = None

    def _settle(self, now: float) -> None:
        """Carry out what the model has to say, and set the one timer for when it wants to be called."""
        model = self.model
        while effects := model.take():
            for attempt, what in effects:
                if what == core.RUN:
                    self._write(
                        Ran(now, attempt.op, self.drawn.number, self.drawn.cell, attempt.number, attempt.key)
                    )
                elif attempt.owner is not None:
                    link: NodeLink = attempt.owner
                    attempt.owner = link.attempt = None
                    if what == core.DONE:
                        link.node.done(link, attempt, now)  # it may be a repeat at another node
                    elif what == core.EXPIRED:
                        self._answer(link, attempt.op, attempt.number, 504, now, _NOT_RUN)
        if model.jammed != self._was_jammed:
            self._was_jammed = model.jammed
            self._tell(model.jam_changed_at)
        due = model.next_at
        if due != self._due:
            if self._due_timer is not None:
                self._due_timer.cancel()
            self._due = due
            self._due_timer = (
                None
                if due == inf
                else self.host.net.loop.call_later(max(0.0, due - now) / 1000, self._come_due)
            )

    def _come_due(self) -> None:
        # Guards against a clock that rounds down: the model would ask for the same moment again and again.
        now = max(self.host.day_ms(), self._due)
        self._due = inf
        self._due_timer = None
        self.model.advance(now)
        self._settle(now)

    def _sample(self) -> None:
        now, model = self.host.day_ms(), self.model
        model.advance(now)
        busy = self._busy.look(now)
        self._write(NodeLoad(now, self.drawn.number, model.working, model.waiting, busy, model.conns))
        self._load_timer = self.host.net.loop.call_later(LOAD_EVERY_S, self._sample)
        self._settle(now)

    def _report(self) -> None:
        """Make a load report, which shows only once it is as old as reports of this node are."""
        now = self.host.day_ms()
        self.model.advance(now)
        self._reports.make(now)
        self._report_timer = self.host.net.loop.call_later(self.drawn.report_every_ms / 1000, self._report)
        self._settle(now)

    # Connections.

    def linked(self, link: NodeLink) -> None:
        """A connection came up."""
        if not self.model.alive:  # guards against one that was accepted as the process died
            link.gone = True
            self.host.net.reset(link.transport)
            return
        now, drawn = self.host.day_ms(), self.drawn
        self._numbers += 1
        link.number = self._numbers
        trip_ms = TRIP_MS if self._rtt_ms is None else self._rtt_ms(link.sidecar)
        link.ready_at = now + drawn.handshake_trips * trip_ms
        self._links[link] = None
        self._write(Linked(now, drawn.number, link.sidecar, link.number, True))
        link.surplus = not self.model.connect(now)
        self._rest(link, now)
        self._settle(now)

    def came(self, link: NodeLink, data: memoryview) -> None:
        """Bytes came on a connection."""
        now = self.host.day_ms()
        if link.began < 0:
            handed = link.transport.get_extra_info("handed_ms")
            link.began, link.handed = now, handed if isinstance(handed, float) else now
            self._idle.pop(link, None)
        link.parser.feed(data)
        if now >= link.ready_at:
            self._read(link, now)
            self._settle(now)
        elif link.timer is None:
            link.timer = self.host.net.loop.call_later((link.ready_at - now) / 1000, self._shaken, link)

    def _shaken(self, link: NodeLink) -> None:
        link.timer = None
        now = max(self.host.day_ms(), link.ready_at)
        self._read(link, now)
        self._settle(now)

    def _read(self, link: NodeLink, now: float) -> None:
        while True:
            busy = link.attempt is not None or link.unwhole is not None
            try:
                request = link.parser.next_request()
            except RemoteProtocolError:
                number = self._arrived(link, None, now)
                if busy:
                    self._cut(link, now)
                else:
                    self._answer(link, "", number, 400, now, close=True)
                return
            if request is None:
                return
            if busy:
                self._arrived(link, request, now)
                self._cut(link, now)
                return
            link.last = not request.keep_alive
            self._take(link, request, now)
            if not link.parser.is_mid_message or link.gone:
                return
            link.began = link.handed = now  # what is left came with what is taken
            self._idle.pop(link, None)

    def ended(self, link: NodeLink, how: str) -> None:
        """A connection ended, or the sidecar ended its sending, which says that it waits no more."""
        if link.gone:
            return
        now = self.host.day_ms()
        attempt = link.attempt
        self._end_open(link, how, now)
        self._unlink(link, now)
        if attempt is not None:
            self.model.cancel(now, attempt)
        self._settle(now)

    def _end_open(self, link: NodeLink, how: str, now: float) -> None:
        """Enter the end of what is out on a connection."""
        attempt = link.attempt or link.unwhole
        if attempt is not None and attempt.cls != _PROBE:
            self._write(Ended(now, attempt.op, self.drawn.number, attempt.number, how))
        elif attempt is None and link.timer is not None:
            self._end_unread(link, how, now)
        for one in (link.attempt, link.unwhole):
            if one is not None:
                one.owner = None
        link.attempt = link.unwhole = None

    def _end_unread(self, link: NodeLink, how: str, now: float) -> None:
        try:
            request = link.parser.next_request()
        except RemoteProtocolError:
            return
        if request is not None and request.target not in _PROBES:
            number = self._arrived(link, request, now, core.OVER)
            self._write(Ended(now, _only(request, "x-request-id"), self.drawn.number, number, how))

    def _cut(self, link: NodeLink, now: float) -> None:
        """Reset a connection on purpose."""
        attempt = link.attempt
        self._end_open(link, "cut", now)
        self._unlink(link, now)
        self.host.net.reset(link.transport)
        if attempt is not None:
            self.model.cancel(now, attempt)

    def _unlink(self, link: NodeLink, now: float) -> None:
        self._forget(link)
        self.model.disconnect()
        self._write(Linked(now, self.drawn.number, link.sidecar, link.number, False))

    def _forget(self, link: NodeLink) -> None:
        link.gone = True
        if link.timer is not None:
            link.timer.cancel()
        self._links.pop(link, None)
        self._idle.pop(link, None)

    def _hang_up(self, link: NodeLink, now: float) -> None:
        """Close a connection once all has been written to it."""
        self._end_open(link, "cut", now)
        self._unlink(link, now)
        link.transport.close()

    def _rest(self, link: NodeLink, now: float) -> None:
        self._idle[link] = now
        if self._idle_timer is None:
            self._idle_timer = self.host.net.loop.call_later(self.drawn.idle_ms / 1000, self._close_idle)

    def _close_idle(self) -> None:
        now, limit = self.host.day_ms(), self.drawn.idle_ms
        self._idle_timer = None
        while self._idle:
            link, since = next(iter(self._idle.items()))
            left = since + limit - now
            if left > 0.01:  # guards against a clock that rounds down, and a timer for nothing
                self._idle_timer = self.host.net.loop.call_later(left / 1000, self._close_idle)
                return
            self._hang_up(link, now)

    # Operations.

    def _arrived(self, link: NodeLink, request: Request | None, now: float, took: str = "bad") -> int:
        """Enter what came and costs no work, None for what can't be read; give it its number."""
        op, key, digest, cls = "", "", "", -1
        if request is not None:
            op, key = _only(request, "x-request-id"), _only(request, "idempotency-key")
            cls = self._classes.get(_first_part(request.target), _NO_CLASS)[0]
            digest = digest_of_request(request.method, request.target, op, key, request.body)
        self._attempts += 1
        self._write(
            Arrived(
                now,
                op,
                self.drawn.number,
                link.sidecar,
                self._attempts,
                link.number,
                link.began,
                link.handed,
                cls,
                key,
                digest,
                0.0,
                took,
            )
        )
        link.began = -1.0
        return self._attempts

    def _take(self, link: NodeLink, request: Request, now: float) -> None:
        drawn, model, target = self.drawn, self.model, request.target
        if target in _PROBES:
            self._probe(link, target, now)
            return
        op = _only(request, "x-request-id")
        cls, method = self._classes.get(_first_part(target), _NO_CLASS)
        wish = self._wishes.find(op)
        if wish is None or wish.cls != cls or request.method != method:
            number = self._arrived(link, request, now)
            self._answer(link, op, number, 400 if op else 404, now)
            return
        self._attempts = number = self._attempts + 1
        key = _only(request, "idempotency-key")
        work_ms = self._wishes.work_ms(wish, op, drawn.number)
        expires_at = now + _patience_ms(request) if drawn.drops_expired else inf
        attempt = Attempt(number, op, key, cls, work_ms, expires_at, link)
        attempt.fate = fate = self._fates.draw()
        if link.surplus:
            took = core.FULL
        elif model.draining or fate not in UNRUN:
            took = model.arrive(now, attempt)
        else:
            took = core.WORK
        digest = digest_of_request(method, target, op, key, request.body)
        self._write(
            Arrived(
                now,
                op,
                drawn.number,
                link.sidecar,
                number,
                link.number,
                link.began,
                link.handed,
                cls,
                key,
                digest,
                work_ms,
                took,
            )
        )
        link.began = -1.0
        if took == core.FULL or took == core.DRAIN:
            self._answer(link, op, number, 503, now, _NOT_RUN, link.surplus)
        elif took == core.OVER:
            self._answer(link, op, number, 504, now, _NOT_RUN)
        elif fate is Fate.ERROR_UNRUN:
            self._answer(link, op, number, 500, now)
        else:
            link.attempt = attempt
            if fate is Fate.RESET_UNRUN:
                self._cut(link, now)
            elif took == core.WORK:
                attempt.answer = f"{op} {drawn.name} run {number}\n".encode().ljust(wish.answer, b".")

    def _probe(self, link: NodeLink, target: str, now: float) -> None:
        link.began = -1.0
        work_ms = self.drawn.probe_ms if self._probes else 0.0
        self._write(Probed(now, self.drawn.number, link.sidecar, work_ms))
        link.attempt = Attempt(0, target, "", _PROBE, work_ms, inf, link)
        self.model.probe(now, link.attempt)

    # Answers.

    def done(self, link: NodeLink, attempt: Attempt, now: float) -> None:
        """The model is done with it: answer as its fate wills."""
        fate: Fate = attempt.fate
        if attempt.cls == _PROBE:
            status = 404 if not self._probes else 503 if self.model.draining else 200
            head = self._head(status, now)
            body = self._reports.shown(now)[8:-2] if attempt.op == "/_load" else b""
            link.transport.write(b"%bContent-Length: %d\r\n\r\n%b" % (head, len(body), body))
            self._answered(link, now)
        elif fate is Fate.ERROR:
            self._answer(link, attempt.op, attempt.number, 500, now)
        elif fate is Fate.RESET:
            link.attempt = attempt
            self._cut(link, now)
        elif fate is Fate.SPOILT:
            self._spoil(link, attempt, now)
        else:
            body = attempt.run.answer
            link.transport.write(
                b"%bContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%b"
                % (self._head(200, now), len(body), body)
            )
            self._write(
                Replied(now, attempt.op, self.drawn.number, attempt.number, 200, digest_of_body(body), True)
            )
            self._answered(link, now)

    def _head(self, status: int, now: float) -> bytes:
        return b"HTTP/1.1 %d %b\r\n%b" % (status, _REASONS[status], self._reports.shown(now))

    def _answer(
        self,
        link: NodeLink,
        op: str,
        number: int,
        status: int,
        now: float,
        lines: bytes = b"",
        close: bool = False,
    ) -> None:
        """Answer with no body: anything but a 200."""
        if status == 500:
            self._reports.errors += 1
        link.transport.write(
            b"%b%b%bContent-Length: 0\r\n\r\n" % (self._head(status, now), lines, _CLOSE if close else b"")
        )
        self._write(Replied(now, op, self.drawn.number, number, status, _EMPTY, True))
        self._answered(link, now, close)

    def _answered(self, link: NodeLink, now: float, close: bool = False) -> None:
        share = self.drawn.closes_behind
        if close or link.last or (share and self._fates.random.random() < share):
            self._hang_up(link, now)
        elif link.began < 0:
            self._rest(link, now)

    def _spoil(self, link: NodeLink, attempt: Attempt, now: float) -> None:
        """Answer so that nobody can read it, or (one in six) so that it can be read all the same."""
        rng, body = self._fates.random, attempt.run.answer
        kind = SPOILT[rng.randrange(len(SPOILT))]
        link.transport.write(spoilt_answer(kind, self._head(200, now), body, rng))
        whole = kind == "junk"
        self._write(
            Replied(
                now,
                attempt.op,
                self.drawn.number,
                attempt.number,
                0 if kind == "noise" else 200,
                digest_of_body(body) if whole else "",
                whole,
            )
        )
        if whole:
            self._answered(link, now)
            return
        link.unwhole = attempt
        if kind == "short":
            self._hang_up(link, now)
            return
        self._rest(link, now)
        if kind == "drip":
            link.timer = self.host.net.loop.call_later(DRIP_S, self._drip, link, DRIPS)

    def _drip(self, link: NodeLink, left: int) -> None:
        link.transport.write(DRIP)
        link.timer = self.host.net.loop.call_later(DRIP_S, self._drip, link, left - 1) if left > 1 else None


def _put(table: dict[int, float], change: Change) -> None:
    if change.on:
        table[change.fault] = change.value
    else:
        table.pop(change.fault, None)


def _load_line(fail_rate: float, busy: float) -> bytes:
    return f"X-Load: fail_rate={fail_rate:.3f},busy={busy:.4f}\r\n".encode()


def _first_part(target: str) -> str:
    return target.partition("?")[0][1:].partition("/")[0]


def _only(request: Request, name: str) -> str:
    """The value of a header that stands once, or nothing."""
    values = request.headers.get(name)
    return values[0] if values is not None and len(values) == 1 else ""


def _patience_ms(request: Request) -> float:
    match = _DEADLINE.fullmatch(_only(request, "x-deadline"))
    if match is None:
        return inf
    return float(match[1]) / (1 if match[2] == "m" else 1000)
