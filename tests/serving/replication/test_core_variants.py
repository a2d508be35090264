"""Each broken variant of the core is caught by a scenario whose interleavings lead to its fault."""

from __future__ import annotations

import pytest
from core_explorer import SCENARIOS, Explorer, InvariantError
from core_variants import VARIANTS, broken

STATES = 12_000  # three times the need of the slowest variant, which varies with the iteration order of sets
SCENARIO_BY_NAME = {scenario.name: scenario for scenario in SCENARIOS}
MEMBER_JOINS = "a member is taken in while the excluded backup campaigns with the members before"
SUPERSEDED_READS = "a superseded primary reads, writes and campaigns"
SUPERSEDED_WRITES = "a superseded primary with a command in flight campaigns"
LATER_VIEW_WITH_UNKNOWN_MEMBERS = (
    "a former primary hears that a later view is active, but not which members it has"
)
SCENARIO_OF_VARIANT = {
    "promise_not_synced": "the witness loses power after it promised to a second candidate",
    "view_not_synced": SUPERSEDED_WRITES,
    "append_answered_before_sync": "a replica loses power in a hand-over",
    "primary_answers_alone": "a change in flight, two candidates",
    "wiped_member_counts": "the witness loses its disk after it promised to a second candidate",
    "read_without_confirmation": SUPERSEDED_READS,
    "refusal_without_confirmation": SUPERSEDED_READS,
    "backup_skips_the_fence": "an append arrives after the backup went on with another",
    "confirms_though_fenced": SUPERSEDED_READS,
    "state_by_sequence_alone": SUPERSEDED_WRITES,
    "own_state_preferred": "an excluded backup campaigns with its old state",
    "install_answered_before_sync": "the witness loses power between two candidates",
    "takes_any_state": "an excluded backup campaigns with its old state",
    "ignores_newer_views": SUPERSEDED_WRITES,
    "half_is_enough": SUPERSEDED_READS,
    "old_members_dont_count": MEMBER_JOINS,
    "replicas_not_awaited": "a change in flight, two candidates",
    "view_not_awaited": MEMBER_JOINS,
    "shows_uncommitted": SUPERSEDED_WRITES,
    "acceptor_keeps_no_fence": "the witness loses power after it promised to a second candidate",
    "in_flight_counts_as_done": SUPERSEDED_WRITES,
    "later_view_activates_earlier_ones": LATER_VIEW_WITH_UNKNOWN_MEMBERS,
}


def test_every_variant_has_its_scenario() -> None:
    assert SCENARIO_OF_VARIANT.keys() == VARIANTS.keys()
    assert len(VARIANTS) >= 12


@pytest.mark.parametrize("name", sorted(VARIANTS))
def test_a_broken_variant_is_caught(name: str) -> None:
    explorer = Explorer(SCENARIO_BY_NAME[SCENARIO_OF_VARIANT[name]])
    with broken(name), pytest.raises(InvariantError):
        explorer.run(60, STATES)
