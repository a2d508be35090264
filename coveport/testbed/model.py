"""A ledger node without sockets: queue, cores, cold start, crowd, pauses, jams, keys. Pure.

Time is an argument everywhere, in ms since the day began. Inputs change the state and leave what came of them
in a list that `NodeModel.take` hands over; `NodeModel.next_at` says when the model wants `advance` at the
latest.

The model. Up to `slots` operations are in work at once and share the cores evenly (processor sharing,
Kleinrock 1967): each gets `min(1, cores / working)` of a core. The others wait in order of arrival, up to
`waiting` of them; beyond that they are turned away. A core does `speed` ms of standard work a ms, times a
share that grows evenly from `cold_from` to 1 over `warm_ms` after a cold start, divided by all slow factors,
by `jam_slower` while it is jammed, and by `1 + crowd_cost * (held - crowd_at)` where more than `crowd_at` are
held; nothing is done during a pause. All of that is integrated exactly (a cold start's work is a quadratic in
time), so there is no step to choose; only a jam's recovery looks at buckets of a tenth of its rest.

Simplifications: handshakes and probes are served before all operations, one after the other with all cores.
Who is turned away costs nothing, and hears so even during a pause. A repeat of a known key costs nothing.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Sequence
from heapq import heappop, heappush
from math import inf, sqrt
from typing import Any

from coveport.testbed.day import NEVER, NodeDrawn
from coveport.testbed.schema import Class

# What became of an attempt.
RUN = "run"  # it has begun to take effect
DONE = "done"  # to be answered now
EXPIRED = "expired"  # dropped unrun: its time was over when its turn came
CANCELLED = "cancelled"  # stopped, as nobody waits for it any more
LOST = "lost"  # the process has died

# What a node makes of an attempt that comes.
WORK = "work"
REPEAT = "repeat"
FULL = "full"
DRAIN = "drain"
OVER = "over"

# Where an attempt is.
_NEW, _WAITING, _RUNNING, _REPEATING, _GONE = range(5)

_BUCKETS = 10  # parts of a jam's rest, over which its busy share is taken


class Attempt:
    """An attempt as the model knows it."""

    __slots__ = (
        "number",
        "op",
        "key",
        "cls",
        "work_ms",
        "expires_at",
        "owner",
        "fate",
        "answer",
        "known",
        "place",
    )

    def __init__(
        self,
        number: int,
        op: str,
        key: str,
        cls: int,
        work_ms: float,
        expires_at: float = inf,
        owner: Any = None,
    ) -> None:
        """Take what came.

        `number` is fresh over the whole day, `cls` a position in the scenario's classes, `work_ms` counted on
        a core of speed 1. `owner`, `fate` and `answer` are the caller's own.
        """
        self.number = number
        self.op = op
        self.key = key
        self.cls = cls
        self.work_ms = work_ms
        self.expires_at = expires_at
        self.owner = owner
        self.fate: Any = None
        self.answer = b""
        self.known: Remembered | None = None
        self.place = _NEW

    @property
    def run(self) -> Attempt:
        """The attempt whose effect this one stands for: itself, or the one that it repeats."""
        return self if self.known is None else self.known.run


class Remembered:
    """A key whose operation took effect at `at`, and the repeats that wait for that run to end."""

    __slots__ = ("at", "run", "over", "waiters")

    def __init__(self, at: float, run: Attempt) -> None:
        self.at = at
        self.run = run
        self.over = False
        self.waiters: list[tuple[NodeModel, Attempt]] = []


class KeyMemory:
    """Which keys took effect where; one for all nodes of a day. No process's death makes it forget."""

    def __init__(self) -> None:
        self._tables: dict[tuple[int, str, int], dict[str, Remembered]] = {}

    def table(self, cls: int, scope: str, zone: int, cell: int) -> dict[str, Remembered]:
        """The keys that a node of this zone and cell sees; the same object for all that share them."""
        place = {"cell": cell, "zone": zone, "all": 0}[scope]
        return self._tables.setdefault((cls, scope, place), {})


class NodeModel:
    """One ledger node. All inputs take `now`, which must not run backwards by more than rounding."""

    __slots__ = (
        "working",
        "waiting",
        "conns",
        "draining",
        "alive",
        "jammed",
        "jam_changed_at",
        "busy_ms",
        "speed",
        "born",
        "_drawn",
        "_cores",
        "_keys",
        "_random",
        "_effects",
        "_t",
        "_v",
        "_rate",
        "_core",
        "_slow",
        "_run",
        "_queue",
        "_front",
        "_front_left",
        "_repeats",
        "_finish_at",
        "_turn_at",
        "_cold_from",
        "_warm_at",
        "_slope",
        "_paused",
        "_pause_from",
        "_pause_until",
        "_behind_since",
        "_jam_until",
        "_bucket_at",
        "_buckets",
    )

    def __init__(self, drawn: NodeDrawn, classes: Sequence[Class], keys: KeyMemory) -> None:
        """A node that is not there yet: `start` it."""
        self._drawn = drawn
        self._cores = drawn.cores
        self._keys = [
            (keys.table(number, one.scope, drawn.zone, drawn.cell), one.window_ms)
            if one.repeats == "keyed"
            else None
            for number, one in enumerate(classes)
        ]
        self._random = random.Random(f"model {drawn.seed}")
        self._effects: list[tuple[Attempt, str]] = []
        self._slow = 1.0
        self.speed = drawn.speed  # of a warm core, slow factors and a jam taken off
        self.draining = False
        self.alive = False
        self.jam_changed_at = 0.0
        self.busy_ms = 0.0  # of all cores together, since the day began
        self.conns = 0
        self._t = 0.0
        self._reset()

    def _reset(self) -> None:
        self.working = self.waiting = self.conns = 0
        self.jammed = False
        self._v = 0.0  # work that each of the running has been given since `_v` was last 0
        self._run: list[tuple[float, int, Attempt]] = []  # a heap of (`_v` at which it is done, number, who)
        self._queue: deque[Attempt] = deque()  # cancelled ones among them until their turn comes
        self._front: deque[Attempt | None] = deque()  # handshakes (None) and probes
        self._front_left: deque[float] = deque()  # their work that is left
        self._repeats: dict[int, Attempt] = {}  # those that wait for the run of their key
        self._rate = self._core = 0.0
        self._finish_at = self._turn_at = inf
        self.born = NEVER  # when the process started, -1: long before the day
        self._cold_from = 1.0
        self._warm_at = -inf
        self._slope = 0.0
        self._paused = False
        self._pause_from = inf
        self._pause_until = inf
        self._behind_since = self._jam_until = self._bucket_at = inf
        self._buckets: deque[float] = deque(maxlen=_BUCKETS + 1)

    # What can be asked.

    @property
    def next_at(self) -> float:
        """When `advance` has something to do that others must hear of; infinity for never."""
        if not self.working and not self._front:
            return inf
        return min(self._finish_at, self._turn_at)

    def take(self) -> list[tuple[Attempt, str]]:
        """What became of which attempt since the last call, in order.

        The end of a run also ends repeats of its key at other nodes: their attempts stand here, too.
        """
        effects = self._effects
        if effects:
            self._effects = []
        return effects

    # Inputs.

    def start(self, now: float, cold: bool) -> None:
        """The process starts: cold at `now`, or warm as one that started long ago."""
        self._t = max(now, self._t)
        self._reset()
        self._respeed()
        self.alive = True
        self.draining = False
        if cold:
            self.born, self._cold_from = self._t, self._drawn.cold_from
            self._warm_at = self._t + self._drawn.warm_ms
            self._slope = (1.0 - self._cold_from) / self._drawn.warm_ms if self._drawn.warm_ms > 0 else 0.0
        self._draw_pause()
        self._next_turn()

    def die(self, now: float) -> None:
        """The process dies and loses all it holds; what has begun has taken effect all the same."""
        self.advance(now)
        effects = self._effects
        running = [one for _, _, one in sorted(self._run) if one.place == _RUNNING]
        held = [one for one in self._queue if one.place == _WAITING]
        probes = [one for one in self._front if one is not None]
        repeats = list(self._repeats.values())
        self._reset()
        self.alive = self.draining = False
        for one in (*running, *held, *repeats, *probes):
            effects.append((one, LOST))
            one.place = _GONE
        for one in running:
            self._release(one)

    def slow_down(self, now: float, factor: float) -> None:
        """From here on it runs so many times slower than it was drawn; 1: as drawn."""
        self.advance(now)
        self._slow = factor
        self._respeed()
        self._rerate()

    def pause(self, now: float, for_ms: float) -> None:
        """The whole process stops for so long, beside the pauses that it draws for itself."""
        self.advance(now)
        self._pause_from = self._t
        self._pause_until = max(self._t + for_ms, self._pause_until if self._paused else 0.0)
        self._turn_at = self._t
        self.advance(now)

    def drain(self, now: float, on: bool) -> None:
        """Turn new work away, or take it again."""
        self.advance(now)
        self.draining = on

    def connect(self, now: float) -> bool:
        """A connection came up; False where there are more than it takes."""
        self.advance(now)
        self.conns += 1
        self._put_front(self._drawn.handshake_ms, None)
        return self.conns <= self._drawn.connections

    def disconnect(self) -> None:
        """A connection ended."""
        self.conns -= 1

    def probe(self, now: float, attempt: Attempt) -> None:
        """A probe came, which is DONE once its work is."""
        self.advance(now)
        self._put_front(attempt.work_ms, attempt)

    def _put_front(self, work_ms: float, attempt: Attempt | None) -> None:
        self._front.append(attempt)
        self._front_left.append(work_ms)
        if len(self._front) == 1:
            self._rerate()

    def arrive(self, now: float, attempt: Attempt) -> str:
        """An attempt came: WORK, REPEAT (its key is known), FULL, DRAIN or OVER (past its time).

        Only WORK and REPEAT have an end to come.
        """
        self.advance(now)
        if self.draining:
            return DRAIN
        if attempt.expires_at <= self._t and self._drawn.drops_expired:
            return OVER
        known = self._known(attempt)
        if known is not None:
            self._repeat(attempt, known)
            return REPEAT
        if self.working < self._drawn.slots:
            self._begin(attempt)
        elif self.waiting < self._drawn.waiting:
            attempt.place = _WAITING
            self._queue.append(attempt)
            self.waiting += 1
        else:
            return FULL
        self._rerate()
        return WORK

    def cancel(self, now: float, attempt: Attempt) -> None:
        """Nobody waits for it any more; whether that stops it is the node's kind of thing."""
        self.advance(now)
        place, mode = attempt.place, self._drawn.cancel
        if place == _REPEATING:
            del self._repeats[attempt.number]  # its place among the waiters is passed over by its place
        elif place == _WAITING and mode != "none":
            self.waiting -= 1
        elif place == _RUNNING and mode == "all":
            self.working -= 1
        else:
            return
        attempt.place = _GONE
        self._effects.append((attempt, CANCELLED))
        if place == _RUNNING:
            self._release(attempt)
            self._refill()
        if place != _REPEATING:
            self._rerate()

    def advance(self, now: float) -> None:
        """Bring all up to `now`."""
        while True:
            end = self._finish_at if self._finish_at <= self._turn_at else self._turn_at
            if end > now:
                if now > self._t:
                    self._pass(now)
                return
            if end > self._t:
                self._pass(end)
            if end == self._finish_at:
                self._finish()
            else:
                self._turn()

    # Time.

    def _pass(self, until: float) -> None:
        """Work from `_t` on to `until`, in between which nothing begins, ends or changes its speed."""
        start, lasted = self._t, until - self._t
        self._t = until
        if not self.working and not self._front:
            return
        cores = self._cores
        busy = cores if self._front or self.working > cores else self.working
        self.busy_ms += busy * lasted
        if self._paused:
            return
        done = lasted  # in ms of a warm core
        if start < self._warm_at:
            done *= self._cold_from + self._slope * (start - self.born + lasted / 2)
        if self._front:
            self._front_left[0] -= done * self._core * cores
        else:
            self._v += done * self._rate

    def _rerate(self) -> None:
        """After any change: how fast work gets done from here on, and when the next is done."""
        run, working, drawn, now = self._run, self.working, self._drawn, self._t
        while run and run[0][2].place != _RUNNING:
            heappop(run)
        if drawn.jam_at > 0 and not self.jammed:
            if self.waiting < drawn.jam_at:
                self._behind_since = inf
            elif self._behind_since == inf:
                self._behind_since = now
                self._turn_at = min(self._turn_at, now + drawn.jam_over_ms)
        core = self.speed
        crowd = working + self.waiting - drawn.crowd_at
        if crowd > 0:
            core /= 1 + drawn.crowd_cost * crowd
        cores = self._cores
        self._core = core
        self._rate = core if working <= cores else core * cores / working
        if self._paused:
            self._finish_at = inf
            return
        if self._front:
            need = self._front_left[0] / (core * cores)
        elif run:
            need = (run[0][0] - self._v) / self._rate
        else:
            self._v = 0.0
            self._finish_at = inf  # guards against sums that grow all day and lose their digits
            return
        if need <= 0:
            need = 0.0  # guards against rounding
        elif now < self._warm_at:
            share = self._cold_from + self._slope * (now - self.born)
            need = 2 * need / (share + sqrt(share * share + 2 * self._slope * need))
        self._finish_at = now + need

    def _respeed(self) -> None:
        self.speed = self._drawn.speed / self._slow / (self._drawn.jam_slower if self.jammed else 1.0)

    def _turn(self) -> None:
        """A pause begins or ends, a cold start is over, or a jam begins, is looked at or is over."""
        now, drawn = self._t, self._drawn
        if not self._paused and now >= self._pause_from:
            self._paused = True
        if self._paused and now >= self._pause_until:
            self._paused = False
            self._draw_pause()
        if self.jammed:
            if now >= self._bucket_at:
                self._buckets.append(self.busy_ms)
                self._bucket_at = now + drawn.jam_rest_ms / _BUCKETS
            rested = len(self._buckets) > _BUCKETS and (
                self._buckets[-1] - self._buckets[0] < drawn.jam_below * self._cores * drawn.jam_rest_ms
            )
            if rested or now >= self._jam_until:
                self.jammed = False
                self.jam_changed_at = now
        elif now >= self._behind_since + drawn.jam_over_ms:
            self.jammed = True
            self.jam_changed_at = now
            self._behind_since = inf
            self._jam_until = now + drawn.jam_most_ms
            self._bucket_at = now + drawn.jam_rest_ms / _BUCKETS
            self._buckets.clear()
            self._buckets.append(self.busy_ms)
        self._respeed()
        self._next_turn()

    def _next_turn(self) -> None:
        now = self._t
        at = self._pause_until if self._paused else self._pause_from
        if now < self._warm_at < at:
            at = self._warm_at
        if self.jammed:
            at = min(at, self._bucket_at, self._jam_until)
        else:
            at = min(at, self._behind_since + self._drawn.jam_over_ms)
        self._turn_at = at
        self._rerate()

    def _draw_pause(self) -> None:
        drawn = self._drawn
        if drawn.pause_every_ms > 0 and drawn.pause_ms > 0:
            self._pause_from = self._t + self._random.expovariate(1 / drawn.pause_every_ms)
            self._pause_until = self._pause_from + self._random.expovariate(1 / drawn.pause_ms)
        else:
            self._pause_from = self._pause_until = inf

    # Attempts.

    def _finish(self) -> None:
        if self._front:
            one = self._front.popleft()
            self._front_left.popleft()
            if one is not None:
                one.place = _GONE
                self._effects.append((one, DONE))
        else:
            self._v, _, one = heappop(self._run)
            self.working -= 1
            one.place = _GONE
            self._effects.append((one, DONE))
            self._release(one)
            self._refill()
        self._rerate()

    def _refill(self) -> None:
        slots, queue = self._drawn.slots, self._queue
        while queue and self.working < slots:
            one = queue.popleft()
            if one.place != _WAITING:
                continue
            self.waiting -= 1
            if one.expires_at <= self._t and self._drawn.drops_expired:
                one.place = _GONE
                self._effects.append((one, EXPIRED))
                continue
            known = self._known(one)
            if known is not None:
                self._repeat(one, known)
            else:
                self._begin(one)

    def _begin(self, one: Attempt) -> None:
        one.place = _RUNNING
        self.working += 1
        heappush(self._run, (self._v + one.work_ms, one.number, one))
        self._effects.append((one, RUN))
        keyed = self._keys[one.cls] if one.key else None
        if keyed is not None:
            table, window = keyed
            while table:
                oldest = next(iter(table))
                if not table[oldest].over or self._t < table[oldest].at + window:
                    break
                del table[oldest]
            table.pop(one.key, None)  # so that it stands last, in order of time
            table[one.key] = one.known = Remembered(self._t, one)

    def _known(self, one: Attempt) -> Remembered | None:
        """The run that `one` would repeat."""
        keyed = self._keys[one.cls] if one.key else None
        if keyed is None:
            return None
        known = keyed[0].get(one.key)
        return known if known is not None and self._t < known.at + keyed[1] else None

    def _repeat(self, one: Attempt, known: Remembered) -> None:
        one.known = known
        if known.over:
            one.place = _GONE
            self._effects.append((one, DONE))
        else:
            one.place = _REPEATING
            self._repeats[one.number] = one
            known.waiters.append((self, one))

    def _release(self, run: Attempt) -> None:
        """A run is over, whichever way: its effect stands, so all repeats of it can be answered."""
        known = run.known
        if known is None:
            return
        known.over = True
        for model, one in known.waiters:
            if one.place == _REPEATING:
                one.place = _GONE
                del model._repeats[one.number]
                self._effects.append((one, DONE))
        known.waiters.clear()
