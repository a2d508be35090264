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

COUNT_WITHIN_S = 5.0
END_WITHIN_S = 3.0


class RoleProcess(LocalProcess):
    """A real coordinator or proxy."""

    @property
    def pid(self) -> int | None:
        """Return the process id; None when it does not run."""
        return self._process.pid if self._process is not None and self.is_up else None

    def usage(self) -> Usage | None:
        """Return the usage of the current incarnation; None when it does not run."""
        return None if self.pid is None else read_usage(self.pid)

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self._process is not None and self.is_up:
            self._process.send_signal(number)


class Worker:
    """A process of hollow proxies or nodes; `saw` receives the observations that they report."""

    def __init__(self, module: str, settings: Message, saw: Callable[[Message], None], log: Path) -> None:
        self._module = module
        self.settings = settings
        self._saw = saw
        self._log = log
        self.size = len(settings["addresses"])
        self._process: asyncio.subprocess.Process | None = None
        self._reading: asyncio.Task[None] | None = None
        self._counted: asyncio.Future[Message] | None = None

    async def start(self) -> None:
        """Start the process; its proxies or nodes wait for the command `start`."""
        with self._log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", self._module, json.dumps(self.settings), env=child_environment(),
                stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE, stderr=log,
                limit=MAX_MESSAGE_BYTES,
            )  # fmt: skip
        self._reading = asyncio.get_running_loop().create_task(self._read())

    def say(self, message: Message) -> None:
        """Send a command to the process."""
        process = self._process
        if process is not None and process.stdin is not None and not process.stdin.is_closing():
            process.stdin.write(json.dumps(message).encode() + b"\n")

    async def count(self) -> Message | None:
        """Request its counters; return None when they do not come in time."""
        self._counted = asyncio.get_running_loop().create_future()
        self.say({"do": "count"})
        try:
            async with asyncio.timeout(COUNT_WITHIN_S):
                return await self._counted
        except TimeoutError:
            return None

    def usage(self) -> Usage:
        """Return the usage of the process; zero when it does not run."""
        usage = None if self._process is None else read_usage(self._process.pid)
        return usage or Usage(0.0, 0.0)

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    async def end(self) -> None:
        """End it; it goes by itself once its pipe is closed."""
        if self._process is None:
            return
        self.send(signal.SIGCONT)
        if self._process.stdin is not None:
            self._process.stdin.close()
        try:
            async with asyncio.timeout(END_WITHIN_S):
                await self._process.wait()
        except TimeoutError:
            with contextlib.suppress(ProcessLookupError):
                self._process.kill()
            await self._process.wait()
        if self._reading is not None:
            self._reading.cancel()

    async def _read(self) -> None:
        assert self._process is not None and self._process.stdout is not None
        while data := await self._process.stdout.readline():
            message: Message = json.loads(data)
            if "counted" not in message:
                self._saw(message)
            elif self._counted is not None and not self._counted.done():
                self._counted.set_result(message["counted"])
