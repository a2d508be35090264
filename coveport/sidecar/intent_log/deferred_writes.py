"""What ended while the store did not say: remembered, and written down once it is back."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

import msgspec

from coveport.sidecar.intent_log.journal import Journal
from coveport.sidecar.intent_log.pending_operation import Hand
from coveport.sidecar.intent_log.record import End, Record, RecordError, decode
from coveport.sidecar.intent_log.record_layout import RecordLayout
from coveport.sidecar.leases.store import Done

MOST = 4096  # that are remembered
LOOK_S = 0.5
FIRST_REVISION = 1  # of every store: whatever is that old has no bound to its age


class Late:
    """Operations that are answered, and the store has not heard how; by their records' ids."""

    def __init__(
        self,
        journal: Journal,
        layout: RecordLayout,
        chance: random.Random,
        count: Callable[[str], None],
        unix_s: Callable[[], float],
    ) -> None:
        self._journal = journal
        self._layout = layout
        self._chance = chance
        self._count = count
        self._unix_s = unix_s
        self._hands: dict[str, Hand] = {}

    def __len__(self) -> int:
        return len(self._hands)

    def __contains__(self, identity: str) -> bool:
        return identity in self._hands

    def get(self, identity: str) -> Hand | None:
        """What is remembered of one."""
        return self._hands.get(identity)

    def remember(self, hand: Hand) -> None:
        """It is answered; how, is to be written down."""
        self._hands[hand.record.id] = hand
        if len(self._hands) > MOST:
            # What stands of it, if anything does, says that it may have run.
            del self._hands[next(iter(self._hands))]
            self._count("work_forgotten")

    async def tend(self, may: Callable[[], bool], say: Callable[..., None]) -> None:
        """Write down what is remembered whenever we have a session (`may`) and the store is there."""
        recording = False
        while True:
            if recording is not (may() and self._journal.up):
                recording = not recording
                say("recording" if recording else "not_recording")
            await asyncio.sleep(LOOK_S * self._chance.uniform(0.8, 1.2))
            for identity, hand in list(self._hands.items()):
                if not self._journal.up or not may():
                    break
                if await self.write(hand) and self._hands.get(identity) is hand:
                    del self._hands[identity]

    async def write(self, hand: Hand) -> bool:
        """Write down how one ended; False: not now."""
        record = hand.record
        found = await self._journal.read(self._layout.record_key(record.id))
        if not isinstance(found, Done):
            return False
        before: Record | None = None
        revision = 0
        if found.entries:
            try:
                before = decode(found.entries[0].value)
            except RecordError:
                return True
            revision = found.entries[0].modified
            if (before.owner, before.owners, before.lives, before.asked) != (
                record.owner,
                record.owners,
                record.lives,
                record.asked,
            ) or not before.open:
                return True  # another's by now, or another ask's, or closed: it goes by what stands there
        elif hand.revision:
            return True  # it was there and was thrown away
        if record.open:
            record = record.closed(
                End.FAILED if record.may_have_run else End.NEVER_RAN, "not answered", self._unix_s()
            )
        if record.attempts:
            # Nobody knows how old they are: their window counts as over.
            record = msgspec.structs.replace(record, since=hand.since or FIRST_REVISION)
        outcome = await self._journal.commit(self._layout.write(before, revision, record))
        if isinstance(outcome, Done):
            self._count("work_written_late")
        return isinstance(outcome, Done)
