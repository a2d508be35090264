"""Rate limit of takeovers."""

from __future__ import annotations

import random

import pytest

from coveport.sidecar.intent_log.token_bucket import TokenBucket


@pytest.mark.parametrize("seed", range(20))
def test_a_token_bucket_when_called_at_random_times_keeps_its_rate(seed: int) -> None:
    rng = random.Random(seed)
    bucket = TokenBucket(50.0, 16)
    now_s = 100.0
    spent_s: list[float] = []
    while now_s < 110.0:
        wait_s = bucket.wait_s(now_s, busy=False)
        if not wait_s:
            spent_s.append(now_s)
        now_s += max(wait_s, rng.expovariate(500))
    assert 480 < len(spent_s) <= 16 + 50 * 10
    for start_s in spent_s:
        assert sum(start_s <= at_s < start_s + 1.0 for at_s in spent_s) <= 16 + 51
