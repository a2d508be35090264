"""The engine alone: batches, memory, cached parts, preemption, deadlines."""

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
LATE = 1e9


def work(
    key: str, *segments: tuple[str, int], answer: int = 10, priority: int = 5, deadline: float = LATE
) -> Work:
    return Work(key, tuple(PrefixSegment(*one) for one in segments), answer, deadline, priority)


def play(engine: Engine, steps: int = 1000) -> list[tuple[float, Effect]]:
    """Step until it is idle: effects with their times."""
    now, seen = 0.0, []
    while not engine.idle and steps:
        now += engine.step_ms()
        seen += [(now, effect) for effect in engine.step(now)]
        steps -= 1
    return seen


def test_a_prompt_is_read_then_events_come_at_the_pace_of_tokens() -> None:
    engine = Engine(FIGURES)
    assert engine.submit(work("a", ("p", 250), answer=12), 0.0) is None
    seen = play(engine)
    # 250 tokens at 10 a ms; then 5 tokens take 1.5 ms each, alone.
    assert seen[0] == (25.0 + 7.5, Began("a"))
    assert [one for _, one in seen[1:]] == [
        Produced("a", 1, False),
        Produced("a", 2, False),
        Produced("a", 3, True),
    ]
    assert seen[-1][0] == 25.0 + 3 * 7.5


def test_each_token_comes_more_slowly_the_more_run() -> None:
    engine = Engine(FIGURES)
    for key in "ab":
        engine.submit(work(key, (key, 10)), 0.0)
    times = [when for when, effect in play(engine) if isinstance(effect, Produced) and effect.key == "a"]
    assert times[1] - times[0] == 5 * 2.0


def test_parts_that_are_kept_are_not_read_again() -> None:
    engine = Engine(FIGURES)
    engine.submit(work("a", ("shared", 200), ("own-a", 50)), 0.0)
    play(engine)
    assert engine.prefilled_tokens == 250
    engine.submit(work("b", ("shared", 200), ("own-b", 50)), 0.0)
    play(engine)
    assert engine.prefilled_tokens == 300


def test_a_part_counts_only_with_all_before_it() -> None:
    engine = Engine(FIGURES)
    engine.submit(work("a", ("x", 200), ("tail", 50)), 0.0)
    play(engine)
    engine.submit(work("b", ("y", 200), ("tail", 50)), 0.0)
    play(engine)
    assert engine.prefilled_tokens == 500


def test_the_part_unused_the_longest_gives_way() -> None:
    engine = Engine(FIGURES)
    for key in ("old", "new", "old", "third"):
        engine.submit(work(key, (key, 400)), 0.0)
        play(engine)
    before = engine.prefilled_tokens
    engine.submit(work("again", ("old", 400)), 0.0)
    play(engine)
    assert engine.prefilled_tokens - before == 1  # one token at least is read
    engine.submit(work("again", ("new", 400)), 0.0)
    play(engine)
    assert engine.repeated_prefill_tokens == 400


def test_what_runs_beyond_slots_waits_and_beyond_the_queue_is_refused() -> None:
    engine = Engine(FIGURES)
    assert engine.submit(work("a", ("a", 10)), 0.0) is None
    engine.step_ms()
    for key in ("b", "c"):
        assert engine.submit(work(key, (key, 10)), 0.0) is None
    assert engine.submit(work("d", ("d", 10)), 0.0) is Rejection.FULL
    engine.step_ms()
    assert (engine.running, engine.queued) == (2, 1)


def test_a_request_larger_than_the_memory_is_refused() -> None:
    engine = Engine(FIGURES)
    assert engine.submit(work("a", ("a", 995)), 0.0) is Rejection.TOO_LARGE


def test_the_more_urgent_is_let_in_first() -> None:
    engine = Engine(EngineFigures(slots=1, queue=5))
    for key, priority in (("late", 5), ("soon", 0)):
        engine.submit(work(key, (key, 10), priority=priority), 0.0)
    assert [one.key for _, one in play(engine) if isinstance(one, Began)] == ["soon", "late"]


def test_the_newest_of_the_least_urgent_is_preempted_and_goes_on_without_a_gap() -> None:
    engine = Engine(FIGURES)
    for key, priority in (("a", 0), ("b", 5)):
        engine.submit(work(key, (key, 450), answer=100, priority=priority), 0.0)
    seen = [one for _, one in play(engine)]
    assert engine.preemptions > 0
    for key in "ab":
        events = [one.number for one in seen if isinstance(one, Produced) and one.key == key]
        assert events == list(range(1, 21))
        assert sum(isinstance(one, Began) and one.key == key for one in seen) == 1
    last = {one.key: at for at, one in enumerate(seen) if isinstance(one, Produced) and one.last}
    assert last["a"] < last["b"]


def test_memory_is_never_exceeded_while_more_than_one_runs() -> None:
    engine = Engine(FIGURES)
    for at in range(2):
        engine.submit(work(f"{at}", (f"{at}", 400), answer=200), 0.0)
    now = 0.0
    while not engine.idle:
        now += engine.step_ms()
        engine.step(now)
        assert engine.kv_tokens_used <= FIGURES.kv_cache_tokens or engine.running == 1


def test_a_deadline_ends_what_waits_and_what_runs() -> None:
    engine = Engine(EngineFigures(slots=1, queue=5, token_ms=10.0))
    engine.submit(work("a", ("a", 10), answer=500, deadline=300.0), 0.0)
    engine.submit(work("b", ("b", 10), deadline=200.0), 0.0)
    seen = [one for _, one in play(engine) if isinstance(one, Expired)]
    assert seen == [Expired("b", False), Expired("a", True)]
    assert engine.submit(work("c", ("c", 10), deadline=1.0), 2.0) is Rejection.TOO_LATE


def test_a_resumed_stream_goes_on_behind_the_last_event() -> None:
    engine = Engine(FIGURES)
    engine.submit(Work("a", (PrefixSegment("p", 10),), 25, LATE, resumes_after=3), 0.0)
    assert [one.number for _, one in play(engine) if isinstance(one, Produced)] == [4, 5]
