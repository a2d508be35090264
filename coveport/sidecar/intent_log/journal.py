"""Writes records, by the group, and knows whether the store is there.

What comes while a group is on its way makes the next one, so a store that is quick is asked often and one
that is slow takes many at a time. What is waited for is bounded in entries, bytes and time: who finds it full
is told at once.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections import deque
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from enum import Enum
from typing import Any

from coveport.sidecar.intent_log.observed_age import Ages
from coveport.sidecar.leases.errors import StoreError
from coveport.sidecar.leases.store import Done, Outcome, Put, Refused, Store, Transaction, Unknown

MOST_ENTRIES, MOST_BYTES = 1024, 4 * 1024 * 1024  # that wait to be written, over all groups
MOST_WAIT_S = 0.1  # that the first of them has waited: what came now would be late
GROUP_ENTRIES, GROUP_BYTES = 128, 512 * 1024  # in one group; an engine bears 128 operations and 1.5 MB a call
AWAY_AFTER = 2  # calls without an answer in a row
LOOK_AGAIN_S = 0.5  # how often it is looked whether the store is back
PULSE_S = 1.0  # how often a moment is noted at the least, for the ages of what others write
LEAVE_S = 1.0


class There(Enum):
    """Whether the store is there."""

    UP = "up"
    AWAY = "away"
    ANOTHER = "another"  # it went back in time, or is not the one we knew: nothing more is written to it


@dataclass(slots=True)
class _Waiting:
    make: Callable[[], Transaction | None]
    done: Callable[[Outcome], None]
    size: int
    since: float


class Journal:
    """One instance's way to where records are kept. `call_s`: after which a call is given up.

    `now_s`: a clock that runs through sleep.
    """

    def __init__(
        self, store: Store, now_s: Callable[[], float], call_s: float, say: Callable[..., None]
    ) -> None:
        self._store = store
        self._now_s = now_s
        self._call_s = call_s
        self._say = say
        self._waiting: deque[_Waiting] = deque()
        self._bytes = 0
        self._at_work = False
        self._tasks: set[asyncio.Task[None]] = set()
        self._pulse: asyncio.Task[None] | None = None
        self._missed = 0
        self._identity = ""
        self._floor = 0
        self.there = There.UP
        self.ages = Ages()
        self.groups = self.written = self.calls = self.bytes = 0  # for figures; bytes of what is put

    def start(self) -> None:
        """Begin to note moments; there must be a running loop."""
        self._pulse = asyncio.ensure_future(self._beat())

    @property
    def full(self) -> bool:
        """Whether no more can be taken in to be written."""
        return (
            len(self._waiting) >= MOST_ENTRIES
            or self._bytes >= MOST_BYTES
            or (bool(self._waiting) and self._now_s() - self._waiting[0].since > MOST_WAIT_S)
        )

    @property
    def revision(self) -> int:
        """The latest that the store is known to have been at."""
        return self._floor

    @property
    def up(self) -> bool:
        """Whether what is written now has a chance to be there soon."""
        return self.there is There.UP

    def write(
        self, make: Callable[[], Transaction | None], done: Callable[[Outcome], None], size: int
    ) -> None:
        """Write what `make` says by the time its group goes (None: nothing any more).

        `done` is called once, in a later turn. `size`: bytes, about.
        """
        self._waiting.append(_Waiting(make, done, size, self._now_s()))
        self._bytes += size
        if not self._at_work:
            self._at_work = True
            # In the next turn: what one turn brings about is one group.
            asyncio.get_running_loop().call_soon(self._begin)

    async def read(self, prefix: str) -> Done | Unknown:
        """What stands under a prefix now."""
        outcome = await self._call(lambda: self._store.read(prefix))
        assert not isinstance(outcome, Refused)
        return outcome

    async def commit(self, transaction: Transaction) -> Outcome:
        """One transaction by itself: a claim, or something that is thrown away."""
        return await self._call(lambda: self._store.commit(transaction))

    async def leave(self) -> None:
        """Write what waits, and let go of the store."""
        if self._pulse is not None:
            self._pulse.cancel()
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=LEAVE_S)
        for task in self._tasks:
            task.cancel()
        with contextlib.suppress(OSError, StoreError, TimeoutError):
            await asyncio.wait_for(self._store.close(), LEAVE_S)

    # At work.

    def _begin(self) -> None:
        task = asyncio.ensure_future(self._work())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _work(self) -> None:
        try:
            while self._waiting:
                await self._group()
        finally:
            self._at_work = False

    async def _group(self) -> None:
        group: list[_Waiting] = []
        transactions: list[Transaction] = []
        size = 0
        while (
            self._waiting
            and len(group) < GROUP_ENTRIES
            and (not group or size + self._waiting[0].size <= GROUP_BYTES)
        ):
            one = self._waiting.popleft()
            self._bytes -= one.size
            transaction = one.make()
            if transaction is not None:
                group.append(one)
                transactions.append(transaction)
                size += one.size
                self.bytes += sum(
                    len(put.key) + len(put.value) for put in transaction.changes if isinstance(put, Put)
                )
        if not group:
            return
        self.groups += 1
        self.written += len(group)
        outcomes = await self._call_all(transactions)
        for one, outcome in zip(group, outcomes, strict=True):
            one.done(outcome)

    async def _call_all(self, transactions: list[Transaction]) -> list[Outcome]:
        if self.there is There.ANOTHER:
            return [Unknown("the store is not the one we knew")] * len(transactions)
        sent, floor, identity = self._now_s(), self._floor, self._identity
        self.calls += 1
        try:
            outcomes = await asyncio.wait_for(self._store.commit_all(transactions), self._call_s)
        except TimeoutError:
            outcomes = [Unknown(f"no answer in {self._call_s:.2f} s")] * len(transactions)
        except StoreError as problem:
            outcomes = [Unknown(str(problem))] * len(transactions)
        return [self._heard(sent, floor, identity, one) for one in outcomes]

    async def _call(self, call: Callable[[], Coroutine[Any, Any, Outcome]]) -> Outcome:
        if self.there is There.ANOTHER:
            return Unknown("the store is not the one we knew")
        sent, floor, identity = self._now_s(), self._floor, self._identity
        self.calls += 1
        outcome: Outcome
        try:
            outcome = await asyncio.wait_for(call(), self._call_s)
        except TimeoutError:
            outcome = Unknown(f"no answer in {self._call_s:.2f} s")
        except StoreError as problem:
            outcome = Unknown(str(problem))
        return self._heard(sent, floor, identity, outcome)

    def _heard(self, sent: float, floor: int, identity: str, outcome: Outcome) -> Outcome:
        """Hold an answer against what was known when its call was sent."""
        if isinstance(outcome, Unknown):
            self._missed += 1
            if self._missed >= AWAY_AFTER and self.there is There.UP:
                self._set(There.AWAY, outcome.why)
            return outcome
        if (identity and outcome.identity != identity) or outcome.revision < floor:
            # Guards against a store that was restored: what it says of what ran is of yesterday.
            self._set(There.ANOTHER, f"revision {outcome.revision} after {floor}, {outcome.identity}")
            return Unknown("the store is not the one we knew")
        self._missed = 0
        self._identity, self._floor = outcome.identity, max(self._floor, outcome.revision)
        self.ages.told(sent, outcome.revision)
        if self.there is There.AWAY:
            self._set(There.UP, "")
        return outcome

    def _set(self, there: There, why: str) -> None:
        if self.there is not there and self.there is not There.ANOTHER:
            self.there = there
            self._say("records_" + there.value, detail=why)

    async def _beat(self) -> None:
        while self.there is not There.ANOTHER:
            await self.read("pulse")  # nothing stands there: the answer's revision is what is wanted
            await asyncio.sleep(PULSE_S if self.up else LOOK_AGAIN_S)
