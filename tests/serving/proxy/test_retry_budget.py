"""Retries summed over all proxies, checked in every window of the rule."""

from __future__ import annotations

from bisect import bisect_right
from random import Random

import pytest

from coveport.serving.proxy.retry_budget import RetryBudget

RATIO, WINDOW_S = 0.2, 10.0


def test_idle_proxy_may_spend_only_its_part_of_the_slack() -> None:
    budget = RetryBudget(RATIO, 58.0, WINDOW_S)
    retry_count = 0
    while budget.reserve("s", 9, 1.0):
        budget.spend("s", 1.0)
        retry_count += 1
    assert retry_count == 5
    assert budget.reserve("other", 9, 1.0)
    assert not budget.reserve("s", 9, 10.9)
    assert budget.reserve("s", 9, 11.1)


def test_reservations_count_until_they_are_released() -> None:
    budget = RetryBudget(0.0, 5.0, WINDOW_S)
    assert [budget.reserve("s", 1, 0.0) for _ in range(5)] == [True, True, True, True, False]
    budget.release("s")
    assert budget.reserve("s", 1, 0.0)
    assert not budget.reserve("s", 1, 0.0)


@pytest.mark.parametrize("proxies", [1, 3, 9, 89, 340])
@pytest.mark.parametrize("shape", ["even", "bursts", "falls"])
def test_no_window_of_the_rule_holds_too_many_retries(proxies: int, shape: str) -> None:
    random = Random(f"{proxies} {shape}")
    slack = 58.0 if proxies < 20 else 214.0
    budgets = [RetryBudget(RATIO, slack, WINDOW_S) for _ in range(proxies)]
    requests: list[float] = []
    retries: list[float] = []
    steps = 600 if proxies < 50 else 240  # of a tenth of a second each
    for step in range(steps):
        now = step / 10
        rate = {
            "even": 0.3,
            "bursts": 3.0 if int(now) % 15 < 3 else 0.05,
            "falls": 2.0 if step < steps / 2 else 0.02,
        }[shape]
        for budget in budgets:
            if random.random() < min(1.0, rate):
                budget.record_request("s", now)
                requests.append(now)
            while budget.reserve("s", proxies, now):  # every attempt fails
                budget.spend("s", now)
                retries.append(now)
    assert len(retries) > 10 or proxies > 200
    for step in range(steps):
        begin = step / 10 + 0.05
        request_count = max(
            count_in_window(requests, begin - earlier) for earlier in (0.0, WINDOW_S / 2, WINDOW_S)
        )
        assert count_in_window(retries, begin) <= RATIO * request_count + slack, begin


def count_in_window(times: list[float], begin: float) -> int:
    """Return how many of the ascending `times` fall into the window of the rule that starts at `begin`."""
    return bisect_right(times, begin + WINDOW_S) - bisect_right(times, begin)
