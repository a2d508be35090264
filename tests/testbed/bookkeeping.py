"""A small builder of books, for a day of four nodes and two sidecars; and books that keep every rule."""

from __future__ import annotations

import random
from math import inf
from typing import Any, Self

import msgspec

from coveport.testbed import event_log as b
from coveport.testbed.day import Change, Day, NodeDrawn, SidecarDrawn
from coveport.testbed.oracle import Grace, judge
from coveport.testbed.scenario import Scenario
from coveport.testbed.schema import Class, Rules

BALANCE, EARN, REDEEM, ANY, ZONED = range(5)  # safe; keyed by cell; never; keyed by all; keyed by zone
WAYS: list[Any] = [("safe", "all"), ("keyed", "cell"), ("never", "all"), ("keyed", "all"), ("keyed", "zone")]
CLASSES = tuple(
    Class(name=f"class {i}", share=1, work_ms=50, repeats=repeats, aim_ms=1000, deadline_ms=6000, scope=scope)
    for i, (repeats, scope) in enumerate(WAYS)
)
SAME, CROSS, CLIENT = 1.0, 10.0, 0.5  # ms, one way
PLACES = [(0, 0), (0, 0), (0, 1), (1, 2)]  # zone and cell of each node
UP = [(0, "start"), (1, "ready")]


def a_node(number: int, zone: int, cell: int) -> NodeDrawn:
    told = {
        "number": number,
        "name": f"n{number}",
        "zone": zone,
        "cell": cell,
        "kind": "",
        "cancel": "none",
        "drops_expired": False,
        "born": True,
    }
    return msgspec.convert(dict.fromkeys(NodeDrawn.__struct_fields__, 0) | told, NodeDrawn)


class Book:
    """Rows in the making; each method adds what one event leaves in the books."""

    def __init__(self, *changes: Change, jitter: float = 0.0, named: bool = True, **rules: Any) -> None:
        nodes = tuple(a_node(i, *place) for i, place in enumerate(PLACES))
        self.day = Day(
            Scenario(title="test", classes=CLASSES, rules=Rules(**rules)),
            1,
            nodes,
            tuple(SidecarDrawn(i, f"s{i}", 0, i) for i in (0, 1)),
            (),
            changes,
            (),
            SAME,
            ((SAME, CROSS), (CROSS, SAME)),
            CLIENT,
            jitter,
            2000.0,
            1000.0,
            4.0,
        )
        self.rows: list[b.AnyRow] = [b.Called(60_000, 0, False)]  # they go on for long enough
        self.asked: dict[str, b.Asked] = {}
        self.attempts = 0
        for node, place in enumerate(PLACES):
            self.rows.append(b.NodeIs(0, node, "up", -1, 1, 1.0, 1.0, 5000, *place))
            self.rows += [b.Told(0, sidecar, node, "active", -1) for sidecar in (0, 1) if named]

    def put(self, *rows: b.AnyRow) -> Self:
        self.rows += rows
        return self

    def ask(
        self,
        op: str = "a",
        at: float = 0.0,
        cls: int = BALANCE,
        *,
        sidecar: int = 0,
        first: str = "",
        patience: float = 1000.0,
    ) -> Self:
        key = f"key {first or op}" if CLASSES[cls].repeats == "keyed" else ""
        self.asked[op] = b.Asked(at, op, first or op, sidecar, cls, key, at, patience, 1, bool(first), op)
        return self.put(self.asked[op])

    def unasked(self, at: float, why: str = "crossed") -> Self:
        return self.put(b.Unasked(at, "a", "a", 0, BALANCE, 0, why))

    def send(
        self,
        at: float,
        node: int = 0,
        *,
        op: str = "a",
        reply: float | None = None,
        status: int = 200,
        whole: bool = True,
        ran: float | None = None,
        came: float | None = None,
        work: float = 50.0,
        ended: tuple[float, str] | None = None,
        closed: float | None = None,
        told: bool = True,
        changed: dict[str, Any] | None = None,
    ) -> Self:
        """An attempt handed over at `at`; its answer is written at `reply`, `ended` is how else it ended."""
        self.attempts += 1
        number, asked = self.attempts, self.asked[op]
        came = at + (SAME if PLACES[node][0] == 0 else CROSS) if came is None else came
        row = b.Arrived(
            came,
            op,
            node,
            asked.sidecar,
            number,
            number,
            came,
            at if told else came,
            asked.cls,
            asked.key,
            asked.digest,
            work,
            "work",
        )
        self.put(msgspec.structs.replace(row, **changed or {}))
        if ran is not None:
            self.put(b.Ran(ran, op, node, PLACES[node][1], number, asked.key))
        if reply is not None:
            self.put(b.Replied(reply, op, node, number, status, f"!{op} {number}", whole))
        if ended is not None:
            self.put(b.Ended(ended[0], op, node, number, ended[1]))
        if closed is not None:
            self.put(b.Linked(closed, node, asked.sidecar, number, False))
        return self

    def answer(self, at: float, status: int = 200, *, op: str = "a", number: int = 1) -> Self:
        """The last byte comes to the till; a 200 holds the body of attempt `number`."""
        return self.put(b.Answered(at, op, status, f"!{op} {number}" if status == 200 else "", 0, at))

    def left(self, at: float, how: str = "impatient", op: str = "a") -> Self:
        return self.put(b.GaveUp(at, op, how))

    def broke(self, at: float, seen: int = 0) -> Self:
        return self.put(b.Broke(at, "a", "end", seen))

    def life(self, *events: tuple[float, str], code: str = "0") -> Self:
        return self.put(*(b.Life(at, 0, what, code if what == "exit" else "") for at, what in events))

    def found(self, grace: Grace = Grace.virtual()) -> list[str]:  # noqa: B008
        return [breach.rule for breach in judge(self.day, self.rows, grace=grace)]


CUT, STALL, JITTER = (800.0, 1500.0), (2000.0, 2400.0), 0.3  # of zone 1; of sidecar 0


def legal_book(seed: int, told: bool) -> Book:
    """Of sidecars that keep every rule, in bad weather; `told`: whether the ground tells when they sent."""
    rng = random.Random(seed)
    cut = Change(CUT[0], 0, "cut", target=1), Change(CUT[1], 0, "cut", on=False)
    book = Book(*cut, jitter=JITTER).life(*UP, (STALL[0], "stall"), (STALL[1], "resume"))
    for number in range(40):
        _play(book, rng, number % 2, f"op {number}", rng.randrange(3), told)
    return book


def _play(book: Book, rng: random.Random, sidecar: int, op: str, cls: int, told: bool) -> None:
    def act(at: float) -> float:  # when the sidecar does what it would do at `at`
        return STALL[1] if sidecar == 0 and STALL[0] <= at < STALL[1] else at

    def client(at: float) -> float:
        return at + CLIENT * rng.uniform(1, 1 + JITTER)

    def way(at: float, node: int) -> float:  # when a message between the sidecar and the node comes
        near, slower = PLACES[node][0] == 0, rng.uniform(1, 1 + JITTER)
        there = at + (SAME if near else CROSS) * slower
        return CUT[1] + CROSS * slower if not near and at <= CUT[1] and there >= CUT[0] else there

    def attempt(now: float, node: int, until: float, effect: bool) -> tuple[float, int, bool]:
        """When and how it ends for the sidecar, and whether it has taken effect."""
        came = way(now, node)
        over = came + rng.uniform(0, 300)
        closed, known = max(way(until, node), came), act(way(over, node))
        what = rng.choice((200, 200, 500, 503, "cut", "spoilt"))
        row: dict[str, Any] = {"op": op, "came": came, "told": told}
        if what in (200, 500, "spoilt") and (cls == BALANCE or not effect):
            at = rng.uniform(came, over)
            row |= {"ran": at} if at < closed else {}
        given_up = known > until or what == "spoilt"
        row |= {"closed": closed} if given_up else {}
        if over >= closed:
            row["ended"] = (closed, "end")
        elif what == "cut":
            row |= {"ended": (over, "cut"), "closed": over}
        else:
            row |= {"reply": over, "status": 200 if what == "spoilt" else what, "whole": what != "spoilt"}
        book.send(now, node, **row)
        status = what if isinstance(what, int) and not given_up else 502
        return until if given_up else known, status, "ran" in row

    asked, patience = rng.uniform(1, 3000), rng.uniform(100, 900)
    leaves = asked + rng.uniform(1, 400) if rng.random() < 0.2 else inf
    book.ask(op, asked, cls, sidecar=sidecar, patience=patience)
    now, gone, limit = act(client(asked)), act(client(leaves)), act(asked + patience + 2)
    cell, status, effect = -1, 504, False
    for _ in range(rng.randint(1, 3)):
        if now >= min(gone, limit) or status == 200:
            break
        node = rng.choice([node for node, place in enumerate(PLACES) if cell in (-1, place[1])])
        until = act(min(gone, limit, now + rng.uniform(5, 400)))
        now, status, ran = attempt(now, node, until, effect)
        effect = effect or ran
        if status != 503 and cls == EARN:
            cell = PLACES[node][1]
        if status != 503 and cls == REDEEM:
            break
        status = 502 if cell != -1 and status == 503 else status
    done = client(act(now + rng.uniform(0, 10)))
    if gone <= now or done >= leaves:
        book.left(leaves, op=op)
    else:
        book.answer(done, status, op=op, number=book.attempts)
