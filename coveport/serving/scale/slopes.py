"""Lines through what was measured at several sizes, and what they say of a larger one. Pure."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from math import sqrt


@dataclass(frozen=True, slots=True)
class Line:
    """`base + slope * size`, and how far the measured points lie from it."""

    base: float
    slope: float
    spread: float  # root of the mean square of the distances
    worst: float  # the largest distance

    def at(self, size: float) -> float:
        """What the line says of a size."""
        return self.base + self.slope * size


class TooFewPointsError(ValueError):
    """A line needs points of two sizes at least."""


def fit_line(points: Sequence[tuple[float, float]]) -> Line:
    """The line of least squares through (size, value); TooFewPointsError where there is none."""
    if len({size for size, _ in points}) < 2:
        raise TooFewPointsError("measure at two sizes at least")
    mean_size = sum(size for size, _ in points) / len(points)
    mean_value = sum(value for _, value in points) / len(points)
    square = sum((size - mean_size) ** 2 for size, _ in points)
    slope = sum((size - mean_size) * (value - mean_value) for size, value in points) / square
    base = mean_value - slope * mean_size
    distances = [value - base - slope * size for size, value in points]
    spread = sqrt(sum(distance**2 for distance in distances) / len(points))
    return Line(base, slope, spread, max(map(abs, distances)))


def size_at(line: Line, bound: float) -> float | None:
    """The size at which the line reaches a bound; None: it never does."""
    if line.slope <= 0:
        return None
    return (bound - line.base) / line.slope
