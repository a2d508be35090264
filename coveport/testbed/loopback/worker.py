"""A process of the real ground: the world, or some sidecars' tills. Started by the orchestrator alone.

Standard input is a socket pair to the orchestrator (see `control`); standard error is the worker's log.
"""

from __future__ import annotations

import asyncio
import gc
import importlib
import os
import resource
import socket
import sys
import traceback
from pathlib import Path
from typing import Any

import msgspec

from coveport.testbed.day import Day
from coveport.testbed.event_log import EventLog
from coveport.testbed.loopback import control
from coveport.testbed.loopback.parts import Clients, Place, World
from coveport.testbed.loopback.shaping import ShapedNet
from coveport.testbed.loopback.timing import DayClock, LagWatch, new_loop

LOOK_S = 0.02  # how often tills are asked whether they are done


class Worker:
    """One worker, from its job to its event log."""

    def __init__(self, job: control.Job, writer: asyncio.StreamWriter) -> None:
        self._job = job
        self._writer = writer
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(self._unexpected)
        self._event_log = EventLog()
        self._clock = DayClock(job.t0, job.unix_s)
        day = msgspec.msgpack.decode(Path(job.day).read_bytes(), type=Day)
        place = Place(
            day,
            self._event_log,
            ShapedNet(loop),
            self._clock,
            job.sidecars,
            job.addresses,
            lambda sidecar, address: self._send(control.Moved(sidecar, address)),
        )
        parts = importlib.import_module(job.parts)
        self._world: World | None = parts.world(place) if job.role == "world" else None
        self._clients: Clients | None = parts.clients(place) if job.role == "tills" else None
        who = "world" if self._world else "tills of " + ", ".join(map(str, job.sidecars))
        self._lag = LagWatch(loop, self._clock, self._event_log, who, day.scenario.settle_s * 1000)
        self._looking: asyncio.TimerHandle | None = None

    async def start(self) -> None:
        """Listen."""
        if self._world is not None:
            await self._world.start()
        gc.collect()
        # Guards against stops of tens of ms: what is there now stays, and little of what comes is in cycles.
        gc.freeze()
        gc.set_threshold(100_000, 50, 100)
        self._send(control.Ready())

    async def take(self, frame: control.AnyFrame) -> None:
        """Do as one frame says."""
        match frame:
            case control.Begin():
                self._clock.begin(frame.t0, self._event_log)
                if self._world is not None:
                    await self._world.begin()
                if self._clients is not None:
                    self._clients.begin()
                    self._look()
            case control.Know() if self._world is not None:
                self._send(
                    control.Known(
                        frame.sidecar, self._world.discovery(frame.sidecar), self._world.known(frame.sidecar)
                    )
                )
            case control.Finish():
                for part in (self._world, self._clients):
                    if part is not None:
                        part.close()
                self._lag.close()
                if self._looking is not None:
                    self._looking.cancel()
                lag = self._lag
                self._send(control.Booked(self._event_log.packed(), lag.late_ms(0.99), lag.late_ms(1)))
                await self._writer.drain()
            case _:
                raise ValueError(f"{type(frame).__name__} is not for this worker")

    def fail(self, problem: BaseException) -> None:
        """Say that the lab has gone wrong."""
        traceback.print_exception(problem)
        self._send(control.Failed(f"{type(problem).__name__}: {' '.join(str(problem).split())}"))

    def _look(self) -> None:
        assert self._clients is not None
        if self._clients.done:
            self._looking = None
            self._send(control.Done())
        else:
            self._looking = asyncio.get_running_loop().call_later(LOOK_S, self._look)

    def _send(self, frame: control.Frame) -> None:
        self._writer.write(control.packed(frame))

    def _unexpected(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        problem = context.get("exception")
        if problem is None or isinstance(problem, OSError):
            print(f"{context.get('message')}: {problem!r}", file=sys.stderr, flush=True)
        else:
            # Guards against a day that is judged although a stand-in broke down on the way.
            self.fail(problem)


async def work(own: socket.socket) -> None:
    """Serve the orchestrator until it hangs up."""
    reader, writer = await asyncio.open_connection(sock=own)
    try:
        job = await control.receive(reader)
        assert isinstance(job, control.Job)
        worker = Worker(job, writer)
    except (EOFError, ConnectionError):
        return
    except Exception as problem:
        traceback.print_exc()
        writer.write(control.packed(control.Failed(f"{type(problem).__name__}: {problem}")))
        await writer.drain()
        return
    try:
        await worker.start()
        while True:
            await worker.take(await control.receive(reader))
    except (EOFError, ConnectionError):
        return
    except Exception as problem:
        worker.fail(problem)
        await writer.drain()


def main() -> int:
    """Raise the limit on descriptors as far as it goes, and work."""
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    own = socket.socket(fileno=os.dup(0))
    os.dup2(2, 1)  # guards against prints that would go astray
    with asyncio.Runner(loop_factory=new_loop) as runner:
        runner.run(work(own))
    return 0


if __name__ == "__main__":
    sys.exit(main())
