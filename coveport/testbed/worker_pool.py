"""Jobs played side by side, each lane a process of its own; and files that are whole whatever stops them."""

from __future__ import annotations

import contextlib
import multiprocessing
import os
import signal
import threading
from collections.abc import Callable, Generator, Iterable
from concurrent.futures import FIRST_COMPLETED, Future, ProcessPoolExecutor, wait
from concurrent.futures.process import BrokenProcessPool
from pathlib import Path
from typing import Any, Protocol, TypeVar

from coveport.testbed import stopping

LOOK_S = 0.2  # how often it is looked whether somebody wishes to stop
UNWIND_S = 5.0  # how long a worker that is told to stop may take before it is killed

J = TypeVar("J")
R = TypeVar("R")


def write_whole(path: Path, data: bytes) -> None:
    """Write a file so that it is there whole or as it was (aside, renamed); OSError where it can't be."""
    aside = path.with_name(f".{path.name}.{os.getpid()}.part")
    try:
        with aside.open("wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        os.replace(aside, path)
    finally:
        aside.unlink(missing_ok=True)


class Lane(Protocol):
    """Where one job at a time is played."""

    def submit(self, fn: Callable[..., Any], /, *args: Any, **kwargs: Any) -> Future[Any]:
        """Begin."""

    def stop(self) -> None:
        """Give up what is played, and end."""


_busy = False  # in a worker: whether a job is played


def _unwind(*_: object) -> None:
    if not _busy:
        raise SystemExit(128 + signal.SIGTERM)
    # Not SystemExit: on simulated ground a sidecar would end by it, not the day.
    stopping.ask(KeyboardInterrupt())


def _play(fn: Callable[..., Any], *args: Any, **kwargs: Any) -> Any:
    global _busy
    _busy = True
    try:
        return fn(*args, **kwargs)
    finally:
        _busy = False


def _begin() -> None:
    """Start a worker: SIGINT is its parent's matter, SIGTERM unwinds the day, and it ends with its parent."""
    # A handler, not SIG_IGN: what a day starts by exec would inherit that, and so it gets the default.
    signal.signal(signal.SIGINT, lambda *_: None)
    signal.signal(signal.SIGTERM, _unwind)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGINT})
    parent = multiprocessing.parent_process()

    def watch() -> None:
        # Guards against a parent that was killed: a worker would wait for its next job for ever.
        if parent is not None:
            parent.join()
            os._exit(1)

    threading.Thread(target=watch, daemon=True).start()


class Worker(ProcessPoolExecutor):
    """A lane with one process of its own: who breaks it is known, and nobody else is hit."""

    def __init__(self) -> None:
        super().__init__(1, mp_context=multiprocessing.get_context("spawn"), initializer=_begin)
        self._last: Future[Any] | None = None
        self._number = self.submit(os.getpid)

    def submit(self, fn: Callable[..., Any], /, *args: Any, **kwargs: Any) -> Future[Any]:
        """As any executor; the first call starts the process."""
        # Guards against a Ctrl-C that meets the process before `_begin`, and makes it print a traceback.
        before = signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGINT})
        try:
            self._last = super().submit(_play, fn, *args, **kwargs)
            return self._last
        finally:
            signal.pthread_sigmask(signal.SIG_SETMASK, before)

    def stop(self) -> None:
        """End at once where it rests; else SIGTERM, and SIGKILL where that does not help."""
        # Guards against a process that has died already: there is no number, or nobody of that number.
        with contextlib.suppress(BrokenProcessPool, ProcessLookupError):
            for how in (signal.SIGTERM, signal.SIGKILL):
                if self._last is not None and not self._last.done():
                    os.kill(self._number.result(), how)
                    wait([self._last], UNWIND_S)
        # Once, and to its end: an executor that winds up while the interpreter exits prints a traceback.
        self.shutdown(wait=True, cancel_futures=True)


def _hear() -> Any:
    """Take Ctrl-C as a wish from here on; the handler before, None where this thread can have none."""
    if threading.current_thread() is not threading.main_thread():
        return None
    return signal.signal(signal.SIGINT, lambda *_: stopping.ask(KeyboardInterrupt()))


def said(raised: BaseException) -> str:
    """An exception in one line."""
    return " ".join(f"{type(raised).__name__}: {raised}".split())


def each(
    jobs: Iterable[J], play: Callable[[J], R], at_once: int, lane: Callable[[], Lane] = Worker
) -> Generator[tuple[J, R | None, str], None, None]:
    """Play jobs, so many at a time; each with its result, or None and why there is none, as they end.

    A job that raises, or whose worker dies, does not stop the others. Jobs are taken one by one as there is
    room. Close it to end early: whatever leaves it, its workers are gone by then.
    """
    waiting = iter(jobs)
    playing: dict[Future[R], tuple[J, Lane]] = {}
    lanes: list[Lane] = []
    idle: list[Lane] = []

    def fill() -> None:
        while len(playing) < at_once:
            try:
                job = next(waiting)
            except StopIteration:
                return
            if not idle:
                idle.append(lane())
                lanes.append(idle[-1])
            here = idle.pop()
            playing[here.submit(play, job)] = job, here

    before = _hear()
    try:
        fill()
        while playing:
            stopping.look()
            for future in wait(playing, LOOK_S, return_when=FIRST_COMPLETED).done:
                job, here = playing.pop(future)
                try:
                    result = future.result()
                except BrokenProcessPool:
                    lanes.remove(here)
                    here.stop()
                    yield job, None, "the worker that played it died"
                except Exception as raised:
                    idle.append(here)
                    yield job, None, said(raised)
                else:
                    idle.append(here)
                    yield job, result, ""
            fill()
    finally:
        ending = [threading.Thread(target=one.stop) for one in lanes]
        for one in ending:
            one.start()
        for one in ending:
            one.join()
        if before is not None:
            signal.signal(signal.SIGINT, before)
            stopping.forget()
