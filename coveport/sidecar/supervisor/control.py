"""The control socket: a Unix socket on which operators reach a supervisor, one JSON line each way."""

from __future__ import annotations

import asyncio
import json
import os
import socket
import struct
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from coveport.sidecar.config.operator_file import OperatorFile
from coveport.sidecar.supervisor.errors import ControlError

MAX_REQUEST_BYTES = 65536
MAX_ANSWER_BYTES = 1 << 24
REQUEST_TIMEOUT_S = 5.0  # from the connection to the client's request line
ROOT_UID = 0
_PEER_CREDENTIALS = struct.Struct("3i")  # PID, UID, GID

Message = dict[str, Any]  # a JSON object
Handler = Callable[[Message], Awaitable[Message]]


def control_path(operator_file: OperatorFile) -> Path:
    """Return the path of the control socket of this file's fleet."""
    return operator_file.fleet_folder / "control.sock"


class ControlServer:
    """Server that passes requests to a handler; it answers only processes of its own user and of root."""

    def __init__(self, path: Path, handle: Handler) -> None:
        self.path = path
        self._handle = handle
        self._server: asyncio.AbstractServer | None = None
        self._inode = 0

    async def open(self) -> None:
        """Listen; replace the socket of the supervisor that held the role before."""
        self.path.unlink(missing_ok=True)
        previous_umask = os.umask(0o177)
        try:
            self._server = await asyncio.start_unix_server(
                self._on_connection, str(self.path), limit=MAX_REQUEST_BYTES
            )
        finally:
            os.umask(previous_umask)
        self._inode = self.path.stat().st_ino

    async def _on_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            answer = await self._answer(reader, writer.get_extra_info("socket"))
            writer.write(json.dumps(answer).encode() + b"\n")
            await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, ValueError, TimeoutError):
            pass  # the client disconnected, or sent no request
        finally:
            writer.close()

    async def _answer(self, reader: asyncio.StreamReader, connection: socket.socket) -> Message:
        credentials = connection.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, _PEER_CREDENTIALS.size)
        _, uid, _ = _PEER_CREDENTIALS.unpack(credentials)
        if uid not in (ROOT_UID, os.getuid()):
            return {"ok": False, "said": "refused: another user's"}
        data = await asyncio.wait_for(reader.readline(), REQUEST_TIMEOUT_S)
        try:
            request = json.loads(data)
        except ValueError:
            return {"ok": False, "said": "refused: not a line of JSON"}
        if not isinstance(request, dict):
            return {"ok": False, "said": "refused: not an object"}
        return await self._handle(request)

    def close(self) -> None:
        """Stop listening; remove the socket's path unless a successor listens there."""
        if self._server is not None:
            self._server.close()
            self._server = None
        try:
            if self.path.stat().st_ino == self._inode:
                self.path.unlink()
        except OSError:
            pass


def call(path: Path, request: Message, timeout_s: float) -> Message:
    """Send a request to a supervisor and return its answer.

    Raises:
        OSError: no supervisor listens, or the answer does not arrive in time.
        ControlError: the connection was closed without an answer, or the answer is not a JSON object.

    """
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as connection:
        connection.settimeout(timeout_s)
        connection.connect(str(path))
        connection.sendall(json.dumps(request).encode() + b"\n")
        with connection.makefile("rb") as file:
            data = file.readline(MAX_ANSWER_BYTES)
    try:
        answer = json.loads(data)
    except ValueError as error:
        raise ControlError("the supervisor closed the connection before its answer was complete") from error
    if not isinstance(answer, dict):
        raise ControlError("the supervisor's answer is not a JSON object")
    return answer
