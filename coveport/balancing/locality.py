"""Locality and two draws: the level of candidates a request goes to, and which of two drawn there takes it.

The power of two choices: Mitzenmacher, IEEE TPDS 12(10), 2001. Pure but for the draws.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence
from random import Random
from typing import TypeVar

C = TypeVar("C")


def first_usable_level(levels: Iterable[Sequence[C]], is_usable: Callable[[C], bool]) -> Sequence[C]:
    """Return the first level that holds a usable candidate; an empty one where none does."""
    return next((level for level in levels if any(map(is_usable, level))), ())


def less_busy_of_two(
    candidates: Sequence[C],
    in_flight: Mapping[C, int],
    random: Random | None,
    tie_break: Callable[[C, C], C | None] | None = None,
) -> C:
    """Return the less busy of two drawn, or of two given where there is no `random`.

    Of equals it is the one that `tie_break` prefers, or the first.
    """
    drawn = candidates if random is None else random.sample(candidates, min(2, len(candidates)))
    first, second = drawn[0], drawn[-1]
    difference = in_flight.get(first, 0) - in_flight.get(second, 0)
    preferred = None if difference or tie_break is None else tie_break(first, second)
    return preferred if preferred is not None else second if difference > 0 else first
