"""The true clock: the median of the wall clock's offsets."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from coveport.serving.model.true_clock import SAMPLE_RETENTION_S, TrueClock

OFFSET_S = 1_700_000_000.0


def observe(clock: TrueClock, from_s: int, until_s: int, step_s: float = 0.0) -> None:
    """Observe both clocks ten times a second, with the wall clock off by `step_s`."""
    for tenth in range(10 * from_s, 10 * until_s):
        clock.observe(tenth / 10, tenth / 10 + OFFSET_S + step_s)


@pytest.mark.parametrize("step_s", [2.0, -2.0])
def test_a_short_step_of_the_wall_clock_has_no_effect(step_s: float) -> None:
    clock = TrueClock()
    observe(clock, 0, 20)
    observe(clock, 20, 30, step_s)
    assert clock.unix_s(30.0) == pytest.approx(30.0 + OFFSET_S)
    observe(clock, 30, 100)
    assert clock.unix_s(100.0) == pytest.approx(100.0 + OFFSET_S)


def test_a_lasting_step_takes_effect_after_half_of_the_retention() -> None:
    clock = TrueClock()
    observe(clock, 0, 100)
    observe(clock, 100, 100 + int(SAMPLE_RETENTION_S) // 2 - 2, 3600.0)
    assert clock.unix_s(0.0) == pytest.approx(OFFSET_S)
    observe(clock, 130, 135, 3600.0)
    assert clock.unix_s(0.0) == pytest.approx(OFFSET_S + 3600.0)


def test_a_process_that_starts_during_a_step_is_correct_soon_after_it() -> None:
    clock = TrueClock()
    observe(clock, 0, 5, 2.0)
    observe(clock, 5, 12)
    assert clock.unix_s(12.0) == pytest.approx(12.0 + OFFSET_S)


@given(st.lists(st.floats(0.0, 300.0), min_size=1), st.floats(-1e9, 1e9))
def test_the_first_sample_applies_at_once_and_samples_with_the_same_offset_change_nothing(
    times_s: list[float], offset_s: float
) -> None:
    clock = TrueClock()
    for time_s in sorted(times_s):
        clock.observe(time_s, time_s + offset_s)
        assert clock.unix_s(time_s) == pytest.approx(time_s + offset_s, abs=1e-3)
