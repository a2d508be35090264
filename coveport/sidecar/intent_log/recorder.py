"""Writes operations down before they can run, and answers who asks again for one that is recorded.

It stands between whoever carries operations out (`Hands`) and the journal. What it decides is in the pure
modules beside it: `record`, `hand`, `again`, `takeover`. Nothing of an operation goes out before the journal
has said that its record stands as ours; whatever the journal says else ends it here.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import msgspec

from coveport.balancing import interface as api
from coveport.balancing.interface import Effect
from coveport.balancing.interface import Outcome as Ended
from coveport.sidecar.intent_log.encryption import Asked, Given
from coveport.sidecar.intent_log.execution import Answering
from coveport.sidecar.intent_log.pending_operation import Go, Hand, Stage
from coveport.sidecar.intent_log.record import Attempt, End, Record, RecordError, Rules, decode
from coveport.sidecar.intent_log.record_adopter import RecordAdopter, as_ours
from coveport.sidecar.intent_log.record_layout import Leaves, digest_of, id_of
from coveport.sidecar.intent_log.replayed_answers import Owner, Then, decide_again, told_late
from coveport.sidecar.leases.store import Delete, Done, Entry, Put, Transaction
from coveport.sidecar.reducer.messages import Verdict
from coveport.sidecar.reducer.operation import Answer, Operation

POLL_S = (0.015, 0.03)  # how often a record is looked at for whom somebody waits
LATE_S = 0.03  # so long before its time is over who waits is told what is known
ANSWER_S = 0.05  # how long an answer waits to be durable at the most
OUT_MOST = 2000  # that wait for another's try


class Recorder(RecordAdopter):
    """Records of one instance's operations. Must live in a running loop from `start` on."""

    def start(self) -> None:
        """Begin."""
        self.journal.start()
        self._tending = asyncio.ensure_future(self._late.tend(lambda: self.token != 0, self._say))

    async def leaving(self, within_s: float) -> None:
        """We are told to end: what is ours stays ours until it is answered, for so long."""
        self._token = self._session()
        if self._token:
            await self.journal.commit(self._note(within_s))

    def _note(self, within_s: float) -> Transaction:
        return Transaction(
            (), (Put(self.layout.leaving_key(self.incarnation), msgspec.json.encode(Leaves(within_s))),)
        )

    async def left(self) -> None:
        """We have answered all that we can: what is open still is handed on at once."""
        if self._tending is not None:
            self._tending.cancel()
        for task in list(self._waiters.values()):
            task.cancel()
        if self._token:
            await self.journal.commit(Transaction((), (Delete(self.layout.leaving_key(self.incarnation)),)))
        await self.journal.leave()

    @property
    def tables(self) -> dict[str, int]:
        """How many entries each table has."""
        return {
            "work": len(self._by_number),
            "work_open": len(self._by_id),
            "work_later": len(self._late),
            "work_waiting": len(self._waiters),
        }

    # What comes from whoever carries operations out.

    def take(self, number: int, client: Any, asked: Operation) -> Any:
        """An operation has come; who is to be given its answer, None: it is answered past them."""
        if number in self._by_number or not asked.room:
            return client
        cls = self._hands.settings.classes[asked.cls]
        if cls.name not in self._terms.record:
            return client
        if asked.upload is not None:
            self._count("work_long")
            return client
        if not self.token or not self.journal.up:
            self._count("work_unrecorded")
            if cls.name in self._terms.refuse:
                asked.room = False
            return client
        if self.journal.full or len(self._waiters) >= OUT_MOST:
            self._count("work_no_room")
            asked.room = False  # turned away at once: later it would be late
            return client
        now = self._now_s()
        identity = self._identity(number, asked)
        hand = Hand(number, asked, self._new(identity, cls, asked), now + asked.wait_ms / 1000)
        self._by_number[number] = hand
        self._clients[number] = client
        if identity in self._by_id or identity in self._late:
            # Ours already: nothing is begun for this one.
            hand.to(Stage.ELSEWHERE)
            self._loop().call_soon(self._elsewhere, hand)
            return None
        self._by_id[identity] = hand
        self._push(hand)
        return Answering(self, hand, client)

    def _identity(self, number: int, asked: Operation) -> str:
        if asked.key is None and not self._terms.by_request_id:
            # Nobody can ask for it again: it is known to staff alone.
            return id_of("", f"{asked.id} {self.incarnation} {number}")
        return id_of(asked.key or "", asked.id)

    def _new(self, identity: str, cls: api.RequestClass, asked: Operation) -> Record:
        sealed = self.kept.asked(identity, _as_asked(asked))
        return Record(
            id=identity,
            key=asked.key or "",
            cls=cls.name,
            digest="" if sealed else digest_of(identity, asked.method, asked.target, asked.body),
            rules=Rules.of(cls, self._hands.settings.limits.max_attempts),
            owner=self.incarnation,
            token=self.token,
            request=sealed,
            asked=asked.id,
            unix=self._unix_s(),
        )

    def send(self, number: int, step: int, destination: int, go: Go) -> bool:
        """A route step is to be sent: at once (True), or when `go` says so."""
        hand = self._by_number.get(number)
        if hand is None:
            return True
        if hand.stage not in (Stage.OURS, Stage.UNRECORDED) or not hand.may_send:
            self._loop().call_soon(go, None)
            return False
        node, zone, cell = self._hands.place_of(destination)
        attempt = Attempt(node, zone, cell, self.incarnation, unix=self._unix_s())
        try:
            hand.sending(step, attempt, self._now_s())
        except RecordError:
            self._loop().call_soon(go, None)  # all instances together have made as many as there may be
            return False
        if hand.stage is Stage.UNRECORDED:
            self._loop().call_soon(go, self._fence(hand))
            return False
        hand.gates[step] = go
        self._push(hand)
        return False

    def ended(self, number: int, step: int, outcome: Ended) -> None:
        """A route step has ended."""
        hand = self._by_number.get(number)
        if hand is None:
            return
        hand.gates.pop(step, None)
        hand.ended(step, outcome)
        if not hand.answered and outcome is not Ended.OK:
            self._push(hand)

    def gone(self, number: int) -> None:
        """Its client has gone away."""
        hand = self._by_number.get(number)
        if hand is None:
            return
        self._clients.pop(number, None)
        if number != hand.number:
            hand.took_over = True  # begun for that client under a number of our own: it goes on by itself
            return
        if hand.answered:
            return
        if hand.stage is Stage.ELSEWHERE:
            hand.to(Stage.OVER)
            self._drop(hand)
            return
        hand.answered, hand.deliver = True, None
        end, why = hand.end_of(False, False)
        if end is End.SERVED:
            why = "its client went away"
        hand.close(end, why or "its client went away", self._unix_s())
        self._finish(hand)

    # The answer.

    def answered(
        self, hand: Hand, verdict: Verdict, answer: Answer | None, deliver: Callable[[], None]
    ) -> None:
        """The one final answer is there; pass it on as soon as the class allows."""
        if hand.answered or hand.stage is Stage.ELSEWHERE:
            return
        if hand.took_over and verdict is not Verdict.SERVED and self._again_later(hand):
            return
        hand.answered = True
        served = verdict is Verdict.SERVED
        end, why = hand.end_of(served, verdict is Verdict.BUSY)
        given = b""
        if served and answer is not None:
            given = self.kept.given(hand.record.id, Given(answer.body, answer.content_type))
        hand.close(end, why, self._unix_s(), given)
        if hand.stage is Stage.OURS and served and hand.record.rules.effect is Effect.UNSAFE:
            # What was told is written: else a second till would be told that nobody knows.
            hand.deliver = deliver
            self._loop().call_later(max(0.0, min(ANSWER_S, hand.until - self._now_s())), self._overdue, hand)
        else:
            deliver()
        self._finish(hand)

    def _overdue(self, hand: Hand) -> None:
        if hand.deliver is not None:
            self._count("work_answers_unwritten")
            self._deliver(hand)

    def finished(self, hand: Hand, whole: bool) -> None:
        """A long answer has been passed on, or broke."""
        if hand.answered:
            return
        hand.answered = True
        end, why = hand.end_of(whole, False)
        hand.close(end, why or "its answer was too long to keep", self._unix_s())
        self._finish(hand)

    # Who asks again.

    def _elsewhere(self, hand: Hand) -> None:
        """Its record is another's: what was begun of it here is withdrawn, and its client waits."""
        if hand.stage is not Stage.ELSEWHERE:
            return
        self._hands.withdraw(hand.number)
        client = self._clients.get(hand.number)
        if hand.took_over or client is None:
            hand.to(Stage.OVER)
            self._drop(hand)
            return
        number, task = hand.number, asyncio.ensure_future(self._wait(hand, client))
        self._waiters[number] = task
        task.add_done_callback(lambda _: self._waiters.pop(number, None))

    async def _wait(self, hand: Hand, client: Any) -> None:
        """Look at the record until something can be told, or its client's time is nearly over."""
        record: Record | None = hand.record if hand.revision else None
        while hand.stage is Stage.ELSEWHERE and self._now_s() < hand.until - LATE_S:
            known = self._late.get(hand.record.id) or self._by_id.get(hand.record.id)
            if known is not None:
                # Guards against a second beginning: we know what the store has not heard of, or not yet.
                record = known.record
                await asyncio.sleep(self._chance.uniform(*POLL_S))
                continue
            found = await self.journal.read(self.layout.record_key(hand.record.id))
            if hand.stage is not Stage.ELSEWHERE:
                return
            if isinstance(found, Done):
                if not found.entries:
                    self._anew(hand, client)
                    return
                try:
                    record = decode(found.entries[0].value)
                except RecordError as problem:
                    self._say("record_unreadable", id=hand.record.id, why=str(problem))
                    self._tell(hand, client, Verdict.FAILED)
                    return
                if await self._done_with(hand, client, record, found.entries[0]):
                    return
            await asyncio.sleep(self._chance.uniform(*POLL_S))
        if hand.stage is Stage.ELSEWHERE:
            self._count("work_told_late")
            self._tell(hand, client, Verdict.BUSY if told_late(record) else Verdict.FAILED)

    async def _done_with(self, hand: Hand, client: Any, record: Record, entry: Entry) -> bool:
        """Whether nothing more is to be waited for."""
        given = self.kept.read_given(record.id, record.answer)
        told = decide_again(record, self._owner(record), self._same(hand, record), given is not None)
        if told.then is Then.CLAIM and record.owner != self.incarnation:
            # Guards against taking away what one that leaves is about to end.
            await self.whether_leaving(record.owner)
            told = decide_again(record, self._owner(record), True, given is not None)
        if told.then is Then.WAIT or hand.stage is not Stage.ELSEWHERE:
            return told.then is not Then.WAIT
        self._count(f"work_again_{told.then.value}")
        if told.then is Then.GIVE:
            assert given is not None
            self._tell(hand, client, Verdict.SERVED, Answer(given.body, given.content_type))
            return True
        if told.then in (Then.OTHER, Then.TOLD):
            self._tell(hand, client, Verdict.DOUBLE if told.then is Then.OTHER else Verdict.FAILED)
            return True
        ours = as_ours(record, entry, self.incarnation, self.token)
        ours = msgspec.structs.replace(ours, asked=hand.asked.id)
        taken = await self.claim(record, entry, ours) if self.token else None
        if taken is None or hand.stage is not Stage.ELSEWHERE:
            if taken is not None:
                self._abandon(ours, taken)
            return False
        return self._take_on(hand, client, ours, taken, entry)

    def _owner(self, record: Record) -> Owner:
        if record.owner == self.incarnation:
            # Ours, and not in hand: a claim of ours whose answer was lost.
            return Owner.OURS if record.id in self._by_id or record.id in self._late else Owner.LOST
        return self.presence.of(self._now_s(), record.owner)

    def _same(self, hand: Hand, record: Record) -> bool | None:
        asked = hand.asked
        if record.digest:
            return record.digest == digest_of(record.id, asked.method, asked.target, asked.body)
        kept = self.kept.read_asked(record.id, record.request)
        if kept is None:
            return None
        return (kept.method, kept.target, kept.body) == (asked.method, asked.target, asked.body)

    def _tell(self, hand: Hand, client: Any, verdict: Verdict, answer: Answer | None = None) -> None:
        """Tell who waited, past those who carry operations out."""
        if hand.answered or hand.stage is not Stage.ELSEWHERE:
            return
        hand.answered = True
        hand.to(Stage.OVER)
        self._drop(hand)
        limits = self._hands.settings.limits
        wait_ms = 0.0
        if verdict is Verdict.BUSY and limits.retry_after:
            wait_ms = min(hand.record.rules.deadline_ms, limits.max_retry_after_ms)
        self._hands.answered_elsewhere(hand.record.cls, verdict)
        client.answer(verdict, answer, wait_ms)

    def _anew(self, hand: Hand, client: Any) -> None:
        """It is recorded nowhere any more: as if it came now."""
        hand.to(Stage.OURS)
        hand.written, hand.revision, hand.since = None, 0, 0
        cls = self._hands.settings.classes[hand.asked.cls]
        hand.record = self._new(hand.record.id, cls, hand.asked)
        self._begin(hand, client, ())


def _as_asked(asked: Operation) -> Asked:
    return Asked(
        asked.method, asked.target, asked.body, asked.id, asked.key, asked.content_type, asked.accept
    )
