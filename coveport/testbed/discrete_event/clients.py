"""Tills on bare ground: each wish is asked when it is due, and again as `load.retries` has it.

They keep no connections, so nothing is crossed, and who is given up may not be told in time only where the
reducer forgets an operation. Rows are those of `standins.tills`.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from math import inf

from coveport.testbed.day import Day, Wish
from coveport.testbed.discrete_event.scheduler import Agenda
from coveport.testbed.event_log import Answered, Asked, Broke, EventLog, GaveUp, Unasked
from coveport.testbed.ids import try_id
from coveport.testbed.network_model import CLIENT
from coveport.testbed.random_streams import ends

LINGER_MS = 50.0  # beyond the answer slack, after which a till no longer waits for an answer that is late


class Try:
    """One try of a wish."""

    __slots__ = ("asked", "errand", "limit", "number", "op", "over", "patience")

    def __init__(self, errand: Errand, number: int, due: float) -> None:
        self.errand = errand
        self.number = number
        self.op = try_id(errand.wish.op, number)
        self.limit = due + errand.wish.try_share * (errand.end - due)
        self.patience = 0.0
        self.asked = inf
        self.over = False  # answered, broken or given up

    @property
    def wish(self) -> Wish:
        """What it is a try of."""
        return self.errand.wish


class Errand:
    """What the tries of a wish have in common."""

    __slots__ = ("backoff", "end", "risky", "rng", "wish")

    def __init__(self, wish: Wish, end: float) -> None:
        self.wish = wish
        self.end = end
        self.risky = inf
        self.rng: random.Random | None = None
        self.backoff = 0.0


class Tills:
    """All tills of a day."""

    def __init__(
        self,
        agenda: Agenda,
        event_log: EventLog,
        day: Day,
        ask: Callable[[Try, str], bool],
        leave: Callable[[Try], None],
    ) -> None:
        """`ask`: hand a try with its key to its sidecar, False where nobody is there; `leave`: it is gone."""
        self._agenda = agenda
        self._write = event_log.write
        self._day = day
        self._ask_sidecar = ask
        self._leave_sidecar = leave
        self._classes = day.scenario.classes
        self._retries = day.scenario.load.retries
        self._linger_ms = day.scenario.rules.answer_slack_ms + LINGER_MS
        self._begun = self.open = self._conns = 0
        self._due_next()

    @property
    def done(self) -> bool:
        """Whether nothing more is to come."""
        return self._begun == len(self._day.wishes) and not self.open

    def _due_next(self) -> None:
        if self._begun < len(self._day.wishes):
            self._agenda.at(self._day.wishes[self._begun].due, self._begin)

    def _begin(self) -> None:
        wish = self._day.wishes[self._begun]
        self._begun += 1
        errand = Errand(wish, wish.due + self._classes[wish.cls].deadline_ms)
        self.open += 1
        self._ask(errand, 0, wish.due)
        self._due_next()

    def _ask(self, errand: Errand, number: int, due: float) -> None:
        now, wish = self._agenda.now, errand.wish
        one = Try(errand, number, due)
        one.patience = float(max(1, int(one.limit - now)))
        key = wish.key if self._classes[wish.cls].repeats == "keyed" else ""
        if not self._ask_sidecar(one, key):
            self._write(Unasked(now, one.op, wish.op, wish.sidecar, wish.cls, due, "refused"))
            self._over(one)
            self._again(one, now, ran=False)
            return
        one.asked = now
        self._conns += 1
        self._write(
            Asked(
                now,
                one.op,
                wish.op,
                wish.sidecar,
                wish.cls,
                key,
                due,
                one.patience,
                self._conns,
                number > 0,
                wish.op,
            )
        )
        self._agenda.at(now + one.patience, self._late, one)
        if wish.leaves_ms >= 0 and not number:
            self._agenda.at(wish.due + wish.leaves_ms, self._leave, one)

    def _over(self, one: Try) -> None:
        one.over = True
        self.open -= 1

    def answered(self, one: Try, status: int, body: str, after_ms: float) -> None:
        """An answer has come."""
        if one.over:
            return
        now = self._agenda.now
        self._write(Answered(now, one.op, status, body, after_ms, now))
        self._over(one)
        if status != 200 and now < one.asked + one.patience:
            self._again(one, now, ran=status not in (429, 503), after_ms=after_ms)

    def broke(self, one: Try) -> None:
        """The sidecar is gone, and the connection with it."""
        if not one.over:
            now = self._agenda.now
            self._write(Broke(now, one.op, "reset", 0))
            self._over(one)
            if now < one.asked + one.patience:
                self._again(one, now, ran=True)

    def _late(self, one: Try) -> None:
        if not one.over:
            self._agenda.at(self._agenda.now + self._linger_ms, self._give_up, one, "late")
            self._again(one, self._agenda.now, ran=True)

    def _leave(self, one: Try) -> None:
        self._give_up(one, "impatient")

    def _give_up(self, one: Try, how: str) -> None:
        if not one.over:
            self._write(GaveUp(self._agenda.now, one.op, how))
            self._over(one)
            self._agenda.travel(CLIENT, CLIENT, self._leave_sidecar, one)

    def _again(self, one: Try, now: float, *, ran: bool, after_ms: float = 0.0) -> None:
        """It has failed: another one follows where one may."""
        errand, number = one.errand, one.number + 1
        wish, cls = errand.wish, self._classes[errand.wish.cls]
        if ran:
            errand.risky = min(errand.risky, one.asked)
            if cls.repeats == "never" or (cls.repeats == "keyed" and cls.scope != "all"):
                return
        if number >= wish.tries or wish.leaves_ms >= 0:
            return
        if errand.rng is None:
            errand.rng = random.Random(f"retries {self._day.seed} {wish.op}")
            errand.backoff = errand.rng.uniform(*ends(self._retries.backoff_ms))
        wait = errand.backoff * (2.0**one.number if self._retries.growing else 1.0)
        rules = self._day.scenario.rules
        if after_ms > 0 and rules.retry_after and errand.rng.random() < self._retries.honour:
            wait = max(wait, min(after_ms, rules.max_retry_after_ms))
        due = now + wait
        if due + 1 > errand.end or (cls.repeats != "safe" and due > errand.risky + cls.window_ms):
            return
        self.open += 1
        self._agenda.at(due, self._ask, errand, number, due)
