"""Takes up the records of instances that are lost, a share each, at a pace that floods nobody.

A lost one is noticed by the end of its session, or by records that are open under a name that nobody has. Two
that try the same record meet at its compare: one has it, the other goes on.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from math import inf

from coveport.sidecar.intent_log.observed_age import Known
from coveport.sidecar.intent_log.record import RecordError, decode
from coveport.sidecar.intent_log.record_adopter import as_ours
from coveport.sidecar.intent_log.record_layout import BUCKET_S
from coveport.sidecar.intent_log.recorder import Recorder
from coveport.sidecar.intent_log.replayed_answers import Owner
from coveport.sidecar.intent_log.sharing import Pace, rank, wait_s
from coveport.sidecar.leases.store import Delete, Done, Transaction

LOOK_S = 0.25  # how often those that are known to be lost are looked at
SCAN_S = 5.0  # how often all that is open is looked through for owners that nobody is
SWEEP_S = 10.0  # how often closed ones are thrown away at the least, ...
SWEEPS = 8  # ... and how often while one is kept
SWEEP_PAUSE_S = 0.002  # between two of them: nobody is to wait for it


class Takers:
    """What one instance does about records that are nobody's. `busy`: own work waits."""

    def __init__(
        self,
        recorder: Recorder,
        name: str,
        *,
        pace: Pace,
        now_s: Callable[[], float],
        unix_s: Callable[[], float],
        chance: random.Random,
        busy: Callable[[], bool],
        count: Callable[[str], None],
        say: Callable[..., None],
    ) -> None:
        self._recorder = recorder
        self._name = name
        self._pace = pace
        self._now_s = now_s
        self._unix_s = unix_s
        self._chance = chance
        self._busy = busy
        self._count = count
        self._say = say
        self._lost: dict[str, float] = {}  # incarnations, and since when their records are looked at
        self._unreadable: set[str] = set()  # said once each
        self._known = Known(recorder.layout.kept_s)
        self._young_until = inf  # when what a sweep left as too young is old enough
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Begin; there must be a running loop."""
        self._tasks = [asyncio.ensure_future(work()) for work in (self._look, self._scan, self._sweep)]

    def stop(self) -> None:
        """Take nothing more."""
        for task in self._tasks:
            task.cancel()

    def gone(self, incarnation: str) -> None:
        """An instance's session is over."""
        if incarnation:
            self._lost.setdefault(incarnation, self._now_s())

    @property
    def _may(self) -> bool:
        return self._recorder.journal.up and self._recorder.token != 0

    async def _look(self) -> None:
        while True:
            await asyncio.sleep(LOOK_S * self._chance.uniform(0.8, 1.2))
            for incarnation in list(self._lost):
                if self._may:
                    await self._see_to(incarnation)

    async def _see_to(self, incarnation: str) -> None:
        """Look at what a lost one has left."""
        recorder, now = self._recorder, self._now_s()
        if incarnation != recorder.incarnation:
            await recorder.whether_leaving(incarnation)
            owner = recorder.presence.of(self._now_s(), incarnation)
            if owner is Owner.THERE:
                self._lost.pop(incarnation, None)  # it is back, or was never gone
                return
            if owner is Owner.LEAVING:
                self._lost[incarnation] = now
                return
        found = await recorder.journal.read(recorder.layout.open_keys(incarnation))
        if not isinstance(found, Done):
            return
        ids = [recorder.layout.owner_and_id(one.key)[1] for one in found.entries]
        ids = [one for one in ids if not recorder.has(one) and one not in self._unreadable]
        if not ids:
            self._lost.pop(incarnation, None)
            recorder.presence.forget(incarnation)
            return
        since = self._lost.setdefault(incarnation, now)
        self._chance.shuffle(ids)  # two that come to the same ones come to them in another order
        for identity in ids:
            if not self._may:
                return
            if now - since < wait_s(identity, self._name, (*recorder.presence.names, self._name)):
                continue
            while (wait := self._pace.wait_s(self._now_s(), self._busy())) > 0:
                await asyncio.sleep(wait)
            await self._take(identity, incarnation)

    async def _take(self, identity: str, owner: str) -> None:
        """Claim one, and do what the table says."""
        recorder = self._recorder
        found = await recorder.journal.read(recorder.layout.record_key(identity))
        if not isinstance(found, Done) or not found.entries:
            return
        entry = found.entries[0]
        try:
            record = decode(entry.value)
        except RecordError as problem:
            if identity not in self._unreadable:
                self._unreadable.add(identity)
                self._count("work_unreadable")
                self._say("record_unreadable", id=identity, why=str(problem))
            return
        if not record.open or record.owner != owner or recorder.has(identity):
            return
        age_s = recorder.journal.ages.at_most(self._now_s(), entry.modified)
        ours = as_ours(record, entry, recorder.incarnation, recorder.token)
        revision = await recorder.claim(record, entry, ours)
        if revision is None:
            return
        self._count("work_taken_over")
        recorder.took_over(ours, revision, age_s)

    async def _scan(self) -> None:
        """Look for what is open under a name that nobody has: its end was seen by nobody."""
        while True:
            await asyncio.sleep(SCAN_S * self._chance.uniform(0.5, 1.5))
            if not self._may:
                continue
            recorder = self._recorder
            presence = recorder.presence
            found = await recorder.journal.read(recorder.layout.open_keys())
            if isinstance(found, Done):
                for owner in {recorder.layout.owner_and_id(one.key)[0] for one in found.entries}:
                    if owner == recorder.incarnation or presence.of(self._now_s(), owner) is not Owner.THERE:
                        self.gone(owner)

    async def _sweep(self) -> None:
        """Throw away what was kept long enough: once all that is old, then bucket by bucket, by turns."""
        swept = -1
        every_s = min(SWEEP_S, self._recorder.layout.kept_s / SWEEPS)
        while True:
            await asyncio.sleep(every_s * self._chance.uniform(0.5, 1.5))
            if not self._may:
                continue
            now = self._now_s()
            self._known.note(now, self._recorder.journal.revision)
            due = int(self._unix_s() // BUCKET_S) - 1
            if now >= self._young_until:
                swept, self._young_until = -1, inf
            if swept < 0:
                whole = await self._sweep_one(None, due)
            else:
                whole = True
                for bucket in range(swept + 1, due + 1):
                    # The first in a bucket's order sees to it. What it leaves goes with the next start.
                    if rank(f"{bucket}", self._name, (*self._recorder.presence.names, self._name)) == 0:
                        whole = whole and await self._sweep_one(bucket, due)
            if whole:
                swept = due

    async def _sweep_one(self, bucket: int | None, due: int) -> bool:
        """Throw a bucket away, or all that are due; False where the store did not say."""
        recorder = self._recorder
        found = await recorder.journal.read(recorder.layout.kept_keys(bucket))
        if not isinstance(found, Done):
            return False
        for one in found.entries:
            of, identity = recorder.layout.bucket_and_id(one.key)
            if of > due:
                continue
            stands = await recorder.journal.read(recorder.layout.record_key(identity))
            if not isinstance(stands, Done):
                return False
            gone = Transaction((), (Delete(one.key),))  # an index that was left behind
            if stands.entries and self._is_kept_by(stands.entries[0].value, one.key):
                now = self._now_s()
                rest_s = recorder.layout.kept_s - self._known.at_least(now, stands.entries[0].modified)
                if rest_s > 0:
                    # Guards against wall clocks, ours and its owner's: by them it may be old from the start.
                    self._young_until = min(self._young_until, now + rest_s)
                    continue
                gone = recorder.layout.throw_away(identity, stands.entries[0].modified, one.key)
            await recorder.journal.commit(gone)
            await asyncio.sleep(SWEEP_PAUSE_S)
        return True

    def _is_kept_by(self, data: bytes, key: str) -> bool:
        try:
            return self._recorder.layout.index(decode(data)) == key
        except RecordError:
            return False
