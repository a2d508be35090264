"""The console's listener: a few callers at a time, one line each, an answer and a close."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Iterable, Mapping

from coveport.net.address import Address
from coveport.net.transport import Listening, Net
from coveport.sidecar.admin import codec
from coveport.sidecar.admin.codec import Call
from coveport.sidecar.telemetry.counters import Counters
from coveport.sidecar.telemetry.log import Log

SILENT_S = 2.0  # how long a caller may take to send its line
FRESH_S = 0.1  # how long who has just come, or has just been answered, is not taken for somebody who stays
LINGER_S = 0.5  # how long a caller may take to take its answer and go
WAITING_MOST = 64  # callers that may wait to be accepted
ACCEPT_MOST = 8  # callers accepted in one turn of the loop

_INBOX = memoryview(bytearray(4096))  # shared: what is read is taken out before the next read

Done = str | Iterable[str] | None
"""What came of a call: a reason why not, rows that it tells, or None: done."""


class _Caller(asyncio.BufferedProtocol):
    """One caller's connection."""

    def __init__(self, console: Console) -> None:
        self._console = console
        self._held = bytearray()
        self._transport: asyncio.Transport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self.answered = False
        self.since = 0.0  # when it came, or had its answer

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self.since = self._console.net.now_s()
        self._timer = self._console.net.loop.call_later(SILENT_S, self._silent)
        self._console.came(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        return _INBOX

    def buffer_updated(self, nbytes: int) -> None:
        if not self.answered:  # what comes behind the line is read and thrown away
            self._held += _INBOX[:nbytes]
            self._look(ended=False)

    def eof_received(self) -> bool:
        if self.answered:
            return False
        self._look(ended=True)
        return True  # a caller that has sent its line and ended still reads

    def _look(self, ended: bool) -> None:
        try:
            call = codec.read_call(self._held, ended)
        except codec.BadCallError as problem:
            self._answer(codec.write_no(str(problem)))
            return
        if call is not None:
            self._answer(self._console.answer(call))

    def _silent(self) -> None:
        self._answer(codec.write_no("no line came"))

    def _answer(self, data: bytes) -> None:
        self.answered, self.since = True, self._console.net.now_s()
        self._console.answered(self)
        assert self._timer is not None and self._transport is not None
        self._timer.cancel()
        self._timer = self._console.net.loop.call_later(LINGER_S, self.close)
        # Guards against a caller that has gone meanwhile.
        with contextlib.suppress(OSError):
            self._transport.write(data)
            self._transport.write_eof()

    def connection_lost(self, exc: Exception | None) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._console.gone(self)

    @property
    def quiet(self) -> bool:
        """Whether nothing of it waits to be read."""
        return self._transport is not None and self._console.net.is_quiet(self._transport)

    def close(self) -> None:
        """Close at once."""
        self._console.gone(self)
        if self._transport is not None:
            self._transport.abort()


class Console:
    """Takes callers in, and has each call done by who can; decides nothing.

    `most`: callers at a time, not counting those of the last moment. `calls`: what does each call; an
    exception there is answered with a no.
    """

    def __init__(
        self, net: Net, counters: Counters, log: Log, *, most: int, calls: Mapping[Call, Callable[[], Done]]
    ) -> None:
        self.net = net
        self._counters = counters
        self._log = log
        self._most = most
        self._calls = calls
        self._silent: dict[_Caller, None] = {}  # who has not asked yet, the longest connected first
        self._leaving: dict[_Caller, None] = {}  # who has its answer
        self._server: Listening | None = None

    async def open(self, address: Address) -> int:
        """Listen; the port that was bound. OSError where that can't be."""
        self._server = await self.net.listen(
            lambda: _Caller(self), address, accept_most=ACCEPT_MOST, waiting_most=WAITING_MOST
        )
        return self._server.port

    def came(self, caller: _Caller) -> None:
        """Somebody calls; where there are too many, one goes: who has its answer, or the longest silent."""
        # Guards against callers that stay without a word: they would keep others waiting. Of those that have
        # just come the line is on its way, so they are let be up to twice as many.
        count = len(self._silent) + len(self._leaving)
        if count >= self._most:
            before = self.net.now_s() - FRESH_S
            going = next(
                (one for one in (*self._leaving, *self._silent) if one.since < before and one.quiet), None
            )
            if going is None and count >= 2 * self._most:
                going = next(iter(self._silent or self._leaving))
            if going is not None:
                going.close()
        self._silent[caller] = None

    def answered(self, caller: _Caller) -> None:
        """A caller has its answer."""
        self._silent.pop(caller, None)
        self._leaving[caller] = None

    def gone(self, caller: _Caller) -> None:
        """A caller's connection is gone."""
        self._silent.pop(caller, None)
        self._leaving.pop(caller, None)

    def answer(self, call: Call) -> bytes:
        """Have a call done."""
        self._counters.add(f"console_{call.value.lower()}")
        try:
            done = self._calls[call]()
        except Exception as problem:
            # Guards against a fault in a figure: the caller hears of it, and everything else goes on.
            self._log.note("console", f"{call.value}: {problem!r}")
            return codec.write_no(f"a fault: {type(problem).__name__}")
        return codec.write_no(done) if isinstance(done, str) else codec.write_yes(done)

    def close(self) -> None:
        """Stop listening; who is there is cut off."""
        if self._server is not None:
            self._server.close()
        for caller in [*self._silent, *self._leaving]:
            caller.close()
