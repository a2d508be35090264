"""Linear fits of measurements at several sizes, to extrapolate to larger ones. Pure."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from math import sqrt


@dataclass(frozen=True, slots=True)
class LinearFit:
    """`base + slope * size`, and the distances of the points from it."""

    base: float
    slope: float
    spread: float  # root of the mean square of the distances
    worst: float  # the largest distance

    def at(self, size: float) -> float:
        """Return the fitted value at a size."""
        return self.base + self.slope * size


class TooFewPointsError(ValueError):
    """A linear fit needs points of at least two sizes."""


def fit_linear(points: Sequence[tuple[float, float]]) -> LinearFit:
    """Fit (size, value) points by least squares; raise TooFewPointsError for fewer than two sizes."""
    if len({size for size, _ in points}) < 2:
        raise TooFewPointsError("measure at two sizes at least")
    mean_size = sum(size for size, _ in points) / len(points)
    mean_value = sum(value for _, value in points) / len(points)
    square = sum((size - mean_size) ** 2 for size, _ in points)
    slope = sum((size - mean_size) * (value - mean_value) for size, value in points) / square
    base = mean_value - slope * mean_size
    distances = [value - base - slope * size for size, value in points]
    spread = sqrt(sum(distance**2 for distance in distances) / len(points))
    return LinearFit(base, slope, spread, max(map(abs, distances)))


def size_at_bound(fit: LinearFit, bound: float) -> float | None:
    """Return the size at which the fit reaches a bound; None if it never does."""
    if fit.slope <= 0:
        return None
    return (bound - fit.base) / fit.slope
