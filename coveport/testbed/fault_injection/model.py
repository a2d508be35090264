"""All placements of a few faults in a small world: three contenders, one store, clocks that drift.

Time goes by in steps of a sixth of a time to live. In each, whatever was sent is carried out and answered,
news reaches all, and whoever holds sends an act. A fault is a departure from that, for one of three
lengths, at one contender: it stands still; its calls are lost; their answers are lost; they are put off and
carried out after it has given them up; news does not reach it; its acts are put off. Every placement of so
many faults over so many steps is played. In every state: at most one believes, and of the acts that the
store accepts none comes after a later holder's first. After the last step, where all is well again,
somebody holds the duty.
"""

from __future__ import annotations

import itertools
import pickle
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from coveport.sidecar.config.lease_terms import LeaseTerms
from coveport.sidecar.leases.effects import (
    AcquireRole,
    GrantLease,
    ReadRoles,
    RegisterInstance,
    ReleaseRole,
    RenewLease,
    RevokeLease,
    StoreCall,
)
from coveport.sidecar.leases.lease_state import LeaseState
from coveport.sidecar.leases.store import (
    Compare,
    Delete,
    Done,
    Field,
    Outcome,
    Put,
    Transaction,
    Unknown,
    fenced,
)
from coveport.testbed.standins.etcd.engine import Engine

TERMS = LeaseTerms(3.0, 0.2, 0.02)
DUTY, KEY, STATE = "d", "duty/d", "state/d"
RATES = (1.01, 1.0, 1 / 1.01)  # of the three clocks; with the store's at 1 any two are within the drift
PART = 6  # steps in a time to live
KINDS = ("stall", "lost", "unheard", "late", "blind", "act")
LENGTHS = (1, 4, 9)  # steps: within a renewal, beyond a lease's belief, far beyond its end


class Steady(random.Random):
    """No chance: waits are as short as they may be, so that contenders come together."""

    def uniform(self, a: float, b: float) -> float:
        """The least."""
        return a


@dataclass
class Act:
    """An act under way: sent under a token, carried out whenever the order of things has it."""

    who: int
    token: int


@dataclass
class State:
    """A state of the small world."""

    now: float
    holders: list[LeaseState]
    engine: Engine
    calls: list[tuple[int, Any]] = field(default_factory=list)  # who, and what was sent
    late: list[tuple[int, Any]] = field(
        default_factory=list
    )  # given up by who sent it, and not yet carried out
    acts: list[Act] = field(default_factory=list)
    accepted: list[int] = field(default_factory=list)  # tokens of the acts that the store took, in order
    faults: dict[tuple[str, int], int] = field(default_factory=dict)  # kind and whose: steps left

    def clock(self, who: int) -> float:
        """A holder's own clock."""
        return 100.0 + self.now * RATES[who % 3]

    def hit(self, kind: str, who: int) -> bool:
        """Whether a fault is on."""
        return (kind, who) in self.faults


@dataclass(frozen=True)
class Report:
    """What was looked at."""

    placements: int
    findings: tuple[str, ...]


@dataclass(frozen=True)
class World:
    """How to explore. `faults`: how many at the most. `fence`: whether acts compare their token."""

    contenders: int = 3
    steps: int = 9
    faults: int = 2
    kinds: tuple[str, ...] = KINDS
    lengths: tuple[int, ...] = LENGTHS
    terms: LeaseTerms = TERMS
    holder: Callable[..., LeaseState] = LeaseState
    fence: bool = True
    warm: bool = True  # begin where one holds; else where all begin, and faults meet the first claims

    def first(self) -> State:
        """Where it begins."""
        holders = [self.holder(f"h{who}", (DUTY,), self.terms, Steady()) for who in range(self.contenders)]
        state = State(0.0, holders, Engine())
        for _ in range(PART // 2 if self.warm else 0):
            self.step(state)
        return state

    def explore(self) -> Report:
        """Play every placement; the first twenty findings."""
        findings: list[str] = []
        count = 0

        def go(packed: bytes, step: int, left: int, told: tuple[str, ...]) -> None:
            nonlocal count
            if len(findings) >= 20:
                return
            if step == self.steps:
                count += 1
                found = self.recovers(pickle.loads(packed))
                if found:
                    findings.append(f"{found}; {', '.join(told)}")
                return
            ways: list[tuple[str, int, int] | None] = [None]
            if left:
                ways += itertools.product(self.kinds, range(self.contenders), self.lengths)
            for way in ways:
                state: State = pickle.loads(packed)
                said = told
                if way is not None:
                    kind, who, length = way
                    if state.hit(kind, who):
                        continue
                    state.faults[kind, who] = length
                    said = (*told, f"{kind} of h{who} in step {step} for {length}")
                found = self.step(state)
                if found:
                    findings.append(f"{found}; {', '.join(said)}")
                else:
                    go(pickle.dumps(state), step + 1, left - (way is not None), said)

        go(pickle.dumps(self.first()), 0, self.faults, ())
        return Report(count, tuple(findings))

    def step(self, state: State) -> str:
        """One step of time; what is broken in it."""
        state.now += self.terms.ttl_s / PART
        state.engine.pass_(state.now)
        state.faults = {one: left - 1 for one, left in state.faults.items() if left > 0}
        awake = [who for who in range(self.contenders) if not state.hit("stall", who)]
        for who, call in state.late:
            if not state.hit("late", who):
                self._deed(state, who, call)
        state.late = [one for one in state.late if state.hit("late", one[0])]
        acts, state.acts = state.acts, []
        for act in acts:
            if state.hit("act", act.who) or state.hit("stall", act.who):
                state.acts.append(act)
            else:
                self._act(state, act)
        for who in awake:
            self._send(state, who, state.holders[who].handle_timer(state.clock(who)))
        for _ in range(3):  # calls, and the calls that their answers bring about
            calls, state.calls = state.calls, []
            for who, call in calls:
                if who not in awake:
                    state.calls.append((who, call))
                elif state.hit("lost", who):
                    self._answer(state, who, call, Unknown("lost"))
                elif state.hit("late", who):
                    state.late.append((who, call))
                    self._answer(state, who, call, Unknown("late"))
                elif state.hit("unheard", who):
                    self._deed(state, who, call)
                    self._answer(state, who, call, Unknown("unheard"))
                else:
                    self._carry_out(state, who, call)
        for who in awake:
            if not state.hit("blind", who) and not state.hit("lost", who):
                self._see(state, who)
            token = state.holders[who].usable_token(state.clock(who), DUTY)
            if token and not any(act.who == who for act in state.acts):
                act = Act(who, token)
                if state.hit("act", who):
                    state.acts.append(act)
                else:
                    self._act(state, act)
            state.holders[who].next_timer()
        return self.judge(state)

    # What happens.

    def _send(self, state: State, who: int, effects: list[Any]) -> None:
        for one in effects:
            if isinstance(one, StoreCall):
                state.calls.append((who, one))
            elif isinstance(one, RevokeLease):
                state.late.append((who, one))

    def _deed(self, state: State, who: int, call: Any) -> Outcome:
        engine, now = state.engine, state.now
        if isinstance(call, GrantLease):
            return engine.grant(now, call.ttl_s)
        if isinstance(call, RenewLease):
            return engine.keep(now, call.lease)
        if isinstance(call, RevokeLease):
            return engine.revoke(now, call.lease)
        if isinstance(call, RegisterInstance):
            key = f"instance/{who}"
            return engine.commit(
                now, Transaction((Compare(key, Field.CREATED, 0),), (Put(key, b"", call.lease),))
            )
        if isinstance(call, AcquireRole):
            return engine.commit(
                now,
                Transaction((Compare(KEY, Field.CREATED, 0),), (Put(KEY, f"h{who}".encode(), call.lease),)),
            )
        if isinstance(call, ReleaseRole):
            return engine.commit(now, fenced(KEY, call.token, Delete(KEY)))
        return engine.read(now, KEY)

    def _carry_out(self, state: State, who: int, call: Any) -> None:
        outcome = self._deed(state, who, call)
        if isinstance(call, ReadRoles) and isinstance(outcome, Done):
            entry = next(iter(outcome.entries), None)
            self._send(
                state,
                who,
                state.holders[who].handle_role_key(state.clock(who), DUTY, entry, outcome.revision),
            )
        self._answer(state, who, call, outcome)

    def _answer(self, state: State, who: int, call: Any, outcome: Outcome) -> None:
        if not isinstance(call, RevokeLease):
            self._send(state, who, state.holders[who].handle_outcome(state.clock(who), call.call, outcome))

    def _see(self, state: State, who: int) -> None:
        entry = state.engine.entries.get(KEY)
        self._send(
            state,
            who,
            state.holders[who].handle_role_key(state.clock(who), DUTY, entry, state.engine.revision),
        )

    def _act(self, state: State, act: Act) -> None:
        put = Put(STATE, b"")
        one = fenced(KEY, act.token, put) if self.fence else Transaction((), (put,))
        if isinstance(state.engine.commit(state.now, one), Done):
            state.accepted.append(act.token)

    # What must hold.

    def judge(self, state: State) -> str:
        """What is broken here; empty where nothing is."""
        tokens = {holder.valid_token(state.clock(who), DUTY) for who, holder in enumerate(state.holders)} - {
            0
        }
        if len(tokens) > 1:
            return f"two believe, under {sorted(tokens)}"
        if state.accepted != sorted(state.accepted):
            return f"acts were accepted in the order {state.accepted}"
        return ""

    def recovers(self, state: State) -> str:
        """No further faults; what is on runs out, then all is well."""
        for _ in range(8 * PART):
            found = self.step(state)
            if found:
                return f"afterwards: {found}"
        if not any(holder.valid_token(state.clock(who), DUTY) for who, holder in enumerate(state.holders)):
            return f"nobody holds it: {[holder.session.value for holder in state.holders]}"
        return ""
