"""Each broken variant of the core is caught by a scenario whose interleavings lead to its fault."""

from __future__ import annotations

import pytest
from core_explorer import SCENARIOS, Explorer, InvariantError
from core_variants import VARIANTS, applied_variant

STATES = 12_000  # three times the need of the slowest variant, which varies with the iteration order of sets
SCENARIO_BY_NAME = {scenario.name: scenario for scenario in SCENARIOS}
MEMBER_JOINS = "a member is added while the excluded backup campaigns with the former members"
SUPERSEDED_READS = "a superseded primary reads, writes and campaigns"
SUPERSEDED_WRITES = "a superseded primary with a command in flight campaigns"
LATER_VIEW_WITH_UNKNOWN_MEMBERS = "a former primary learns that a later view is active, but not its members"
SCENARIO_OF_VARIANT = {
    "promise_not_synced": "the witness loses power after it promised to a second candidate",
    "view_not_synced": SUPERSEDED_WRITES,
    "append_answered_before_sync": "a replica loses power in a hand-over",
    "primary_acknowledges_alone": "a change in flight, two candidates",
    "wiped_member_keeps_identity": "the witness loses its disk after it promised to a second candidate",
    "read_without_confirmation": SUPERSEDED_READS,
    "refusal_without_confirmation": SUPERSEDED_READS,
    "backup_ignores_fencing": "an append arrives after the backup promised to another candidate",
    "fenced_epoch_confirmed": SUPERSEDED_READS,
    "state_chosen_by_sequence_only": SUPERSEDED_WRITES,
    "own_state_preferred": "an excluded backup campaigns with its old state",
    "install_answered_before_sync": "the witness loses power between two candidates",
    "any_state_accepted": "an excluded backup campaigns with its old state",
    "newer_views_ignored": SUPERSEDED_WRITES,
    "half_counts_as_majority": SUPERSEDED_READS,
    "old_members_ignored": MEMBER_JOINS,
    "replicas_not_awaited": "a change in flight, two candidates",
    "view_not_awaited": MEMBER_JOINS,
    "backup_commits_on_append": SUPERSEDED_WRITES,
    "acceptor_ignores_fencing": "the witness loses power after it promised to a second candidate",
    "in_flight_command_assumed_committed": SUPERSEDED_WRITES,
    "later_view_activates_earlier_ones": LATER_VIEW_WITH_UNKNOWN_MEMBERS,
}


def test_every_variant_has_its_scenario() -> None:
    assert SCENARIO_OF_VARIANT.keys() == VARIANTS.keys()
    assert len(VARIANTS) >= 12


@pytest.mark.parametrize("name", sorted(VARIANTS))
def test_a_broken_variant_is_caught(name: str) -> None:
    explorer = Explorer(SCENARIO_BY_NAME[SCENARIO_OF_VARIANT[name]])
    with applied_variant(name), pytest.raises(InvariantError):
        explorer.run(60, STATES)
