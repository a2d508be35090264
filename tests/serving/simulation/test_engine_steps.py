"""The engine without a server: batches, KV cache, cached prefix segments, preemption, deadlines."""

from __future__ import annotations

from coveport.serving.simulation.engine import (
    Began,
    Effect,
    Engine,
    EngineFigures,
    Expired,
    PrefixSegment,
    Produced,
    Rejection,
    Work,
)

FIGURES = EngineFigures(slots=2, queue=2, kv_cache_tokens=1000, tokens_per_event=5, token_ms=1.0,
                        token_ms_per_running=0.5, prefill_tokens_per_ms=10.0,
                        prefill_chunk_tokens=100)  # fmt: skip
FAR_DEADLINE_MS = 1e9


def work(
    key: str,
    *segments: tuple[str, int],
    answer: int = 10,
    priority: int = 5,
    deadline_ms: float = FAR_DEADLINE_MS,
) -> Work:
    return Work(key, tuple(PrefixSegment(*segment) for segment in segments), answer, deadline_ms, priority)


def play(engine: Engine, steps: int = 1000) -> list[tuple[float, Effect]]:
    """Step until the engine is idle; return the effects with their times in milliseconds."""
    now, effects = 0.0, []
    while not engine.idle and steps:
        now += engine.step_ms()
        effects += [(now, effect) for effect in engine.step(now)]
        steps -= 1
    return effects


def test_a_prompt_is_prefilled_before_its_events_are_decoded_at_the_token_rate() -> None:
    engine = Engine(FIGURES)
    assert engine.submit(work("a", ("p", 250), answer=12), 0.0) is None
    effects = play(engine)
    # Prefill of 250 tokens at 10 per ms; then 5 tokens at 1.5 ms each, as no other request runs.
    assert effects[0] == (25.0 + 7.5, Began("a"))
    assert [effect for _, effect in effects[1:]] == [
        Produced("a", 1, False),
        Produced("a", 2, False),
        Produced("a", 3, True),
    ]
    assert effects[-1][0] == 25.0 + 3 * 7.5


def test_each_token_takes_longer_with_more_running_requests() -> None:
    engine = Engine(FIGURES)
    for key in "ab":
        engine.submit(work(key, (key, 10)), 0.0)
    times = [when for when, effect in play(engine) if isinstance(effect, Produced) and effect.key == "a"]
    assert times[1] - times[0] == 5 * 2.0


def test_cached_segments_are_not_prefilled_again() -> None:
    engine = Engine(FIGURES)
    engine.submit(work("a", ("shared", 200), ("own-a", 50)), 0.0)
    play(engine)
    assert engine.prefilled_tokens == 250
    engine.submit(work("b", ("shared", 200), ("own-b", 50)), 0.0)
    play(engine)
    assert engine.prefilled_tokens == 300


def test_a_cached_segment_is_reused_only_behind_the_same_prefix() -> None:
    engine = Engine(FIGURES)
    engine.submit(work("a", ("x", 200), ("tail", 50)), 0.0)
    play(engine)
    engine.submit(work("b", ("y", 200), ("tail", 50)), 0.0)
    play(engine)
    assert engine.prefilled_tokens == 500


def test_the_least_recently_used_segment_is_evicted() -> None:
    engine = Engine(FIGURES)
    for key in ("old", "new", "old", "third"):
        engine.submit(work(key, (key, 400)), 0.0)
        play(engine)
    before = engine.prefilled_tokens
    engine.submit(work("again", ("old", 400)), 0.0)
    play(engine)
    assert engine.prefilled_tokens - before == 1  # at least one token is prefilled
    engine.submit(work("again", ("new", 400)), 0.0)
    play(engine)
    assert engine.repeated_prefill_tokens == 400


def test_requests_beyond_the_slots_are_queued_and_beyond_the_queue_are_rejected() -> None:
    engine = Engine(FIGURES)
    assert engine.submit(work("a", ("a", 10)), 0.0) is None
    engine.step_ms()
    for key in ("b", "c"):
        assert engine.submit(work(key, (key, 10)), 0.0) is None
    assert engine.submit(work("d", ("d", 10)), 0.0) is Rejection.FULL
    engine.step_ms()
    assert (engine.running, engine.queued) == (2, 1)


def test_a_request_larger_than_the_kv_cache_is_rejected() -> None:
    engine = Engine(FIGURES)
    assert engine.submit(work("a", ("a", 995)), 0.0) is Rejection.TOO_LARGE


def test_the_request_with_the_lower_priority_value_is_admitted_first() -> None:
    engine = Engine(EngineFigures(slots=1, queue=5))
    for key, priority in (("late", 5), ("soon", 0)):
        engine.submit(work(key, (key, 10), priority=priority), 0.0)
    assert [effect.key for _, effect in play(engine) if isinstance(effect, Began)] == ["soon", "late"]


def test_the_newest_least_urgent_request_is_preempted_and_resumes_without_a_gap() -> None:
    engine = Engine(FIGURES)
    for key, priority in (("a", 0), ("b", 5)):
        engine.submit(work(key, (key, 450), answer=100, priority=priority), 0.0)
    effects = [effect for _, effect in play(engine)]
    assert engine.preemptions > 0
    for key in "ab":
        events = [effect.number for effect in effects if isinstance(effect, Produced) and effect.key == key]
        assert events == list(range(1, 21))
        assert sum(isinstance(effect, Began) and effect.key == key for effect in effects) == 1
    last = {
        effect.key: at for at, effect in enumerate(effects) if isinstance(effect, Produced) and effect.last
    }
    assert last["a"] < last["b"]


def test_the_kv_cache_is_never_exceeded_while_several_requests_run() -> None:
    engine = Engine(FIGURES)
    for at in range(2):
        engine.submit(work(f"{at}", (f"{at}", 400), answer=200), 0.0)
    now = 0.0
    while not engine.idle:
        now += engine.step_ms()
        engine.step(now)
        assert engine.kv_tokens_used <= FIGURES.kv_cache_tokens or engine.running == 1


def test_a_passed_deadline_expires_queued_and_running_requests() -> None:
    engine = Engine(EngineFigures(slots=1, queue=5, token_ms=10.0))
    engine.submit(work("a", ("a", 10), answer=500, deadline_ms=300.0), 0.0)
    engine.submit(work("b", ("b", 10), deadline_ms=200.0), 0.0)
    effects = [effect for _, effect in play(engine) if isinstance(effect, Expired)]
    assert effects == [Expired("b", False), Expired("a", True)]
    assert engine.submit(work("c", ("c", 10), deadline_ms=1.0), 2.0) is Rejection.TOO_LATE


def test_a_resumed_stream_continues_after_the_last_event() -> None:
    engine = Engine(FIGURES)
    engine.submit(Work("a", (PrefixSegment("p", 10),), 25, FAR_DEADLINE_MS, resumes_after=3), 0.0)
    assert [effect.number for _, effect in play(engine) if isinstance(effect, Produced)] == [4, 5]
