"""Goes on with records that were another's, or ours in an earlier life, as the table of takeovers says."""

from __future__ import annotations

from abc import abstractmethod
from collections.abc import Callable
from dataclasses import replace
from math import inf
from typing import Any

import msgspec

from coveport.balancing import interface as api
from coveport.balancing.interface import Effect
from coveport.sidecar.intent_log.encryption import Given
from coveport.sidecar.intent_log.execution import Answering, Nobody
from coveport.sidecar.intent_log.pending_operation import Hand, Stage
from coveport.sidecar.intent_log.record import End, Record, State
from coveport.sidecar.intent_log.record_layout import Leaves
from coveport.sidecar.intent_log.record_writer import RecordWriter
from coveport.sidecar.intent_log.takeover import Do, decide
from coveport.sidecar.leases.store import Done, Entry, Unknown
from coveport.sidecar.reducer.messages import Verdict
from coveport.sidecar.reducer.operation import Answer, Operation

TRY_AGAIN_S = 0.2  # between two tries of what was taken over and found no room
LEAST_MS = 100.0  # of a window: less is not worth a try


def as_ours(record: Record, entry: Entry, incarnation: str, token: int) -> Record:
    """A record that stands so, as ours: claimed where it is open, else in another life."""
    ours = (record.claimed if record.open else record.reopened)(incarnation, token)
    if not ours.attempts:
        return ours
    # Written down by whoever claims first: a later write's revision would make its attempts younger.
    return msgspec.structs.replace(ours, since=ours.since or entry.modified)


class RecordAdopter(RecordWriter):
    """Claims records, and does with each what its state allows."""

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
                self._end(
                    hand,
                    client,
                    End.UNKNOWN if record.may_have_run else End.NEVER_RAN,
                    "what was asked is not kept",
                )
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
        return Operation(
            asked.method,
            asked.target,
            asked.body,
            asked.request_id,
            asked.key,
            classes.index(hand.record.cls),
            max(1.0, (hand.until - self._now_s()) * 1000),
            content_type=asked.content_type,
            accept=asked.accept,
        )

    def _begin(self, hand: Hand, client: Any, before: tuple[api.Before, ...]) -> None:
        """Have it carried out, under a number of our own."""
        rebuilt = self._rebuilt(hand) if client is None else None
        asked = rebuilt or hand.asked
        # A copy: what came first keeps what it was asked with.
        asked = Operation(
            asked.method,
            asked.target,
            asked.body,
            asked.id,
            asked.key,
            asked.cls,
            max(1.0, (hand.until - self._now_s()) * 1000),
            asked.repeat,
            asked.cost_ms,
            asked.content_type,
            asked.accept,
            before=before,
        )
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
        if (
            rules.effect is not Effect.KEYED
            or hand.stage is not Stage.OURS
            or hand.gates
            or rest_ms < LEAST_MS + TRY_AGAIN_S * 1000
            or len(hand.record.attempts) >= rules.most_attempts
            or hand.record.state is not State.SENDING
        ):
            return False
        self._loop().call_later(TRY_AGAIN_S, self._retry, hand)
        return True

    def _retry(self, hand: Hand) -> None:
        if hand.stage is Stage.OURS and not hand.answered:
            hand.until = self._now_s() + hand.record.rules.deadline_ms / 1000
            self._go_on(hand, None)

    @abstractmethod
    def answered(
        self, hand: Hand, verdict: Verdict, answer: Answer | None, deliver: Callable[[], None]
    ) -> None:
        """The one final answer is there; pass it on as soon as the class allows."""

    @abstractmethod
    def finished(self, hand: Hand, whole: bool) -> None:
        """A long answer has been passed on, or broke."""
