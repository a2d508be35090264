"""What one instance believes of its session and its duties. Pure: (time, input) -> effects.

The rule that all of it rests on (docs/design/duties.md, Safety). With

    T  time to live (s)        as the store counts it, from when it carried the grant or renewal out
    d  drift (share)           by which any two clocks may part
    m  margin (s)              for what is under way, and for timers that come late
    a  asked (s, own clock)    just BEFORE the grant or renewal was sent that was answered last

the session is believed in while  now < a + T/(1+d) - m  and nothing new is begun from m before that on. A
renewal whose answer did not come moves `a` for the store perhaps, for us never. No duty is safe by this
alone: each act is a transaction that compares the token, and the store refuses it where the key is not ours
any more.

Session:  OUT -> ASKING -> ARRIVING -> IN <-> WARY -> OUT, and from anywhere LEFT or ESTRANGED, which are
ends. Duty:     IDLE -> WAITING -> CLAIMING -> HELD -> RELEASING -> IDLE; CLAIMING -> UNSURE where no answer
came.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from math import inf

from coveport.sidecar.config.terms import RENEWALS, Terms
from coveport.sidecar.leases.effects import (
    Arrive,
    AskLease,
    Began,
    Claim,
    DropLease,
    Effect,
    Ended,
    KeepLease,
    Look,
    Release,
    Told,
)
from coveport.sidecar.leases.states import ENDS, MOVES, SESSION_MOVES, Session, State
from coveport.sidecar.leases.store import Done, Entry, Outcome, Refused, Unknown

AGAIN_S, AGAIN_MOST_S = 0.1, 2.0  # wait after a call without an answer, doubled up to the most
NAME_TAKEN_S = 1.0  # wait where another of our name is there
SPREAD_EACH_S, SPREAD_MOST_S = 0.001, 0.08  # contenders wait up to so long for each instance there is
REST_TTLS, REST_DOUBLINGS = 2.0, 5  # in times to live: how long who was useless keeps off
PROVEN_TTLS = 10.0  # a holding this long wipes out that it once yielded
FAR_SHARE = 0.25  # of T: a renewal that took longer tells of a store that is too far to hold anything well
STALL_SHARE, UNWELL_TTLS = 0.2, 1.0  # a timer later than that share of T: keep off for so many times to live


def holder_of(value: bytes) -> str:
    """The incarnation that a duty's key names; behind it stands since when, for staff."""
    return value.split(b" ")[0].decode(errors="replace")


@dataclass(slots=True)
class _Duty:
    state: State = State.IDLE
    token: int = 0
    lease: int = 0  # under which it is held
    due: float = inf  # WAITING: when we claim
    rest_until: float = -inf
    rests: int = 0  # in a row
    since: float = 0.0
    call: int = 0
    known: int = 0  # revision up to which we know of its key
    releasing_again: float = inf
    wished: bool = True  # False: staff or the operator's file keep us off it


class LeaseState:
    """The beliefs of one instance.

    `incarnation`: this process' own word in every key it writes. `now` of all calls: seconds by a clock
    that runs through sleep. Chance is a generator of the caller's.
    """

    def __init__(
        self, incarnation: str, duties: tuple[str, ...], terms: Terms, chance: random.Random
    ) -> None:
        terms.check()
        self.incarnation = incarnation
        self.terms = terms
        self._chance = chance
        self.session = Session.OUT
        self.lease = 0
        self.duties = {name: _Duty() for name in duties}
        self.instances = 1  # that are there, as far as is known
        self._asked = -inf  # `a` above
        self._calls = 0
        self._session_call = 0  # the grant or arrival that is out
        self._renewal: tuple[int, float] | None = None  # call and when it was asked
        self._next = 0.0  # OUT: when we ask; IN: when we renew
        self._failures = 0
        self._look_call = 0
        self._look_at = inf
        self._unwell_until = -inf
        self._unwell = ""
        self._due = inf  # when we wanted to be woken, for stalls
        self._out: list[Effect] = []

    # What may be asked of it.

    def holds(self, now: float, duty: str) -> int:
        """The token where something new may be begun now, else 0. To be asked at once before each act."""
        one = self.duties[duty]
        if one.state is State.HELD and self.session is Session.IN and now < self._until - self.terms.margin_s:
            return one.token
        return 0

    def believes(self, now: float, duty: str) -> int:
        """The token of the holding that we believe in, be it warily; else 0."""
        one = self.duties[duty]
        return one.token if one.state is State.HELD and now < self._until else 0

    @property
    def _until(self) -> float:
        return self._asked + self.terms.believed_s

    @property
    def until(self) -> float:
        """The end of the session as we believe in it."""
        return self._until

    def next_at(self) -> float:
        """When `tick` wants to be called at the latest."""
        at = [inf]
        if self.session is Session.OUT:
            at.append(self._next)
        if self.session in (Session.IN, Session.WARY):
            at += [self._until, self._look_at if not self._look_call else inf]
            if self.session is Session.IN:
                at.append(self._until - self.terms.margin_s)
            if self._renewal is None:
                at.append(self._next)
            for one in self.duties.values():
                at += [one.due, one.releasing_again]
                if one.state is State.IDLE and one.rest_until > -inf:
                    at.append(one.rest_until)
        self._due = min(at)
        return self._due

    # Inputs.

    def tick(self, now: float) -> list[Effect]:
        """Time has passed."""
        self._out = []
        self._pass(now)
        return self._out

    def answered(self, now: float, call: int, outcome: Outcome, floor_broken: str = "") -> list[Effect]:
        """A call has ended. `floor_broken`: the answer shows that the store went back, and how."""
        self._out = []
        self._pass(now)
        if floor_broken:
            self._estranged(floor_broken)
        elif call == self._session_call:
            self._session_answered(now, outcome)
        elif self._renewal is not None and call == self._renewal[0]:
            self._renewed(now, outcome)
        elif call == self._look_call:
            # What was found has come by `seen`; where nothing was, look again.
            self._look_call = 0
            self._look_at = now + self._again() if isinstance(outcome, Unknown) else inf
        else:
            for name, one in self.duties.items():
                if one.call == call:
                    self._duty_answered(now, name, one, outcome)
        self._pass(now)
        return self._out

    def seen(self, now: float, duty: str, entry: Entry | None, revision: int) -> list[Effect]:
        """A duty's key as of a revision, from a watch or a look."""
        self._out = []
        self._pass(now)
        one = self.duties.get(duty)
        if one is not None and revision >= one.known:  # what is older is no news
            one.known = revision
            self._see(now, duty, one, entry)
        return self._out

    def lost_sight(self, now: float) -> list[Effect]:
        """The watch broke: what stands must be read."""
        self._out = []
        self._pass(now)
        self._look_at = min(self._look_at, now)
        self._pass(now)
        return self._out

    def unwell(self, now: float, why: str) -> list[Effect]:
        """We can't do duties well (empty: we can again): yield what we hold, and contend for none."""
        self._out = []
        if why and not self._unwell:
            self._say("unwell", why)
        self._unwell = why
        if why:
            for name, one in self.duties.items():
                if one.state is State.HELD:
                    self._rest(now, one)
                    self._release(name, one, why)
                elif one.state is State.WAITING:
                    self._set(one, State.IDLE)
        else:
            self._look_at = min(self._look_at, now)  # a duty may have been nobody's all along
        self._pass(now)
        return self._out

    def wish(self, now: float, duty: str, wished: bool, why: str) -> list[Effect]:
        """Staff, a drain, or the operator's file: contend for a duty, or let it go and keep off."""
        self._out = []
        one = self.duties[duty]
        one.wished = wished
        if not wished and one.state is State.HELD:
            self._release(duty, one, why)
        elif not wished and one.state is State.WAITING:
            self._set(one, State.IDLE)
        elif wished:
            self._look_at = min(self._look_at, now)
        self._pass(now)
        return self._out

    def yield_(self, now: float, duty: str, why: str) -> list[Effect]:
        """Hand a duty on once, and let others come first."""
        self._out = []
        one = self.duties[duty]
        if one.state is State.HELD:
            one.rest_until = now + REST_TTLS * self.terms.ttl_s
            self._release(duty, one, why)
        return self._out

    def leave(self, now: float) -> list[Effect]:
        """For good: hand on all, at once. The lease's end deletes every key of ours in one go."""
        self._out = []
        if self.session in ENDS:
            return self._out
        self._end_all("left")
        if self.lease:
            self._out.append(DropLease(self.lease))
        self._move(Session.LEFT)
        self.lease = 0
        return self._out

    # Session.

    def _move(self, to: Session) -> None:
        if to not in SESSION_MOVES[self.session] and not (to in ENDS and self.session not in ENDS):
            raise AssertionError(f"no way from {self.session} to {to}")
        self.session = to

    def _number(self) -> int:
        self._calls += 1
        return self._calls

    def _say(self, event: str, detail: str = "") -> None:
        self._out.append(Told(event, detail))

    def _again(self) -> float:
        self._failures += 1
        most = min(AGAIN_MOST_S, AGAIN_S * 2 ** min(self._failures - 1, 10))
        return float(most * self._chance.uniform(0.5, 1.0))

    def _pass(self, now: float) -> None:
        """What the clock alone brings about."""
        if now - self._due > STALL_SHARE * self.terms.ttl_s:
            # Guards against an instance that is short of CPU taking up what it could not look after. Whatever
            # comes in late tells of it: after a stall that need not be the timer.
            self._unwell_until = now + UNWELL_TTLS * self.terms.ttl_s
            self._say("stalled", f"{now - self._due:.2f} s")
        self._due = inf
        if self.session in (Session.ASKING, Session.ARRIVING) and now >= self._until > -inf:
            self._over(now, "the lease was over before we were in")
        if self.session in (Session.IN, Session.WARY):
            if now >= self._until:
                self._over(now, "not renewed in time")
            elif now >= self._until - self.terms.margin_s and self.session is Session.IN:
                self._move(Session.WARY)
                self._say("wary", f"{self._until - now:.2f} s left")
        if self.session is Session.OUT and now >= self._next:
            self._move(Session.ASKING)
            self._asked = now
            self._session_call = self._number()
            self._out.append(AskLease(self._session_call, self.terms.ttl_s))
        if self.session not in (Session.IN, Session.WARY):
            return
        if self._renewal is None and now >= self._next:
            self._renewal = self._number(), now
            self._out.append(KeepLease(self._renewal[0], self.lease))
        if not self._look_call and now >= self._look_at:
            self._look_call, self._look_at = self._number(), inf
            self._out.append(Look(self._look_call))
        for name, one in self.duties.items():
            if one.state is State.IDLE and one.rest_until <= now and one.rest_until > -inf:
                one.rest_until = -inf
                self._look_at = min(self._look_at, now)  # it may be nobody's; the look tells
            if one.state is State.RELEASING and now >= one.releasing_again:
                self._send_release(name, one)
            if one.state is State.WAITING and now >= one.due:
                if self._well(now, one) and self.session is Session.IN:
                    self._set(one, State.CLAIMING)
                    one.call, one.lease = self._number(), self.lease
                    self._out.append(Claim(one.call, name, self.lease))
                else:
                    one.due = now + self.terms.ttl_s
        if not self._look_call and now >= self._look_at:
            self._look_call, self._look_at = self._number(), inf
            self._out.append(Look(self._look_call))

    def _session_answered(self, now: float, outcome: Outcome) -> None:
        self._session_call = 0
        if self.session is Session.ASKING:
            if isinstance(outcome, Done) and outcome.ttl_s < self.terms.ttl_s:
                # Guards against a store that gives less than was asked: all that we believe counts on it.
                self._say("short_lease", f"{outcome.ttl_s:g} s instead of {self.terms.ttl_s:g} s")
                self.lease = outcome.lease
                self._out_again(now + AGAIN_MOST_S)
            elif isinstance(outcome, Done):
                self.lease = outcome.lease
                self._move(Session.ARRIVING)
                self._session_call = self._number()
                self._out.append(Arrive(self._session_call, self.lease))
            else:
                self._out_again(now + self._again())
        elif self.session is Session.ARRIVING:
            if isinstance(outcome, Done):
                self._move(Session.IN)
                self._failures = 0
                self._next = self._asked + self.terms.renew_s * self._chance.uniform(0.7, 1.0)
                self._look_at = now
                self._say("in", f"lease {self.lease:x}")
            elif isinstance(outcome, Refused) and not outcome.lease_gone:
                # Guards against two of one name: the later one holds nothing while the first lives.
                self._say("name_taken", "another instance has our name")
                self._out_again(now + max(NAME_TAKEN_S, self.terms.ttl_s / RENEWALS))
            else:
                self._out_again(now + self._again())

    def _out_again(self, at: float) -> None:
        if self.lease:
            self._out.append(DropLease(self.lease))
        self.lease = 0
        self._session_call = 0
        self._renewal = None
        self._next = at
        self._move(Session.OUT)

    def _over(self, now: float, why: str) -> None:
        self._end_all(why)
        self._say("session_over", why)
        # Others may believe that our last renewal was done; what is bound to the lease must not come back
        # to life under a session of ours that we do not believe in.
        self._out_again(now + self._chance.uniform(0, AGAIN_S))

    def _renewed(self, now: float, outcome: Outcome) -> None:
        assert self._renewal is not None
        asked, self._renewal = self._renewal[1], None
        if isinstance(outcome, Done):
            self._asked = asked
            self._failures = 0
            self._next = asked + self.terms.renew_s
            if now - asked > FAR_SHARE * self.terms.ttl_s:
                # What we hold we keep: whoever comes next may be as far. We only contend for nothing new.
                self._unwell_until = max(self._unwell_until, now + UNWELL_TTLS * self.terms.ttl_s)
                self._say("far", f"a renewal took {now - asked:.2f} s")
            if self.session is Session.WARY and now < self._until - self.terms.margin_s:
                self._move(Session.IN)
        elif isinstance(outcome, Refused):
            self._over(now, "the store ended our lease")
        else:
            # Not done, as far as we are concerned; for our rivals it was. Ask again soon, while there is
            # time.
            self._next = now + min(self._again(), self.terms.renew_s / 4)

    def _estranged(self, why: str) -> None:
        if self.session in ENDS:
            return
        self._end_all("the store went back")
        self._say("estranged", why)
        self.lease = 0
        self._move(Session.ESTRANGED)

    # Duties.

    def _set(self, one: _Duty, to: State) -> None:
        if to not in MOVES[one.state]:
            raise AssertionError(f"no way from {one.state} to {to}")
        one.state = to
        one.due = one.releasing_again = inf
        if to is State.IDLE:
            one.token = one.lease = one.call = 0

    def _well(self, now: float, one: _Duty) -> bool:
        return one.wished and not self._unwell and now >= self._unwell_until and now >= one.rest_until

    def _see(self, now: float, name: str, one: _Duty, entry: Entry | None) -> None:
        ours = (
            entry is not None
            and holder_of(entry.value) == self.incarnation
            and entry.lease == self.lease != 0
            and self.session in (Session.IN, Session.WARY)
        )
        if ours:
            assert entry is not None
            if one.state in (State.IDLE, State.WAITING, State.CLAIMING, State.UNSURE):
                self._hold(now, name, one, entry.created)
        elif one.state in (State.HELD, State.RELEASING):
            self._lose(now, name, one, "the key is not ours")
        elif entry is None and self.session in (Session.IN, Session.WARY):
            # UNSURE: our claim may still come. A further one is then refused, and the look after it finds
            # ours.
            if one.state in (State.IDLE, State.UNSURE) and one.wished:
                self._set(one, State.WAITING)
                spread = min(SPREAD_MOST_S, SPREAD_EACH_S * self.instances)
                one.due = max(now, one.rest_until, self._unwell_until) + self._chance.uniform(0, spread)
        elif one.state in (State.WAITING, State.UNSURE):
            self._set(one, State.IDLE)

    def _hold(self, now: float, name: str, one: _Duty, token: int) -> None:
        self._set(one, State.HELD)
        one.token, one.since, one.lease = token, now, self.lease
        if not one.wished or self._unwell:
            self._release(name, one, self._unwell or "not wished")
        else:
            self._out.append(Began(name, token))

    def _duty_answered(self, now: float, name: str, one: _Duty, outcome: Outcome) -> None:
        one.call = 0
        if one.state is State.CLAIMING:
            if isinstance(outcome, Done):
                one.known = max(one.known, outcome.revision)
                self._hold(now, name, one, outcome.revision)
            elif isinstance(outcome, Refused):
                self._set(one, State.IDLE)
                if outcome.lease_gone:
                    self._over(now, "the store ended our lease")
                else:
                    self._look_at = min(self._look_at, now)
            else:
                self._set(one, State.UNSURE)
                self._look_at = min(self._look_at, now + self._again())
        elif one.state is State.RELEASING:
            if isinstance(outcome, Unknown):
                one.releasing_again = now + self._again()
            else:
                self._set(one, State.IDLE)
                self._look_at = min(self._look_at, now)

    def _release(self, name: str, one: _Duty, why: str) -> None:
        self._out.append(Ended(name, one.token, why))
        token = one.token
        self._set(one, State.RELEASING)
        one.token = token
        self._send_release(name, one)

    def _send_release(self, name: str, one: _Duty) -> None:
        one.releasing_again = inf
        one.call = self._number()
        self._out.append(Release(one.call, name, one.token))

    def _rest(self, now: float, one: _Duty) -> None:
        # Guards against two that are useless throwing a duty to and fro.
        if now - one.since > PROVEN_TTLS * self.terms.ttl_s:
            one.rests = 0
        one.rest_until = now + REST_TTLS * self.terms.ttl_s * 2 ** min(one.rests, REST_DOUBLINGS)
        one.rests += 1

    def _lose(self, now: float, name: str, one: _Duty, why: str) -> None:
        if one.state is State.HELD:
            self._out.append(Ended(name, one.token, why))
        self._set(one, State.IDLE)
        self._look_at = min(self._look_at, now)

    def _end_all(self, why: str) -> None:
        for name, one in self.duties.items():
            if one.state is State.HELD:
                self._out.append(Ended(name, one.token, why))
            one.state = State.IDLE
            one.due = one.releasing_again = inf
            one.token = one.lease = one.call = 0
