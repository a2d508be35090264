"""Processes that never outlive the lab: each ends with us, whatever becomes of us (Linux)."""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import os
import resource
import signal
import socket
import subprocess
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path
from types import TracebackType

PR_SET_PDEATHSIG = 1  # prctl(2)
GONE_S = 5.0  # a killed process is gone by then

# Looked up ahead: between fork and exec, a lock that another thread holds would stay locked.
_PRCTL = ctypes.CDLL(None).prctl


def _ends_with(parent: int, descriptors: int) -> Callable[[], None]:
    """What a child does before it becomes the program."""

    def prepare() -> None:
        _PRCTL(PR_SET_PDEATHSIG, signal.SIGKILL, 0, 0, 0)
        if os.getppid() != parent:  # guards against our death before the call
            os._exit(1)
        if descriptors:
            resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, descriptors))

    return prepare


class Child:
    """A process, in a group of its own."""

    def __init__(
        self, popen: subprocess.Popen[bytes], loop: asyncio.AbstractEventLoop, on_end: Callable[[int], None]
    ) -> None:
        self._popen = popen
        self._loop = loop
        self._on_end = on_end
        self.pid = popen.pid
        self.ended = asyncio.Event()
        self._watch = os.pidfd_open(popen.pid)
        loop.add_reader(self._watch, self._end)

    @property
    def running(self) -> bool:
        """Whether its end has not been seen yet."""
        return self._watch >= 0

    def signal(self, number: int) -> None:
        """Send a signal to it, if it runs."""
        if self.running:
            self._popen.send_signal(number)

    def kill(self) -> None:
        """Kill it and all that it has started."""
        if self.running:
            with contextlib.suppress(ProcessLookupError):
                os.killpg(self.pid, signal.SIGKILL)

    def _end(self) -> None:
        code = self.reap()
        self.ended.set()
        self._on_end(code)

    def reap(self) -> int:
        """Its exit code; kill it before if it still runs, and what it may have left running in any case."""
        if self.running:
            self._loop.remove_reader(self._watch)
            os.close(self._watch)
            self._watch = -1
            # It has not been waited for yet, so that the group can't be anybody else's.
            with contextlib.suppress(ProcessLookupError, PermissionError):
                os.killpg(self.pid, signal.SIGKILL)
        return self._popen.wait(GONE_S)


class Brood:
    """All processes of a run; leaving the `with` block kills those that are left and waits for their end."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._children: list[Child] = []

    def start(
        self,
        command: Sequence[str],
        *,
        log: Path,
        environ: Mapping[str, str],
        folder: str | None = None,
        control: socket.socket | None = None,
        descriptors: int = 0,
        on_end: Callable[[int], None] = lambda code: None,
    ) -> Child:
        """Start a program; OSError where that can't be.

        `log` takes what it prints, behind what is there. `control` becomes its standard input. `descriptors`:
        how many it may hold (0: as many as we). `on_end` is told its exit code at once: the signal's number
        below zero where it was killed.
        """
        with log.open("ab") as sink:
            popen = subprocess.Popen(
                list(command),
                stdin=subprocess.DEVNULL if control is None else control.fileno(),
                stdout=sink,
                stderr=sink,
                env=dict(environ),
                cwd=folder,
                start_new_session=True,
                preexec_fn=_ends_with(os.getpid(), descriptors),
            )
        try:
            child = Child(popen, self._loop, on_end)
        except BaseException:
            popen.kill()
            popen.wait(GONE_S)
            raise
        self._children.append(child)
        return child

    def __enter__(self) -> Brood:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, problem: BaseException | None, trace: TracebackType | None
    ) -> None:
        for child in self._children:
            with contextlib.suppress(subprocess.TimeoutExpired):
                child.reap()
