"""From a scenario to its outcome: drawn, played on a ground, judged and measured."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

from coveport.testbed import measures, oracle
from coveport.testbed.drawing import draw
from coveport.testbed.outcome import Broken, Outcome
from coveport.testbed.playing import Played
from coveport.testbed.scenario import Scenario

GROUNDS = ("virtual", "real", "bare")


def play(
    scenario: Scenario,
    *,
    seed: int,
    ground: str,
    variant: str = "",
    logs: Path | None = None,
    progress: Callable[[float], None] | None = None,
) -> Played:
    """Draw and play a day; ValueError where there is no such ground or variant."""
    day = draw(scenario, seed)
    if ground == "virtual":
        from coveport.testbed.simulated_network.play import play_day as virtual

        return virtual(day, variant=variant, logs=logs, progress=progress)
    if ground == "bare":
        from coveport.testbed.discrete_event.play import play_day as bare

        if variant:
            raise ValueError("variants run on virtual ground only")
        return bare(day, progress=progress)
    if ground == "real":
        from coveport.testbed.loopback import play_day as real

        if variant:
            raise ValueError("variants run on virtual ground only")
        return real(day, logs=logs, progress=progress)
    raise ValueError(f"no ground {ground!r}; one of {', '.join(GROUNDS)}")


def judge(played: Played, *, name: str = "", variant: str = "") -> Outcome:
    """What a played day comes to: figures, broken rules, and whether expectations are met."""
    grace = oracle.Grace.real() if played.ground == "real" else oracle.Grace.virtual()
    breaches = oracle.judge(played.day, played.rows, grace=grace)
    outcome = measures.measure(played, name=name, variant=variant)
    outcome.break_rules(Broken(one.rule, one.at_ms, one.operation, one.what) for one in breaches)
    measures.judge_expectations(outcome, played.day.scenario)
    return outcome


def play_and_judge(
    scenario: Scenario,
    *,
    name: str,
    seed: int,
    ground: str,
    variant: str = "",
    logs: Path | None = None,
    progress: Callable[[float], None] | None = None,
) -> tuple[Played, Outcome]:
    """Both; what the command line and the experiments call."""
    played = play(scenario, seed=seed, ground=ground, variant=variant, logs=logs, progress=progress)
    return played, judge(played, name=name, variant=variant)
