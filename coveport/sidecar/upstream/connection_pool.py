"""Connections to ledger nodes: connect, reuse, idle close, and one route step on each at a time."""

from __future__ import annotations

import asyncio
import errno
from collections import OrderedDict
from collections.abc import Callable, Iterable, Mapping

from coveport.balancing import Outcome
from coveport.net.address import Address
from coveport.net.transport import Net
from coveport.sidecar.reducer.locality import Place
from coveport.sidecar.reducer.operation import Operation
from coveport.sidecar.telemetry.counters import Counters
from coveport.sidecar.telemetry.log import Log
from coveport.sidecar.upstream.protocol import Dial, Link
from coveport.sidecar.upstream.route_step import NO_ROOM, Began, Done, RouteStep, StepResult

IDLE_SHARE = 0.8  # part of the keep-alive limit after which we close: theirs must never come first
RIPE_S = 0.01  # an idle connection has stood so long: some bring a second answer some ms behind the first
SWEEP_S = 0.25  # idle connections are looked through no more often than this


class Destinations:
    """All destinations that the pool config names, and the connections to them."""

    def __init__(
        self,
        net: Net,
        counters: Counters,
        log: Log,
        dial: Dial,
        *,
        keepalive_ms: float,
        connect_timeout_ms: float,
        most_links: int,
    ) -> None:
        self.net = net
        self.counters = counters
        self.log = log
        self.dial = dial
        self.connect_timeout_s = connect_timeout_ms / 1000
        self._idle_s = keepalive_ms / 1000 * IDLE_SHARE
        self._most = most_links
        self._places: dict[int, Place] = {}
        self._idle: dict[int, list[Link]] = {}  # by destination; the one used last at the end
        self._by_age: OrderedDict[Link, None] = OrderedDict()  # all idle ones, the oldest first
        self.links: dict[Link, None] = {}
        self.opening = 0
        self._sweeper: asyncio.TimerHandle | None = None  # set while any connection is idle

    def place(self, places: Iterable[tuple[int, Place | None]], whole: bool) -> None:
        """Take in where destinations are (None: gone); `whole`: there are no others."""
        told = dict(places)
        stale = [number for number in self._places if whole and number not in told]
        for number, place in [*told.items(), *((number, None) for number in stale)]:
            if self._places.get(number) != place:
                # Guards against handing a connection on: one to a process that is gone is of no use, and
                # whoever listens at its address now may be another destination.
                for link in list(self._idle.get(number, ())):
                    link.drop()
            if place is None:
                self._places.pop(number, None)
            else:
                self._places[number] = place

    @property
    def known(self) -> bool:
        """Whether any destination is known."""
        return bool(self._places)

    @property
    def count(self) -> int:
        """How many connections there are, the ones being opened included."""
        return len(self.links) + self.opening

    @property
    def tables(self) -> dict[str, int]:
        """How many entries each table has."""
        return {
            "links": len(self.links),
            "idle": len(self._by_age),
            "opening": self.opening,
            "places": len(self._places),
        }

    def opened(self, _task: asyncio.Task[object]) -> None:
        """An attempt to connect has ended, however it did."""
        self.opening -= 1

    @property
    def places(self) -> Mapping[int, Place]:
        """Where each destination is, by its number."""
        return self._places

    def address(self, number: int) -> Address | None:
        """Where a destination is, if it is known."""
        place = self._places.get(number)
        return place[0] if place is not None else None

    def send(
        self,
        number: int,
        operation: Operation | None,
        timeout_s: float,
        done: Done,
        began: Began | None = None,
        handed: Callable[[], None] | None = None,
        fence: Callable[[], bool] | None = None,
    ) -> RouteStep:
        """Begin a route step (None: a probe); `done` is called once, never before this returns.

        `began`: a long answer begins. `handed`: the last byte of a long operation was handed over. `fence`:
        asked right before the first byte, whether it may still go.
        """
        step = RouteStep(self, operation, timeout_s, done, began, handed, fence)
        while idle := self._idle.get(number):
            # Guards against a close right behind an answer, which a reset would show too late, and against a
            # second answer right behind it, which would be taken for the next operation's.
            now = self.net.now_s()
            link = next((one for one in reversed(idle) if one.idle_since <= now - RIPE_S), None)
            if link is None:  # sooner ripe than another would be up
                link = idle[0]
                self._take(link)
                self.net.loop.call_later(link.idle_since + RIPE_S - now, self._ripe, link, step)
                return step
            self._take(link)
            if self._reuse(link, step):
                return step
        self._open(number, step)
        return step

    def _reuse(self, link: Link, step: RouteStep) -> bool:
        """Send a route step on an idle connection; False, and it is closed, where that is of no use."""
        if self.net.now_s() - link.idle_since < self._idle_s and link.quiet:
            self.counters.add("connections_reused")
            link.carry(step)
            return True
        link.drop()
        return False

    def _ripe(self, link: Link, step: RouteStep) -> None:
        """An idle connection that was kept for a route step has stood long enough."""
        if step.over:
            if link in self.links:
                self._rest(link)
        elif not (link in self.links and self._reuse(link, step)):
            self._open(link.number, step)

    def _open(self, number: int, step: RouteStep) -> None:
        place = self._places.get(number)
        if place is None:
            self.net.loop.call_soon(step.end, StepResult(Outcome.CONNECT_FAILED))
            return
        # Guards against running out of descriptors: idle connections make room.
        while self.count >= self._most and self._by_age:
            self._shed()
        if self.count >= self._most:
            self.log.note("descriptors", f"{self.count} connections to destinations are all busy")
            self.net.loop.call_soon(step.end, StepResult(NO_ROOM))
        else:
            step.connect(number, place)

    def is_exhausted(self, problem: OSError) -> bool:
        """Whether we ran out of descriptors; if so idle connections make room."""
        if problem.errno not in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM):
            return False
        for _ in range(16):
            if self._by_age:
                self._shed()
        return True

    def put_idle(self, link: Link) -> None:
        """A connection waits for its next route step."""
        link.idle_since = self.net.now_s()
        self._rest(link)

    def _rest(self, link: Link) -> None:
        if self._places.get(link.number) != link.place:
            link.drop()  # its process is gone meanwhile
            return
        self._idle.setdefault(link.number, []).append(link)
        self._by_age[link] = None
        if self._sweeper is None:
            self._sweeper = self.net.loop.call_later(self._idle_s, self._sweep)

    def joined(self, link: Link) -> None:
        """A connection has come up."""
        self.links[link] = None

    def forget(self, link: Link) -> None:
        """A connection is no longer of use."""
        self.links.pop(link, None)
        self._take(link)

    def _take(self, link: Link) -> None:
        if link in self._by_age:
            del self._by_age[link]
            idle = self._idle[link.number]
            idle.remove(link)
            if not idle:
                del self._idle[link.number]

    def _shed(self) -> None:
        next(iter(self._by_age)).drop()

    def _sweep(self) -> None:
        while self._by_age:
            oldest = next(iter(self._by_age))
            if self.net.now_s() - oldest.idle_since < self._idle_s:
                break
            oldest.drop()
        self._sweeper = None
        if self._by_age:
            due = next(iter(self._by_age)).idle_since + self._idle_s - self.net.now_s()
            self._sweeper = self.net.loop.call_later(max(due, SWEEP_S), self._sweep)

    def close(self) -> None:
        """Close all."""
        if self._sweeper is not None:
            self._sweeper.cancel()
        for link in list(self.links):
            link.drop()
