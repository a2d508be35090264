"""Each rule: the books that break it, and the nearest that keep it."""

from __future__ import annotations

import re
from pathlib import Path
from typing import Any

import pytest
from bookkeeping import ANY, BALANCE, CLIENT, EARN, REDEEM, SAME, UP, ZONED, Book, legal_book
from hypothesis import given, settings
from hypothesis import strategies as st

from coveport.testbed import event_log as b
from coveport.testbed.day import Change
from coveport.testbed.oracle import RULES, Grace, judge

G = Grace()
LIMIT = 1000.0 + 20 + G.extra_ms  # patience and slack
PROOF = 50 + SAME  # when a sidecar reads what a near node wrote at 50
NONE, RESENT, COPY, LOST, HUNG = ["answer-none"], ["resent"], ["second-copy"], ["cancel-lost"], ["process"]


def test_rules_are_those_of_the_design_note() -> None:
    table = (Path(__file__).parents[2] / "docs/design/lab.md").read_text().split("## What is judged")[1]
    assert dict(re.findall(r"^\| `([a-z-]+)` \| ([^|]+) \|$", table, re.M)) == RULES


def test_a_breach_tells_who_when_and_where() -> None:
    book = Book().ask(cls=REDEEM).send(1, reply=50, status=500).answer(300, 502)
    (breach,) = judge(book.day, book.rows)
    assert (breach.rule, breach.at_ms, breach.operation) == ("answer-held", 300, "a")
    assert all(word in breach.what for word in ("sidecar 0 (s0)", "node 0 (n0)", "101.5 ms", "300.0 ms"))


@settings(max_examples=60)
@given(st.integers(0, 2**32), st.booleans())
def test_a_legal_history_is_never_blamed(seed: int, real: bool) -> None:
    assert legal_book(seed, told=not real).found(Grace.real() if real else G) == []


def told(at: float, state: str, born: float = -1, sidecar: int = 0) -> b.Told:
    return b.Told(at, sidecar, 0, state, born)


def stalled(begin: float, end: float) -> Book:
    return Book().life((-20, "start"), (-19, "ready"), (begin, "stall"), (end, "resume")).ask()


def tried(*over: float) -> Book:
    book = Book().ask()
    for at in over:
        book.send(at - 9, reply=at, status=500)
    return book.answer(300, 502)


@pytest.mark.parametrize(
    ("book", "found"),
    [
        (Book().ask().send(1, reply=LIMIT - 2).answer(LIMIT), []),
        (Book().ask().send(1, reply=LIMIT - 2).answer(LIMIT + 0.1), ["answer-late"]),
        (stalled(900, 1300).send(1, reply=1310).answer(1319), []),  # the end falls into it
        (stalled(500, 900).send(1, reply=1310).answer(1319), ["answer-late"]),  # over long before
        (stalled(-9, 300).send(302, reply=1310).answer(1319), []),  # it lay unread until then
        (stalled(1100, 1300).send(1, reply=1310).answer(1319), ["answer-late"]),  # too late to matter
        (Book().ask().send(1, reply=1310).answer(1319).put(b.Lag(1300, "tills", 300)), []),
        (Book().ask().send(1, reply=50).answer(52).answer(53, 503), ["answer-twice"]),
        (Book().ask().send(1, reply=50).answer(52).put(b.Broke(60, "", "stray", 7)), ["answer-twice"]),
        (Book().ask().send(1, reply=50).answer(52, number=2), ["body"]),
        (Book().ask().send(1, reply=50, whole=False, closed=51).answer(52), ["body"]),
        (Book().ask().send(1, reply=60).answer(52), ["body"]),
        (Book().ask().answer(1), ["body"]),
        # No answer.
        (Book().ask(), NONE),
        (Book().ask().left(1070, "late"), NONE),
        (Book().ask().left(0, "half"), NONE),
        (Book().ask().left(999), []),
        (stalled(900, 2000).left(1070, "late"), []),
        (Book().ask().unasked(1), []),
        (Book().ask().unasked(1).ask(at=2), NONE),
        (Book().ask().send(1, ended=(9, "end")).unasked(9), NONE),  # read after all
        (Book().life(*UP, (8, "kill")).ask().send(1, ended=(9, "end")).unasked(9), []),
        # The sidecar ended the connection, maybe in the middle of an answer that had come whole, or not.
        (Book().ask().broke(500), NONE),
        (Book().ask().broke(2 * CLIENT - 0.1), []),  # before it can have read it
        (Book().ask().broke(500, 80).send(1, reply=499, whole=False, closed=499), []),
        (Book().ask().broke(500, 80).send(1, ended=(499, "down")), []),
        (Book().ask().broke(500, 80).send(1, reply=400), NONE),
        (Book().ask().broke(500, 0).send(1, reply=499, whole=False, closed=499), NONE),
        # It lived, or not.
        (Book().life(*UP, (500, "kill")).ask().broke(501), []),
        (Book().life(*UP, (1100, "kill")).ask().left(1070, "late"), NONE),
        (Book().life(*UP, (500, "term"), (900, "exit")).ask().broke(900), NONE),
        (Book().life(*UP, (500, "term"), (900, "exit")).ask(at=950), []),
        (Book().life(*UP, (500, "term"), (1500, "kill")).ask(at=1200).broke(1500), []),
        (Book().life(*UP, (500, "term"), (1500, "kill")).ask(at=1210).broke(1500), NONE),
        # What was known, and when (see below for the usual).
        (tried(10, 50, 100), ["answer-held"]),
        (tried(10, 249.2, 100), []),
        (tried(10, 100), []),  # more may be tried
        (tried(10, 20, 30, 298), ["attempts"]),
        (Book().ask(cls=REDEEM).send(1, reply=100, status=503).answer(300, 503), []),
        (Book().ask().send(1, reply=100).left(300), ["answer-held"]),
        (Book().ask().send(1, reply=100, closed=101).answer(300, 502), []),  # a close crossed the 200
        (
            Book().ask().send(1, reply=100, whole=False, closed=299).answer(300, 502),
            [],
        ),  # it never became whole
        (Book().ask().send(1, reply=100).put(b.NodeIs(100.5, 0, "down", -1, 1, 1, 1, 0, 0, 0)).left(300), []),
        # Busy replies.
        (Book().ask(cls=REDEEM).send(1, reply=50, status=503).answer(PROOF + CLIENT, 503), []),
        (Book().ask(cls=REDEEM).send(1, reply=50, status=503).answer(PROOF - 0.1, 503), ["refused"]),
        (Book().ask(cls=REDEEM).send(1, ended=(60, "end")).answer(59, 503), ["refused"]),  # given up
        (
            Book().ask(cls=REDEEM).send(1, came=200, ended=(200, "end")).answer(52, 429),
            ["refused"],
        ),  # on its way
        (Book().ask(cls=REDEEM).send(100, ended=(102, "end")).answer(52, 503), ["after-end"]),
        # The processes.
        (Book().life((0, "start"), (4900, "ready")), []),
        (Book().life((0, "start"), (5100, "ready")), HUNG),
        (Book().life(*UP, (900, "exit")), HUNG),
        (Book().life(*UP, (900, "kill"), (901, "exit"), code="-9"), []),
        (Book().life(*UP, (900, "term"), (7650, "exit")), []),
        (Book().life(*UP, (900, "term"), (7650.1, "exit")), HUNG),
        (Book().life(*UP, (900, "term"), (7700, "kill")), HUNG),
        (Book().life(*UP, (900, "term"), (4600, "kill")), []),
        (Book().life(*UP, (900, "term"), (1800, "exit"), code="1"), HUNG),
        # Who was named.
        (Book(named=False).put(told(3, "active")).ask().send(2, reply=50).answer(52), []),
        (Book(named=False).put(told(3.1, "active")).ask().send(2, reply=50).answer(52), ["unnamed"]),
        (Book(named=False).put(told(0, "active", sidecar=1)).ask().send(2, reply=50).answer(52), ["unnamed"]),
    ],
)
def test_books(book: Book, found: list[str]) -> None:
    assert book.found() == found


@pytest.mark.parametrize(
    ("how", "cls"),
    [
        ({"reply": 100}, BALANCE),  # a 200
        ({"reply": 100, "status": 500}, REDEEM),  # it may have run, so that nothing more may be tried
        ({"ended": (100, "cut")}, REDEEM),
        ({"ended": (100, "down")}, REDEEM),
    ],
)
def test_held(how: dict[str, Any], cls: int) -> None:
    def book(at: float, *changes: Change) -> Book:
        return Book(*changes).ask(cls=cls).send(1, **how).answer(at, 502 if cls else 200)

    last = 100 + SAME + CLIENT + G.passing_ms
    assert book(last).found() == []
    assert book(last + 0.1).found() == ["answer-held"]
    assert book(last + 50, Change(0, 0, "delay", value=50, share=1)).found() == []
    assert book(320, Change(90, 0, "silent", target=0), Change(300, 0, "silent", on=False)).found() == []
    assert book(480).life(*UP, (120, "stall"), (480, "resume")).found() == []


@pytest.mark.parametrize(
    "changed", [{"digest": "?"}, {"key": "another"}, {"sidecar": 1}, {"took": "bad"}, {"op": "b"}]
)
def test_changed(changed: dict[str, Any]) -> None:
    book = Book().ask(cls=EARN).send(1, reply=50, ran=2).answer(52)
    assert book.send(10, 1, reply=50, changed=changed).found() == ["changed"]


FULL, CUT_OFF, END = {"reply": 50, "status": 503}, {"ended": (50, "cut")}, {"ended": (90, "end"), "node": 3}
ENDLESS = {"reply": 50, "whole": False, "closed": 81}
TWO = ["resent", "ran-twice"]


@pytest.mark.parametrize(
    ("cls", "first", "at", "more", "copies", "found"),
    [
        (REDEEM, FULL, PROOF, {"node": 3}, True, []),
        (REDEEM, FULL, PROOF - 0.1, {"node": 3}, True, RESENT),
        (REDEEM, FULL | {"whole": False, "closed": 51}, 60, {}, True, RESENT),
        (REDEEM, CUT_OFF, 60, {}, True, RESENT),
        (EARN, FULL | {"status": 504}, PROOF, {"node": 3}, True, []),
        (EARN, CUT_OFF, 60, {"node": 1}, True, []),
        (EARN, CUT_OFF, 60, {"node": 2}, True, RESENT),  # another cell of the zone
        (ZONED, CUT_OFF, 60, {"node": 2}, True, []),
        (ZONED, CUT_OFF, 60, {"node": 3}, True, RESENT),
        (ANY, CUT_OFF, 60, {"node": 3}, True, []),
        (EARN, CUT_OFF, 1 + 6000 + G.extra_ms, {}, True, []),
        (EARN, CUT_OFF, 1 + 6000 + G.extra_ms + 0.1, {}, True, RESENT),
        # Two effects.
        (BALANCE, CUT_OFF | {"ran": 3}, 60, {"ran": 70}, True, []),
        (REDEEM, CUT_OFF | {"ran": 3}, 60, {"ran": 70}, True, TWO),
        (EARN, CUT_OFF | {"ran": 3}, 60, {"ran": 70, "node": 2}, True, TWO),
        (EARN, CUT_OFF | {"ran": 3}, 60, {"ran": 6002, "node": 2}, True, TWO),
        (
            EARN,
            CUT_OFF | {"ran": 3},
            60,
            {"ran": 70},
            True,
            ["ran-twice"],
        ),  # what the cell should have dropped
        (EARN, CUT_OFF | {"ran": 3}, 60, {"ran": 6002}, True, []),  # the window passed while it waited
        (REDEEM, FULL | {"ran": 3}, PROOF, {"ran": 6002}, True, ["ran-twice"]),
        # Two at once. The far node sees the close 10 ms after the sidecar.
        (BALANCE, END, 1, {}, False, COPY),
        (BALANCE, END, 80, {}, False, []),
        (BALANCE, END, 79.8, {}, False, COPY),
        (BALANCE, FULL | {"status": 500}, PROOF, {}, False, []),
        (BALANCE, FULL | {"status": 500}, PROOF - 0.1, {}, False, COPY),
        (BALANCE, ENDLESS, 80, {}, False, []),
        (BALANCE, ENDLESS, 79.8, {}, False, COPY),
        (REDEEM, END, 1, {}, False, RESENT + COPY),
    ],
)
def test_a_second_attempt(
    cls: int, first: dict[str, Any], at: float, more: dict[str, Any], copies: bool, found: list[str]
) -> None:
    book = Book(second_copies=copies).ask(cls=cls, patience=9000).send(1, **first)
    over = max(at, 90, more.get("ran", 0)) + 20
    assert book.send(at, reply=over, **more).answer(over + 11, number=2).found() == found


@pytest.mark.parametrize(
    ("cls", "status", "found"),
    [
        (REDEEM, 503, ["refused", "ran-twice"]),
        (EARN, 429, ["refused", "ran-twice"]),
        (REDEEM, 502, []),
        (BALANCE, 503, []),
        (ANY, 503, []),
    ],
)
def test_busy_for_what_ran(cls: int, status: int, found: list[str]) -> None:
    book = Book().ask(cls=cls).send(1, ran=3, ended=(50, "cut")).answer(52, status)
    book.ask("c", 400, cls, first="a").send(401, 2, op="c", ran=410, reply=420).answer(422, op="c", number=2)
    assert book.found() == found


@pytest.mark.parametrize("over", [Book.answer, Book.left])
def test_after_end(over: Any) -> None:
    last = 52 + CLIENT + G.after_end_ms
    for at, found in ((last, []), (last + 0.1, ["after-end"])):
        assert over(Book().ask().send(1, reply=50), 52).send(at, ended=(at + 2, "end")).found() == found
    cut = Book(Change(30, 0, "cut", target=1), Change(200, 0, "cut", on=False)).ask().send(1, reply=50)
    assert over(cut, 52).send(40, 3, came=210, told=False, ended=(210, "end")).found() == []  # held by it


SILENT = (Change(40, 0, "silent", target=1), Change(3000, 0, "silent", on=False, target=1))
LAST = 52 + CLIENT + G.cancel_ms + SAME


@pytest.mark.parametrize(
    ("changes", "copy", "found"),
    [
        ((), {"ended": (LAST, "end")}, []),
        ((), {"ended": (LAST + 0.1, "end")}, LOST),
        ((), {}, LOST),
        ((), {"reply": 54}, []),  # the answer crossed the close
        ((), {"reply": 900}, LOST),
        ((), {"reply": 51, "whole": False}, LOST),  # one that never ends
        (SILENT, {"ended": (3002, "end")}, []),
        (SILENT, {"ended": (3200, "end")}, LOST),
    ],
)
def test_cancel_lost(changes: tuple[Change, ...], copy: dict[str, Any], found: list[str]) -> None:
    book = Book(*changes).ask().send(1, reply=50).send(2, 1, **copy).answer(52)
    assert book.found() == found
    assert book.life(*UP, (100, "kill")).found() == []


@pytest.mark.parametrize(
    ("late", "way", "words", "found"),
    [
        (0, 40, [told(100, "leaving")], []),  # the first byte counts, not the last
        (0.1, 1, [told(100, "leaving")], ["drained"]),
        (0.1, 1, [told(100, "leaving"), told(500, "left")], ["drained"]),
        (0.1, 1, [told(100, "leaving", sidecar=1)], []),
        (0.1, 1, [told(100, "leaving"), told(800, "active", 700)], []),
        (0.1, 1, [told(100, "leaving"), told(800, "active", 700), told(801, "left", 700)], []),
    ],
)
def test_drained(late: float, way: float, words: list[b.Told], found: list[str]) -> None:
    at = 100 + 750 + G.extra_ms + late
    book = Book().ask(at=at - 1).send(at, came=at + way, reply=at + 50).answer(at + 52).put(*words)
    assert book.found() == found
    # A new process knows nothing of what the one before was told.
    assert book.life(*UP, (200, "kill"), (201, "start"), (202, "ready")).found() == []


@pytest.mark.parametrize(
    ("works", "who_knows", "found"),
    [
        ([(1100, 9)] * 8, (0, 1), []),
        ([(1100, 9)] * 8 + [(2900, 9)], (0, 1), ["cold"]),  # a burst uses it up early
        ([(1100, 9)] * 8 + [(3500, 9)] * 2, (0, 1), []),  # never in one window
        ([(2900, 9)] * 9, (0, 1), ["cold"]),
        ([(5000, 9)] * 9, (0, 1), []),  # warmer by then
        ([(1100, 9)] * 8 + [(2900, 9)], (0,), []),  # the sidecar that sent four of nine had not heard
        ([(1100, 9)] * 8 + [(2900, 9)], (), []),
        ([(8300, 9)] * 20, (), ["cold"]),  # who must have heard by now
        ([(9700, 9)] * 9, (0, 1), []),  # warm
        ([(1100, 100)], (0, 1), []),  # one large operation is chance
    ],
)
def test_cold(works: list[tuple[float, float]], who_knows: tuple[int, ...], found: list[str]) -> None:
    """Speed 0.02, warm after 8.6 s: 4 * 0.02 * 2000 ms * (0.36 to 0.51) in the first window."""
    book = Book().put(
        b.NodeIs(900, 0, "down", -1, 1, 0.01, 1.0, 0, 0, 0),
        b.NodeIs(1000, 0, "up", 1000, 1, 0.02, 0.36, 8600, 0, 0),
    )
    book.put(*(told(1050, "active", 1000, sidecar=who) for who in who_knows))
    book.put(b.NodeIs(6000, 0, "up", 1000, 1, 0.0001, 0.36, 8600, 0, 0))  # a trouble that comes later
    for i, (at, work) in enumerate(works):
        book.ask(str(i), at - 1, sidecar=i % 2).send(at, op=str(i), work=work, reply=at + 50)
        book.answer(at + 52, op=str(i), number=i + 1)
    assert book.found() == found
    if who_knows:  # a new process has not been told, and the other sidecar sends less than half
        assert book.life(*UP, (1060, "kill"), (1061, "start"), (1062, "ready")).found() == []
