"""Pauses after calls that were not taken."""

from __future__ import annotations

from coveport.serving.duties.retry_pause import MAX_BACKOFF_S, MIN_BACKOFF_S, RetryBackoff


def pause_length_s(pause: RetryBackoff, now_s: float) -> float:
    """Return how long a pause that begins now lasts, in steps of 10 ms."""
    pause.record_failure(now_s)
    return next(step / 100 for step in range(1000) if not pause.lasts(now_s + step / 100))


def test_pauses_double_up_to_a_bound_and_begin_anew_after_a_success() -> None:
    pause = RetryBackoff()
    assert not pause.lasts(0.0)
    lengths = [pause_length_s(pause, 100.0 * number) for number in range(6)]
    assert lengths == [MIN_BACKOFF_S, 0.2, 0.4, 0.8, MAX_BACKOFF_S, MAX_BACKOFF_S]
    pause.reset()
    assert not pause.lasts(500.0)
    assert pause_length_s(pause, 1000.0) == MIN_BACKOFF_S
