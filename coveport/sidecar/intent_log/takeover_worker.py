"""Takes over the records of lost instances, divided among the remaining instances and at a limited rate.

A loss is detected by the end of a session, or by open records whose owner has no session. Where two instances
try to claim the same record, the comparison of its revision lets one claim succeed and refuses the other.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from coveport.sidecar.intent_log.errors import RecordError
from coveport.sidecar.intent_log.presence import OwnerStatus
from coveport.sidecar.intent_log.record import Record
from coveport.sidecar.intent_log.record_adopter import as_owned
from coveport.sidecar.intent_log.record_codec import decode
from coveport.sidecar.intent_log.recorder import Recorder
from coveport.sidecar.intent_log.runtime import Runtime
from coveport.sidecar.intent_log.takeover_order import takeover_delay_s
from coveport.sidecar.intent_log.token_bucket import TokenBucket
from coveport.sidecar.leases.store import Done, Entry

TAKEOVER_INTERVAL_S = 0.25  # interval between two passes over the records of lost owners
TAKEOVER_JITTER = (0.8, 1.2)  # bounds of the random factor of the interval
SCAN_INTERVAL_S = 5.0  # interval between scans of all open records for owners without a session
SCAN_JITTER = (0.5, 1.5)  # bounds of the random factor of the interval


class TakeoverWorker:
    """Finds and takes over lost instances' records for one instance.

    `is_busy`: returns whether this instance's own operations wait.
    """

    def __init__(
        self,
        recorder: Recorder,
        rate_limit: TokenBucket,
        is_busy: Callable[[], bool],
        runtime: Runtime,
    ) -> None:
        self._recorder = recorder
        self._rate_limit = rate_limit
        self._is_busy = is_busy
        self._runtime = runtime
        self._name = runtime.name
        self._now_s = runtime.now_s
        # By incarnation: time from which its records may be taken over.
        self._lost_since: dict[str, float] = {}
        self._unreadable: set[str] = set()  # ids of unreadable records, each reported once
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start the takeovers and scans; must be called in a running loop."""
        self._tasks = [asyncio.ensure_future(work()) for work in (self._take_over_lost, self._scan)]

    def stop(self) -> None:
        """Stop the takeovers and scans."""
        for task in self._tasks:
            task.cancel()

    def owner_lost(self, incarnation: str) -> None:
        """Note that an instance's session is over; an empty incarnation is ignored."""
        if incarnation:
            self._lost_since.setdefault(incarnation, self._now_s())

    async def _take_over_lost(self) -> None:
        while True:
            await asyncio.sleep(TAKEOVER_INTERVAL_S * self._runtime.rng.uniform(*TAKEOVER_JITTER))
            for incarnation in list(self._lost_since):
                if self._recorder.may_write:
                    await self._take_over_from(incarnation)

    async def _take_over_from(self, incarnation: str) -> None:
        """Take over the records of a lost instance for which this instance's delay has passed."""
        now_s = self._now_s()
        if not await self._is_lost(incarnation, now_s):
            return
        record_ids = await self._open_ids(incarnation)
        if record_ids is None:
            return
        if not record_ids:
            self._lost_since.pop(incarnation, None)
            self._recorder.presence.forget(incarnation)
            return
        lost_s = now_s - self._lost_since.setdefault(incarnation, now_s)
        # A random order: two instances with the same records rarely try the same record at the same time.
        self._runtime.rng.shuffle(record_ids)
        for record_id in record_ids:
            if not self._recorder.may_write:
                return
            names = (*self._recorder.presence.names, self._name)
            if lost_s < takeover_delay_s(record_id, self._name, names):
                continue
            await self._wait_for_token()
            await self._take_over(record_id, incarnation)

    async def _wait_for_token(self) -> None:
        while True:
            wait_s = self._rate_limit.wait_s(self._now_s(), self._is_busy())
            if wait_s <= 0:
                return
            await asyncio.sleep(wait_s)

    async def _is_lost(self, incarnation: str, now_s: float) -> bool:
        """Return whether an owner's records may be taken over; True for this instance's earlier claims."""
        recorder = self._recorder
        if incarnation == recorder.incarnation:
            return True
        await recorder.refresh_drain_notice(incarnation)
        status = recorder.presence.status_of(self._now_s(), incarnation)
        if status is OwnerStatus.ALIVE:
            self._lost_since.pop(incarnation, None)  # the instance has a session again, or was never lost
            return False
        if status is OwnerStatus.DRAINING:
            self._lost_since[incarnation] = now_s
            return False
        return True

    async def _open_ids(self, incarnation: str) -> list[str] | None:
        """Return the ids of an owner's open records that may be claimed; None without a store response."""
        recorder = self._recorder
        outcome = await recorder.journal.read(recorder.layout.open_prefix(incarnation))
        if not isinstance(outcome, Done):
            return None
        record_ids = [recorder.layout.owner_and_id(entry.key)[1] for entry in outcome.entries]
        return [
            record_id
            for record_id in record_ids
            if not recorder.has(record_id) and record_id not in self._unreadable
        ]

    async def _take_over(self, record_id: str, owner: str) -> None:
        """Claim a record, and pass it to the recorder to be continued."""
        recorder = self._recorder
        outcome = await recorder.journal.read(recorder.layout.record_key(record_id))
        if not isinstance(outcome, Done) or not outcome.entries:
            return
        entry = outcome.entries[0]
        record = self._decoded(record_id, entry)
        if record is None or not record.is_open or record.owner != owner or recorder.has(record_id):
            return
        accepted_age_s = recorder.journal.ages.at_most(self._now_s(), entry.modified)
        owned = as_owned(record, entry, recorder.incarnation, recorder.token)
        revision = await recorder.claim(record, entry, owned)
        if revision is None:
            return
        self._runtime.count("work_taken_over")
        recorder.adopt(owned, revision, accepted_age_s)

    def _decoded(self, record_id: str, entry: Entry) -> Record | None:
        """Return a stored record; None if it can't be read, which is reported once for each record."""
        try:
            return decode(entry.value)
        except RecordError as error:
            if record_id not in self._unreadable:
                self._unreadable.add(record_id)
                self._runtime.count("work_unreadable")
                self._runtime.log_event("record_unreadable", id=record_id, why=str(error))
            return None

    async def _scan(self) -> None:
        """Find owners that have open records but no session, and whose loss this instance has not noticed."""
        recorder = self._recorder
        while True:
            await asyncio.sleep(SCAN_INTERVAL_S * self._runtime.rng.uniform(*SCAN_JITTER))
            if not recorder.may_write:
                continue
            outcome = await recorder.journal.read(recorder.layout.open_prefix())
            if not isinstance(outcome, Done):
                continue
            for owner in {recorder.layout.owner_and_id(entry.key)[0] for entry in outcome.entries}:
                if self._may_be_lost(owner):
                    self.owner_lost(owner)

    def _may_be_lost(self, owner: str) -> bool:
        if owner == self._recorder.incarnation:
            # These records were left by claims whose responses were lost; they are not pending on this
            # instance.
            return True
        return self._recorder.presence.status_of(self._now_s(), owner) is not OwnerStatus.ALIVE
