from __future__ import annotations

import pytest

from coveport.serving.scale.measures import CoordinatorReading, Delay, Rate, Reading, summarize, window_rates
from coveport.serving.scale.slopes import TooFewPointsError, fit_linear, size_at_bound


def test_fit_recovers_an_exact_line() -> None:
    fit = fit_linear([(size, 2.0 + 0.5 * size) for size in (9, 30, 89, 340)])
    assert fit.base == pytest.approx(2.0)
    assert fit.slope == pytest.approx(0.5)
    assert fit.spread == pytest.approx(0.0, abs=1e-9)
    assert fit.at(600) == pytest.approx(302.0)
    assert size_at_bound(fit, 12.0) == pytest.approx(20.0)


def test_spread_and_worst_are_distances_from_the_line() -> None:
    fit = fit_linear([(0, 1.0), (0, -1.0), (10, 1.0), (10, -1.0)])
    assert fit.slope == pytest.approx(0.0)
    assert fit.spread == pytest.approx(1.0)
    assert fit.worst == pytest.approx(1.0)
    assert size_at_bound(fit, 5.0) is None


def test_fit_of_one_size_is_rejected() -> None:
    with pytest.raises(TooFewPointsError):
        fit_linear([(5, 1.0), (5, 2.0)])


def test_summary_has_median_99th_percentile_and_worst() -> None:
    delays = [number / 100 for number in range(1, 201)]
    assert summarize(delays, missing=3) == Delay(200, 1.0, 1.98, 2.0, 3)
    assert summarize([]) == Delay(0, 0.0, 0.0, 0.0, 0)
    assert summarize([0.5]) == Delay(1, 0.5, 0.5, 0.5, 0)


def reading(at_s: float, cpu_s: float, updates: int) -> Reading:
    coordinator_reading = CoordinatorReading(
        cpu_s,
        40.0,
        sent={"Update": (updates, updates * 200), "Ping": (5, 100)},
        received={"UpdateRequest": (updates, updates * 100)},
    )
    return Reading(
        at_s, {"c": coordinator_reading}, cpu_s, 80.0, {"p": cpu_s}, {"p": 35.0}, 0.0, updates, updates * 300
    )


def test_rates_cover_the_time_between_two_readings() -> None:
    rates = window_rates(reading(10.0, 1.0, 100), reading(20.0, 3.0, 300), hollow=8, proxies=10)
    (coordinator,) = rates.coordinators
    assert coordinator.cores == pytest.approx(0.2)
    assert coordinator.sent == Rate(20.0, 4000.0)
    assert coordinator.by_kind == {">Update": Rate(20.0, 4000.0), "<UpdateRequest": Rate(20.0, 2000.0)}
    assert rates.proxy_cores == pytest.approx(0.025)
    assert rates.proxy_received == Rate(2.0, 400.0)
    assert rates.proxy_sent == Rate(2.0, 200.0)
    assert rates.real_proxy_cores == pytest.approx(0.2)
    assert rates.node_calls_s == pytest.approx(20.0)


def test_a_coordinator_that_was_down_at_one_reading_is_left_out() -> None:
    after = reading(20.0, 3.0, 300)
    before = Reading(10.0, {}, 0.0, 0.0, {}, {}, 0.0, 0, 0)
    assert window_rates(before, after, hollow=1, proxies=1).coordinators == ()
