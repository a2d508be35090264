"""Backoff after calls that were not accepted."""

from __future__ import annotations

from coveport.serving.duties.retry_pause import MAX_BACKOFF_S, MIN_BACKOFF_S, RetryBackoff


def backoff_duration_s(backoff: RetryBackoff, now_s: float) -> float:
    """Return the duration of a backoff that starts now, in steps of 10 ms."""
    backoff.record_failure(now_s)
    return next(step / 100 for step in range(1000) if not backoff.is_active(now_s + step / 100))


def test_a_backoff_doubles_up_to_a_limit_and_restarts_after_a_success() -> None:
    backoff = RetryBackoff()
    assert not backoff.is_active(0.0)
    durations = [backoff_duration_s(backoff, 100.0 * number) for number in range(6)]
    assert durations == [MIN_BACKOFF_S, 0.2, 0.4, 0.8, MAX_BACKOFF_S, MAX_BACKOFF_S]
    backoff.reset()
    assert not backoff.is_active(500.0)
    assert backoff_duration_s(backoff, 1000.0) == MIN_BACKOFF_S
