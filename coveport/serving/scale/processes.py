"""Processes of a scale run: the real roles, and workers that hold many hollow proxies or nodes."""

from __future__ import annotations

import asyncio
import contextlib
import json
import signal
import sys
from collections.abc import Callable
from pathlib import Path

from coveport.serving.scale.meters import Usage, read_usage
from coveport.serving.scale.worker_messages import MAX_MESSAGE_BYTES, Message
from coveport.serving.simulation.local_processes import LocalProcess, child_environment

COUNT_TIMEOUT_S = 5.0
END_TIMEOUT_S = 3.0


class RoleProcess(LocalProcess):
    """A real coordinator or proxy."""

    def usage(self) -> Usage | None:
        """Return the usage of the current incarnation; None if it does not run."""
        return None if self.pid is None else read_usage(self.pid)


class Worker:
    """A process of hollow proxies or nodes; their observations are passed to `on_observation`."""

    def __init__(
        self, module: str, settings: Message, on_observation: Callable[[Message], None], log: Path
    ) -> None:
        self._module = module
        self.settings = settings
        self._on_observation = on_observation
        self._log = log
        self.size = len(settings["addresses"])
        self._process: asyncio.subprocess.Process | None = None
        self._reader_task: asyncio.Task[None] | None = None
        self._counters: asyncio.Future[Message] | None = None

    async def start(self) -> None:
        """Start the process; its proxies or nodes wait for the command `start`."""
        with self._log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", self._module, json.dumps(self.settings), env=child_environment(),
                stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE, stderr=log,
                limit=MAX_MESSAGE_BYTES,
            )  # fmt: skip
        self._reader_task = asyncio.get_running_loop().create_task(self._read())

    def send_command(self, message: Message) -> None:
        """Send a command to the process."""
        process = self._process
        if process is not None and process.stdin is not None and not process.stdin.is_closing():
            process.stdin.write(json.dumps(message).encode() + b"\n")

    async def count(self) -> Message | None:
        """Request the process's counters; return None if they do not arrive in time."""
        self._counters = asyncio.get_running_loop().create_future()
        self.send_command({"do": "count"})
        try:
            async with asyncio.timeout(COUNT_TIMEOUT_S):
                return await self._counters
        except TimeoutError:
            return None

    def usage(self) -> Usage:
        """Return the usage of the process; zero if it does not run."""
        usage = None if self._process is None else read_usage(self._process.pid)
        return usage or Usage(0.0, 0.0)

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    async def end(self) -> None:
        """Close the process's pipe, which ends it; kill it if it does not exit in time."""
        if self._process is None:
            return
        self.send_signal(signal.SIGCONT)
        if self._process.stdin is not None:
            self._process.stdin.close()
        try:
            async with asyncio.timeout(END_TIMEOUT_S):
                await self._process.wait()
        except TimeoutError:
            with contextlib.suppress(ProcessLookupError):
                self._process.kill()
            await self._process.wait()
        if self._reader_task is not None:
            self._reader_task.cancel()

    async def _read(self) -> None:
        assert self._process is not None and self._process.stdout is not None
        while data := await self._process.stdout.readline():
            message: Message = json.loads(data)
            if "counted" not in message:
                self._on_observation(message)
            elif self._counters is not None and not self._counters.done():
                self._counters.set_result(message["counted"])
