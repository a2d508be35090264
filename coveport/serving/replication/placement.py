"""Which machines should be members of the core, and which of them replicas."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from itertools import combinations

from coveport.serving.replication.identity import Locality, MemberId

MEMBERS_AT_MOST = 7
POOL_AT_MOST = 10  # that sets of members are drawn from


@dataclass(frozen=True, slots=True)
class MachineStatus:
    """What the primary knows of a machine that is a member or could be one."""

    member: MemberId
    locality: Locality
    is_usable: bool  # alive, disk well, not leaving: fit to be a replica
    is_lost: bool  # a member that may be swapped for another; not usable
    is_gone: bool  # a member that may be dropped without one in its place


@dataclass(frozen=True, slots=True, order=True)
class FaultTolerance:
    """How much a set of members bears; more is better, the first field first."""

    machine_losses: int  # how many more machines may be lost, as far as asked for
    region_loss: bool
    zone_loss: bool


def choose_replicas(
    primary: MachineStatus, others: Iterable[MachineStatus], count: int, present: Sequence[MemberId]
) -> tuple[MemberId, ...]:
    """`count` replicas, the primary first; in other regions, then other zones, then present ones."""
    chosen = [primary]
    remaining = [machine for machine in others if machine.is_usable and machine.member != primary.member]
    while remaining and len(chosen) < count:
        regions = {machine.locality.region for machine in chosen}
        zones = {machine.locality.zone for machine in chosen}
        best = min(
            remaining,
            key=lambda machine: (
                machine.locality.region in regions,
                machine.locality.zone in zones,
                machine.member not in present,
                machine.member,
            ),
        )
        chosen.append(best)
        remaining.remove(best)
    return tuple(machine.member for machine in chosen)


def count_failure_domains(
    replicas: Iterable[MemberId], localities: dict[MemberId, Locality]
) -> tuple[int, int]:
    """In how many regions and zones the replicas stand."""
    found = [localities[member] for member in replicas if member in localities]
    return len({locality.region for locality in found}), len({locality.zone for locality in found})


def rate_fault_tolerance(machines: Sequence[MachineStatus], tolerated_losses: int) -> FaultTolerance:
    """What a set of members bears on top of what is lost already."""
    live = [machine for machine in machines if not machine.is_lost]
    needed = len(machines) // 2 + 1
    spare = len(live) - needed
    worst_region = _largest(machine.locality.region for machine in live)
    worst_zone = _largest(machine.locality.zone for machine in live)
    return FaultTolerance(
        machine_losses=min(spare, max(1, tolerated_losses)),
        region_loss=worst_region <= spare,
        zone_loss=worst_zone <= spare,
    )


def _largest(names: Iterable[str]) -> int:
    counts: dict[str, int] = {}
    for name in names:
        counts[name] = counts.get(name, 0) + 1
    return max(counts.values(), default=0)


def choose_members(
    own_id: MemberId,
    present: Sequence[MachineStatus],
    newcomers: Sequence[MachineStatus],
    tolerated_losses: int,
) -> tuple[MemberId, ...] | None:
    """Members that bear strictly more than the present ones, with as few changes as go; None: there are none.

    A lost member may be swapped for another; one that is gone may be dropped without another in its place.
    """
    now = rate_fault_tolerance(present, tolerated_losses)
    pool = (list(present) + list(newcomers))[:POOL_AT_MOST]
    kept = {machine.member for machine in present}
    best: tuple[MemberId, ...] | None = None
    best_key: tuple[FaultTolerance, bool, int, int] | None = None
    for size in range(1, min(len(pool), MEMBERS_AT_MOST) + 1):
        for subset in combinations(pool, size):
            if not _is_allowed(own_id, present, subset):
                continue
            tolerance = rate_fault_tolerance(subset, tolerated_losses)
            if tolerance <= now:
                continue
            members = tuple(machine.member for machine in subset)
            changes = len(kept.symmetric_difference(members))
            key = (tolerance, size % 2 == 1, -changes, size)
            if best_key is None or key > best_key:
                best = members
                best_key = key
    return best


def _is_allowed(own_id: MemberId, present: Sequence[MachineStatus], subset: Sequence[MachineStatus]) -> bool:
    members = {machine.member for machine in subset}
    if own_id not in members:
        return False
    left_out = [machine for machine in present if machine.member not in members]
    if any(not machine.is_lost for machine in left_out) and len(subset) < len(present):
        return False
    added = len(subset) + len(left_out) - len(present)
    dropped_without_one = len(left_out) - added
    return dropped_without_one <= sum(machine.is_gone for machine in left_out)
