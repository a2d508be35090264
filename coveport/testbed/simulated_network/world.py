"""Simulated time, and processes that live in it.

A `World` holds what is due, on one heap; a `Process` is an asyncio event loop that puts its callbacks
there. All processes share the time and nothing else: one can be stalled (its callbacks wait), killed (they
are dropped) and given a wall clock that steps. Callbacks of one instant run in the order in which they were
put, so a run depends on nothing but what is fed into it. A callback takes no time unless the process is
given a `cost_s`.
"""

from __future__ import annotations

import asyncio
import contextvars
import heapq
from asyncio import events
from collections import deque
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

from coveport.testbed import stopping

T = TypeVar("T")

LOOK_EVERY = 64  # callbacks, after which it is looked whether somebody wishes to stop


class Handle:
    """A callback that waits; what asyncio's handles offer to their holders."""

    __slots__ = ("_args", "_at", "_call", "_process", "gone")

    def __init__(
        self, process: Process | None, at: float, call: Callable[..., object], args: tuple[object, ...]
    ) -> None:
        self._process = process
        self._at = at
        self._call = call
        self._args = args
        self.gone = False  # cancelled, or run

    def cancel(self) -> None:
        """Never call it."""
        self.gone = True
        self._call = _nothing
        self._args = ()  # what it held is free at once, though it stays on the heap

    def cancelled(self) -> bool:
        """Whether it will not be called."""
        return self.gone

    def when(self) -> float:
        """When it is due, in the loop's seconds."""
        return self._at


class Timer(Handle):
    """One that was put for a time, not for this instant."""

    __slots__ = ()


def _nothing() -> None:
    pass


class World:
    """Time, and what is due in it."""

    def __init__(self, start_s: float = 1000.0, unix_s: float = 1_700_000_000.0) -> None:
        self.now = start_s
        self._unix_offset = unix_s - start_s
        self._ready: deque[Handle] = deque()
        self._heap: list[tuple[float, int, Handle]] = []
        self._count = 0
        self._current: Process | None = None  # whose callbacks run, as asyncio sees it
        self.calls = 0  # callbacks run so far

    def unix_s(self) -> float:
        """Unix time by a clock that is right."""
        return self.now + self._unix_offset

    def at(
        self, when: float, call: Callable[..., object], *args: object, process: Process | None = None
    ) -> Handle:
        """Call then (now at the soonest), on behalf of a process, or of the world itself."""
        handle = Timer(process, when, call, args)
        self._count += 1
        heapq.heappush(self._heap, (when, self._count, handle))
        return handle

    def soon(self, call: Callable[..., object], args: tuple[object, ...], process: Process | None) -> Handle:
        """Call in this instant, after all that was put before."""
        handle = Handle(process, self.now, call, args)
        self._ready.append(handle)
        return handle

    def timers(self, process: Process) -> int:
        """How many callbacks of a process are still to come, those of this instant included."""
        waiting = (*self._ready, *(handle for _, _, handle in self._heap), *process._waiting)
        return sum(handle._process is process and not handle.gone for handle in waiting)

    def enter(self, process: Process | None) -> None:
        """Make asyncio believe that this process' loop is the one that runs."""
        if process is not self._current:
            self._current = process
            events._set_running_loop(process)

    def run(self, until: float, stop: Callable[[], bool] | None = None) -> bool:
        """Let time pass up to `until`, or to an instant at which `stop` says so; True where it did."""
        ready, heap, pop = self._ready, self._heap, heapq.heappop
        before = events._get_running_loop()
        try:
            while True:
                while ready:
                    handle = ready.popleft()
                    if not handle.gone:
                        self._call(handle)
                if stop is not None and stop():
                    return True
                if not heap or heap[0][0] > until:
                    self.now = max(self.now, until)
                    return False
                self.now = max(self.now, heap[0][0])
                while heap and heap[0][0] <= self.now:
                    handle = pop(heap)[2]
                    if not handle.gone:
                        ready.append(handle)
        finally:
            self._current = None
            events._set_running_loop(before)

    def _call(self, handle: Handle) -> None:
        process = handle._process
        if process is not None and not process.free(handle):
            return
        handle.gone = True
        self.calls += 1
        if not self.calls % LOOK_EVERY:
            stopping.look()
        if process is None:
            self.enter(None)
            handle._call(*handle._args)
        else:
            process.run(handle._call, handle._args)


class Process(asyncio.AbstractEventLoop):
    """One process: an event loop on the world's time."""

    def __init__(self, world: World, name: str) -> None:
        self.world = world
        self.name = name
        self.alive = True
        self.wakes = 0  # callbacks run
        self.cost_s = 0.0  # how long each callback keeps the process busy
        self.clock_step_s = 0.0  # how wrong its wall clock is
        self._until = 0.0  # busy or stalled until then
        self._waiting: deque[Handle] = deque()  # due meanwhile
        self._turn: deque[Handle] = deque()  # of those, what it is at
        self._waking = False
        self._signals: dict[int, tuple[Callable[..., object], tuple[object, ...]]] = {}
        self._on_problem: Callable[[asyncio.AbstractEventLoop, dict[str, Any]], object] | None = None
        self.problems: list[dict[str, Any]] = []  # faults that nobody took
        self.at_death: list[Callable[[], None]] = []  # what the system does when it dies
        self.on_exit: Callable[[int], None] | None = None  # who hears that it ended by itself

    @classmethod
    def start(cls, world: World, name: str) -> Process:
        """A new process."""
        return cls(world, name)

    # Life.

    def free(self, handle: Handle) -> bool:
        """Whether it can run this now; if not it keeps it (or drops it, being dead)."""
        if not self.alive:
            return False
        if self._until > self.world.now or ((self._turn or self._waiting) and not self._waking):
            self._waiting.append(handle)
            return False
        return True

    def run(self, call: Callable[..., object], args: tuple[object, ...]) -> None:
        """Let it run this now."""
        self.wakes += 1
        self.world.enter(self)
        try:
            call(*args)
        except SystemExit as problem:
            self.exited(problem.code if isinstance(problem.code, int) else 1)
        except KeyboardInterrupt:
            raise
        except BaseException as problem:
            self.call_exception_handler({"message": "a callback failed", "exception": problem})
        if self.cost_s:
            self.busy(self.cost_s)

    def exited(self, code: int) -> None:
        """It has ended by itself, in the middle of whatever it did."""
        self.kill()
        if self.on_exit is not None:
            self.on_exit(code)

    @property
    def idle(self) -> bool:
        """Whether it could take something up at once."""
        return self.alive and self._until <= self.world.now and not (self._turn or self._waiting)

    def busy(self, seconds: float) -> None:
        """Let it run nothing for so long from now."""
        until = self.world.now + seconds
        if until > self._until:
            first = self._until <= self.world.now
            self._until = until
            if first:
                self.world.at(until, self._wake)

    stall = busy

    @property
    def busy_until(self) -> float:
        """Until when it runs nothing; a time that has passed where it is free."""
        return self._until

    def _wake(self) -> None:
        if self.world.now < self._until:
            self.world.at(self._until, self._wake)
            return
        self._waking = True
        try:
            while (self._turn or self._waiting) and self._until <= self.world.now and self.alive:
                if not self._turn:
                    # As asyncio does: what has come is read before the timers that are due are called.
                    self._turn.extend(sorted(self._waiting, key=lambda one: type(one) is Timer))
                    self._waiting.clear()
                handle = self._turn.popleft()
                if not handle.gone:
                    self.world._call(handle)
        finally:
            self._waking = False

    def kill(self) -> None:
        """End it at once: nothing of it runs any more, and the system closes what it held."""
        if not self.alive:
            return
        self.alive = False
        self._waiting.clear()
        self._turn.clear()
        for call in self.at_death:
            call()

    def deliver(self, number: int) -> bool:
        """Send it a signal; False where it has no handler for it."""
        found = self._signals.get(number)
        if found is None or not self.alive:
            return False
        self.world.soon(found[0], found[1], self)
        return True

    # What asyncio asks of a loop.

    def time(self) -> float:
        """Monotonic seconds."""
        return self.world.now

    def call_soon(  # type: ignore[override]
        self,
        callback: Callable[..., object],
        *args: Any,
        context: contextvars.Context | None = None,
    ) -> Handle:
        """Call in this instant."""
        return self.world.soon(callback, args, self)

    call_soon_threadsafe = call_soon  # type: ignore[assignment]

    def call_later(  # type: ignore[override]
        self,
        delay: float,
        callback: Callable[..., object],
        *args: Any,
        context: contextvars.Context | None = None,
    ) -> Handle:
        """Call after so many seconds."""
        return self.world.at(self.world.now + max(delay, 0.0), callback, *args, process=self)

    def call_at(  # type: ignore[override]
        self,
        when: float,
        callback: Callable[..., object],
        *args: Any,
        context: contextvars.Context | None = None,
    ) -> Handle:
        """Call then."""
        return self.world.at(when, callback, *args, process=self)

    def create_future(self) -> asyncio.Future[Any]:
        """A future of this loop."""
        return asyncio.Future(loop=self)

    def create_task(  # type: ignore[override]
        self,
        coro: Coroutine[Any, Any, T],
        *,
        name: str | None = None,
        context: contextvars.Context | None = None,
    ) -> asyncio.Task[T]:
        """Run a coroutine."""
        return asyncio.Task(coro, loop=self, name=name or "task")

    def get_debug(self) -> bool:
        """Never: asyncio's debugging reads the real clock."""
        return False

    def is_running(self) -> bool:
        """Whether it lives."""
        return self.alive

    def is_closed(self) -> bool:
        """Whether it is dead."""
        return not self.alive

    def add_signal_handler(  # type: ignore[override]
        self,
        sig: int,
        callback: Callable[..., object],
        *args: Any,
    ) -> None:
        """Call it when `deliver` brings this signal."""
        self._signals[int(sig)] = (callback, args)

    def set_exception_handler(self, handler: Any) -> None:
        """Who is told of what went wrong."""
        self._on_problem = handler

    def call_exception_handler(self, context: dict[str, Any]) -> None:
        """Tell of what went wrong."""
        if not self.alive:
            return  # guards against what a dead process' tasks say when they are thrown away
        if self._on_problem is None:
            self.problems.append(context)
        else:
            self._on_problem(self, context)
