"""Deletes closed records after their retention time."""

from __future__ import annotations

import asyncio
from math import inf

from coveport.sidecar.intent_log.errors import RecordError
from coveport.sidecar.intent_log.observed_age import AgeLowerBound
from coveport.sidecar.intent_log.record_codec import decode
from coveport.sidecar.intent_log.record_layout import BUCKET_S
from coveport.sidecar.intent_log.recorder import Recorder
from coveport.sidecar.intent_log.runtime import Runtime
from coveport.sidecar.intent_log.takeover_order import rank
from coveport.sidecar.leases.store import Delete, Done, Entry, Transaction

MAX_INTERVAL_S = 10.0  # maximum interval between two sweeps
SWEEPS_PER_RETENTION = 8  # minimum number of sweeps within a retention time
JITTER = (0.5, 1.5)  # bounds of the random factor of the interval
PAUSE_S = 0.002  # pause between two deletions, so that deletions don't delay operations
_NOTHING_SWEPT = -1  # value of `_swept_bucket` before the first sweep


class RetentionSweeper:
    """Deletes expired records for one instance.

    The first sweep covers all buckets of the index; later sweeps cover the buckets that have become due,
    which the instances divide by rank. A record's bucket comes from wall clocks and is only a hint: the
    record is deleted only after this instance has known its revision for the retention time.
    """

    def __init__(self, recorder: Recorder, runtime: Runtime) -> None:
        self._recorder = recorder
        self._runtime = runtime
        self._name = runtime.name
        self._now_s = runtime.now_s
        self._ages = AgeLowerBound(recorder.layout.retention_s)
        self._swept_bucket = _NOTHING_SWEPT
        self._resweep_s = inf  # when the first record that a sweep left as too young will be old enough
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start the sweeps; must be called in a running loop."""
        self._task = asyncio.ensure_future(self._run())

    def stop(self) -> None:
        """Stop the sweeps."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        recorder = self._recorder
        interval_s = min(MAX_INTERVAL_S, recorder.layout.retention_s / SWEEPS_PER_RETENTION)
        while True:
            await asyncio.sleep(interval_s * self._runtime.rng.uniform(*JITTER))
            if not recorder.may_write:
                continue
            now_s = self._now_s()
            self._ages.observe(now_s, recorder.journal.revision)
            last_bucket = int(self._runtime.unix_s() // BUCKET_S) - 1
            if now_s >= self._resweep_s:
                self._swept_bucket = _NOTHING_SWEPT
                self._resweep_s = inf
            if await self._sweep(last_bucket):
                self._swept_bucket = last_bucket

    async def _sweep(self, last_bucket: int) -> bool:
        """Sweep the due buckets that were not swept yet; return False if the store did not respond."""
        if self._swept_bucket < 0:
            return await self._sweep_index(self._recorder.layout.retained_prefix(), last_bucket)
        for bucket in range(self._swept_bucket + 1, last_bucket + 1):
            # The first instance in a bucket's order sweeps the bucket. Records that remain are swept at the
            # next start.
            names = (*self._recorder.presence.names, self._name)
            if rank(f"{bucket}", self._name, names) != 0:
                continue
            if not await self._sweep_index(self._recorder.layout.retained_prefix(bucket), last_bucket):
                return False
        return True

    async def _sweep_index(self, prefix: str, last_bucket: int) -> bool:
        """Delete the due records under an index prefix; return False if the store did not respond."""
        recorder = self._recorder
        outcome = await recorder.journal.read(prefix)
        if not isinstance(outcome, Done):
            return False
        for index in outcome.entries:
            bucket, record_id = recorder.layout.bucket_and_id(index.key)
            if bucket > last_bucket:
                continue
            record = await recorder.journal.read(recorder.layout.record_key(record_id))
            if not isinstance(record, Done):
                return False
            deletion = self._deletion(record_id, index.key, record.entries)
            if deletion is not None:
                await recorder.journal.commit(deletion)
                await asyncio.sleep(PAUSE_S)
        return True

    def _deletion(self, record_id: str, index: str, entries: tuple[Entry, ...]) -> Transaction | None:
        """Return the deletion of a record, or of a stale index key; None if the record is too young."""
        layout = self._recorder.layout
        if not entries or not self._is_indexed_by(entries[0].value, index):
            return Transaction((), (Delete(index),))
        now_s = self._now_s()
        left_s = layout.retention_s - self._ages.at_least(now_s, entries[0].modified)
        if left_s > 0:
            # The record stays: its bucket may be due only because the wall clock of this instance or of the
            # owner is wrong, which makes records look older than they are.
            self._resweep_s = min(self._resweep_s, now_s + left_s)
            return None
        return layout.deletion(record_id, entries[0].modified, index)

    def _is_indexed_by(self, data: bytes, index: str) -> bool:
        try:
            return self._recorder.layout.index_key(decode(data)) == index
        except RecordError:
            return False
