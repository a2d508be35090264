"""Which machines a compressed day loses and restarts, drawn by a seed. Pure."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

DAY_LOSSES, DAY_RESTARTS = 18, 52  # at the full size, in a day
FULL_MACHINES = 340 + 600
RACK_MOST = 12


@dataclass(frozen=True, slots=True)
class Strike:
    """One thing that happens to some machines of one worker."""

    at: float  # share of the window
    worker: int
    kind: str  # "lose" or "restart"
    numbers: tuple[int, ...]


def plan_day(worker_sizes: Sequence[int], proxy_workers: int, rng: Random) -> list[Strike]:
    """Losses and restarts of a day, in order, and one rack.

    `proxy_workers`: how many of the first workers hold proxies.
    """
    machines = [(worker, number) for worker, size in enumerate(worker_sizes) for number in range(size)]
    rng.shuffle(machines)
    losses = _scaled_count(DAY_LOSSES, len(machines))
    restarts = _scaled_count(DAY_RESTARTS, len(machines))
    kinds = ["lose"] * losses + ["restart"] * restarts
    struck = zip(machines, kinds, strict=False)
    strikes = [Strike(rng.uniform(0.0, 0.8), worker, kind, (number,)) for (worker, number), kind in struck]
    free: dict[int, list[int]] = {}
    for worker, number in machines[losses + restarts :]:
        if worker >= proxy_workers:
            free.setdefault(worker, []).append(number)
    if free:
        worker = max(free, key=lambda candidate: len(free[candidate]))
        rack = min(RACK_MOST, max(1, len(free[worker]) // 4))
        strikes.append(Strike(0.4, worker, "lose", tuple(free[worker][:rack])))
    return sorted(strikes, key=lambda strike: strike.at)


def _scaled_count(at_full: int, machines: int) -> int:
    return max(1, round(at_full * machines / FULL_MACHINES))
