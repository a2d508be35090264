"""The admin listener: serves few connections at a time, with one command and one response each."""

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

COMMAND_TIMEOUT_S = 2.0  # time-out from the connect until the command's line is complete
PROTECTED_S = 0.1  # time after connect or response in which a connection isn't closed for a new connection
LINGER_S = 0.5  # time for an operator to read the response and close the connection
MAX_PENDING_ACCEPTS = 64  # backlog of the listening socket
ACCEPTS_PER_TURN = 8  # connections accepted per turn of the event loop

# Shared by all connections, because the buffer is emptied before the next read.
_READ_BUFFER = memoryview(bytearray(4096))

CommandResult = str | Iterable[str] | None
"""The result of a command: a str is the reason of its rejection, an iterable its report; None: done."""


class _Connection(asyncio.BufferedProtocol):
    """One operator's connection."""

    def __init__(self, server: AdminServer) -> None:
        self._server = server
        self._buffer = bytearray()
        self._transport: asyncio.Transport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._is_answered = False
        self.last_active_at = 0.0  # time of the connect or of the response, in seconds of the loop's clock

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self.last_active_at = self._server.net.now_s()
        self._timer = self._server.net.loop.call_later(COMMAND_TIMEOUT_S, self._time_out)
        self._server.add(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        return _READ_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        if not self._is_answered:  # bytes after the command's line are read and dropped
            self._buffer += _READ_BUFFER[:nbytes]
            self._read_command(is_eof=False)

    def eof_received(self) -> bool:
        if self._is_answered:
            return False
        self._read_command(is_eof=True)
        return True  # a client that has closed its sending side still reads the response

    def _read_command(self, *, is_eof: bool) -> None:
        try:
            command = codec.read_command(self._buffer, is_eof=is_eof)
        except BadCommandError as error:
            self._respond(codec.write_nak(str(error)))
            return
        if command is not None:
            self._respond(self._server.execute(command))

    def _time_out(self) -> None:
        self._respond(codec.write_nak("no line came"))

    def _respond(self, data: bytes) -> None:
        self._is_answered = True
        self.last_active_at = self._server.net.now_s()
        self._server.set_answered(self)
        assert self._timer is not None
        assert self._transport is not None
        self._timer.cancel()
        self._timer = self._server.net.loop.call_later(LINGER_S, self.close)
        # The write may fail because the operator has disconnected meanwhile.
        with contextlib.suppress(OSError):
            self._transport.write(data)
            self._transport.write_eof()

    def connection_lost(self, exc: Exception | None) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._server.remove(self)

    @property
    def is_quiet(self) -> bool:
        """Whether no received bytes are waiting to be read."""
        return self._transport is not None and self._server.net.is_quiet(self._transport)

    def close(self) -> None:
        """Close the connection at once."""
        self._server.remove(self)
        if self._transport is not None:
            self._transport.abort()


class AdminServer:
    """Accepts operators' connections and dispatches their commands.

    `max_connections`: the limit of open connections; connections of the last `PROTECTED_S` may exceed it.
    `commands`: the handler of each command; if a handler raises an exception, the response is a rejection.
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
        # Connections whose command has not arrived yet; oldest first.
        self._waiting: dict[_Connection, None] = {}
        self._answered: dict[_Connection, None] = {}
        self._listening: Listening | None = None

    async def open(self, address: Address) -> int:
        """Listen and return the port that was bound; raise OSError if the address can't be bound."""
        self._listening = await self.net.listen(
            lambda: _Connection(self),
            address,
            accepts_per_turn=ACCEPTS_PER_TURN,
            backlog=MAX_PENDING_ACCEPTS,
        )
        return self._listening.port

    def add(self, connection: _Connection) -> None:
        """Add a connection; above the limit, close an answered connection or else the oldest waiting one."""
        # The limit guards against clients that stay connected without a command and lock other operators out.
        # The command of a new connection is probably in flight, so up to twice the limit may stay open.
        count = len(self._waiting) + len(self._answered)
        if count >= self._max_connections:
            protected_since = self.net.now_s() - PROTECTED_S
            candidates = (*self._answered, *self._waiting)
            closing = next(
                (each for each in candidates if each.last_active_at < protected_since and each.is_quiet), None
            )
            if closing is None and count >= 2 * self._max_connections:
                closing = next(iter(self._waiting or self._answered))
            if closing is not None:
                closing.close()
        self._waiting[connection] = None

    def set_answered(self, connection: _Connection) -> None:
        """Record that a connection has got its response."""
        self._waiting.pop(connection, None)
        self._answered[connection] = None

    def remove(self, connection: _Connection) -> None:
        """Remove a closed connection."""
        self._waiting.pop(connection, None)
        self._answered.pop(connection, None)

    def execute(self, command: Command) -> bytes:
        """Execute a command and return the response."""
        self._counters.add(f"console_{command.value.lower()}")
        try:
            result = self._commands[command]()
        except Exception as error:  # noqa: BLE001  # the response is a rejection; the sidecar goes on
            self._log.note("console", f"{command.value}: {error!r}")
            return codec.write_nak(f"a fault: {type(error).__name__}")
        return codec.write_nak(result) if isinstance(result, str) else codec.write_ack(result)

    def close(self) -> None:
        """Stop listening and close all connections."""
        if self._listening is not None:
            self._listening.close()
        for connection in [*self._waiting, *self._answered]:
            connection.close()
