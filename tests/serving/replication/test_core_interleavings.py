"""All interleavings of a few members, up to a number of states; COVEPORT_CORE_STATES=30000 explores more."""

from __future__ import annotations

import os
import random
from dataclasses import replace

import pytest
from core_explorer import SCENARIOS, SCENARIOS_WITH_PREFIX, Explorer, Scenario, frozen_clock

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
    print(f"{explorer.state_count} states, {explorer.final_faults} final faults, depth {explorer.max_depth}")
    assert explorer.state_count >= min(STATES, 400)
    assert explorer.final_faults > 10


@pytest.mark.parametrize("scenario", SCENARIOS_WITH_PREFIX, ids=lambda scenario: scenario.name)
def test_a_scenario_begins_after_its_prefix(scenario: Scenario) -> None:
    with frozen_clock():
        point = Explorer(scenario).initial_point()
    assert [note.strip() for note in point.path] == list(scenario.prefix)


@pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda scenario: scenario.name)
def test_random_paths_to_their_ends_keep_what_was_acknowledged(scenario: Scenario) -> None:
    """Random paths go deeper than the search of all interleavings: each ends when no event is left."""
    explorer = Explorer(scenario)
    for seed in range(WALKS):
        explorer.walk(random.Random(seed))
    print(f"{scenario.name}: {WALKS} paths, {explorer.state_count} states, longest {explorer.max_depth}")
    assert explorer.max_depth >= 15


@pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda scenario: scenario.name)
def test_random_paths_with_lost_messages_keep_what_was_acknowledged(scenario: Scenario) -> None:
    """Two messages of one kind are lost with their connections; messages sent after them arrive."""
    lost_count = 0
    for seed in range(2 * WALKS):
        rng = random.Random(seed)
        kind = rng.choice(LOSABLE_KINDS)
        budget = replace(scenario.budget, losses=(kind, kind))
        explorer = Explorer(replace(scenario, budget=budget))
        lost_count += sum(note.startswith("lose") for note in explorer.walk(rng).path)
    assert lost_count, "the situation is reached"
