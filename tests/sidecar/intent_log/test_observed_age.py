"""Bounds on ages, by a clock of any rate."""

from __future__ import annotations

import random
from math import inf

import pytest

from coveport.sidecar.intent_log.observed_age import LOWER_BOUND_STEPS, AgeLowerBound, AgeUpperBound


def test_at_most_when_nothing_older_was_observed_has_no_bound() -> None:
    ages = AgeUpperBound()
    assert ages.at_most(10.0, 5) == inf
    ages.observe(1.0, 5)
    assert ages.at_most(10.0, 5) == inf
    assert ages.at_most(10.0, 6) == 9.0


@pytest.mark.parametrize("seed", range(50))
def test_at_most_when_responses_overtake_each_other_is_never_too_low(seed: int) -> None:
    """The true age is never above the bound, whatever the rate of the clock."""
    rng = random.Random(seed)
    ages = AgeUpperBound(64)
    now_s = 0.0
    revision = 1
    written_s = {1: 0.0}
    rate = rng.uniform(0.5, 2.0)
    in_flight: list[tuple[float, float, int]] = []  # calls: time of the response, time sent, revision
    for _ in range(400):
        now_s += rng.expovariate(10)
        if rng.random() < 0.5:
            revision += 1
            written_s[revision] = now_s
        if rng.random() < 0.5:
            in_flight.append((now_s + rng.expovariate(2), now_s, revision))
        for call in sorted(call for call in in_flight if call[0] <= now_s):
            in_flight.remove(call)
            ages.observe(call[1] * rate, call[2])
        probe = rng.choice(list(written_s))
        assert ages.at_most(now_s * rate, probe) >= (now_s - written_s[probe]) * rate - 1e-9


def test_at_least_is_never_too_high_and_reaches_the_span() -> None:
    for seed in range(30):
        rng = random.Random(seed)
        span_s = rng.choice((0.5, 20.0, 600.0))
        ages = AgeLowerBound(span_s)
        now_s = 100.0
        revision = 5
        written_s = {5: 90.0}
        for _ in range(400):
            now_s += rng.uniform(0.0, span_s / 50)
            if rng.random() < 0.5:
                revision += 1
                written_s[revision] = now_s
            if rng.random() < 0.4:
                observed = ages._observations
                if observed:
                    reported = max(observed[-1][1], revision - rng.choice((0, 0, 3)))
                else:
                    reported = rng.choice((revision, max(5, revision - 3)))
                ages.observe(now_s, reported)
            probe = rng.choice(list(written_s))
            assert ages.at_least(now_s, probe) <= now_s - written_s[probe] + 1e-9
        for _ in range(3):
            ages.observe(now_s, revision)
            now_s += span_s
        assert ages.at_least(now_s, revision) >= span_s
        assert ages.at_least(now_s, 5) >= span_s
        assert len(ages._observations) <= LOWER_BOUND_STEPS + 3
    assert AgeLowerBound(10.0).at_least(99.0, 1) == 0.0
