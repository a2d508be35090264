"""The simulated store: an engine on the world's time, and each instance's way there.

A call is two messages. The first may be lost (it never happens), late (it happens after its caller has
given up) or doubled; the second may be lost (it happened, and nobody hears). Either way may be cut by
itself.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator, Callable, Sequence
from dataclasses import dataclass, field

from coveport.sidecar.leases.errors import WatchLostError
from coveport.sidecar.leases.store import Change, Done, Field, Outcome, Refused, Store, Transaction, Unknown
from coveport.testbed.simulated_network.world import Process, World
from coveport.testbed.standins.etcd.engine import Engine

TICK_S = 0.01  # between two looks of the store at its leases
BEAT_S = 0.5  # between two looks of a watch at its way
BREAK_S = 2.0  # a watch that has not been heard of for so long is given up by its client


@dataclass
class Way:
    """One instance's way to the store."""

    delay_s: tuple[float, float] = (0.0005, 0.004)
    back_s: tuple[float, float] = (0.0005, 0.004)
    out: bool = True  # whether its messages arrive
    back: bool = True
    lose: float = 0.0  # share of messages lost, each way
    late: float = 0.0  # share of first messages that take `late_s`
    late_s: float = 3.0
    double: float = 0.0  # share of first messages that come twice


@dataclass
class Trap:
    """What happens to the next call of a kind: the worst moment there is.

    `call`: claim, act or keep. `how`: unheard (its answer is lost), late (it comes so much later), stall
    (its caller stands still between its check and its write, or right after what it sent).
    """

    call: str
    how: str
    lasts_s: float


@dataclass
class Host:
    """The store's own process: it stalls, is away, is restored."""

    world: World
    engine: Engine = field(default_factory=Engine)
    away: bool = False  # it is down: nothing arrives
    held_until: float = 0.0  # stalled: what arrives waits
    rate: float = 1.0  # of its clock
    traps: list[Trap] = field(default_factory=list)
    _watchers: list[asyncio.Future[None]] = field(default_factory=list)
    _told: int = 0

    def start(self) -> None:
        """Let its leases end by themselves."""
        self.tick()
        self.world.at(self.world.now + TICK_S, self.start)

    def trapped(self, call: str) -> Trap | None:
        """The trap that this call goes into, if any; it is gone then."""
        for one in self.traps:
            if one.call == call:
                self.traps.remove(one)
                return one
        return None

    def waiting(self, process: Process) -> asyncio.Future[None]:
        """Done once something has changed."""
        future: asyncio.Future[None] = process.create_future()
        self._watchers.append(future)
        return future

    def now(self) -> float:
        """Its clock."""
        return self.world.now * self.rate

    def tick(self) -> None:
        """Let time pass for it."""
        if not self.away and self.world.now >= self.held_until:
            self.engine.pass_(self.now())
            if self.engine.revision != self._told:
                self._told = self.engine.revision
                waiting, self._watchers = self._watchers, []
                for one in waiting:
                    if not one.done():
                        one.set_result(None)


class SimStore(Store):
    """The store as an instance of a simulated trial reaches it."""

    def __init__(self, process: Process, host: Host, way: Way, rng: random.Random) -> None:
        self._process = process
        self._host = host
        self._way = way
        self._rng = rng

    async def read(self, prefix: str) -> Done | Unknown:
        """All keys that begin so."""
        outcome = await self._call(lambda: self._host.engine.read(self._host.now(), prefix))
        assert not isinstance(outcome, Refused)
        return outcome

    async def commit(self, transaction: Transaction) -> Outcome:
        """Carry it out, or not."""
        claim = any(
            one.field is Field.CREATED and not one.equals and "/duty/" in one.key
            for one in transaction.compares
        )
        act = any("/state/" in one.key for one in transaction.changes)
        return await self._call(
            lambda: self._host.engine.commit(self._host.now(), transaction),
            "claim" if claim else "act" if act else "",
        )

    async def commit_all(self, transactions: Sequence[Transaction]) -> list[Outcome]:
        """Several calls at a time, each by itself."""
        return list(await asyncio.gather(*map(self.commit, transactions)))

    async def grant(self, ttl_s: float) -> Done | Unknown:
        """A new lease."""
        outcome = await self._call(lambda: self._host.engine.grant(self._host.now(), ttl_s))
        assert not isinstance(outcome, Refused)
        return outcome

    async def renew(self, lease: int) -> Outcome:
        """Renew."""
        return await self._call(lambda: self._host.engine.keep(self._host.now(), lease), "keep")

    async def revoke(self, lease: int) -> Outcome:
        """End a lease."""
        return await self._call(lambda: self._host.engine.revoke(self._host.now(), lease))

    async def time_left(self, lease: int) -> Outcome:
        """What a lease has left."""
        return await self._call(lambda: self._host.engine.left(self._host.now(), lease))

    async def close(self) -> None:
        """Nothing to let go of."""

    async def _call(self, deed: Callable[[], Outcome], kind: str = "") -> Outcome:
        done: asyncio.Future[Outcome] = self._process.create_future()
        way, world = self._way, self._host.world
        trap = self._host.trapped(kind) if kind and self._host.traps else None
        held = trap.lasts_s if trap is not None and trap.how != "unheard" else 0.0
        if trap is not None and trap.how == "stall":
            self._process.stall(trap.lasts_s)
            held = 0.0 if kind == "keep" else held  # a renewal is out already, an act is not

        def answer(outcome: Outcome) -> None:
            if not done.done():
                done.set_result(outcome)

        def arrive() -> None:
            if self._host.away:
                return
            if world.now < self._host.held_until:
                world.at(self._host.held_until, arrive)
                return
            outcome = deed()
            self._host.tick()
            if (trap is None or trap.how != "unheard") and way.back and self._rng.random() >= way.lose:
                world.at(world.now + self._rng.uniform(*way.back_s), answer, outcome, process=self._process)

        for _ in range(2 if self._rng.random() < way.double else 1):
            if way.out and self._rng.random() >= way.lose:
                late = way.late_s * self._rng.random() if self._rng.random() < way.late else 0.0
                world.at(world.now + self._rng.uniform(*way.delay_s) + late + held, arrive)
        return await done

    async def watch(self, prefix: str, after: int) -> AsyncIterator[Sequence[Change]]:
        """Changes; they stop coming while the way back is cut, and the watch breaks after a while."""
        host, world, way = self._host, self._host.world, self._way
        seen, heard = after, world.now
        while True:
            if host.away or not (way.out and way.back) or world.now < host.held_until:
                if world.now - heard > BREAK_S:
                    raise WatchLostError("nothing was heard")
            else:
                heard = world.now
                if host.engine.revision != seen:
                    changes = host.engine.changes(prefix, seen)
                    seen = host.engine.revision
                    await asyncio.sleep(self._rng.uniform(*way.back_s))
                    if changes:
                        yield changes
                    continue
            change = host.waiting(self._process)
            timer = self._process.call_later(BEAT_S, _wake, change)
            await change
            timer.cancel()


def _wake(change: asyncio.Future[None]) -> None:
    if not change.done():
        change.set_result(None)
