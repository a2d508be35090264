"""Bare ground: the same rules, the same days, hundreds of copies; and what the fleet did to itself before."""

from __future__ import annotations

import pytest
from msgspec.structs import replace

from coveport.balancing import balancer, subsetting
from coveport.testbed import catalog, drawing, run
from coveport.testbed.discrete_event.play import BareError, play_day
from coveport.testbed.scenario import Scenario
from coveport.testbed.scenario_file import load

MASS = load(catalog.find("mass-jam"))
SLICE = replace(MASS, length_s=9.0, faults=(replace(MASS.faults[0], at_s=2.0, for_s=3.0),))


@pytest.mark.parametrize(
    "sets",
    [
        (),
        ("load.level=1.6",),
        ('faults.0={kind="crash", at_s=2, for_s=3, replaced=true}',),
        ('faults.0={kind="rolling", at_s=1, every_s=1.5}',),
        ('faults.0={kind="silent", at_s=2, for_s=3}',),
        ('faults.0={kind="cut", at_s=2, for_s=3}', 'faults.1={kind="resets", at_s=1, for_s=4}'),
        ('faults.0={kind="kill", at_s=2, for_s=1, whom={share=0.7}}', 'faults.1={kind="errors", at_s=1}'),
        ('faults.0={kind="restart", at_s=2, every_s=0.3, whom={all=true}}', "load.impatient=0.2"),
        ('faults.0={kind="discovery", at_s=1, for_s=5}', 'faults.1={kind="crash", at_s=2, for_s=2}'),
        ('faults.0={kind="discovery", how="late", at_s=1, for_s=5}', 'faults.1={kind="spoilt", at_s=2}'),
    ],
)
def test_the_rules_hold_on_bare_ground(sets: tuple[str, ...]) -> None:
    day = load(catalog.find("calm"), ("length_s=9", "fleet.sidecars=9", "fleet.nodes=12", *sets))
    played, outcome = run.play_and_judge(day, name="bare", seed=2, ground="bare")
    assert not outcome.broken and not played.notes, (outcome.broken[:3], played.notes[:1])


def test_it_agrees_with_virtual_ground() -> None:
    for name in ("calm", "crash", "slow"):
        day = load(catalog.find(name), ("length_s=10",)) if name == "calm" else load(catalog.find(name))
        there, here = (
            run.play_and_judge(day, name=name, seed=3, ground=ground)[1].service
            for ground in ("virtual", "bare")
        )
        assert abs(there - here) < 0.05, (name, there, here)


def test_the_same_day_twice_is_the_same() -> None:
    day = drawing.draw(load(catalog.find("crash")), 4)
    assert play_day(day).rows == play_day(day).rows


def test_what_it_does_not_play_is_refused() -> None:
    for sets in ('faults.0={kind="stall", at_s=1, for_s=1}',), ("discovery.asked=true",):
        with pytest.raises(BareError, match="bare ground does not play"):
            play_day(drawing.draw(load(catalog.find("calm"), sets), 1))


def service(day: Scenario) -> float:
    return run.play_and_judge(day, name="mass", seed=2, ground="bare")[1].service


def test_a_fleet_that_keeps_to_parts_and_turns_retries_away_outlives_a_burst(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Without parts each copy is a stranger everywhere; without the part of what is out nobody holds back."""
    whole = service(SLICE)
    assert whole > 0.75
    monkeypatch.setattr(subsetting, "BALANCERS_PER_HOST", 10_000)
    strangers = service(SLICE)
    monkeypatch.undo()
    monkeypatch.setattr(balancer.Balancer, "_is_saturated", lambda _: False)
    unheld = service(SLICE)
    assert whole > strangers + 0.02 and whole > unheld + 0.05, (whole, strangers, unheld)
