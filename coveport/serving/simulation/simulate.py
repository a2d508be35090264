"""Plays drawn days in simulated time, one line a day; a broken rule is told with its day."""

from __future__ import annotations

import gc
from typing import Final

from coveport.serving.simulation.schedules import draw_troubles, play_drawn
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
    """Whether no rule broke and no program had a fault."""
    return not (result.breaches or result.problems)


def describe(seed: int, result: DayResult) -> list[str]:
    """A day in a line, and what went wrong in it."""
    troubles = ", ".join(map(str, draw_troubles(seed)))
    verdict = "good" if is_good(result) else "BROKEN"
    shares = f"served {result.served_share:.3f}, in time {result.in_time_share:.3f}"
    wrong = [*map(str, result.breaches[:BREACHES_SHOWN]), *result.problems[:BREACHES_SHOWN]]
    return [f"day {seed}: {verdict}, {shares}: {troubles}", *(f"    {one}" for one in wrong)]
