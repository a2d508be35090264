"""Plans the machine losses and restarts of a compressed day, drawn by a seed. Pure."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

DAY_LOSSES, DAY_RESTARTS = 18, 52  # in a day at the full size
FULL_MACHINES = 340 + 600  # proxies and nodes
MAX_RACK_MACHINES = 12


@dataclass(frozen=True, slots=True)
class MachineFault:
    """A loss or restart of some machines of one worker."""

    at: float  # fraction of the window
    worker: int  # index of the worker
    kind: str  # "lose" or "restart"
    numbers: tuple[int, ...]  # indices of machines in the worker


def plan_day(worker_sizes: Sequence[int], proxy_workers: int, rng: Random) -> list[MachineFault]:
    """Return the losses and restarts of a day in order of time, including the loss of one rack of nodes.

    `proxy_workers`: number of the first workers, which hold proxies.
    """
    machines = [(worker, number) for worker, size in enumerate(worker_sizes) for number in range(size)]
    rng.shuffle(machines)
    losses = _scaled_count(DAY_LOSSES, len(machines))
    restarts = _scaled_count(DAY_RESTARTS, len(machines))
    kinds = ["lose"] * losses + ["restart"] * restarts
    assigned = zip(machines, kinds, strict=False)
    faults = [
        MachineFault(rng.uniform(0.0, 0.8), worker, kind, (number,)) for (worker, number), kind in assigned
    ]
    unaffected_nodes: dict[int, list[int]] = {}
    for worker, number in machines[losses + restarts :]:
        if worker >= proxy_workers:
            unaffected_nodes.setdefault(worker, []).append(number)
    if unaffected_nodes:
        worker = max(unaffected_nodes, key=lambda candidate: len(unaffected_nodes[candidate]))
        rack_size = min(MAX_RACK_MACHINES, max(1, len(unaffected_nodes[worker]) // 4))
        faults.append(MachineFault(0.4, worker, "lose", tuple(unaffected_nodes[worker][:rack_size])))
    return sorted(faults, key=lambda fault: fault.at)


def _scaled_count(count_at_full_size: int, machines: int) -> int:
    return max(1, round(count_at_full_size * machines / FULL_MACHINES))
