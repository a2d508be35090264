"""Plays randomly drawn days in simulated time and prints one line per day, with the broken rules."""

from __future__ import annotations

import gc
from typing import Final

from coveport.serving.simulation.schedules import draw_faults, play_drawn
from coveport.serving.simulation.world import DayResult

BROKEN: Final = 1  # exit code
MAX_SHOWN: Final = 5


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
        gc.collect()  # a day holds many reference cycles
    print(f"{days} days, {broken} with a broken rule or a fault")
    return BROKEN if broken else 0


def is_good(result: DayResult) -> bool:
    """Return whether no rule was broken and no program raised an error."""
    return not (result.breaches or result.problems)


def describe(seed: int, result: DayResult) -> list[str]:
    """Return a day as one line, followed by lines for breaches and program errors."""
    faults = ", ".join(map(str, draw_faults(seed)))
    verdict = "good" if is_good(result) else "BROKEN"
    fractions = f"served {result.served_fraction:.3f}, in time {result.in_time_fraction:.3f}"
    failures = [*map(str, result.breaches[:MAX_SHOWN]), *result.problems[:MAX_SHOWN]]
    return [f"day {seed}: {verdict}, {fractions}: {faults}", *(f"    {text}" for text in failures)]
