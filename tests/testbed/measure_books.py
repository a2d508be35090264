"""A small builder of books: days put together by hand, for the tests of measures and report."""

from __future__ import annotations

from typing import Any

from coveport.testbed import event_log
from coveport.testbed.day import Day, NodeDrawn, SidecarDrawn, Span, Wish
from coveport.testbed.playing import Played
from coveport.testbed.scenario import Scenario
from coveport.testbed.schema import Class

CLASSES = (
    Class("balance", 0.5, 50, "safe", aim_ms=1000, deadline_ms=4000),
    Class("earn", 0.5, 100, "keyed", aim_ms=1200, deadline_ms=3000, worth=5),
)


def node(number: int, zone: int) -> NodeDrawn:
    return NodeDrawn(
        number=number,
        name=f"s-{number}",
        zone=zone,
        cell=zone,
        kind="full-core",
        cores=1,
        speed=1.0,
        slots=4,
        waiting=30,
        crowd_at=10,
        crowd_cost=0.1,
        cold_from=0.4,
        warm_ms=5000,
        pause_every_ms=5000,
        pause_ms=0,
        error_rate=0,
        cancel="waiting",
        drops_expired=False,
        connections=600,
        handshake_ms=1,
        handshake_trips=2,
        idle_ms=5000,
        closes_behind=0,
        probe_ms=0.3,
        report_every_ms=500,
        report_late_ms=100,
        report_noise=0,
        jam_at=0,
        jam_over_ms=0,
        jam_slower=1,
        jam_below=0.3,
        jam_rest_ms=0,
        jam_most_ms=0,
        seed=number,
    )


class Builder:
    """Two zones: node 0 and sidecar 0 in zone 0, node 1 and sidecar 1 in zone 1, 5 ms apart."""

    def __init__(self, **scenario: Any) -> None:
        self.scenario = Scenario(**{"title": "A day", "settle_s": 0.0, "classes": CLASSES, **scenario})
        self.rows: list[Any] = []
        self.spans: list[Span] = []
        self.wishes: list[Wish] = []
        self.attempts = 0

    def ask(
        self,
        op: str,
        due: float,
        cls: int = 0,
        *,
        sidecar: int = 0,
        first: str = "",
        key: str = "",
        late: float = 0.0,
    ) -> None:
        """Hand an operation over `late` ms after it was due."""
        self.rows.append(
            event_log.Asked(due + late, op, first or op, sidecar, cls, key, due, 1000.0, 0, bool(first), "d")
        )

    def answer(self, op: str, at: float, status: int = 200) -> None:
        self.rows.append(event_log.Answered(at, op, status, "body", 0.0, at))

    def served(self, op: str, due: float, took: float = 50.0, cls: int = 0, sidecar: int = 0) -> None:
        self.ask(op, due, cls, sidecar=sidecar)
        self.answer(op, due + took)

    def attempt(
        self,
        op: str,
        at: float,
        to: int = 0,
        *,
        sidecar: int = 0,
        work: float = 50.0,
        key: str = "",
        took: str = "work",
        status: int = 200,
        replied: float = 0.0,
        ended: tuple[str, float] = ("", 0),
    ) -> None:
        """An attempt that arrives at `at`; it runs at once where it is taken to work."""
        self.attempts += 1
        mine = self.attempts
        self.rows.append(event_log.Arrived(at, op, to, sidecar, mine, 0, at, at - 1, 0, key, "d", work, took))
        if took == "work":
            self.rows.append(event_log.Ran(at, op, to, to, mine, key))
        if ended[0]:
            self.rows.append(event_log.Ended(ended[1], op, to, mine, ended[0]))
        if replied:
            self.rows.append(event_log.Replied(replied, op, to, mine, status, "body", True))

    def steady(self, begin: float, end: float, every: float = 100.0, *, good: bool = True) -> None:
        """Wishes of class 0, all served or all refused."""
        for number in range(int((end - begin) / every)):
            due = begin + number * every
            self.ask(f"w{due:g}", due)
            self.answer(f"w{due:g}", due + 50, 200 if good else 503)

    def fault(self, kind: str, begin: float, end: float, whom: str = "nodes 1") -> None:
        number = len(self.spans)
        self.spans.append(Span(number, kind, begin, end, whom))
        self.rows += [
            event_log.Fault(begin, number, kind, True, whom),
            event_log.Fault(end, number, kind, False, whom),
        ]

    def played(self, **more: Any) -> Played:
        day = Day(
            scenario=self.scenario,
            seed=7,
            nodes=(node(0, 0), node(1, 1)),
            sidecars=(SidecarDrawn(0, "a", 0, 0), SidecarDrawn(1, "b", 1, 1)),
            wishes=tuple(self.wishes),
            changes=(),
            spans=tuple(self.spans),
            same_ms=0.2,
            cross_ms=((0.2, 5.0), (5.0, 0.2)),
            client_ms=0.05,
            jitter=0.1,
            notice_ms=1000,
            add_ms=1000,
            capacity=2.0,
        )
        return Played(day, "virtual", sorted(self.rows, key=lambda row: row.at), **more)
