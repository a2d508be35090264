"""Staff's way to a supervisor: a Unix socket of its user's own, a JSON line each way."""

from __future__ import annotations

import asyncio
import json
import os
import socket
import struct
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

MOST = 65536  # bytes of a request
ASK_S = 5.0  # how long a caller may take for its line
_PEER = struct.Struct("3i")

Answer = Callable[[dict[str, Any]], Awaitable[dict[str, Any]]]


class ControlServer:
    """Answers what staff ask. Only our own user, and root, are listened to."""

    def __init__(self, path: Path, answer: Answer) -> None:
        self.path = path
        self._answer = answer
        self._server: asyncio.AbstractServer | None = None
        self._inode = 0

    async def open(self) -> None:
        """Listen, in the place of whoever did before: the duty is ours."""
        self.path.unlink(missing_ok=True)
        before = os.umask(0o177)
        try:
            self._server = await asyncio.start_unix_server(self._came, str(self.path), limit=MOST)
        finally:
            os.umask(before)
        self._inode = self.path.stat().st_ino

    async def _came(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            said = await self._one(reader, writer.get_extra_info("socket"))
            writer.write(json.dumps(said).encode() + b"\n")
            await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, ValueError, TimeoutError):
            pass  # its caller went away, or brought nothing
        finally:
            writer.close()

    async def _one(self, reader: asyncio.StreamReader, one: socket.socket) -> dict[str, Any]:
        _, uid, _ = _PEER.unpack(one.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, _PEER.size))
        if uid not in (0, os.getuid()):
            return {"ok": False, "said": "refused: another user's"}
        line = await asyncio.wait_for(reader.readline(), ASK_S)
        try:
            told = json.loads(line)
        except ValueError:
            return {"ok": False, "said": "refused: not a line of JSON"}
        if not isinstance(told, dict):
            return {"ok": False, "said": "refused: not an object"}
        return await self._answer(told)

    def close(self) -> None:
        """Answer nothing more."""
        if self._server is not None:
            self._server.close()
            self._server = None
        try:
            if self.path.stat().st_ino == self._inode:  # else it is a successor's by now
                self.path.unlink()
        except OSError:
            pass


def call(path: Path, told: dict[str, Any], within_s: float) -> dict[str, Any]:
    """Ask a supervisor; OSError where there is none, or it does not answer in time."""
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as one:
        one.settimeout(within_s)
        one.connect(str(path))
        one.sendall(json.dumps(told).encode() + b"\n")
        with one.makefile("rb") as file:
            line = file.readline(1 << 24)
    try:
        said = json.loads(line)
    except ValueError as problem:
        raise OSError("the supervisor went away in the middle") from problem
    if not isinstance(said, dict):
        raise OSError("the supervisor's answer is none")
    return said
