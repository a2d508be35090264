"""No interleaving of two candidates, replication and the platform breaks a rule; variants do."""

from __future__ import annotations

import random
from collections import defaultdict
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest
from lease_model import LEADER_DETECTIONS, TIME_PASSES, Budget, Situation, faults, initial_situation, moves

from coveport.serving.duties.lease import NEVER_S, SingletonLease
from coveport.serving.duties.state import SingletonState

SHORT_LEASE = 2
SHORT_END = 9
LONG_LEASE = 10
LONG_END = 120
BUDGET = Budget(switches=5, restarts=1, freezes=2)
LIKELIHOODS = (0.1, 0.4, 1.0)  # weights of a kind of move
TIME_LIKELIHOOD = 0.4
DETECTION_LIKELIHOODS = (0.0, 0.02, 1.0)  # of detecting that another leads
FAULT_WEIGHT = 0.05  # weight of faults, relative to other moves
SEEN_TOKENS = (0, 0, 2)  # by the platform, before the replicated state was created again
DELAY = 8.0  # of an answer, in steps of time
WALKS = 200
VARIANT_WALKS = 500


def explore(budget: Budget, end: int) -> tuple[str, int]:
    """Return the first violation found in all interleavings, and the number of situations."""
    first = initial_situation(SHORT_LEASE, budget)
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
    """Follow random moves until the end or a violation; the weights of moves differ between walks."""
    rng = random.Random(seed)
    weights: defaultdict[str, float] = defaultdict(lambda: rng.choice(LIKELIHOODS))
    weights[TIME_PASSES] = TIME_LIKELIHOOD
    weights.update(dict.fromkeys(LEADER_DETECTIONS, rng.choice(DETECTION_LIKELIHOODS)))
    situation = initial_situation(LONG_LEASE, BUDGET, rng.choice(SEEN_TOKENS))
    while not situation.violation and situation.now < LONG_END:
        following = [(weights[cause], after) for cause, after in moves(situation)]
        following += [(FAULT_WEIGHT * weights[cause], after) for cause, after in faults(situation)]
        likelihoods, situations = zip(*following, strict=True)
        (situation,) = rng.choices(situations, likelihoods)
    return situation


def first_violation(walks: int) -> str:
    """Return the first violation of these walks; empty where there is none."""
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
    assert sum(len(end.accepted) == 2 for end in ends) > WALKS / 20, "owners change"


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


def ignores_refusal(lease: SingletonLease, fencing_token: int, now_s: float) -> SingletonLease:
    return lease


def has_own_name(lease: SingletonLease, state: SingletonState) -> bool:
    return state.owner is not None and state.owner.name == lease.own_identity.name


def acts_without_end(lease: SingletonLease, now_s: float) -> bool:
    return lease.leading_since_s is not None and lease.valid_until_s > NEVER_S


VARIANTS: dict[str, tuple[str, Any]] = {
    "acquires without a delay": ("_may_acquire_from_s", acquires_at_once),
    "counts the lease from the answer": ("confirm", confirms_from_the_answer(SingletonLease.confirm)),
    "ignores a refusal": ("reject_token", ignores_refusal),
    "uses the token of another run of the machine": ("_is_owner", has_own_name),
    "acts beyond the end of its lease": ("may_act", acts_without_end),
}


@pytest.mark.parametrize("variant", VARIANTS)
def test_a_broken_lease_is_found(variant: str, monkeypatch: pytest.MonkeyPatch) -> None:
    method, broken = VARIANTS[variant]
    monkeypatch.setattr(SingletonLease, method, broken)
    assert first_violation(VARIANT_WALKS)
