"""The choice of members and replicas among machines."""

from __future__ import annotations

import pytest

from coveport.serving.replication.identity import Locality, MemberId
from coveport.serving.replication.placement import (
    MAX_MEMBERS,
    MachineStatus,
    choose_members,
    choose_replicas,
    count_failure_domains,
    rate_fault_tolerance,
)


def machine(name: str, zone: str, is_lost: bool = False, is_droppable: bool = False) -> MachineStatus:
    """Return the status of a machine; the first letter of its zone is its region."""
    return MachineStatus(
        member=MemberId(name, f"disk-{name}"),
        locality=Locality(zone, zone[0]),
        is_usable=not is_lost,
        is_lost=is_lost,
        is_droppable=is_droppable,
    )


def names(members: tuple[MemberId, ...] | None) -> list[str]:
    return sorted(member.address for member in members or ())


A, B, C = machine("A", "a1"), machine("B", "b1"), machine("C", "c1")


@pytest.mark.parametrize(
    ("other_machines", "expected"),
    [
        ([machine("B", "a1"), machine("C", "a2")], ["A", "C"]),
        ([machine("B", "a2"), machine("C", "b1")], ["A", "C"]),
        ([machine("B", "b1"), machine("C", "c1")], ["A", "B"]),
        ([machine("B", "b1", is_lost=True), machine("C", "a1")], ["A", "C"]),
        ([machine("B", "b1", is_lost=True)], ["A"]),
    ],
    ids=["another zone", "another region", "the lowest", "none that is lost", "fewer than wanted"],
)
def test_replicas_are_chosen_in_other_failure_domains(
    other_machines: list[MachineStatus], expected: list[str]
) -> None:
    assert names(choose_replicas(A, other_machines, 2, ())) == expected


def test_a_present_replica_is_kept_where_another_is_no_better() -> None:
    assert names(choose_replicas(A, [B, C], 2, (A.member, C.member))) == ["A", "C"]


def test_the_primary_is_the_first_replica() -> None:
    assert choose_replicas(C, [A, B, C], 3, ())[0] == C.member


def test_members_stay_when_no_other_set_tolerates_more() -> None:
    assert choose_members(A.member, [A, B, C], [machine("D", "a2")], 1) is None


def test_a_lost_member_is_swapped_for_a_newcomer() -> None:
    lost = machine("B", "b1", is_lost=True)
    assert names(choose_members(A.member, [A, lost, C], [machine("D", "b2")], 1)) == ["A", "C", "D"]


def test_three_members_grow_to_five_when_two_losses_are_to_be_tolerated() -> None:
    newcomers = [machine("D", "a2"), machine("E", "b2")]
    assert names(choose_members(A.member, [A, B, C], newcomers, 2)) == ["A", "B", "C", "D", "E"]


@pytest.mark.parametrize("is_droppable", [False, True])
def test_lost_members_are_removed_without_others_only_when_they_are_droppable(is_droppable: bool) -> None:
    lost = [machine(name, "d1", is_lost=True, is_droppable=is_droppable) for name in ("D", "E")]
    chosen = choose_members(A.member, [A, B, C, *lost], [], 2)
    assert names(chosen) == (["A", "B", "C"] if is_droppable else [])


def test_a_droppable_member_of_three_is_kept_since_two_members_tolerate_no_more() -> None:
    lost = machine("C", "c1", is_lost=True, is_droppable=True)
    assert choose_members(A.member, [A, B, lost], [], 1) is None


def test_the_deciding_machine_is_always_a_member() -> None:
    newcomers = [machine(name, f"{name.lower()}1") for name in "DEFGH"]
    chosen = choose_members(A.member, [A, B, C], newcomers, 3)
    assert chosen is not None
    assert A.member in chosen
    assert len(chosen) <= MAX_MEMBERS


def test_fault_tolerance_counts_a_loss_of_the_largest_zone_and_region() -> None:
    spread = rate_fault_tolerance([A, B, C], 1)
    crowded = rate_fault_tolerance([A, machine("B", "a1"), C], 1)
    assert (spread.machine_losses, spread.region_loss, spread.zone_loss) == (1, True, True)
    assert (crowded.machine_losses, crowded.region_loss, crowded.zone_loss) == (1, False, False)
    assert crowded < spread


def test_failure_domains_of_unknown_locality_are_not_counted() -> None:
    localities = {A.member: A.locality, B.member: B.locality}
    assert count_failure_domains([A.member, B.member, C.member], localities) == (2, 2)
