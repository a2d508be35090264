"""True time: the median of what the wall clock has said."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from coveport.serving.model.true_clock import SAMPLE_RETENTION_S, TrueClock

OFFSET_S = 1_700_000_000.0


def observe(clock: TrueClock, from_s: int, until_s: int, step_s: float = 0.0) -> None:
    """Let both clocks be read ten times a second, the wall clock off by `step_s`."""
    for tenth in range(10 * from_s, 10 * until_s):
        clock.observe(tenth / 10, tenth / 10 + OFFSET_S + step_s)


@pytest.mark.parametrize("step_s", [2.0, -2.0])
def test_a_step_of_the_wall_clock_for_some_seconds_moves_nothing(step_s: float) -> None:
    clock = TrueClock()
    observe(clock, 0, 20)
    observe(clock, 20, 30, step_s)
    assert clock.unix_s(30.0) == pytest.approx(30.0 + OFFSET_S)
    observe(clock, 30, 100)
    assert clock.unix_s(100.0) == pytest.approx(100.0 + OFFSET_S)


def test_a_step_that_stays_counts_after_half_of_the_retention() -> None:
    clock = TrueClock()
    observe(clock, 0, 100)
    observe(clock, 100, 100 + int(SAMPLE_RETENTION_S) // 2 - 2, 3600.0)
    assert clock.unix_s(0.0) == pytest.approx(OFFSET_S)
    observe(clock, 130, 135, 3600.0)
    assert clock.unix_s(0.0) == pytest.approx(OFFSET_S + 3600.0)


def test_a_process_that_starts_during_a_step_is_right_soon_after_it() -> None:
    clock = TrueClock()
    observe(clock, 0, 5, 2.0)
    observe(clock, 5, 12)
    assert clock.unix_s(12.0) == pytest.approx(12.0 + OFFSET_S)


@given(st.lists(st.floats(0.0, 300.0), min_size=1), st.floats(-1e9, 1e9))
def test_the_first_reading_counts_at_once_and_agreeing_ones_change_nothing(
    moments: list[float], offset_s: float
) -> None:
    clock = TrueClock()
    for moment_s in sorted(moments):
        clock.observe(moment_s, moment_s + offset_s)
        assert clock.unix_s(moment_s) == pytest.approx(moment_s + offset_s, abs=1e-3)
