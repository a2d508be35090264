"""The oracle's eyes: sidecars that are broken on purpose are each caught, and the shipped one never is."""

from __future__ import annotations

import pytest

from coveport.testbed import run, scenario_file
from coveport.testbed.broken import VARIANTS

TROUBLE = """
title = "Trouble of many kinds"
length_s = 10
tail_s = 5
load.level = 0.55
faults = [
    {kind = "resets", at_s = 1, for_s = 9, size = 0.08},
    {kind = "errors", at_s = 1, for_s = 9, size = 0.05},
    {kind = "slow", at_s = 2, for_s = 5, whom = {share = 0.2}, size = 8},
    {kind = "drain", at_s = 3, for_s = 5, gone_s = 3, whom = {count = 2}},
    {kind = "crash", at_s = 5, for_s = 1.5, whom = {count = 2}},
]
"""
BROKEN = [name for name, variant in VARIANTS.items() if variant.rule]
LEGAL = [name for name, variant in VARIANTS.items() if not variant.rule]


def played(seed: int, variant: str = "", sets: tuple[str, ...] = ()) -> list[str]:
    """The rules broken on a day of trouble."""
    day = scenario_file.parse(TROUBLE, "trouble", sets)
    _, outcome = run.play_and_judge(day, name="trouble", seed=seed, ground="virtual", variant=variant)
    return [one.rule for one in outcome.broken]


@pytest.mark.parametrize("name", BROKEN)
def test_a_broken_sidecar_is_caught_under_the_right_rule(name: str) -> None:
    variant = VARIANTS[name]
    for seed in range(1, 6):
        rules = played(seed, name, variant.scenario)
        if variant.rule in rules:
            return
    pytest.fail(f"{name} broke no {variant.rule} on five days")


@pytest.mark.parametrize("tens", range(5))
def test_the_shipped_sidecar_breaks_no_rule_on_fifty_days_of_trouble(tens: int) -> None:
    for seed in range(100 + 10 * tens, 110 + 10 * tens):
        assert played(seed) == [], f"seed {seed}"


@pytest.mark.parametrize("name", LEGAL)
def test_a_legal_variant_breaks_none(name: str) -> None:
    assert played(3, name) == []
