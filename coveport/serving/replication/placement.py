"""Chooses which machines are members of the core, and which members are replicas. All functions are pure."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from itertools import combinations

from coveport.serving.replication.identity import Locality, MemberId

MAX_MEMBERS = 7  # a larger core would wait for more syncs, and tolerate more losses than any deployment needs
MAX_CANDIDATES = 10  # machines considered as members; all their subsets are rated, 1,023 at most


@dataclass(frozen=True, slots=True)
class MachineStatus:
    """The primary's information on a machine that is a member or could become one."""

    member: MemberId
    locality: Locality
    is_usable: bool  # whether the machine may be a replica: alive, disk healthy, not shutting down
    is_lost: bool  # whether this is a member that another machine may replace; such a member isn't usable
    is_droppable: bool  # whether this is a member that may be removed without a replacement


@dataclass(frozen=True, slots=True, order=True)
class SurvivableLosses:
    """The further losses that a set of members tolerates. Compared field by field; more losses are better."""

    machine_losses: int  # number of machines; capped at the losses that must be tolerated, at least 1
    region_loss: bool  # whether the set tolerates the loss of any one region
    zone_loss: bool  # whether the set tolerates the loss of any one zone


def choose_replicas(
    primary: MachineStatus, other_machines: Iterable[MachineStatus], count: int, current: Sequence[MemberId]
) -> tuple[MemberId, ...]:
    """Return up to `count` replicas, the primary first.

    Prefers machines in further regions, then in further zones, then the `current` replicas.
    """
    chosen = [primary]
    remaining = [
        machine for machine in other_machines if machine.is_usable and machine.member != primary.member
    ]
    while remaining and len(chosen) < count:
        regions = {machine.locality.region for machine in chosen}
        zones = {machine.locality.zone for machine in chosen}
        best = min(
            remaining,
            key=lambda machine: (
                machine.locality.region in regions,
                machine.locality.zone in zones,
                machine.member not in current,
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
    known = [localities[member] for member in replicas if member in localities]
    return len({locality.region for locality in known}), len({locality.zone for locality in known})


def rate_fault_tolerance(machines: Sequence[MachineStatus], tolerated_losses: int) -> SurvivableLosses:
    """Return which losses a set of members tolerates in addition to its lost members."""
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
    current: Sequence[MachineStatus],
    newcomers: Sequence[MachineStatus],
    tolerated_losses: int,
) -> tuple[MemberId, ...] | None:
    """Return the best set of members that tolerates more losses than the current set; None if there is none.

    Among equally tolerant sets, prefers an odd number of members, then the fewest changes. A lost member may
    be replaced by another machine; a droppable member may be removed without a replacement.
    """
    current_tolerance = rate_fault_tolerance(current, tolerated_losses)
    candidates = (list(current) + list(newcomers))[:MAX_CANDIDATES]
    current_members = {machine.member for machine in current}
    best: tuple[MemberId, ...] | None = None
    best_key: tuple[SurvivableLosses, bool, int, int] | None = None
    for subset in _subsets(candidates):
        if not _is_allowed(own_id, current, subset):
            continue
        tolerance = rate_fault_tolerance(subset, tolerated_losses)
        if tolerance <= current_tolerance:
            continue
        members = tuple(machine.member for machine in subset)
        changes = len(current_members.symmetric_difference(members))
        key = (tolerance, len(subset) % 2 == 1, -changes, len(subset))
        if best_key is None or key > best_key:
            best = members
            best_key = key
    return best


def _subsets(candidates: Sequence[MachineStatus]) -> Iterable[Sequence[MachineStatus]]:
    for size in range(1, min(len(candidates), MAX_MEMBERS) + 1):
        yield from combinations(candidates, size)


def _is_allowed(own_id: MemberId, current: Sequence[MachineStatus], subset: Sequence[MachineStatus]) -> bool:
    members = {machine.member for machine in subset}
    if own_id not in members:
        return False
    removed = [machine for machine in current if machine.member not in members]
    if any(not machine.is_lost for machine in removed) and len(subset) < len(current):
        return False
    added = len(subset) + len(removed) - len(current)
    dropped = len(removed) - added
    return dropped <= sum(machine.is_droppable for machine in removed)
