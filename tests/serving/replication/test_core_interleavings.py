"""All interleavings of a few members, up to a number of states; COVEPORT_CORE_STATES=30000 explores more."""

from __future__ import annotations

import os
import random
from dataclasses import replace

import pytest
from core_explorer import FROM_THE_MIDST, SCENARIOS, Explorer, Scenario, frozen_clock

LOSABLE_KINDS = (
    "Prepare",
    "Promise",
    "Install",
    "Accept",
    "ViewActivated",
    "Append",
    "Committed",
    "Confirm",
)
WALKS = int(os.environ.get("COVEPORT_CORE_WALKS", "6"))
STATES = int(os.environ.get("COVEPORT_CORE_STATES", "500"))
DEPTH = 60


@pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda scenario: scenario.name)
def test_every_state_keeps_what_was_acknowledged(scenario: Scenario) -> None:
    explorer = Explorer(scenario)
    explorer.run(DEPTH, STATES)
    print(f"{explorer.states} states, {explorer.closing_faults} closing faults, depth {explorer.deepest}")
    assert explorer.states >= min(STATES, 400)
    assert explorer.closing_faults > 10


@pytest.mark.parametrize("scenario", FROM_THE_MIDST, ids=lambda scenario: scenario.name)
def test_a_scenario_begins_after_its_prefix(scenario: Scenario) -> None:
    with frozen_clock():
        point = Explorer(scenario).first_point()
    assert [note.strip() for note in point.trail] == list(scenario.prefix)


@pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda scenario: scenario.name)
def test_random_paths_to_their_ends_keep_what_was_acknowledged(scenario: Scenario) -> None:
    """Random paths go deeper than the search of all interleavings: each ends when no event is left."""
    explorer = Explorer(scenario)
    for seed in range(WALKS):
        explorer.walk(random.Random(seed))
    print(f"{scenario.name}: {WALKS} paths, {explorer.states} states, longest {explorer.deepest}")
    assert explorer.deepest >= 15


@pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda scenario: scenario.name)
def test_random_paths_with_lost_messages_keep_what_was_acknowledged(scenario: Scenario) -> None:
    """Two messages of one kind are lost with their connections; messages sent after them arrive."""
    lost_count = 0
    for seed in range(2 * WALKS):
        rng = random.Random(seed)
        kind = rng.choice(LOSABLE_KINDS)
        budget = replace(scenario.budget, losses=(kind, kind))
        explorer = Explorer(replace(scenario, budget=budget))
        lost_count += sum(note.startswith("lose") for note in explorer.walk(rng).trail)
    assert lost_count, "the situation is reached"
