"""Connections to ledger nodes: connect, reuse, idle close, and one route step on each at a time."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import socket
from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from coveport.config.platform import Address
from coveport.discovery.agent import Place
from coveport.http1 import codec as http1
from coveport.net.sockets import is_quiet
from coveport.telemetry import log
from coveport.telemetry.counters import Counters
from micaflow.interface import Outcome

IDLE_SHARE = 0.8  # part of the keep-alive limit after which we close: theirs must never come first
TURNS_S = 0.01  # for what has come already to be looked at
RIPE_S = 0.003  # an idle connection that has stood so long is taken before one that has just had its answer
SWEEP_S = 0.25
# It has never run, and that we are short of descriptors must not count against the destination's health.
NO_ROOM = Outcome.FULL

# One buffer for all connections: what is read is taken out of it before the next read begins.
_INBOX = memoryview(bytearray(64 * 1024))


@dataclass(slots=True)
class StepResult:
    """How a route step ended, and what came back where a whole answer did."""

    outcome: Outcome
    response: http1.Response | None = None


Done = Callable[[StepResult], None]


def outcome_of(response: http1.Response) -> Outcome:
    """What a whole answer says."""
    if response.status == 200:
        return Outcome.OK
    if response.status in (503, 504) and response.headers.get("x-not-run") == ["1"]:
        return Outcome.FULL
    return Outcome.ERROR  # the cautious reading of all else: it may have run


class RouteStep:
    """One route step (or probe): from the connect to its end, which is told exactly once."""

    def __init__(self, pool: Destinations, request: bytes, timeout_s: float, done: Done) -> None:
        self._pool, self.request, self._done = pool, request, done
        self.link: Link | None = None
        self.connecting: asyncio.Task[object] | None = None
        self.handed = False  # the last byte was handed to an accepted connection: it may run from here on
        self.over = False
        self._timers = [pool.loop.call_later(timeout_s, self._expire, Outcome.TIMEOUT)]

    def connect(self, number: int, place: Place) -> None:
        """Open a connection for this route step."""
        self._timers.append(self._pool.loop.call_later(self._pool.connect_timeout_s, self._connect_late))
        self._pool.opening += 1
        self.connecting = self._pool.loop.create_task(self._connect(number, place))
        self.connecting.add_done_callback(self._pool.opened)

    async def _connect(self, number: int, place: Place) -> None:
        address = place[0]
        try:
            await self._pool.loop.create_connection(lambda: Link(self._pool, number, place, self), *address)
        except OSError as problem:
            self._pool.counters.add("connects_failed")
            if self._pool.is_exhausted(problem):
                log.note("descriptors", f"no connection to {address[0]}:{address[1]}: {problem}")
                self.end(StepResult(NO_ROOM))
            else:
                self.end(StepResult(Outcome.CONNECT_FAILED))

    def _connect_late(self) -> None:
        # Guards against taking our own lag for theirs: it may be up, and be seen in a few turns.
        self._timers.append(self._pool.loop.call_later(TURNS_S, self._connect_given_up))

    def _connect_given_up(self) -> None:
        if self.link is None:
            self._pool.counters.add("connects_late")
            self.end(StepResult(Outcome.CONNECT_FAILED))

    def _expire(self, outcome: Outcome) -> None:
        # Nothing whole was handed over: it can't have run, however the wait ended.
        self.end(StepResult(outcome if self.handed else Outcome.CONNECT_FAILED))

    def cancel(self) -> None:
        """Give it up; the connection goes with it."""
        self.end(StepResult(Outcome.CANCELLED))

    def broken(self) -> None:
        """The connection has broken before a whole answer came."""
        self.end(StepResult(Outcome.RESET if self.handed else Outcome.CONNECT_FAILED))

    def end(self, result: StepResult, keep: bool = False) -> None:
        """Say once how it ended; the connection is dropped unless it may be kept."""
        if self.over:
            return
        self.over = True
        for timer in self._timers:
            timer.cancel()
        if self.connecting is not None and self.link is None:
            self.connecting.cancel()  # a late connect must not send for an operation that is over
        link, self.link = self.link, None
        if link is not None:
            link.release(keep)
        self._done(result)


class Link(asyncio.BufferedProtocol):
    """One connection to a destination."""

    def __init__(self, pool: Destinations, number: int, place: Place, step: RouteStep) -> None:
        self._pool, self.number, self.place = pool, number, place
        self._step: RouteStep | None = step
        self._parser = http1.ResponseParser(pool.most_body)
        self._transport: asyncio.Transport | None = None
        self._unsent = False
        self.idle_since = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the route step that the connection was opened for."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        # With no room below, a pause says that bytes are still ours, and resume that all are handed over.
        transport.set_write_buffer_limits(high=0)
        step, self._step = self._step, None
        if step is None or step.over:  # guards against a late connect for what is over
            transport.abort()
            return
        self._pool.links.add(self)
        self._pool.counters.add("connects")
        self.carry(step)

    def carry(self, step: RouteStep) -> None:
        """Send a route step on this connection."""
        assert self._transport is not None
        self._step, step.link, self._unsent = step, self, False
        self._transport.write(step.request)
        step.handed = not self._unsent and not self._transport.is_closing()

    def pause_writing(self) -> None:
        """Not all is handed to the connection yet."""
        self._unsent = True

    def resume_writing(self) -> None:
        """The last byte has been handed over."""
        self._unsent = False
        if self._step is not None:
            self._step.handed = True

    def get_buffer(self, sizehint: int) -> memoryview:
        """Where to read to."""
        return _INBOX

    def buffer_updated(self, nbytes: int) -> None:
        """Read on in the answer."""
        step = self._step
        if step is None:  # guards against stray bytes: nobody knows what they would answer
            self.drop()
            return
        try:
            self._parser.feed(_INBOX[:nbytes])
            response = self._parser.next_response()
        except http1.BadMessageError as problem:
            log.note("garbled answer", "{}:{}: {}".format(*self.place[0], problem))
            self._pool.counters.add("answers_garbled")
            # Guards against trusting a garbled answer: a failed route step that may have run.
            step.end(StepResult(Outcome.ERROR if step.handed else Outcome.CONNECT_FAILED))
            return
        if response is not None:
            keep = response.keep_alive and step.handed and not self._parser.begun
            step.end(StepResult(outcome_of(response), response), keep)

    def eof_received(self) -> bool:
        """The destination ends; what was only waiting for that is whole now."""
        step = self._step
        if step is not None:
            response = self._parser.end()
            if response is not None:
                step.end(StepResult(outcome_of(response), response))
            else:
                step.broken()
        self.drop()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """It is gone, whoever ended it."""
        self._pool.forget(self)
        if self._step is not None:
            self._step.broken()

    def release(self, keep: bool) -> None:
        """The route step is over: wait for the next one, or close."""
        self._step = None
        if keep and self._transport is not None and not self._transport.is_closing():
            self._pool.put_idle(self)
        else:
            self.drop()

    def drop(self) -> None:
        """Close at once."""
        self._pool.forget(self)
        if self._transport is not None:
            # Guards against a resend that overtakes the close: abort alone closes in the loop's next turn,
            # and until then the route step given up would count as still out beside its successor.
            with contextlib.suppress(OSError):
                self._transport.get_extra_info("socket").shutdown(socket.SHUT_RDWR)
            self._transport.abort()

    @property
    def quiet(self) -> bool:
        """Whether nothing has come since the last answer: neither an end nor stray bytes."""
        # Guards against a connection that has just been closed: a reset would cost the operation.
        return self._transport is not None and is_quiet(self._transport)


class Destinations:
    """All destinations that the pool config names, and the connections to them."""

    def __init__(self, loop: asyncio.AbstractEventLoop, counters: Counters, *, keepalive_ms: float,
                 connect_timeout_ms: float, most_links: int, most_body: int) -> None:
        self.loop, self.counters = loop, counters
        self.connect_timeout_s = connect_timeout_ms / 1000
        self._idle_s = keepalive_ms / 1000 * IDLE_SHARE
        self._most, self.most_body = most_links, most_body
        self._places: dict[int, Place] = {}
        self._idle: dict[int, list[Link]] = {}  # by destination; the one used last at the end
        self._by_age: OrderedDict[Link, None] = OrderedDict()  # all idle ones, the oldest first
        self.links: set[Link] = set()
        self.opening = 0
        self._sweeper = loop.call_later(SWEEP_S, self._sweep)

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

    def opened(self, _task: asyncio.Task[object]) -> None:
        """An attempt to connect has ended, however it did."""
        self.opening -= 1

    def address(self, number: int) -> Address | None:
        """Where a destination is, if it is known."""
        place = self._places.get(number)
        return place[0] if place is not None else None

    def send(self, number: int, request: bytes, timeout_s: float, done: Done) -> RouteStep:
        """Begin a route step; `done` is called once, never before this returns."""
        step = RouteStep(self, request, timeout_s, done)
        place = self._places.get(number)
        if place is None:
            self.loop.call_soon(step.end, StepResult(Outcome.CONNECT_FAILED))
            return step
        while (idle := self._idle.get(number)):
            # Guards against the race with a close right behind an answer, which a reset would show too late.
            ripe = self.loop.time() - RIPE_S
            link = next((one for one in reversed(idle) if one.idle_since <= ripe), idle[-1])
            self._take(link)
            if self.loop.time() - link.idle_since < self._idle_s and link.quiet:
                self.counters.add("connections_reused")
                link.carry(step)
                return step
            link.drop()
        # Guards against running out of descriptors: idle connections make room.
        while self.count >= self._most and self._by_age:
            self._shed()
        if self.count >= self._most:
            log.note("descriptors", f"{self.count} connections to destinations are all busy")
            self.loop.call_soon(step.end, StepResult(NO_ROOM))
        else:
            step.connect(number, place)
        return step

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
        if self._places.get(link.number) != link.place:
            link.drop()  # its process is gone meanwhile
            return
        link.idle_since = self.loop.time()
        self._idle.setdefault(link.number, []).append(link)
        self._by_age[link] = None

    def forget(self, link: Link) -> None:
        """A connection is no longer of use."""
        self.links.discard(link)
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
            if self.loop.time() - oldest.idle_since < self._idle_s:
                break
            oldest.drop()
        self._sweeper = self.loop.call_later(SWEEP_S, self._sweep)

    def close(self) -> None:
        """Close all."""
        self._sweeper.cancel()
        for link in list(self.links):
            link.drop()
