"""The pool config: discovery's list of destinations, from the one known at the start to the newest."""

from __future__ import annotations

import asyncio
import json
import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from coveport import http1, log
from coveport.config import Address, parse_address
from coveport.counters import Counters
from micaflow import interface as api

PATH = "/catalog/members"
WATCH_MS = 3000  # short: what discovery has to tell counts as told soon after a wait should have ended
EMPTY_S = 0.1  # a watch that tells nothing and did not wait this long is followed by the next after it
GRACE_S = 0.7  # how much longer than its wait a call may take; discovery goes silent without closing
FIRST_S = 1.0  # how long a call that need not wait may take
RETRY_S = (0.02, 0.1, 0.3)  # pauses after the first, second and further failures in a row
MOST_BYTES = 4 * 1024 * 1024

_STATES = {"active": api.State.READY, "leaving": api.State.DRAINING, "left": api.State.GONE}


@dataclass(slots=True)
class PoolUpdate:
    """A pool config as read: for the module, and where the destinations are (None: gone)."""

    update: api.ListUpdate
    addresses: list[tuple[int, Address | None]]


class PoolReader:
    """Reads discovery's form; gives destinations, zones and cells their numbers."""

    def __init__(self, zones: tuple[str, ...]) -> None:
        self._hosts: dict[str, int] = {}
        self._zones = {zone: number for number, zone in enumerate(zones)}
        self._cells: dict[str, int] = {}

    def read(self, told: Any, kind: api.ListKind | None = None) -> PoolUpdate:
        """Check and read all of it; ValueError where any of it is garbled."""
        try:
            hosts, version, whole = told["hosts"], told["seq"], told["whole"]
            if not isinstance(hosts, list) or type(version) is not int or type(whole) is not bool:
                raise ValueError("hosts, seq or whole is not what it should be")
            rows = [self._check(one) for one in hosts]
        except (KeyError, TypeError, AttributeError) as problem:
            raise ValueError(f"{type(problem).__name__}: {problem}") from problem
        if kind is None:
            kind = api.ListKind.FULL if whole else api.ListKind.DELTA
        entries, addresses = [], list[tuple[int, Address | None]]()
        for name, address, zone, cell, state, weight, born in rows:
            number = self._hosts.setdefault(name, len(self._hosts) + 1)
            entries.append(api.HostEntry(number, self._number(self._zones, zone),
                                         self._number(self._cells, cell), state, weight, born))
            addresses.append((number, None if state is api.State.GONE else address))
        return PoolUpdate(api.ListUpdate(kind, tuple(entries), version), addresses)

    @staticmethod
    def _check(one: Any) -> tuple[str, Address, Any, Any, api.State, float, float]:
        name, weight, born = one["host"], one.get("share", 1.0), one.get("born_ms", 0)
        if not isinstance(name, str) or not name:
            raise ValueError(f"host {name!r} is no name")
        for value in (weight, born):
            if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value < math.inf:
                raise ValueError(f"{name}: {value!r} is no figure")
        for value in (one["site"], one["block"]):
            if isinstance(value, bool) or not isinstance(value, int | str):
                raise ValueError(f"{name}: {value!r} is no site or block")
        # A state that is not known is treated as draining: nothing new goes there.
        state = _STATES.get(one["health"], api.State.DRAINING)
        return name, parse_address(one["dial"]), one["site"], one["block"], state, float(weight), float(born)

    @staticmethod
    def _number(table: dict[str, int], value: int | str) -> int:
        return value if isinstance(value, int) else table.setdefault(value, len(table))


class _Call(asyncio.BufferedProtocol):
    """A connection to discovery, which carries one call at a time."""

    def __init__(self, ended: Callable[[http1.Response | None], None]) -> None:
        self._ended = ended
        self._buffer = memoryview(bytearray(16 * 1024))
        self._body = _BigParser()
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def get_buffer(self, sizehint: int) -> memoryview:
        return self._buffer

    def buffer_updated(self, nbytes: int) -> None:
        try:
            self._body.feed(self._buffer[:nbytes])
            response = self._body.next_response()
        except http1.BadMessageError as problem:
            log.note("pool config", f"garbled answer: {problem}")
            self._ended(None)
            return
        if response is not None:
            self._ended(response)

    def eof_received(self) -> bool:
        self._ended(self._body.end())
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._ended(None)


class _BigParser(http1.ResponseParser):
    """A list of destinations may be larger than an operation's body."""

    most_body = MOST_BYTES


class PoolConfig:
    """Asks discovery, watches it, and redials where it fails or goes silent."""

    def __init__(self, loop: asyncio.AbstractEventLoop, address: Address, reader: PoolReader,
                 tell: Callable[[PoolUpdate | None], None], counters: Counters, *, must_ask: bool) -> None:
        self._loop, self._address, self._reader = loop, address, reader
        self._tell, self._counters, self._must_ask = tell, counters, must_ask
        self._call: _Call | None = None
        self._busy = False
        self._sequence: int | None = None  # None: the whole list is wanted next
        self._watching = self._asked_whole = self._closed = False
        self._failures, self._called_at = 0, 0.0
        self._bound: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Begin to watch, unless the list comes only to those who ask."""
        if not self._must_ask:
            self.ask(whole=False)

    def ask(self, *, whole: bool) -> None:
        """Ask for the whole list once, or for all changes from now on."""
        if whole:
            self._asked_whole = True
        else:
            self._watching = True
        if not self._busy:
            self._next()

    def close(self) -> None:
        """Stop asking."""
        self._closed = True
        self._hang_up()

    def _next(self) -> None:
        if self._closed or not (self._watching or self._asked_whole):
            return
        self._busy = True
        self._loop.create_task(self._make_call())

    async def _make_call(self) -> None:
        if self._call is None:
            self._arm(FIRST_S)
            call = _Call(lambda response: self._ended(call, response))
            self._call = call
            try:
                await self._loop.create_connection(lambda: call, *self._address)
            except OSError as problem:
                self._failed(call, f"no connection: {problem}")
                return
            if call is not self._call:
                # Guards against a connection that comes up after it was given up: another call is on.
                if call.transport is not None:
                    call.transport.abort()
                return
        call, transport = self._call, self._call.transport
        if transport is None or transport.is_closing():
            self._failed(call, "the connection has ended")
            return
        target = PATH
        if self._sequence is None or self._asked_whole:
            self._arm(FIRST_S)
        else:
            target += f"?after={self._sequence}&wait_ms={WATCH_MS}"
            self._arm(WATCH_MS / 1000 + GRACE_S)
        self._counters.add("pool_calls")
        self._called_at = self._loop.time()
        host = f"{self._address[0]}:{self._address[1]}"
        transport.write(http1.write_request("GET", target, [("Host", host)]))

    def _arm(self, seconds: float) -> None:
        if self._bound is not None:
            self._bound.cancel()
        # Guards against a discovery that goes silent without closing: no wait is open-ended.
        self._bound = self._loop.call_later(seconds, self._silent)

    def _silent(self) -> None:
        if self._call is not None:
            self._failed(self._call, "silent for too long")

    def _ended(self, call: _Call, response: http1.Response | None) -> None:
        """A call has its answer, or its connection is gone."""
        if call is not self._call:
            return
        if not self._busy:  # nothing was asked: no failure, the next call dials again
            self._hang_up()
            return
        if response is None:
            self._failed(call, "the connection has ended")
            return
        try:
            if response.status != 200:
                raise ValueError(f"status {response.status}")
            update = self._reader.read(json.loads(response.body))
        except (ValueError, RecursionError) as problem:
            # Guards against a garbled list: the last good one stays, and the whole is asked for.
            self._sequence = None
            self._failed(call, f"garbled: {problem}")
            return
        self._failures, self._busy, self._asked_whole = 0, False, False
        if not response.keep_alive:
            self._hang_up()
        elif self._bound is not None:
            self._bound.cancel()
        self._sequence = update.update.version
        self._tell(update)
        if self._busy:  # what was just told has made the module ask
            return
        if update.update.entries or self._loop.time() - self._called_at > EMPTY_S:
            self._next()
        else:
            # Guards against a discovery that doesn't wait: asked again at once, it would keep us busy.
            self._busy = True
            self._loop.call_later(EMPTY_S, self._next)

    def _failed(self, call: _Call, text: str) -> None:
        if call is not self._call:
            return
        log.note("pool config", text)
        self._counters.add("pool_failures")
        self._hang_up()
        pause = RETRY_S[min(self._failures, len(RETRY_S) - 1)]
        self._failures += 1
        self._busy = True
        if self._must_ask:
            # Whoever asks is told of the failure and asks again in its own time.
            self._watching = self._asked_whole = self._busy = False
            self._tell(None)
        elif not self._closed:
            self._loop.call_later(pause, self._next)

    def _hang_up(self) -> None:
        call, self._call = self._call, None
        if self._bound is not None:
            self._bound.cancel()
            self._bound = None
        if call is not None and call.transport is not None:
            call.transport.abort()
