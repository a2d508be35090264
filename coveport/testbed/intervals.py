"""What chance alone can do: intervals of means and tests of differences. Pure: same input, same output.

The unit is a drawn day. Intervals are bias-corrected accelerated bootstrap intervals (Efron 1987, BCa).
P-values come from permutation tests (signs flipped within pairs, or days dealt anew to the two sides), which
keep their level for few days too, where a bootstrap does not. Several figures share one level by Holm (1979).
"""

from __future__ import annotations

import math
import warnings
from collections.abc import Sequence

import numpy as np
from scipy import stats

RESAMPLES = 10_000
LEVEL = 0.95
FEWEST = 5  # values below which an interval would promise more than it keeps
SEED = 1987


def _mean(values: np.ndarray, axis: int = -1) -> np.ndarray:
    return np.asarray(np.mean(values, axis=axis))


def _gap(first: np.ndarray, second: np.ndarray, axis: int = -1) -> np.ndarray:
    return np.asarray(np.mean(second, axis=axis) - np.mean(first, axis=axis))


def _bootstrap(data: tuple[np.ndarray, ...], statistic: object, resamples: int) -> tuple[float, float] | None:
    if min(len(one) for one in data) < FEWEST:
        return None
    if all(np.ptp(one) == 0.0 for one in data):
        mean = float(data[-1][0] - (data[0][0] if len(data) == 2 else 0.0))
        return mean, mean
    for method in ("BCa", "percentile"):
        with warnings.catch_warnings():
            # Guards against data so uneven that BCa has no answer: it warns, says nan, and percentiles do.
            warnings.simplefilter("ignore")
            told = stats.bootstrap(
                data,
                statistic,
                n_resamples=resamples,
                method=method,
                vectorized=True,
                confidence_level=LEVEL,
                batch=1000,
                rng=np.random.default_rng(SEED),
            ).confidence_interval
        if math.isfinite(told.low) and math.isfinite(told.high):
            return float(told.low), float(told.high)
    return None


def interval(values: Sequence[float], resamples: int = RESAMPLES) -> tuple[float, float] | None:
    """The 95% interval of the mean of `values`; None for fewer than `FEWEST` of them."""
    return _bootstrap((np.asarray(values, dtype=float),), _mean, resamples)


def interval_of_gap(
    first: Sequence[float], second: Sequence[float], resamples: int = RESAMPLES
) -> tuple[float, float] | None:
    """The 95% interval of the mean of `second` less that of `first`, two unpaired samples; None as above."""
    return _bootstrap((np.asarray(first, dtype=float), np.asarray(second, dtype=float)), _gap, resamples)


def p_of_pairs(differences: Sequence[float], resamples: int = RESAMPLES) -> float:
    """How often chance gives paired differences at least as far from 0, two-sided; exact up to 13 pairs."""
    values = np.asarray(differences, dtype=float)
    if not values.any():
        return 1.0
    return float(
        stats.permutation_test(
            (values,),
            _mean,
            permutation_type="samples",
            vectorized=True,
            n_resamples=resamples,
            rng=np.random.default_rng(SEED),
        ).pvalue
    )


def p_of_gap(first: Sequence[float], second: Sequence[float], resamples: int = RESAMPLES) -> float:
    """How often chance gives two unpaired samples means at least as far apart, two-sided."""
    data = (np.asarray(first, dtype=float), np.asarray(second, dtype=float))
    if np.ptp(np.concatenate(data)) == 0.0:
        return 1.0
    return float(
        stats.permutation_test(
            data,
            _gap,
            permutation_type="independent",
            vectorized=True,
            n_resamples=resamples,
            batch=1000,
            rng=np.random.default_rng(SEED),
        ).pvalue
    )


def holm(ps: Sequence[float]) -> list[float]:
    """P-values so raised that calling all below 5% a difference is wrong, at all, in at most 5% of cases."""
    raised, highest = [0.0] * len(ps), 0.0
    for rank, place in enumerate(sorted(range(len(ps)), key=lambda one: ps[one])):
        highest = max(highest, min(1.0, ps[place] * (len(ps) - rank)))
        raised[place] = highest
    return raised


def smallest_p(pairs: int) -> float:
    """The least p-value that so many pairs can give, however large the difference."""
    return min(1.0, 2.0 / 2.0**pairs)


def smallest_p_of_gap(first: int, second: int) -> float:
    """The same for two unpaired samples of so many."""
    return min(1.0, 2.0 / math.comb(first + second, first))


def pairs_needed(figures: int) -> int:
    """How many pairs it takes before any of `figures` figures can be called a difference."""
    pairs = 1
    while smallest_p(pairs) * figures > 1.0 - LEVEL:
        pairs += 1
    return pairs
