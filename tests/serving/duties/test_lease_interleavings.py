"""No interleaving of two candidates, a core and the platform breaks a rule; broken variants are found."""

from __future__ import annotations

import random
from collections import defaultdict
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest
from lease_model import LEARNS, TIME_PASSES, Budget, Situation, beginning, faults, moves

from coveport.serving.duties.lease import NEVER_S, SingletonLease
from coveport.serving.duties.state import SingletonState

SHORT_LEASE = 2
SHORT_END = 9
LONG_LEASE = 10
LONG_END = 120
BUDGET = Budget(switches=5, restarts=1, freezes=2)
LIKELIHOODS = (0.1, 0.4, 1.0)  # of a kind of move
TIME_LIKELIHOOD = 0.4
LEARNING_LIKELIHOODS = (0.0, 0.02, 1.0)  # that another leads
FAULT_PART = 0.05  # of the likelihood of other moves
FENCES_SEEN = (0, 0, 2)  # by the platform, before the state was founded anew
DELAY = 8.0  # of an answer
WALKS = 200
VARIANT_WALKS = 500


def explore(budget: Budget, end: int) -> tuple[str, int]:
    """Return the first violation that any interleaving reaches, and how many situations there are."""
    first = beginning(SHORT_LEASE, budget)
    seen, waiting = {first}, [first]
    while waiting:
        situation = waiting.pop()
        for _, after in (*moves(situation), *faults(situation)):
            if after.violation:
                return after.violation, len(seen)
            if after.now <= end and after not in seen:
                seen.add(after)
                waiting.append(after)
    return "", len(seen)


def walk(seed: int) -> Situation:
    """Follow moves that are drawn, until the end or a violation; how likely each is differs between walks."""
    rng = random.Random(seed)
    weights: defaultdict[str, float] = defaultdict(lambda: rng.choice(LIKELIHOODS))
    weights[TIME_PASSES] = TIME_LIKELIHOOD
    weights.update(dict.fromkeys(LEARNS, rng.choice(LEARNING_LIKELIHOODS)))
    situation = beginning(LONG_LEASE, BUDGET, rng.choice(FENCES_SEEN))
    while not situation.violation and situation.now < LONG_END:
        following = [(weights[cause], after) for cause, after in moves(situation)]
        following += [(FAULT_PART * weights[cause], after) for cause, after in faults(situation)]
        likelihoods, situations = zip(*following, strict=True)
        (situation,) = rng.choices(situations, likelihoods)
    return situation


def first_found(walks: int) -> str:
    """Return the first violation of some walks."""
    return next((end.violation for end in map(walk, range(walks)) if end.violation), "")


@pytest.mark.parametrize(
    ("budget", "end"),
    [(Budget(1, 0, 0), 6), (Budget(2, 0, 0), 4), (Budget(1, 1, 0), 4), (Budget(1, 0, 1), 4)],
    ids=["a switch", "switches", "a restart", "a freeze"],
)
def test_no_interleaving_breaks_a_rule(budget: Budget, end: int) -> None:
    violation, situations = explore(budget, end)
    assert violation == ""
    assert situations > 1000


def test_no_drawn_interleaving_breaks_a_rule() -> None:
    ends = [walk(seed) for seed in range(WALKS)]
    assert {end.violation for end in ends} == {""}
    assert sum(len(end.accepted) == 2 for end in ends) > WALKS / 20, "holders change"


def acquires_at_once(lease: SingletonLease, state: SingletonState) -> float:
    return NEVER_S


def confirms_from_the_answer(
    confirm: Callable[[SingletonLease, float, SingletonState], SingletonLease],
) -> Callable[[SingletonLease, float, SingletonState], SingletonLease]:
    def confirmed(lease: SingletonLease, requested_at_s: float, state: SingletonState) -> SingletonLease:
        after = confirm(lease, requested_at_s, state)
        is_valid = after.valid_until_s > lease.valid_until_s
        return replace(after, valid_until_s=after.valid_until_s + DELAY) if is_valid else after

    return confirmed


def never_refused(lease: SingletonLease, fencing_token: int, now_s: float) -> SingletonLease:
    return lease


def named_alike(lease: SingletonLease, state: SingletonState) -> bool:
    return state.owner is not None and state.owner.name == lease.own_identity.name


def without_end(lease: SingletonLease, now_s: float) -> bool:
    return lease.leading_since_s is not None and lease.valid_until_s > NEVER_S


VARIANTS: dict[str, tuple[str, Any]] = {
    "acquires without a wait": ("_may_acquire_from_s", acquires_at_once),
    "counts the lease from the answer": ("confirm", confirms_from_the_answer(SingletonLease.confirm)),
    "ignores a refusal": ("reject_token", never_refused),
    "takes another run's fence for its own": ("_is_owner", named_alike),
    "acts beyond the end of its lease": ("may_act", without_end),
}


@pytest.mark.parametrize("variant", VARIANTS)
def test_a_broken_lease_is_found(variant: str, monkeypatch: pytest.MonkeyPatch) -> None:
    method, broken = VARIANTS[variant]
    monkeypatch.setattr(SingletonLease, method, broken)
    assert first_found(VARIANT_WALKS)
