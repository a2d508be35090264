"""A model of two candidates for the duties, a core that changes its leader at will, and the platform.

A `Situation` is a value; `moves` gives every situation that may follow. What the core promises is modelled as
the replication has it: a read is confirmed while the candidate leads (as it is asked for, which is the worst:
the state is the oldest), and its answer comes at any time; a command is applied while its candidate leads, or
by the view after it. A candidate learns late that it doesn't lead any more. `violation` is the first rule
that was broken.
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
LEARNS = tuple(f"{name} learns" for name in NAMES)
INITIAL = SingletonState()


@dataclass(frozen=True, slots=True)
class Read:
    """A linearizable read whose answer is on its way."""

    asked_at: int
    state: SingletonState  # as it was confirmed


@dataclass(frozen=True, slots=True)
class Act:
    """A call whose lease was checked."""

    fence: int
    is_late: bool = False  # its process was frozen since


@dataclass(frozen=True, slots=True)
class Candidate:
    """One machine; its lease is that of its present run."""

    lease: SingletonLease
    run: int = 1
    led_epoch: int = 0  # that it believes it leads; 0: none
    read: Read | None = None
    acquisition: AcquireDuties | None = None  # submitted, its outcome isn't known
    late_act: Act | None = None  # checked right before a freeze
    is_frozen: bool = False
    refused_fences: frozenset[int] = frozenset()  # that it was told of


@dataclass(frozen=True, slots=True)
class Budget:
    """Faults that may still come."""

    switches: int = 3
    restarts: int = 1
    freezes: int = 1


@dataclass(frozen=True, slots=True)
class Situation:
    """Everything at one moment."""

    length: int  # of the lease
    candidates: tuple[Candidate, Candidate]
    budget: Budget
    now: int = 0
    leader: int = 0
    epoch: int = 1
    duties: SingletonState = INITIAL
    highest_fence: int = NO_FENCING_TOKEN  # that the platform has seen
    runs_by_fence: tuple[tuple[int, tuple[int, int]], ...] = ()
    accepted: tuple[tuple[int, int], ...] = ()  # machine and newest time, of the last two holders that acted
    violation: str = ""

    def with_candidate(self, at: int, candidate: Candidate) -> Situation:
        """Return the situation with another candidate at a place."""
        first, second = self.candidates
        return replace(self, candidates=(candidate, second) if at == 0 else (first, candidate))


def beginning(length: int, budget: Budget, highest_fence: int = NO_FENCING_TOKEN) -> Situation:
    """Return the situation before anything: the first machine leads."""
    candidates = (_started(0, 1, length), _started(1, 1, length))
    return _led(Situation(length, candidates, budget, highest_fence=highest_fence))


def _started(at: int, run: int, length: int) -> Candidate:
    return Candidate(SingletonLease(LeaseOwner(NAMES[at], str(run)), float(length)), run)


def moves(situation: Situation) -> Iterator[tuple[str, Situation]]:
    """Return each situation that may follow, with its cause; the first is that time passes."""
    yield TIME_PASSES, checked(replace(situation, now=situation.now + 1))
    for at, candidate in enumerate(situation.candidates):
        for cause, after in _own_moves(situation, at, candidate):
            yield f"{NAMES[at]} {cause}", checked(after)


def faults(situation: Situation) -> Iterator[tuple[str, Situation]]:
    """Return each situation after a fault that may still come, with its cause."""
    yield from _switches(situation)
    for at, candidate in enumerate(situation.candidates):
        for cause, after in _own_faults(situation, at, candidate):
            yield f"{NAMES[at]} {cause}", checked(after)


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
    """Let the leader know that it leads, unless it is frozen."""
    at = situation.leader
    candidate = situation.candidates[at]
    if candidate.is_frozen or candidate.led_epoch == situation.epoch:
        return situation
    lease = candidate.lease.start_leading(situation.now)
    return situation.with_candidate(at, replace(candidate, lease=lease, led_epoch=situation.epoch))


def _apply(situation: Situation, at: int) -> Situation:
    candidate = situation.candidates[at]
    assert candidate.acquisition is not None
    after = apply_singleton_command(situation.duties, candidate.acquisition)
    duties = after if isinstance(after, SingletonState) else situation.duties
    done = replace(candidate, acquisition=None, lease=candidate.lease.record_acquisition_end())
    return replace(situation, duties=duties).with_candidate(at, done)


def _own_moves(situation: Situation, at: int, candidate: Candidate) -> Iterator[tuple[str, Situation]]:
    if candidate.is_frozen:
        yield "wakes", _led(situation.with_candidate(at, replace(candidate, is_frozen=False)))
        return
    yield from _observations(situation, at, candidate)
    yield from _reads(situation, at, candidate)
    yield from _acquisitions(situation, at, candidate)
    yield from _acts(situation, at, candidate)


def _own_faults(situation: Situation, at: int, candidate: Candidate) -> Iterator[tuple[str, Situation]]:
    budget = situation.budget
    if budget.restarts:
        started = replace(situation, budget=replace(budget, restarts=budget.restarts - 1))
        yield "restarts", _led(started.with_candidate(at, _started(at, candidate.run + 1, situation.length)))
    if budget.freezes and not candidate.is_frozen:
        spent = replace(situation, budget=replace(budget, freezes=budget.freezes - 1))
        frozen = replace(candidate, is_frozen=True)
        yield "freezes", spent.with_candidate(at, frozen)
        if candidate.lease.may_act(situation.now):
            act = Act(candidate.lease.held_token, is_late=True)
            yield "freezes after a check", spent.with_candidate(at, replace(frozen, late_act=act))


def _observations(situation: Situation, at: int, candidate: Candidate) -> Iterator[tuple[str, Situation]]:
    if situation.leader != at and candidate.led_epoch:
        lease = candidate.lease.stop_leading()
        yield "learns", situation.with_candidate(at, replace(candidate, lease=lease, led_epoch=0))


def _reads(situation: Situation, at: int, candidate: Candidate) -> Iterator[tuple[str, Situation]]:
    """Confirm a read at once, or never; its answer comes at any time after that."""
    now, read = situation.now, candidate.read
    if read is not None:
        lease = candidate.lease.confirm(read.asked_at, read.state)
        yield "gets an answer", situation.with_candidate(at, replace(candidate, lease=lease, read=None))
    elif candidate.lease.next_step(now) is LeaseStep.CONFIRM and situation.leader == at:
        asked = replace(
            candidate, lease=candidate.lease.record_request(now), read=Read(now, situation.duties)
        )
        yield "is confirmed", situation.with_candidate(at, asked)


def _acquisitions(situation: Situation, at: int, candidate: Candidate) -> Iterator[tuple[str, Situation]]:
    lease = candidate.lease
    if candidate.acquisition is not None:
        if situation.leader == at:
            yield "has its command applied", _apply(situation, at)
        unclear = replace(candidate, acquisition=None, lease=lease.record_acquisition_end())
        yield "hears nothing of its command", situation.with_candidate(at, unclear)
    elif lease.next_step(situation.now) is LeaseStep.ACQUIRE:
        assert lease.confirmed_state is not None
        command = AcquireDuties(lease.own_identity, lease.confirmed_state.fencing_token)
        yield "acquires", situation.with_candidate(at, replace(candidate, acquisition=command))


def _acts(situation: Situation, at: int, candidate: Candidate) -> Iterator[tuple[str, Situation]]:
    act = candidate.late_act
    if act is not None:
        yield (
            "calls after its freeze",
            _call(situation.with_candidate(at, replace(candidate, late_act=None)), at, act),
        )
    elif candidate.lease.may_act(situation.now):
        yield "calls", _call(situation, at, Act(candidate.lease.held_token))


def _call(situation: Situation, at: int, act: Act) -> Situation:
    """Let the platform take a call, or refuse it."""
    candidate = situation.candidates[at]
    runs = dict(situation.runs_by_fence)
    if runs.setdefault(act.fence, (at, candidate.run)) != (at, candidate.run):
        return replace(situation, violation=f"fence {act.fence} has two holders")
    if act.fence in candidate.refused_fences and not act.is_late:
        return replace(situation, violation=f"fence {act.fence} is used after it was refused")
    situation = replace(situation, runs_by_fence=tuple(sorted(runs.items())))
    if act.fence < situation.highest_fence:
        refused = replace(
            candidate,
            lease=candidate.lease.reject_token(act.fence, situation.now),
            refused_fences=candidate.refused_fences | {act.fence},
        )
        return situation.with_candidate(at, refused)
    return _accept(replace(situation, highest_fence=act.fence), at)


def _accept(situation: Situation, at: int) -> Situation:
    accepted, now = situation.accepted, situation.now
    if accepted and accepted[-1][0] == at:
        return replace(situation, accepted=(*accepted[:-1], (at, now)))
    if len(accepted) == 2 and accepted[0][0] == at and now - accepted[0][1] < situation.length:
        return replace(situation, violation="one acts, another, and the first again within a lease")
    return replace(situation, accepted=(*accepted[-1:], (at, now)))


def checked(situation: Situation) -> Situation:
    """Return the situation, with a violation where both may act at a time."""
    if not situation.violation and all(one.lease.may_act(situation.now) for one in situation.candidates):
        return replace(situation, violation="two leases are valid at a time")
    return situation
