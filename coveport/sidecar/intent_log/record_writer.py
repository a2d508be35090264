"""The records of an instance that are open, and how each comes to stand in the store as it is here."""

from __future__ import annotations

import asyncio
import random
import time
from abc import ABC, abstractmethod
from collections.abc import Callable
from functools import partial
from typing import Any

import msgspec

from coveport.sidecar.intent_log.deferred_writes import Late
from coveport.sidecar.intent_log.encryption import Kept
from coveport.sidecar.intent_log.execution import Hands
from coveport.sidecar.intent_log.journal import Journal
from coveport.sidecar.intent_log.pending_operation import Hand, Stage
from coveport.sidecar.intent_log.presence import Presence
from coveport.sidecar.intent_log.record_layout import RecordLayout
from coveport.sidecar.intent_log.terms import WorkTerms
from coveport.sidecar.leases.store import Outcome, Refused, Transaction, Unknown

SIZE = 700  # of a record without request and answer


class RecordWriter(ABC):
    """Keeps the tables of what is open, and writes it down; what is refused is another's from then on.

    `session`: the token of our session with the leases' store, 0 where there is none. `now_s`: a clock that
    runs through sleep. `count`: adds to a figure by its name.
    """

    def __init__(
        self,
        hands: Hands,
        journal: Journal,
        layout: RecordLayout,
        kept: Kept,
        presence: Presence,
        terms: WorkTerms,
        incarnation: str,
        *,
        session: Callable[[], int],
        now_s: Callable[[], float],
        chance: random.Random,
        count: Callable[[str], None],
        say: Callable[..., None],
        unix_s: Callable[[], float] = time.time,
    ) -> None:
        self._hands = hands
        self.journal = journal
        self.layout = layout
        self.kept = kept
        self.presence = presence
        self._terms = terms
        self.incarnation = incarnation
        self._session = session
        self._now_s = now_s
        self._chance = chance
        self._count = count
        self._say = say
        self._unix_s = unix_s
        self._by_number: dict[int, Hand] = {}
        self._by_id: dict[str, Hand] = {}  # ours and open
        self._waiters: dict[int, asyncio.Task[None]] = {}
        self._clients: dict[int, Any] = {}  # of those whose operation is elsewhere
        self._late = Late(journal, layout, chance, count, unix_s)
        self._own = 0  # operations that we began ourselves, counted down from -1
        self._token = 0  # while leaving: that of the session before
        self._tending: asyncio.Task[None] | None = None

    def has(self, identity: str) -> bool:
        """Whether a record is in hand here."""
        return identity in self._by_id or identity in self._late

    @property
    def token(self) -> int:
        """Under which records are ours now; 0: none may be taken."""
        return self._token or self._session()

    @staticmethod
    def _loop() -> asyncio.AbstractEventLoop:
        return asyncio.get_running_loop()

    def _fence(self, hand: Hand) -> Callable[[], bool]:
        return lambda: hand.fence(self._now_s())

    def _push(self, hand: Hand) -> None:
        if hand.writing or hand.stage is not Stage.OURS or hand.record is hand.written:
            return
        hand.writing = True
        self.journal.write(
            partial(self._make, hand),
            partial(self._wrote, hand),
            SIZE + len(hand.record.request) + len(hand.record.answer),
        )

    def _make(self, hand: Hand) -> Transaction | None:
        if hand.stage is not Stage.OURS:
            hand.writing = False
            return None
        hand.target = hand.record
        told = msgspec.structs.replace(hand.record, since=hand.since) if hand.since else hand.record
        return self.layout.write(hand.written, hand.revision, told)

    def _wrote(self, hand: Hand, outcome: Outcome) -> None:
        hand.writing = False
        if hand.stage is not Stage.OURS:
            return
        if isinstance(outcome, Refused):
            self._not_ours(hand)
            return
        if isinstance(outcome, Unknown):
            self._adrift(hand)
            return
        hand.revision, hand.written = outcome.revision, hand.target
        if hand.written is not None and hand.written.attempts and not hand.since:
            hand.since = outcome.revision
        for step in [one for one in hand.gates if hand.is_durable(one)]:
            hand.gates.pop(step)(self._fence(hand))
        if hand.written is not None and not hand.written.open:
            self._deliver(hand)
            self._count(f"work_{hand.written.said.replace('-', '_')}")
            if hand.record is hand.written:
                hand.to(Stage.OVER)
                self._drop(hand)
                return
        self._push(hand)

    def _not_ours(self, hand: Hand) -> None:
        """The store refuses our writing: it is recorded already, or another has claimed it."""
        if hand.answered:
            self._deliver(hand)  # a node made it: it is true, whosever the record is
            hand.to(Stage.OVER)
            self._drop(hand)
            self._shut(hand)
            return
        hand.to(Stage.ELSEWHERE)
        if self._by_id.get(hand.record.id) is hand:
            del self._by_id[hand.record.id]
        self._elsewhere(hand)

    def _adrift(self, hand: Hand) -> None:
        """The store does not say whether it is written."""
        self._count("work_adrift")
        hand.to(Stage.UNRECORDED)
        # Where something of it stands there, a successor may say of it that it never ran: so it must not.
        # What stands nowhere, or as being sent, nobody says that of.
        on_its_way = hand.target is not None and bool(hand.target.attempts)
        hand.may_send = hand.revision == 0 and on_its_way and hand.record.cls not in self._terms.refuse
        if hand.answered:
            self._deliver(hand)
            hand.to(Stage.OVER)
            self._drop(hand)
            self._late.remember(hand)
            self._shut(hand)
            return
        gates, hand.gates = hand.gates, {}
        for go in gates.values():
            go(self._fence(hand) if hand.may_send else None)

    @staticmethod
    def _shut(hand: Hand) -> None:
        """Nothing more of it is sent."""
        gates, hand.gates = hand.gates, {}
        for go in gates.values():
            go(None)

    @staticmethod
    def _deliver(hand: Hand) -> None:
        deliver, hand.deliver = hand.deliver, None
        if deliver is not None:
            deliver()

    def _finish(self, hand: Hand) -> None:
        """It is answered: what is left is to write it down."""
        if hand.stage is Stage.UNRECORDED:
            hand.to(Stage.OVER)
            self._drop(hand)
            self._late.remember(hand)
        elif (
            hand.stage is Stage.OURS
            and hand.written is None
            and not hand.writing
            and (not hand.record.attempts and not hand.gates)
        ):
            # Nothing of it has gone to the store, so nothing need be said there.
            hand.to(Stage.OVER)
            self._drop(hand)
        else:
            self._push(hand)

    def _drop(self, hand: Hand) -> None:
        for number in hand.numbers:
            self._by_number.pop(number, None)
            self._clients.pop(number, None)
        if self._by_id.get(hand.record.id) is hand:
            del self._by_id[hand.record.id]

    @abstractmethod
    def _elsewhere(self, hand: Hand) -> None:
        """Its record is another's: what was begun of it here is withdrawn, and its client waits."""
