"""The admin listener: a few connections at a time, one command each, an answer and a close."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Iterable, Mapping

from coveport.net.address import Address
from coveport.net.transport import Listening, Net
from coveport.sidecar.admin import codec
from coveport.sidecar.admin.codec import Command
from coveport.sidecar.admin.errors import BadCommandError
from coveport.sidecar.telemetry.counters import Counters
from coveport.sidecar.telemetry.log import Log

COMMAND_TIMEOUT_S = 2.0  # from the connect until the command's line is complete
FRESH_S = 0.1  # a connection just made, or just answered, is not closed for others within this
LINGER_S = 0.5  # for an operator to read the answer and close
MAX_PENDING_ACCEPTS = 64  # connections that may wait to be accepted
ACCEPTS_PER_TURN = 8  # of the loop

_INBOX = memoryview(bytearray(4096))  # shared: what is read is taken out before the next read

CommandResult = str | Iterable[str] | None
"""What a command returns: the reason of a refusal, rows to report, or None: done."""


class _Connection(asyncio.BufferedProtocol):
    """One operator's connection."""

    def __init__(self, server: AdminServer) -> None:
        self._server = server
        self._buffer = bytearray()
        self._transport: asyncio.Transport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._is_answered = False
        self.since = 0.0  # when it was made, or answered

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self.since = self._server.net.now_s()
        self._timer = self._server.net.loop.call_later(COMMAND_TIMEOUT_S, self._time_out)
        self._server.add(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        return _INBOX

    def buffer_updated(self, nbytes: int) -> None:
        if not self._is_answered:  # what follows the line is read and dropped
            self._buffer += _INBOX[:nbytes]
            self._read_command(is_eof=False)

    def eof_received(self) -> bool:
        if self._is_answered:
            return False
        self._read_command(is_eof=True)
        return True  # who has sent a line and ended still reads

    def _read_command(self, *, is_eof: bool) -> None:
        try:
            command = codec.read_command(self._buffer, is_eof=is_eof)
        except BadCommandError as error:
            self._answer(codec.write_nak(str(error)))
            return
        if command is not None:
            self._answer(self._server.execute(command))

    def _time_out(self) -> None:
        self._answer(codec.write_nak("no line came"))

    def _answer(self, data: bytes) -> None:
        self._is_answered = True
        self.since = self._server.net.now_s()
        self._server.set_answered(self)
        assert self._timer is not None
        assert self._transport is not None
        self._timer.cancel()
        self._timer = self._server.net.loop.call_later(LINGER_S, self.close)
        # Guards against an operator that has disconnected meanwhile.
        with contextlib.suppress(OSError):
            self._transport.write(data)
            self._transport.write_eof()

    def connection_lost(self, exc: Exception | None) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._server.remove(self)

    @property
    def is_quiet(self) -> bool:
        """Whether nothing waits to be read."""
        return self._transport is not None and self._server.net.is_quiet(self._transport)

    def close(self) -> None:
        """Close at once."""
        self._server.remove(self)
        if self._transport is not None:
            self._transport.abort()


class AdminServer:
    """Accepts operators and has their commands executed; decides nothing.

    `max_connections`: at a time, not counting those of the last moment. `commands`: what executes each; an
    exception there is answered with a refusal.
    """

    def __init__(
        self,
        net: Net,
        counters: Counters,
        log: Log,
        *,
        max_connections: int,
        commands: Mapping[Command, Callable[[], CommandResult]],
    ) -> None:
        self.net = net
        self._counters = counters
        self._log = log
        self._max_connections = max_connections
        self._commands = commands
        self._waiting: dict[_Connection, None] = {}  # without a command yet, the longest connected first
        self._answered: dict[_Connection, None] = {}
        self._listening: Listening | None = None

    async def open(self, address: Address) -> int:
        """Listen and return the port that was bound; OSError where that can't be."""
        self._listening = await self.net.listen(
            lambda: _Connection(self),
            address,
            accepts_per_turn=ACCEPTS_PER_TURN,
            backlog=MAX_PENDING_ACCEPTS,
        )
        return self._listening.port

    def add(self, connection: _Connection) -> None:
        """Add a connection; where there are too many, close an answered one or the longest silent."""
        # Guards against operators that stay connected without a command: they would keep others out. The line
        # of those that have just connected is on its way, so up to twice as many are left alone.
        count = len(self._waiting) + len(self._answered)
        if count >= self._max_connections:
            before = self.net.now_s() - FRESH_S
            candidates = (*self._answered, *self._waiting)
            closing = next((each for each in candidates if each.since < before and each.is_quiet), None)
            if closing is None and count >= 2 * self._max_connections:
                closing = next(iter(self._waiting or self._answered))
            if closing is not None:
                closing.close()
        self._waiting[connection] = None

    def set_answered(self, connection: _Connection) -> None:
        """Note that a connection has its answer."""
        self._waiting.pop(connection, None)
        self._answered[connection] = None

    def remove(self, connection: _Connection) -> None:
        """Remove a connection that is gone."""
        self._waiting.pop(connection, None)
        self._answered.pop(connection, None)

    def execute(self, command: Command) -> bytes:
        """Execute a command and return its answer."""
        self._counters.add(f"console_{command.value.lower()}")
        try:
            result = self._commands[command]()
        except Exception as error:  # noqa: BLE001  # a fault in any figure is answered; everything else goes on
            self._log.note("console", f"{command.value}: {error!r}")
            return codec.write_nak(f"a fault: {type(error).__name__}")
        return codec.write_nak(result) if isinstance(result, str) else codec.write_ack(result)

    def close(self) -> None:
        """Stop listening; close all connections."""
        if self._listening is not None:
            self._listening.close()
        for connection in [*self._waiting, *self._answered]:
            connection.close()
