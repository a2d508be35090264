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
from coveport.serving.scale.worker_lines import LINE_MOST, Line
from coveport.serving.simulation.local_processes import LocalProcess, own_variables

COUNT_WITHIN_S = 5.0
END_WITHIN_S = 3.0


class RoleProcess(LocalProcess):
    """A real coordinator or proxy."""

    @property
    def pid(self) -> int | None:
        """Its process id while it runs."""
        return self._process.pid if self._process is not None and self.is_up else None

    def usage(self) -> Usage | None:
        """What its present life has used."""
        return None if self.pid is None else read_usage(self.pid)

    def send(self, number: signal.Signals) -> None:
        """Send it a signal."""
        if self._process is not None and self.is_up:
            self._process.send_signal(number)


class Worker:
    """A process of hollow proxies or nodes; `saw` takes what they say unasked."""

    def __init__(self, module: str, told: Line, saw: Callable[[Line], None], log: Path) -> None:
        self._module = module
        self.told = told
        self._saw = saw
        self._log = log
        self.size = len(told["addresses"])
        self._process: asyncio.subprocess.Process | None = None
        self._reading: asyncio.Task[None] | None = None
        self._counted: asyncio.Future[Line] | None = None

    async def start(self) -> None:
        """Run it; its proxies or nodes wait for `start`."""
        with self._log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", self._module, json.dumps(self.told), env=own_variables(),
                stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE, stderr=log, limit=LINE_MOST,
            )  # fmt: skip
        self._reading = asyncio.get_running_loop().create_task(self._read())

    def say(self, line: Line) -> None:
        """Tell it to do something."""
        process = self._process
        if process is not None and process.stdin is not None and not process.stdin.is_closing():
            process.stdin.write(json.dumps(line).encode() + b"\n")

    async def count(self) -> Line | None:
        """Its own figures; None where it doesn't tell in time."""
        self._counted = asyncio.get_running_loop().create_future()
        self.say({"do": "count"})
        try:
            async with asyncio.timeout(COUNT_WITHIN_S):
                return await self._counted
        except TimeoutError:
            return None

    def usage(self) -> Usage:
        """What it has used."""
        usage = None if self._process is None else read_usage(self._process.pid)
        return usage or Usage(0.0, 0.0)

    def send(self, number: signal.Signals) -> None:
        """Send it a signal."""
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
            line: Line = json.loads(data)
            if "counted" not in line:
                self._saw(line)
            elif self._counted is not None and not self._counted.done():
                self._counted.set_result(line["counted"])
