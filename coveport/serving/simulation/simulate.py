"""Plays drawn days in simulated time and prints one line a day, with the rules that were broken."""

from __future__ import annotations

import gc
from typing import Final

from coveport.serving.simulation.schedules import draw_faults, play_drawn
from coveport.serving.simulation.world import DayResult

BROKEN: Final = 1  # exit code
BREACHES_SHOWN: Final = 5


def run(days: int = 10, seed: int = 1) -> int:
    """Play days of simulated time; 0 where none broke a rule.

    Parameters
    ----------
    days
        How many.
    seed
        Of the first day; those that follow have the next ones. The same seed gives the same day.

    """
    broken = 0
    for number in range(seed, seed + days):
        result, _ = play_drawn(number)
        broken += not is_good(result)
        print("\n".join(describe(number, result)), flush=True)
        del result
        gc.collect()  # a day is full of cycles
    print(f"{days} days, {broken} with a broken rule or a fault")
    return BROKEN if broken else 0


def is_good(result: DayResult) -> bool:
    """Return whether no rule was broken and no program raised an error."""
    return not (result.breaches or result.problems)


def describe(seed: int, result: DayResult) -> list[str]:
    """Return a day as one line, and further ones for what went wrong."""
    faults = ", ".join(map(str, draw_faults(seed)))
    verdict = "good" if is_good(result) else "BROKEN"
    shares = f"served {result.served_fraction:.3f}, in time {result.in_time_fraction:.3f}"
    wrong = [*map(str, result.breaches[:BREACHES_SHOWN]), *result.problems[:BREACHES_SHOWN]]
    return [f"day {seed}: {verdict}, {shares}: {faults}", *(f"    {text}" for text in wrong)]
