"""A model of two candidates for the lease, of replication that may change its leader, and of the platform.

A `Situation` is immutable; `moves` yields every situation that may follow. Replication is modelled by its
guarantees: a read is confirmed while the candidate leads, and its answer comes at any time (confirmed when
requested, the worst case, as the state is the oldest); a command is applied while its candidate leads, or by
the next view. A candidate may detect late that it no longer leads. `violation` is the first rule broken.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, replace

from coveport.serving.duties.commands import AcquireDuties
from coveport.serving.duties.lease import LeaseStep, SingletonLease
from coveport.serving.duties.state import NO_FENCING_TOKEN, LeaseOwner, SingletonState
from coveport.serving.duties.state_machine import apply_singleton_command

NAMES = ("a", "b")
TIME_PASSES = "time passes"
LEADER_DETECTIONS = tuple(f"{name} detects another leader" for name in NAMES)
INITIAL = SingletonState()


@dataclass(frozen=True, slots=True)
class Read:
    """A linearizable read whose answer is in flight."""

    requested_at: int
    state: SingletonState  # the confirmed state


@dataclass(frozen=True, slots=True)
class CheckedCall:
    """A call for which the lease was checked."""

    token: int
    is_late: bool = False  # its process was frozen after the check


@dataclass(frozen=True, slots=True)
class Candidate:
    """One machine, with the lease of its current run."""

    lease: SingletonLease
    run: int = 1
    led_epoch: int = 0  # the epoch in which it considers itself the leader; 0: none
    read: Read | None = None
    acquisition: AcquireDuties | None = None  # submitted, without an outcome yet
    delayed_call: CheckedCall | None = None  # checked right before a freeze, not yet sent
    is_frozen: bool = False
    rejected_tokens: frozenset[int] = frozenset()  # tokens for which it got a refusal


@dataclass(frozen=True, slots=True)
class Budget:
    """Numbers of faults that may still occur."""

    switches: int = 3
    restarts: int = 1
    freezes: int = 1


@dataclass(frozen=True, slots=True)
class Situation:
    """The state of the whole model at one time."""

    length: int  # of the lease
    candidates: tuple[Candidate, Candidate]
    budget: Budget
    now: int = 0
    leader: int = 0
    epoch: int = 1
    singleton_state: SingletonState = INITIAL
    highest_token: int = NO_FENCING_TOKEN  # the highest token that the platform has seen
    runs_by_token: tuple[tuple[int, tuple[int, int]], ...] = ()
    accepted: tuple[tuple[int, int], ...] = ()  # machine and last time, of the last two owners that acted
    violation: str = ""

    def with_candidate(self, index: int, candidate: Candidate) -> Situation:
        """Return the situation with the candidate of one machine replaced."""
        first, second = self.candidates
        return replace(self, candidates=(candidate, second) if index == 0 else (first, candidate))


def initial_situation(length: int, budget: Budget, highest_token: int = NO_FENCING_TOKEN) -> Situation:
    """Return the initial situation, in which the first machine leads."""
    candidates = (_started(0, 1, length), _started(1, 1, length))
    return _led(Situation(length, candidates, budget, highest_token=highest_token))


def _started(index: int, run: int, length: int) -> Candidate:
    return Candidate(SingletonLease(LeaseOwner(NAMES[index], str(run)), float(length)), run)


def moves(situation: Situation) -> Iterator[tuple[str, Situation]]:
    """Yield each situation that may follow, with its cause; the first one lets time pass."""
    yield TIME_PASSES, checked(replace(situation, now=situation.now + 1))
    for index, candidate in enumerate(situation.candidates):
        for cause, after in _own_moves(situation, index, candidate):
            yield f"{NAMES[index]} {cause}", checked(after)


def faults(situation: Situation) -> Iterator[tuple[str, Situation]]:
    """Yield each situation after one more fault, with its cause."""
    yield from _switches(situation)
    for index, candidate in enumerate(situation.candidates):
        for cause, after in _own_faults(situation, index, candidate):
            yield f"{NAMES[index]} {cause}", checked(after)


def _switches(situation: Situation) -> Iterator[tuple[str, Situation]]:
    budget = situation.budget
    if not budget.switches:
        return
    spent = replace(budget, switches=budget.switches - 1)
    switched = replace(situation, epoch=situation.epoch + 1, budget=spent)
    yield "its own view changes", _led(switched)
    before, switched = situation.leader, replace(switched, leader=1 - situation.leader)
    yield "another leads", _led(switched)
    if situation.candidates[before].acquisition is not None:
        yield "another leads, with the command", _led(_apply(switched, before))


def _led(situation: Situation) -> Situation:
    """Return the situation in which the leader has detected that it leads, unless it is frozen."""
    index = situation.leader
    candidate = situation.candidates[index]
    if candidate.is_frozen or candidate.led_epoch == situation.epoch:
        return situation
    lease = candidate.lease.start_leading(situation.now)
    return situation.with_candidate(index, replace(candidate, lease=lease, led_epoch=situation.epoch))


def _apply(situation: Situation, index: int) -> Situation:
    candidate = situation.candidates[index]
    assert candidate.acquisition is not None
    after = apply_singleton_command(situation.singleton_state, candidate.acquisition)
    singleton_state = after if isinstance(after, SingletonState) else situation.singleton_state
    done = replace(candidate, acquisition=None, lease=candidate.lease.record_acquisition_end())
    return replace(situation, singleton_state=singleton_state).with_candidate(index, done)


def _own_moves(situation: Situation, index: int, candidate: Candidate) -> Iterator[tuple[str, Situation]]:
    if candidate.is_frozen:
        yield "resumes", _led(situation.with_candidate(index, replace(candidate, is_frozen=False)))
        return
    yield from _observations(situation, index, candidate)
    yield from _reads(situation, index, candidate)
    yield from _acquisitions(situation, index, candidate)
    yield from _acts(situation, index, candidate)


def _own_faults(situation: Situation, index: int, candidate: Candidate) -> Iterator[tuple[str, Situation]]:
    budget = situation.budget
    if budget.restarts:
        restarted = replace(situation, budget=replace(budget, restarts=budget.restarts - 1))
        yield (
            "restarts",
            _led(restarted.with_candidate(index, _started(index, candidate.run + 1, situation.length))),
        )
    if budget.freezes and not candidate.is_frozen:
        spent = replace(situation, budget=replace(budget, freezes=budget.freezes - 1))
        frozen = replace(candidate, is_frozen=True)
        yield "freezes", spent.with_candidate(index, frozen)
        if candidate.lease.may_act(situation.now):
            call = CheckedCall(candidate.lease.held_token, is_late=True)
            yield "freezes after a check", spent.with_candidate(index, replace(frozen, delayed_call=call))


def _observations(situation: Situation, index: int, candidate: Candidate) -> Iterator[tuple[str, Situation]]:
    if situation.leader != index and candidate.led_epoch:
        lease = candidate.lease.stop_leading()
        yield (
            "detects another leader",
            situation.with_candidate(index, replace(candidate, lease=lease, led_epoch=0)),
        )


def _reads(situation: Situation, index: int, candidate: Candidate) -> Iterator[tuple[str, Situation]]:
    """Yield the confirmation of a read when it is requested, and its answer at any later time."""
    now, read = situation.now, candidate.read
    if read is not None:
        lease = candidate.lease.confirm(read.requested_at, read.state)
        yield "gets an answer", situation.with_candidate(index, replace(candidate, lease=lease, read=None))
    elif candidate.lease.next_step(now) is LeaseStep.CONFIRM and situation.leader == index:
        requested = replace(
            candidate, lease=candidate.lease.record_request(now), read=Read(now, situation.singleton_state)
        )
        yield "is confirmed", situation.with_candidate(index, requested)


def _acquisitions(situation: Situation, index: int, candidate: Candidate) -> Iterator[tuple[str, Situation]]:
    lease = candidate.lease
    if candidate.acquisition is not None:
        if situation.leader == index:
            yield "has its command applied", _apply(situation, index)
        unclear = replace(candidate, acquisition=None, lease=lease.record_acquisition_end())
        yield "gets no outcome of its command", situation.with_candidate(index, unclear)
    elif lease.next_step(situation.now) is LeaseStep.ACQUIRE:
        assert lease.confirmed_state is not None
        command = AcquireDuties(lease.own_identity, lease.confirmed_state.fencing_token)
        yield "acquires", situation.with_candidate(index, replace(candidate, acquisition=command))


def _acts(situation: Situation, index: int, candidate: Candidate) -> Iterator[tuple[str, Situation]]:
    call = candidate.delayed_call
    if call is not None:
        yield (
            "calls after its freeze",
            _call(situation.with_candidate(index, replace(candidate, delayed_call=None)), index, call),
        )
    elif candidate.lease.may_act(situation.now):
        yield "calls", _call(situation, index, CheckedCall(candidate.lease.held_token))


def _call(situation: Situation, index: int, call: CheckedCall) -> Situation:
    """Return the situation after the platform has accepted or refused a call."""
    candidate = situation.candidates[index]
    runs = dict(situation.runs_by_token)
    if runs.setdefault(call.token, (index, candidate.run)) != (index, candidate.run):
        return replace(situation, violation=f"fencing token {call.token} has two owners")
    if call.token in candidate.rejected_tokens and not call.is_late:
        return replace(situation, violation=f"fencing token {call.token} is used after its refusal")
    situation = replace(situation, runs_by_token=tuple(sorted(runs.items())))
    if call.token < situation.highest_token:
        refused = replace(
            candidate,
            lease=candidate.lease.reject_token(call.token, situation.now),
            rejected_tokens=candidate.rejected_tokens | {call.token},
        )
        return situation.with_candidate(index, refused)
    return _accept(replace(situation, highest_token=call.token), index)


def _accept(situation: Situation, index: int) -> Situation:
    accepted, now = situation.accepted, situation.now
    if accepted and accepted[-1][0] == index:
        return replace(situation, accepted=(*accepted[:-1], (index, now)))
    if len(accepted) == 2 and accepted[0][0] == index and now - accepted[0][1] < situation.length:
        return replace(situation, violation="an owner, another and the first one again act within a lease")
    return replace(situation, accepted=(*accepted[-1:], (index, now)))


def checked(situation: Situation) -> Situation:
    """Return the situation, with a violation where both candidates may act."""
    if not situation.violation and all(each.lease.may_act(situation.now) for each in situation.candidates):
        return replace(situation, violation="two leases are valid at the same time")
    return situation
