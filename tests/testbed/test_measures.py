"""Books with known figures."""

from __future__ import annotations

from typing import Any

import numpy as np
import pytest
from hypothesis import given
from hypothesis import strategies as st
from measure_books import Builder

from coveport.testbed import event_log
from coveport.testbed.day import Wish
from coveport.testbed.faults import Crash
from coveport.testbed.measures import faults, is_mended, judge_expectations, measure
from coveport.testbed.outcome import Broken, decode, encode
from coveport.testbed.request_table import KINDS
from coveport.testbed.schema import Expect
from coveport.testbed.time_series import series


def wish(op: str, due: float) -> Wish:
    return Wish(due, 0, 0, op, "", 50, 0, 100, 1, 1.0)


def test_service_counts_worth_within_the_aim_of_the_first_due() -> None:
    day = Builder(settle_s=1.0, length_s=5.0)
    day.ask("early", 500.0)  # does not count
    day.served("in time", 1000.0, 1000.0)
    day.served("late", 1000.0, 1000.1)
    day.ask("busy", 1200.0, 1)
    day.answer("busy", 1300.0, 503)
    day.ask("again", 1700.0, 1, first="busy")
    day.answer("again", 2400.0)  # within the aim of 1200 ms of its first due, as it happens to the ms
    day.ask("too late", 1200.0, 1)
    day.answer("too late", 1300.0, 503)
    day.ask("retry", 2000.0, 1, first="too late")
    day.answer("retry", 2500.0)  # in time for the retry, not for the wish
    figures = measure(day.played())
    assert figures.service == pytest.approx((1 + 5) / (1 + 1 + 5 + 5))
    assert (figures.worst_class.name, figures.worst_class.service) == ("balance", 0.5)
    assert figures.mark == pytest.approx(0.7 * 0.5 + 0.2 * 0.5 + 0.1 * figures.worst_10s)
    assert figures.answers.all == {**dict.fromkeys(KINDS, 0), "served": 2, "late": 2}
    assert figures.sidecars[0].asked == 4 and figures.sidecars[1].service is None


def test_each_end_of_a_wish_has_its_kind() -> None:
    day = Builder(length_s=5.0)
    for op in ("busy", "failed", "broken", "left", "none", "half"):
        day.ask(op, 100.0)
    day.answer("busy", 200.0, 429)
    day.answer("failed", 200.0, 500)
    day.rows += [
        event_log.Broke(200.0, "broken", "reset", 3),
        event_log.GaveUp(200.0, "left", "impatient"),
        event_log.GaveUp(201.0, "broken", "impatient"),
        event_log.GaveUp(4000.0, "none", "late"),
        event_log.GaveUp(150.0, "half", "half"),
        event_log.Unasked(100.0, "u", "u", 0, 0, 100.0, "refused"),
    ]
    day.answer("half", 300.0)
    day.wishes = [wish("busy", 100.0), wish("never tried", 200.0)]
    figures = measure(day.played())
    assert figures.answers.by_class["balance"] == {
        "served": 1,
        "late": 0,
        "busy": 1,
        "failed": 1,
        "broken": 1,
        "left": 1,
        "none": 1,
        "unreached": 2,
    }
    assert figures.service == pytest.approx(1 / 8)
    assert figures.latency_ms["balance"].unserved == 7


def test_a_stall_shows_in_the_latency_of_what_was_due_meanwhile() -> None:
    day = Builder(length_s=10.0)
    for due in range(0, 10_000, 100):  # from 4 s on nothing is taken for 2 s
        late = max(0.0, 6000.0 - due) if due >= 4000 else 0.0
        day.ask(f"{due}", due, late=late)
        day.answer(f"{due}", due + late + 50)
    latency = measure(day.played()).latency_ms["balance"]
    assert latency.count == 100 and latency.p50 == pytest.approx(50, rel=1e-3)
    assert latency.max == 2050
    assert latency.p90 == pytest.approx(1050, rel=2e-3)  # half of the stall's 20% waited longer
    assert latency.p999 is not None and latency.p999 <= latency.max


def test_worst_10s_slides_by_the_second() -> None:
    day = Builder(length_s=30.0)
    day.steady(0, 8500)
    day.steady(8500, 11_500, good=False)
    day.steady(11_500, 30_000)
    assert measure(day.played()).worst_10s == pytest.approx(0.7)
    day = Builder(length_s=9.0)
    day.steady(0, 8000)
    day.steady(8000, 9000, good=False)
    figures = measure(day.played())
    assert figures.worst_10s == figures.service == pytest.approx(8 / 9)
    thin = Builder(length_s=30.0)  # one lost wish alone in 10 s says little
    thin.steady(0, 15_000, 10)
    thin.steady(25_000, 25_100, good=False)
    assert measure(thin.played()).worst_10s > 0.9


def test_recovery_is_counted_from_a_faults_end_and_must_hold() -> None:
    day = Builder(length_s=60.0)
    bad = [(20_000, 27_000), (31_000, 32_000), (58_000, 60_000)]
    edge = 0
    for begin, end in bad:
        day.steady(edge, begin)
        day.steady(begin, end, good=False)
        edge = end
    day.fault("slow", 20_000, 25_000)  # back at 27 s, but not to stay
    day.fault("burst", 40_000, 45_000)  # never felt
    day.fault("cut", 57_000, 58_000)  # never got over
    day.fault("crash", 59_500, 60_000)
    figures = measure(day.played())
    assert figures.recovery_s == {"0 slow": 7.0, "1 burst": 0.0, "2 cut": None, "3 crash": None}
    assert figures.notes == ["fault 3 crash ends too close to the day's end to see a recovery"]


def test_recovery_asks_for_what_calm_was_like() -> None:
    day = Builder(length_s=60.0)
    for due in range(0, 60_000, 10):  # calm is 90%; from 30 to 40 s there is trouble of 50%
        good = due % 100 != 0 and not (30_000 <= due < 40_000 and due % 20)
        day.ask(f"{due}", due)
        day.answer(f"{due}", due + 50, 200 if good else 503)
    day.fault("slow", 30_000, 40_000)
    day.fault("errors", 38_000, 50_000)  # its last 10 s are no calm: the day's other calm is taken
    assert measure(day.played()).recovery_s == {"0 slow": 0.0, "1 errors": 0.0}


def test_a_fault_that_nobody_mends_is_counted_from_its_begin() -> None:
    day = Builder(length_s=30.0, faults=(Crash(at_s=10.0), Crash(at_s=10.0, for_s=20.0)))
    day.steady(0, 10_000)
    day.steady(10_000, 12_000, good=False)
    day.steady(12_000, 30_000)
    day.fault("crash", 10_000, 30_000)
    day.fault("crash", 10_000, 30_000)
    played = day.played()
    assert [is_mended(played, one) for one in faults(played)] == [False, True]
    assert measure(played).recovery_s == {"0 crash": 2.0, "1 crash": None}


def test_attempts_crossings_and_waste() -> None:
    day = Builder(length_s=5.0)
    day.served("home", 0.0, 60.0)
    day.attempt("home", 5.0, replied=55.0)  # useful: 50 ms
    day.served("away", 0.0, 200.0, sidecar=0)
    day.attempt("away", 10.0, 1, work=30.0, status=500, replied=40.0)  # waste: 30 ms
    day.attempt("away", 60.0, 0, replied=110.0)  # useful; sent after the first's end: no second copy
    day.served("twice", 0.0, 100.0, 1, sidecar=1)
    day.attempt("twice", 5.0, 1, sidecar=1, key="k", work=40.0, replied=90.0)  # useful
    # A second copy, without work: it was on its way for 5 ms, so it was sent before the answer had come.
    day.attempt("twice", 92.0, 0, sidecar=1, key="k", took="repeat", replied=120.0)
    day.ask("gone", 0.0)
    day.attempt("gone", 5.0, 1, work=20.0, ended=("end", 1000.0))  # waste; it was ended 5 ms before
    day.attempt("gone", 995.5, 0, took="full", status=503, replied=996.0)
    day.rows += [
        event_log.Probed(100.0, 0, 0, 10.0),
        event_log.Called(100.0, 0, True),
        event_log.Linked(0.0, 0, 0, 1, True),
        event_log.Linked(1.0, 1, 0, 2, True),
        event_log.Linked(2.0, 0, 0, 1, False),
        event_log.Linked(3.0, 0, 1, 3, True),
        event_log.Linked(4.0, 0, 1, 4, True),
    ]
    figures = measure(day.played())
    assert figures.attempts.total == 7 and figures.attempts.per_operation == 7 / 4
    assert {how: count for how, count in figures.attempts.ended.items() if count} == {
        "answered": 3,
        "error": 1,
        "repeat": 1,
        "given up": 1,
        "refused": 1,
    }
    assert figures.attempts.second_copies == 1
    assert figures.crossings == 2 / 4
    assert figures.waste == pytest.approx((30 + 20 + 10) / (50 + 30 + 50 + 40 + 20 + 10))
    assert (figures.connections.opened, figures.connections.peak_open) == (4, 3)
    assert (figures.probes, figures.discovery_calls) == (1, 1)


def test_work_ends_with_its_node() -> None:
    day = Builder(length_s=5.0)
    day.served("good", 0.0)
    day.attempt("good", 5.0, work=60.0, replied=45.0)
    day.ask("dead", 0.0)
    day.attempt("dead", 5.0, work=40.0, ended=("down", 25.0))
    assert measure(day.played()).waste == pytest.approx(20 / 80)


def test_work_that_served_through_a_repeat_is_no_waste() -> None:
    day = Builder(length_s=5.0)
    day.served("keyed", 0.0, 900.0, 1)
    day.attempt("keyed", 5.0, key="k", work=40.0, ended=("cut", 100.0))
    day.attempt("keyed", 200.0, key="k", took="repeat", replied=201.0)
    assert measure(day.played()).waste == 0


def test_processes_and_their_restarts() -> None:
    day = Builder(length_s=5.0)
    day.rows += [
        event_log.Sample(at, 0, memory, files, cpu)
        for at, memory, files, cpu in (
            (0.0, 10.0, 8, 0.5),
            (1.0, 30.0, 9, 2.0),
            (2.0, 5.0, 4, 0.25),
            (3.0, 6.0, 40, 1.0),
        )
    ]
    one = measure(day.played()).sidecars[0]
    assert (one.memory_mb, one.descriptors, one.cpu_s) == (30.0, 40, 3.0)


def test_series_by_the_second() -> None:
    day = Builder(length_s=3.0)
    day.steady(0, 1000)
    day.steady(1000, 2000, good=False)
    day.attempt("w0", 2500.0, 0)
    day.rows += [
        event_log.NodeLoad(500.0, 1, 2, 3, 0.5, 4),
        event_log.NodeLoad(700.0, 1, 4, 5, 1.0, 4),
        event_log.NodeIs(1500.0, 1, "down", -1, 1, 1, 1, 0, 1, 1),
        event_log.Linked(100.0, 0, 0, 1, True),
    ]
    one = series(day.played())
    assert one.offered.tolist() == [10, 10, 0] and one.served.tolist() == [10, 0, 0]
    assert one.service[:2].tolist() == [1, 0] and np.isnan(one.service[2])
    assert one.answers.sum(axis=0).tolist() == [10, 10, 0]
    assert one.busy_replies.tolist() == [0, 10, 0] and one.attempts.tolist() == [0, 0, 1]
    assert one.p50_ms[0, 0] == 50 and np.isnan(one.p50_ms[0, 1])
    assert one.held[1, 0] == 7 and one.busy[1, 0] == 0.75 and np.isnan(one.held[0, 0])
    assert one.away[1].tolist() == [False, True, True] and one.connections.tolist() == [1, 1, 1]


def test_expectations() -> None:
    expect = Expect(
        service=0.9, worst_10s=0.2, recovery_s=3.0, attempts=1.0, p99_ms={"balance": 40.0, "earn": 40.0}
    )
    day = Builder(length_s=30.0, expect=expect)
    day.steady(0, 15_000)
    day.steady(15_000, 30_000, good=False)
    day.fault("slow", 15_000, 16_000)
    figures = measure(day.played())
    judge_expectations(figures, day.scenario)
    assert {one.name: (one.got, one.met) for one in figures.expectations} == {
        "service": (0.5, False),
        "worst_10s": (0.0, False),
        "recovery_s": (None, False),
        "attempts": (0.0, True),
        "p99_ms balance": (pytest.approx(50, rel=1e-3), False),
        "p99_ms earn": (None, False),
    }
    assert figures.kept and not figures.passed


def test_an_outcome_survives_json_and_nothing_else_passes_for_one() -> None:
    day = Builder(length_s=30.0, expect=Expect(service=0.9))
    day.steady(0, 30_000)
    day.fault("crash", 29_900, 30_000)
    figures = measure(day.played(trace="t", wall_s=2.5, notes=["é"]), name="calm", variant="plain")
    judge_expectations(figures, day.scenario)
    assert figures.passed
    figures.break_rules([Broken("body", 5.0, "w0", "a 200 that no node made")])
    assert decode(encode(figures)) == figures and not figures.kept and not figures.passed
    other = encode(figures).replace(b'"seed": 7', b'"seed": "x"')
    for bad in (b"{}", b"[]", b"", b'{"seed": 1', b"\xff\xfe", other):
        with pytest.raises(ValueError, match="not a lab's outcome"):
            decode(bad)


EVENTS = st.lists(
    st.tuples(
        st.sampled_from(["ask", "retry", "unasked", "answer", "broke", "gave up", "attempt"]),
        st.integers(0, 5),
        st.floats(0, 20_000),
        st.sampled_from([200, 429, 500, 503]),
        st.integers(0, 1),
    ),
    max_size=60,
)


@given(EVENTS)
def test_whatever_the_books_say_the_figures_agree(events: list[tuple[Any, ...]]) -> None:
    day = Builder(length_s=20.0, settle_s=2.0)
    day.fault("slow", 5000, 9000)
    for what, number, at, status, cls in events:
        op = f"op{number}"
        if what in ("ask", "retry"):
            day.ask(op if what == "ask" else f"{op}r", at, cls, first="" if what == "ask" else op)
        elif what == "unasked":
            day.rows.append(event_log.Unasked(at, op, op, 0, cls, at, "refused"))
        elif what == "answer":
            day.answer(op, at, status)
        elif what == "broke":
            day.rows.append(event_log.Broke(at, op, "end", 0))
        elif what == "gave up":
            day.rows.append(event_log.GaveUp(at, op, "impatient"))
        else:
            day.attempt(op, at, cls, replied=at + 50, status=status)
    figures = measure(day.played())
    assert 0 <= figures.worst_class.service <= figures.service <= 1
    assert 0 <= figures.worst_10s <= 1 and 0 <= figures.waste <= 1 and 0 <= figures.crossings <= 1
    answers = figures.answers
    assert sum(answers.all.values()) == sum(one.asked for one in figures.sidecars)
    assert answers.all == {kind: sum(one[kind] for one in answers.by_class.values()) for kind in KINDS}
    assert sum(figures.attempts.ended.values()) == figures.attempts.total
    for name, latency in figures.latency_ms.items():
        ended = answers.by_class[name]
        assert latency.count == ended["served"] + ended["late"]
        assert latency.count + latency.unserved == sum(ended.values())
    assert decode(encode(figures)) == figures
