"""Writes operations down before they can run, and answers who asks again for one that is recorded.

It stands between whoever carries operations out (`Hands`) and the journal. What it decides is in the pure
modules beside it: `record`, `hand`, `again`, `takeover`. Nothing of an operation goes out before the journal
has said that its record stands as ours; whatever the journal says else ends it here.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from math import inf
from typing import Any

import msgspec

from coveport.core.messages import Verdict
from coveport.core.operation import Answer, Operation
from coveport.leases.store import Delete, Done, Entry, Outcome, Put, Refused, Transaction, Unknown
from coveport.work.again import Owner, Then, decide_again, told_late
from coveport.work.asking import Answering, Hands, Nobody
from coveport.work.hand import Go, Hand, Stage
from coveport.work.journal import Journal
from coveport.work.late import Late
from coveport.work.presence import Presence
from coveport.work.record import Attempt, End, Record, RecordError, Rules, State, decode
from coveport.work.record_layout import Leaves, RecordLayout, digest_of, id_of
from coveport.work.seal import Asked, Given, Kept
from coveport.work.takeover import Do, decide
from coveport.work.terms import WorkTerms
from micaflow import interface as api
from micaflow.interface import Effect
from micaflow.interface import Outcome as Ended

POLL_S = (0.015, 0.03)  # how often a record is looked at for whom somebody waits
LATE_S = 0.03  # so long before its time is over who waits is told what is known
ANSWER_S = 0.05  # how long an answer waits to be durable at the most
SIZE = 700  # of a record without request and answer
TRY_AGAIN_S = 0.2  # between two tries of what was taken over and found no room
LEAST_MS = 100.0  # of a window: less is not worth a try
OUT_MOST = 2000  # that wait for another's try


class Recorder:
    """Records of one instance's operations. Must live in a running loop from `start` on.

    `session`: the token of our session with the leases' store, 0 where there is none. `now_s`: a clock that
    runs through sleep. `count`: adds to a figure by its name.
    """

    def __init__(self, hands: Hands, journal: Journal, layout: RecordLayout, kept: Kept, presence: Presence,
                 terms: WorkTerms, incarnation: str, *, session: Callable[[], int],
                 now_s: Callable[[], float], chance: random.Random, count: Callable[[str], None],
                 say: Callable[..., None], unix_s: Callable[[], float] = time.time) -> None:
        self._hands, self.journal, self.layout, self.kept = hands, journal, layout, kept
        self.presence, self._terms, self.incarnation = presence, terms, incarnation
        self._session, self._now_s, self._chance = session, now_s, chance
        self._count, self._say, self._unix_s = count, say, unix_s
        self._by_number: dict[int, Hand] = {}
        self._by_id: dict[str, Hand] = {}  # ours and open
        self._waiters: dict[int, asyncio.Task[None]] = {}
        self._clients: dict[int, Any] = {}  # of those whose operation is elsewhere
        self._late = Late(journal, layout, chance, count, unix_s)
        self._tasks: set[asyncio.Task[None]] = set()
        self._own = 0  # operations that we began ourselves, counted down from -1
        self._token = 0  # while leaving: that of the session before
        self._tending: asyncio.Task[None] | None = None

    # Life.

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
        return Transaction((), (Put(self.layout.leaving_key(self.incarnation),
                                    msgspec.json.encode(Leaves(within_s))),))

    async def left(self) -> None:
        """We have answered all that we can: what is open still is handed on at once."""
        if self._tending is not None:
            self._tending.cancel()
        for task in [*self._waiters.values(), *self._tasks]:
            task.cancel()
        if self._token:
            await self.journal.commit(Transaction((), (Delete(self.layout.leaving_key(self.incarnation)),)))
        await self.journal.leave()

    @property
    def tables(self) -> dict[str, int]:
        """How many entries each table has."""
        return {"work": len(self._by_number), "work_open": len(self._by_id), "work_later": len(self._late),
                "work_waiting": len(self._waiters)}

    def has(self, identity: str) -> bool:
        """Whether a record is in hand here."""
        return identity in self._by_id or identity in self._late

    @property
    def token(self) -> int:
        """Under which records are ours now; 0: none may be taken."""
        return self._token or self._session()

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

    @staticmethod
    def _loop() -> asyncio.AbstractEventLoop:
        return asyncio.get_running_loop()

    def _identity(self, number: int, asked: Operation) -> str:
        if asked.key is None and not self._terms.by_request_id:
            # Nobody can ask for it again: it is known to staff alone.
            return id_of("", f"{asked.id} {self.incarnation} {number}")
        return id_of(asked.key or "", asked.id)

    def _new(self, identity: str, cls: api.RequestClass, asked: Operation) -> Record:
        sealed = self.kept.asked(identity, _as_asked(asked))
        return Record(id=identity, key=asked.key or "", cls=cls.name,
                      digest="" if sealed else digest_of(identity, asked.method, asked.target, asked.body),
                      rules=Rules.of(cls, self._hands.settings.limits.max_attempts), owner=self.incarnation,
                      token=self.token, request=sealed, asked=asked.id, unix=self._unix_s())

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

    def _fence(self, hand: Hand) -> Callable[[], bool]:
        return lambda: hand.fence(self._now_s())

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

    def answered(self, hand: Hand, verdict: Verdict, answer: Answer | None,
                 deliver: Callable[[], None]) -> None:
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

    @staticmethod
    def _deliver(hand: Hand) -> None:
        deliver, hand.deliver = hand.deliver, None
        if deliver is not None:
            deliver()

    def finished(self, hand: Hand, whole: bool) -> None:
        """A long answer has been passed on, or broke."""
        if hand.answered:
            return
        hand.answered = True
        end, why = hand.end_of(whole, False)
        hand.close(end, why or "its answer was too long to keep", self._unix_s())
        self._finish(hand)

    def _finish(self, hand: Hand) -> None:
        """It is answered: what is left is to write it down."""
        if hand.stage is Stage.UNRECORDED:
            hand.to(Stage.OVER)
            self._drop(hand)
            self._late.remember(hand)
        elif hand.stage is Stage.OURS and hand.written is None and not hand.writing and (
                not hand.record.attempts and not hand.gates):
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

    # Writing.

    def _push(self, hand: Hand) -> None:
        if hand.writing or hand.stage is not Stage.OURS or hand.record is hand.written:
            return
        hand.writing = True
        self.journal.write(partial(self._make, hand), partial(self._wrote, hand),
                           SIZE + len(hand.record.request) + len(hand.record.answer))

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
        hand.may_send = (hand.revision == 0 and on_its_way
                         and hand.record.cls not in self._terms.refuse)
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

    # Taking over.

    async def whether_leaving(self, incarnation: str) -> None:
        """Look whether one whose session is over has said that it ends what it has."""
        found = await self.journal.read(self.layout.leaving_key(incarnation))
        if not isinstance(found, Done):
            return
        if not found.entries:
            self.presence.left(incarnation)
            return
        try:
            within_s = msgspec.json.decode(found.entries[0].value, type=Leaves).within_s
        except (msgspec.DecodeError, msgspec.ValidationError):
            within_s = 0.0
        self.presence.leaves(incarnation, self._now_s() + within_s)

    async def claim(self, record: Record, entry: Entry, ours: Record) -> int | None:
        """Make a record ours where it still stands so; its revision from then on, None where it is not."""
        outcome = await self.journal.commit(self.layout.write(record, entry.modified, ours))
        if isinstance(outcome, Unknown):
            # It may be ours, and it may become so later: who reads it next as ours and not in hand goes on.
            self._count("work_claims_unknown")
            return None
        return outcome.revision if isinstance(outcome, Done) else None

    def _abandon(self, ours: Record, revision: int) -> None:
        """What was claimed for a client that is gone: it is seen to as if it were nobody's."""
        hand = self._own_hand(ours, revision, inf)
        if hand is not None:
            self.resume(hand)

    def _take_on(self, hand: Hand, client: Any, ours: Record, revision: int, entry: Entry) -> bool:
        hand.to(Stage.OURS)
        hand.record, hand.written, hand.revision = ours, ours, revision
        hand.since = ours.since
        hand.first_at = self._first_at(hand)
        self._by_id[ours.id] = hand
        return self._go_on(hand, client)

    def _first_at(self, hand: Hand) -> float:
        """No later than when its first attempt was sent; where that is not known: long ago."""
        if not hand.record.attempts:
            return inf
        return self._now_s() - self.journal.ages.at_most(self._now_s(), hand.since)

    def _go_on(self, hand: Hand, client: Any) -> bool:
        """Do what the table says with a record that is ours now."""
        now = self._now_s()
        record = hand.record
        age_ms = (now - hand.first_at) * 1000 if hand.first_at < inf else 0.0
        left_ms = (hand.until - now) * 1000
        room_ms = self._hands.settings.limits.connect_timeout_ms
        decision = decide(record, left_ms, age_ms, room_ms)
        if client is not None and decision.do is Do.NEVER_RAN and left_ms > room_ms:
            decision = replace(decision, do=Do.SEND, rule="it has not run, and somebody waits for it")
        self._count(f"work_did_{decision.do.name.lower()}")
        self._say("work_taken_on", id=record.id, did=decision.do.value, rule=decision.rule)
        if decision.do in (Do.SEND, Do.ASK_AGAIN):
            if decision.do is Do.ASK_AGAIN:
                hand.until = min(hand.until, now + decision.within_ms / 1000)
            if client is None and self._rebuilt(hand) is None:
                self._end(hand, client, End.UNKNOWN if record.may_have_run else End.NEVER_RAN,
                          "what was asked is not kept")
                return True
            self._begin(hand, client, hand.before(now, self._hands.now_ms()))
            return True
        if decision.do is Do.KEEP:
            hand.close(End.SERVED, "found answered", self._unix_s(), record.answer)
            given = self.kept.read_given(record.id, record.answer)
            self._end(hand, client, End.SERVED, "", given)
            return True
        self._end(hand, client, End.UNKNOWN if decision.do is Do.UNKNOWN else End.NEVER_RAN, decision.rule)
        return True

    def _rebuilt(self, hand: Hand) -> Operation | None:
        asked = self.kept.read_asked(hand.record.id, hand.record.request)
        classes = [one.name for one in self._hands.settings.classes]
        if asked is None or hand.record.cls not in classes:
            return None
        return Operation(asked.method, asked.target, asked.body, asked.request_id, asked.key,
                         classes.index(hand.record.cls), max(1.0, (hand.until - self._now_s()) * 1000),
                         content_type=asked.content_type, accept=asked.accept)

    def _begin(self, hand: Hand, client: Any, before: tuple[api.Before, ...]) -> None:
        """Have it carried out, under a number of our own."""
        rebuilt = self._rebuilt(hand) if client is None else None
        asked = rebuilt or hand.asked
        # A copy: what came first keeps what it was asked with.
        asked = Operation(asked.method, asked.target, asked.body, asked.id, asked.key, asked.cls,
                          max(1.0, (hand.until - self._now_s()) * 1000), asked.repeat, asked.cost_ms,
                          asked.content_type, asked.accept, before=before)
        self._own -= 1
        hand.number = self._own
        hand.numbers.add(hand.number)
        self._by_number[hand.number] = hand
        self._by_id[hand.record.id] = hand
        hand.steps = {number: number for number in range(len(before))}
        hand.asked = asked
        asker = Nobody(self, hand) if client is None else Answering(self, hand, client)
        if client is not None:
            self._clients[hand.number] = client
        if hand.written is None:
            self._push(hand)
        self._hands.take(hand.number, asker, asked)

    def _end(self, hand: Hand, client: Any, end: End, why: str, given: Given | None = None) -> None:
        """Close what is ours without another try, and tell who waits for it."""
        if hand.record.open:
            hand.close(end, why, self._unix_s())
        hand.answered = True
        if client is not None:
            verdict, answer = Verdict.FAILED, None
            if end is End.SERVED and given is not None:
                verdict, answer = Verdict.SERVED, Answer(given.body, given.content_type)
            elif end is End.NEVER_RAN:
                verdict = Verdict.BUSY
            self._hands.answered_elsewhere(hand.record.cls, verdict)
            client.answer(verdict, answer, 0.0)
        self._push(hand)

    def _own_hand(self, ours: Record, revision: int, until: float) -> Hand | None:
        if ours.id in self._by_id:
            return None
        self._own -= 1
        asked = Operation("", "", b"", ours.asked, ours.key or None, 0, 0.0)
        hand = Hand(self._own, asked, ours, until, written=ours, revision=revision, took_over=True)
        self._by_number[hand.number] = hand
        self._by_id[ours.id] = hand
        return hand

    def took_over(self, ours: Record, revision: int, taken_age_s: float) -> Hand | None:
        """A lost one's record is ours now: do with it what the table says.

        `taken_age_s`: how long ago it was taken, at the most.
        """
        now = self._now_s()
        hand = self._own_hand(ours, revision, now)
        if hand is None:
            return None
        hand.since = ours.since
        hand.first_at = self._first_at(hand)
        # Its client's time, where it was never sent: nobody waits longer. What may have run is asked for
        # again for its own sake, for as long as one may.
        deadline_s = ours.rules.deadline_ms / 1000
        hand.until = now + (deadline_s if ours.may_have_run else max(0.0, deadline_s - taken_age_s))
        self._go_on(hand, None)
        return hand

    def resume(self, hand: Hand) -> None:
        """Do what the table says, for nobody."""
        hand.until = self._now_s() + hand.record.rules.deadline_ms / 1000
        hand.since = hand.record.since
        hand.first_at = self._first_at(hand)
        self._go_on(hand, None)

    def _again_later(self, hand: Hand) -> bool:
        """Whether what was taken over and found no room is tried again a little later."""
        rules = hand.record.rules
        rest_ms = rules.window_ms - (self._now_s() - hand.first_at) * 1000 if hand.first_at < inf else 0.0
        if (rules.effect is not Effect.KEYED or hand.stage is not Stage.OURS or hand.gates
                or rest_ms < LEAST_MS + TRY_AGAIN_S * 1000
                or len(hand.record.attempts) >= rules.most_attempts
                or hand.record.state is not State.SENDING):
            return False
        self._loop().call_later(TRY_AGAIN_S, self._retry, hand)
        return True

    def _retry(self, hand: Hand) -> None:
        if hand.stage is Stage.OURS and not hand.answered:
            hand.until = self._now_s() + hand.record.rules.deadline_ms / 1000
            self._go_on(hand, None)


def _as_asked(asked: Operation) -> Asked:
    return Asked(asked.method, asked.target, asked.body, asked.id, asked.key, asked.content_type,
                 asked.accept)


def as_ours(record: Record, entry: Entry, incarnation: str, token: int) -> Record:
    """A record that stands so, as ours: claimed where it is open, else in another life."""
    ours = (record.claimed if record.open else record.reopened)(incarnation, token)
    if not ours.attempts:
        return ours
    # Written down by whoever claims first: a later write's revision would make its attempts younger.
    return msgspec.structs.replace(ours, since=ours.since or entry.modified)
