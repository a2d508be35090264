"""All interleavings of a few members, up to a bound; more with COVEPORT_CORE_STATES=30000."""

from __future__ import annotations

import os

import pytest
from core_explorer import FROM_THE_MIDST, SCENARIOS, Explorer, Scenario, standing_still

STATES = int(os.environ.get("COVEPORT_CORE_STATES", "500"))
DEPTH = 60


@pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda scenario: scenario.name)
def test_every_state_keeps_what_was_acknowledged(scenario: Scenario) -> None:
    explorer = Explorer(scenario)
    explorer.run(DEPTH, STATES)
    print(f"{explorer.states} states, {explorer.closings} closing faults, depth {explorer.deepest}")
    assert explorer.states >= min(STATES, 400)
    assert explorer.closings > 10


@pytest.mark.parametrize("scenario", FROM_THE_MIDST, ids=lambda scenario: scenario.name)
def test_a_scenario_begins_where_it_says(scenario: Scenario) -> None:
    with standing_still():
        point = Explorer(scenario).first_point()
    assert [note.strip() for note in point.trail] == list(scenario.prefix)
