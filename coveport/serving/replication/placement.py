"""Chooses which machines are members of the core, and which of those are replicas. Pure functions."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from itertools import combinations

from coveport.serving.replication.identity import Locality, MemberId

MAX_MEMBERS = 7  # a larger core waits for more syncs, and tolerates no more than is ever asked for
MAX_POOL = 10  # machines of which all subsets are rated: 1,023 at most


@dataclass(frozen=True, slots=True)
class MachineStatus:
    """What the primary knows of a machine that is a member or could be one."""

    member: MemberId
    locality: Locality
    is_usable: bool  # fit to be a replica: alive, disk healthy, not shutting down
    is_lost: bool  # a member that may be swapped for another machine; never usable
    is_droppable: bool  # a member that may be removed without another in its stead


@dataclass(frozen=True, slots=True, order=True)
class SurvivableLosses:
    """How much a set of members tolerates; more is better, the first field first."""

    machine_losses: int  # how many more machines may be lost, as far as asked for
    region_loss: bool
    zone_loss: bool


def choose_replicas(
    primary: MachineStatus, others: Iterable[MachineStatus], count: int, present: Sequence[MemberId]
) -> tuple[MemberId, ...]:
    """Return up to `count` replicas, the primary first.

    Prefers machines in other regions, then in other zones, then those of `present`.
    """
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
    replicas: Iterable[MemberId], localities: Mapping[MemberId, Locality]
) -> tuple[int, int]:
    """Return in how many regions and zones the replicas run."""
    found = [localities[member] for member in replicas if member in localities]
    return len({locality.region for locality in found}), len({locality.zone for locality in found})


def rate_fault_tolerance(machines: Sequence[MachineStatus], tolerated_losses: int) -> SurvivableLosses:
    """Return what a set of members tolerates on top of what is lost already."""
    live = [machine for machine in machines if not machine.is_lost]
    quorum = len(machines) // 2 + 1
    spare = len(live) - quorum
    largest_region = _largest_group(machine.locality.region for machine in live)
    largest_zone = _largest_group(machine.locality.zone for machine in live)
    return SurvivableLosses(
        machine_losses=min(spare, max(1, tolerated_losses)),
        region_loss=largest_region <= spare,
        zone_loss=largest_zone <= spare,
    )


def _largest_group(names: Iterable[str]) -> int:
    return max(Counter(names).values(), default=0)


def choose_members(
    own_id: MemberId,
    present: Sequence[MachineStatus],
    newcomers: Sequence[MachineStatus],
    tolerated_losses: int,
) -> tuple[MemberId, ...] | None:
    """Return members that tolerate strictly more than the present ones; None if there are none.

    Of several such sets it takes an odd number of members, then the fewest changes. A lost member may be
    swapped for another machine; a droppable one may be removed without another in its stead.
    """
    present_tolerance = rate_fault_tolerance(present, tolerated_losses)
    pool = (list(present) + list(newcomers))[:MAX_POOL]
    present_members = {machine.member for machine in present}
    best: tuple[MemberId, ...] | None = None
    best_key: tuple[SurvivableLosses, bool, int, int] | None = None
    for subset in _subsets(pool):
        if not _is_allowed(own_id, present, subset):
            continue
        tolerance = rate_fault_tolerance(subset, tolerated_losses)
        if tolerance <= present_tolerance:
            continue
        members = tuple(machine.member for machine in subset)
        changes = len(present_members.symmetric_difference(members))
        key = (tolerance, len(subset) % 2 == 1, -changes, len(subset))
        if best_key is None or key > best_key:
            best = members
            best_key = key
    return best


def _subsets(pool: Sequence[MachineStatus]) -> Iterable[Sequence[MachineStatus]]:
    for size in range(1, min(len(pool), MAX_MEMBERS) + 1):
        yield from combinations(pool, size)


def _is_allowed(own_id: MemberId, present: Sequence[MachineStatus], subset: Sequence[MachineStatus]) -> bool:
    members = {machine.member for machine in subset}
    if own_id not in members:
        return False
    left_out = [machine for machine in present if machine.member not in members]
    if any(not machine.is_lost for machine in left_out) and len(subset) < len(present):
        return False
    added = len(subset) + len(left_out) - len(present)
    dropped = len(left_out) - added
    return dropped <= sum(machine.is_droppable for machine in left_out)
