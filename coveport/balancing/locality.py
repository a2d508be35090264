"""Locality and the power of two choices: a request's level of candidates, and its choice of two drawn there.

The power of two choices: Mitzenmacher, IEEE TPDS 12(10), 2001. The functions depend on nothing but their
arguments; only the draws are random.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence
from random import Random
from typing import TypeVar

C = TypeVar("C")


def first_usable_level(levels: Iterable[Sequence[C]], is_usable: Callable[[C], bool]) -> Sequence[C]:
    """Return the first level with a usable candidate; an empty level if there is none."""
    return next((level for level in levels if any(map(is_usable, level))), ())


def less_busy_of_two(
    candidates: Sequence[C],
    in_flight: Mapping[C, int],
    random: Random | None,
    tie_break: Callable[[C, C], C | None] | None = None,
) -> C:
    """Return the less busy of two candidates drawn by `random`, or of the two given if it is None.

    A tie goes to the candidate that `tie_break` prefers, or to the first one.
    """
    drawn = candidates if random is None else random.sample(candidates, min(2, len(candidates)))
    first, second = drawn[0], drawn[-1]
    difference = in_flight.get(first, 0) - in_flight.get(second, 0)
    preferred = None if difference or tie_break is None else tie_break(first, second)
    return preferred if preferred is not None else second if difference > 0 else first
