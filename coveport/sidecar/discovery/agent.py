"""The pool config: asks discovery, watches it, redials it, and follows it where it moves."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Callable

from coveport import http1
from coveport.net.address import Address
from coveport.net.transport import Net
from coveport.sidecar.discovery.reader import PoolReader, PoolUpdate
from coveport.sidecar.telemetry.counters import Counters
from coveport.sidecar.telemetry.log import Log

PATH = "/catalog/members"
# A change counts as told 6 s after discovery had it and could be reached, whatever failed meanwhile. So a
# watch that falls silent, a connect that hangs and a call that hangs, one after the other, each with the
# longest pause behind it, are over within that: 1.5 + 0.5 + 1.0 + 1.5 s and thrice 0.45 s.
WATCH_MS = 1500  # how long a watch waits for news
AGAIN_MS = 1000  # ... right after a failure, so that it takes no longer than a call that need not wait
GRACE_S = 0.5  # how much longer than its wait a call may take; discovery goes silent without closing
DIAL_S = 1.0  # how long a connect may take: as long as the system waits before it asks once more
FIRST_S = 1.5  # how long a call that need not wait may take: an overbooked discovery answers in turn
EMPTY_S = 0.1  # a watch that tells nothing and did not wait this long is followed by the next after it
RETRY_S = (0.02, 0.1, 0.3)  # mean pauses after the first, second and further failures in a row
SPREAD = 0.5  # how much more or less a pause may be, as a part of it
OLDER_MOST = 3  # lists older than ours that are passed over before discovery is held to have begun anew
MOST_BYTES = 4 * 1024 * 1024


class _Call(asyncio.BufferedProtocol):
    """A connection to discovery, which carries one call at a time."""

    def __init__(self, ended: Callable[[http1.Response | None], None], log: Log) -> None:
        self._ended = ended
        self._log = log
        self._buffer = memoryview(bytearray(16 * 1024))
        # A list of destinations may be larger than an operation's body.
        self._body = http1.ResponseParser(MOST_BYTES)
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
        except http1.RemoteProtocolError as problem:
            self._log.note("pool config", f"garbled answer: {problem}")
            self._ended(None)
            return
        if response is not None:
            self._ended(response)

    def eof_received(self) -> bool:
        self._ended(self._body.receive_eof())
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._ended(None)


class _Agent:
    """One discovery: asks it, watches it, and redials where it fails or goes silent."""

    def __init__(
        self,
        net: Net,
        address: Address,
        reader: PoolReader,
        tell: Callable[[PoolUpdate | None], None],
        counters: Counters,
        log: Log,
        *,
        must_ask: bool,
        chance: random.Random,
    ) -> None:
        self._net = net
        self._address = address
        self._reader = reader
        self._tell = tell
        self._counters = counters
        self._log = log
        self._must_ask = must_ask
        self._chance = chance
        self._call: _Call | None = None
        self._dialing: asyncio.Task[None] | None = None  # set while a connect is under way
        self._busy = False
        self._sequence: int | None = None  # the version that is known
        self._garbled = False  # what came last could not be used: the whole list is wanted next
        self._confirmed = False  # it has told us something since we began
        self._watching = self._asked_whole = self._closed = False
        self._failures = 0
        self._older = 0
        self._called_at = 0.0
        self._bound: asyncio.TimerHandle | None = None

    def answers_asked(self) -> None:
        """From here on it asks only when told to, where the list comes only to those who ask."""
        self._must_ask = True

    def follow(self, version: int) -> None:
        """Ask only for what has changed since a list of that version, which is known already."""
        self._sequence = version

    @property
    def watching(self) -> bool:
        """Whether all changes are wanted."""
        return self._watching

    def ask(self, *, whole: bool) -> None:
        """Ask for the whole list once, or for all changes from now on."""
        if whole:
            self._asked_whole = True
        else:
            self._watching = True
        if not self._busy:
            self._next()

    def catch_up(self) -> None:
        """Take in what has come already, not in a later turn."""
        if self._busy and self._call is not None and self._call.transport is not None:
            self._net.read_now(self._call.transport)

    def close(self) -> None:
        """Stop asking."""
        self._closed = True
        self._hang_up()

    def _next(self) -> None:
        if self._closed or not (self._watching or self._asked_whole):
            return
        self._busy = True
        self._dialing = self._net.loop.create_task(self._make_call())

    @property
    def _wants_whole(self) -> bool:
        return self._sequence is None or self._asked_whole or self._garbled

    async def _make_call(self) -> None:
        if self._call is None:
            self._arm(DIAL_S)
            call = _Call(lambda response: self._ended(call, response), self._log)
            self._call = call
            try:
                await self._net.dial(lambda: call, self._address)
            except OSError as problem:
                self._dialing = None
                self._failed(call, f"no connection: {problem}")
                return
        self._dialing = None
        if self._call is None:
            return  # closed meanwhile
        call, transport = self._call, self._call.transport
        if transport is None or transport.is_closing():
            self._failed(call, "the connection has ended")
            return
        target = PATH
        if self._wants_whole:
            self._arm(FIRST_S)
        else:
            # The first need not wait for news: who starts from a known list wants to hear that it holds.
            wait_ms = 0 if not self._confirmed else AGAIN_MS if self._failures else WATCH_MS
            target += f"?after={self._sequence}&wait_ms={wait_ms}"
            self._arm(wait_ms / 1000 + GRACE_S if wait_ms else FIRST_S)
        self._counters.add("pool_calls")
        self._called_at = self._net.now_s()
        host = f"{self._address[0]}:{self._address[1]}"
        transport.write(http1.write_request("GET", target, [("Host", host)]))

    def _arm(self, seconds: float) -> None:
        if self._bound is not None:
            self._bound.cancel()
        # Guards against a discovery that goes silent without closing: no wait is open-ended.
        self._bound = self._net.loop.call_later(seconds, self._silent)

    def _silent(self) -> None:
        if self._call is not None:
            self._failed(self._call, "silent for too long", broken=True)

    def _ended(self, call: _Call, response: http1.Response | None) -> None:
        """A call has its answer, or its connection is gone."""
        if call is not self._call:
            return
        if not self._busy:  # nothing was asked: no failure, the next call dials again
            self._hang_up()
            return
        if response is None:
            self._failed(call, "the connection has ended", broken=True)
            return
        if response.status != 200:
            # Guards against a discovery that is short of time and is asked for more: what we have is good
            # still, and the changes since then cost it a line each where the whole list costs all of them.
            self._failed(call, f"status {response.status}")
            return
        try:
            update = self._read(json.loads(response.body))
        except (ValueError, RecursionError) as problem:
            # Guards against a garbled list: the last good one stays, and the whole is asked for.
            self._garbled = True
            self._failed(call, f"garbled: {problem}")
            return
        self._failures = 0
        self._busy = False
        self._asked_whole = False
        self._garbled = False
        if not response.keep_alive:
            self._hang_up()
        elif self._bound is not None:
            self._bound.cancel()
        self._sequence = update.update.version
        waited, self._confirmed = self._confirmed, True
        self._tell(update)
        if self._busy or self._closed:  # what was just told has made the module ask, or us move on
            return
        if update.update.entries or not waited or self._net.now_s() - self._called_at > EMPTY_S:
            self._next()
        else:
            # Guards against a discovery that doesn't wait: asked again at once, it would keep us busy.
            self._busy = True
            self._net.loop.call_later(EMPTY_S, self._next)

    def _read(self, told: object) -> PoolUpdate:
        """Read a list; ValueError where it is garbled, not what was asked for, or older than ours."""
        known = self._sequence
        if known is not None and isinstance(told, dict) and isinstance(told.get("seq"), int):
            # Guards against a stale copy that takes back what is known; one that goes on is no stale copy.
            if told["seq"] < known and self._older < OLDER_MOST:
                self._older += 1
                raise ValueError(f"version {told['seq']}, older than version {known} that is known")
            self._older = 0
        if self._wants_whole and isinstance(told, dict) and told.get("whole") is False:
            raise ValueError("changes, where the whole list was asked for")
        return self._reader.read(told)

    def _failed(self, call: _Call, text: str, broken: bool = False) -> None:
        if call is not self._call:
            return
        self._log.note("pool config", text)
        self._counters.add("pool_failures")
        self._hang_up()
        # Spread, as whatever fails here fails for all sidecars at the same moment.
        pause = RETRY_S[min(self._failures, len(RETRY_S) - 1)] * self._chance.uniform(1 - SPREAD, 1 + SPREAD)
        # A watch that ends or tells nothing any more is broken, which is no refusal: it is opened anew at
        # once, also where whoever asks does so in its own time.
        anew = broken and self._confirmed and not self._failures
        self._failures += 1
        self._busy = True
        if self._must_ask and not anew:
            # Whoever asks is told of the failure and asks again in its own time.
            self._watching = self._asked_whole = self._busy = False
            self._tell(None)
        elif not self._closed:
            self._net.loop.call_later(pause, self._next)

    def _hang_up(self) -> None:
        call, self._call = self._call, None
        dialing, self._dialing = self._dialing, None
        if dialing is not None:
            # Guards against one descriptor more for each connect that hangs, and one that comes up after all.
            dialing.cancel()
        if self._bound is not None:
            self._bound.cancel()
            self._bound = None
        if call is not None and call.transport is not None:
            call.transport.abort()


class PoolConfig:
    """Where the pool config comes from: one discovery, and while it moves its successor beside it."""

    def __init__(
        self,
        net: Net,
        address: Address,
        reader: PoolReader,
        tell: Callable[[PoolUpdate | None], None],
        counters: Counters,
        log: Log,
        *,
        must_ask: bool,
        seed: int = 0,
    ) -> None:
        self._net = net
        self._reader = reader
        self._tell = tell
        self._counters = counters
        self._log = log
        self._must_ask, self._closed, self._chance = must_ask, False, random.Random(seed)
        self._agent = _Agent(
            net, address, reader, tell, counters, log, must_ask=must_ask, chance=self._chance
        )
        self._next: _Agent | None = None

    def start(self) -> None:
        """Begin to watch, unless the list comes only to those who ask."""
        if not self._must_ask:
            self._agent.ask(whole=False)

    def follow(self, version: int) -> None:
        """Begin from a list of that version, which is known already."""
        self._agent.follow(version)

    def ask(self, *, whole: bool) -> None:
        """Ask for the whole list once, or for all changes from now on."""
        self._agent.ask(whole=whole)

    def move(self, address: Address) -> None:
        """Ask there from now on; until the whole list has come from there the present one goes on."""
        if self._closed:
            return
        if self._next is not None:
            self._next.close()  # guards against several moves in a row: only the last one counts

        def told(update: PoolUpdate | None) -> None:
            if agent is self._next:
                # Guards against news of the old one after the new one's list: their versions differ.
                before, self._agent, self._next = self._agent, agent, None
                before.close()
                if self._must_ask:
                    agent.answers_asked()
                if before.watching:
                    agent.ask(whole=False)
            if agent is self._agent:
                self._tell(update)

        # It asks on until it is answered, though nobody has asked us: the list may have changed there.
        agent = _Agent(
            self._net,
            address,
            self._reader,
            told,
            self._counters,
            self._log,
            must_ask=False,
            chance=self._chance,
        )
        self._next = agent
        agent.ask(whole=True)

    def catch_up(self) -> None:
        """Take in what has come already, not in a later turn."""
        for agent in (self._agent, self._next):
            if agent is not None:
                agent.catch_up()

    def close(self) -> None:
        """Stop asking."""
        self._closed = True
        self._agent.close()
        if self._next is not None:
            self._next.close()
