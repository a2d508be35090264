"""What breaks when in a trial: drawn from a seed, or read from a file. Pure."""

from __future__ import annotations

import random
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from _typeshed import DataclassInstance

KINDS = (
    "cut",
    "cut_out",
    "cut_back",
    "slow",
    "lossy",
    "late",
    "double",
    "stall",
    "sleep",
    "kill",
    "halves",
    "store_stall",
    "store_away",
    "compact",
    "lose_answers",
    "yield",
    "leave",
    "unwell",
)
# The worst moment: what happens to the next call of a kind, whoever makes it.
TRAPS = ("claim-unheard", "claim-late", "act-unheard", "act-late", "act-stall", "keep-stall")
CHAINED = 0.4  # share that follow another, at whom that hit
CHAIN = ("cut", "cut_out", "cut_back", "stall", "sleep", "kill")
FEW = 10  # instances, up to which acts come often
STAFF = ("rollout", "rollout-bad")  # what staff ask for in the middle of it all
HOLDER = "holder"  # whoever holds the (first) duty at that moment


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault.

    `target`: an instance's number, `holder`, or empty for what hits the store or all. `lasts_s`: until it
    is mended, or until a killed instance is back under its name. `share`: of messages, or of instances in
    `halves`.
    """

    at_s: float
    kind: str
    target: str = ""
    lasts_s: float = 0.0
    share: float = 0.5


@dataclass(frozen=True, slots=True)
class Trial:
    """Who is there, on what terms, and what breaks."""

    instances: int = 5
    ttl_s: float = 3.0
    margin_s: float = 0.2
    drift: float = 0.02
    duties: tuple[str, ...] = ("drill",)
    faults: tuple[Fault, ...] = ()
    wild_clocks: bool = False  # clocks run beyond the stated drift
    drill_s: float = 0.1  # between two acts of the holder
    calm_s: float = 20.0  # how long it goes on after the last fault

    @property
    def calm_from(self) -> float:
        """When the last fault is over."""
        return max((one.at_s + one.lasts_s for one in self.faults), default=0.0)

    @property
    def lasts_s(self) -> float:
        """How long it takes."""
        return self.calm_from + self.calm_s

    @property
    def again_s(self) -> float:
        """After the last fault each duty is held within so long.

        The old lease's end, a stalled or cut instance's own recovery (one time to live unwell, watches and
        sessions tried again after up to 2 s each), rests of those that yielded (two times to live), and a
        claim.
        """
        return 4 * self.ttl_s + 5.0


def draw(
    seed: int,
    instances: int = 5,
    faults: int = 6,
    over_s: float = 30.0,
    ttl_s: float = 3.0,
    wild: float = 0.1,
) -> Trial:
    """A trial from its seed. `wild`: share of trials whose clocks keep to no bound."""
    rng = random.Random(f"trial {seed}")
    drawn = list[Fault]()
    for _ in range(rng.randint(1, faults)):
        kind = rng.choice((*KINDS, *TRAPS, "slow", "slow"))  # slow alone harms nobody
        if drawn and rng.random() < CHAINED:
            # One on top of the other, at whom it hit: slow and then gone, cut and then stalled.
            before = drawn[-1]
            at = before.at_s + before.lasts_s * rng.random()
            drawn.append(
                Fault(
                    round(at, 3),
                    rng.choice(CHAIN),
                    before.target or HOLDER,
                    round(rng.uniform(1.0, 3.0) * ttl_s, 3),
                    round(rng.uniform(0.05, 0.9), 2),
                )
            )
            continue
        lasts = min(30.0, 0.1 * 300 ** rng.random())  # 0.1 to 30 s, as many short as long
        target = HOLDER if rng.random() < 0.6 else str(rng.randrange(instances))
        if kind in ("store_stall", "store_away"):
            lasts = min(lasts, 15.0)
        if kind in ("store_stall", "store_away", "compact", "halves", "lose_answers", *TRAPS):
            target = ""
        if kind in ("yield", "compact"):
            lasts = 0.0
        at = round(rng.uniform(2.0, over_s), 3)
        if kind.startswith("claim"):
            drawn.append(Fault(round(at + 0.01, 3), "yield", HOLDER))  # else nobody claims for a long while
        drawn.append(Fault(at, kind, target, round(lasts, 3), round(rng.uniform(0.05, 0.9), 2)))
    duties: tuple[str, ...] = ("drill",)
    kind_of = rng.random()
    if kind_of < 0.3:
        duties = ("drill", "rollout")
        drawn += [Fault(round(rng.uniform(2.0, over_s), 3), rng.choice(STAFF)) for _ in range(2)]
    elif kind_of < 0.6:
        duties = ("drill", "warden@0")
    # Every act is told to all that watch: with many instances fewer of them show as much.
    return Trial(
        instances=instances,
        ttl_s=ttl_s,
        duties=duties,
        drill_s=0.1 if instances <= FEW else 0.5,
        faults=tuple(sorted(drawn, key=lambda one: one.at_s)),
        wild_clocks=rng.random() < wild,
    )


AnyTrial = TypeVar("AnyTrial", bound="DataclassInstance")


def without(trial: AnyTrial, number: int) -> AnyTrial:
    """The same trial with one fault less, for the shrinker."""
    faults = trial.faults  # type: ignore[attr-defined]
    return replace(trial, faults=faults[:number] + faults[number + 1 :])
