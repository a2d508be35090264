"""The worlds that come with the checker. Pure.

Three classes as in our own deployment: `balance` may run again, `earn` carries a key that one cell remembers
for a while, `redeem` must never run twice. The zone 0 is the sidecar's own.
"""

from __future__ import annotations

import dataclasses
from typing import Any

from coveport import balancing
from coveport.balancing import DeduplicationScope, Effect, EndpointState, EndpointUpdateKind, Outcome
from coveport.testbed.check.world import Line, Node, Wish, Word, World

BALANCE, EARN, REDEEM = 0, 1, 2
FAULTS = (Outcome.ERROR, Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.RESET)
PAIR = (Node(), Node())  # one cell of the own zone
ACROSS = (Node(zone=0, cell=0), Node(zone=0, cell=0), Node(zone=1, cell=1))
CELLS = (Node(zone=0, cell=0), Node(zone=0, cell=1))
LONG = 0.1  # share of its worth that an answer has after the aim: it is waited for until the deadline


def settings(late: float = 0.0, must_ask: bool = False, **limits: Any) -> balancing.Settings:
    """Settings as the worlds have them; `late`: what an answer after the aim is worth."""
    classes = (
        balancing.RequestClass("balance", 1000.0, 3000.0, 1.0, late, effect=Effect.SAFE),
        balancing.RequestClass(
            "earn",
            1000.0,
            3000.0,
            5.0,
            late,
            effect=Effect.KEYED,
            group=DeduplicationScope.CELL,
            window_ms=1500.0,
        ),
        balancing.RequestClass("redeem", 1000.0, 3000.0, 3.0, late),
    )
    allowed = {
        "max_attempts": 3,
        "second_copies": True,
        "cancel": True,
        "retry_after": True,
        "max_retry_after_ms": 2000.0,
        **limits,
    }
    return balancing.Settings(
        classes,
        peers_total=3,
        must_ask=must_ask,
        limits=balancing.Limits(**allowed),
        rules=balancing.Rules(
            answer_slack_ms=20.0,
            drain_grace_ms=500.0,
            cold_from=0.36,
            warm_after_ms=2000.0,
            overload_factor=4.0,
            fall_ms=1000.0,
        ),
    )


def _delta(*lines: Line) -> Word:
    return Word(EndpointUpdateKind.DELTA, lines)


def _full(*lines: Line) -> Word:
    return Word(EndpointUpdateKind.FULL, lines)


_OURS = settings()
_LATE = settings(LONG)
_GONE = (_delta(Line(0, EndpointState.DRAINING)), _delta(Line(0, EndpointState.GONE)))
_REBORN = (_delta(Line(0, birth=1)), _full(Line(0, birth=1), Line(1)))
_BOTH = _full(Line(0), Line(1))

SMALL = (
    World(
        "balance",
        _OURS,
        ACROSS,
        (Wish(BALANCE),),
        outcomes=FAULTS,
        faults=2,
        about="One that may run again, with two faults: retries, a second copy, another zone.",
    ),
    World(
        "earn",
        _LATE,
        (*CELLS, Node(cell=1)),
        (Wish(EARN),),
        outcomes=FAULTS,
        faults=2,
        about="One with a key, whose window ends before its deadline.",
    ),
    World(
        "redeem",
        _LATE,
        ACROSS,
        (Wish(REDEEM),),
        outcomes=FAULTS,
        faults=2,
        about="One that must never run twice.",
    ),
    World(
        "one-at-a-time",
        settings(LONG, second_copies=False),
        PAIR,
        (Wish(EARN),),
        outcomes=FAULTS,
        faults=3,
        about="Where no two route steps of an operation may be out together.",
    ),
    World(
        "two",
        _OURS,
        PAIR,
        (Wish(BALANCE), Wish(REDEEM)),
        about="Two operations, nodes that answer or stay silent.",
    ),
    World(
        "leaves",
        _OURS,
        PAIR,
        (Wish(BALANCE),),
        outcomes=FAULTS,
        faults=1,
        leaves=1,
        reloads=1,
        about="A client goes away; the configuration is read anew.",
    ),
    World(
        "late-cancel",
        _OURS,
        PAIR,
        (Wish(BALANCE),),
        outcomes=FAULTS,
        faults=1,
        leaves=1,
        prompt=False,
        about="A route step given up ends in its own time, and may end in any way.",
    ),
    World(
        "no-cancel",
        settings(cancel=False),
        PAIR,
        (Wish(BALANCE),),
        outcomes=FAULTS,
        faults=2,
        about="Where nothing may be cancelled.",
    ),
    World(
        "drain",
        _OURS,
        PAIR,
        (Wish(BALANCE),),
        words=_GONE,
        outcomes=(Outcome.RESET,),
        faults=1,
        about="A node drains and is gone.",
    ),
    World(
        "drain-twice",
        _OURS,
        PAIR,
        (Wish(REDEEM),),
        lulls_ms=(600.0,),
        words=(
            _delta(Line(0, EndpointState.DRAINING)),
            _delta(Line(0), Line(1, EndpointState.DRAINING)),
            _full(Line(0)),
        ),
        about="A node drains, comes back, and the other one drains.",
    ),
    World(
        "restart",
        _OURS,
        PAIR,
        (Wish(BALANCE),),
        words=_REBORN,
        outcomes=(Outcome.CONNECT_FAILED,),
        faults=1,
        about="A node is told of with a new start, twice.",
    ),
    World(
        "empty",
        _OURS,
        PAIR,
        (Wish(REDEEM),),
        words=(_full(), _BOTH),
        outcomes=(Outcome.FULL,),
        faults=1,
        about="The whole list is empty for a while.",
    ),
    World(
        "unknown",
        _OURS,
        PAIR,
        (Wish(BALANCE),),
        known=Word(EndpointUpdateKind.CACHED),
        words=(_full(Line(0)),),
        outcomes=(Outcome.FULL,),
        faults=1,
        about="Nothing is known at the start.",
    ),
    World(
        "must-ask",
        settings(must_ask=True),
        PAIR,
        (Wish(BALANCE),),
        words=(Word(EndpointUpdateKind.FAILED), _BOTH),
        about="The list comes only to those who ask, and the first call fails.",
    ),
    World(
        "probes",
        settings(probes=True),
        PAIR,
        (Wish(BALANCE),),
        outcomes=FAULTS,
        faults=2,
        about="Where nodes may be probed.",
    ),
    World(
        "stall",
        _OURS,
        PAIR,
        (Wish(BALANCE),),
        outcomes=(Outcome.RESET,),
        faults=1,
        stalls=1,
        about="The sidecar sleeps past what was due.",
    ),
    World(
        "double",
        _OURS,
        PAIR,
        (Wish(BALANCE, id="a"), Wish(REDEEM, id="a"), Wish(REDEEM, room=False)),
        about="Two of a name, and one for which there is no room.",
    ),
    World(
        "no-time",
        _OURS,
        PAIR,
        (Wish(BALANCE, wait_ms=0.0), Wish(EARN, wait_ms=50.0)),
        outcomes=(Outcome.CONNECT_FAILED,),
        faults=1,
        about="Clients that wait not at all, or hardly.",
    ),
)
"""Each is explored whole in a second or two; the tests do it."""

LARGE = (
    World(
        "large-faults",
        _OURS,
        ACROSS,
        (Wish(BALANCE), Wish(REDEEM)),
        outcomes=FAULTS,
        faults=2,
        leaves=1,
        about="Two operations, two faults of any kind, a client that leaves.",
    ),
    World(
        "large-keyed",
        _LATE,
        (*CELLS, Node(cell=1)),
        (Wish(EARN), Wish(EARN)),
        outcomes=FAULTS,
        faults=2,
        about="Two with keys, whose windows end before their deadlines.",
    ),
    World(
        "large-three",
        _OURS,
        PAIR,
        (Wish(BALANCE), Wish(EARN), Wish(REDEEM)),
        outcomes=(Outcome.RESET, Outcome.CONNECT_FAILED),
        faults=1,
        about="One of each class.",
    ),
    World(
        "large-lull",
        _OURS,
        PAIR,
        (Wish(BALANCE), Wish(BALANCE)),
        outcomes=(Outcome.CONNECT_FAILED,),
        faults=1,
        lulls_ms=(600.0,),
        about="Time in which nothing is asked, long enough for a trial.",
    ),
    World(
        "large-drain",
        _OURS,
        ACROSS,
        (Wish(BALANCE), Wish(REDEEM)),
        words=_GONE,
        lulls_ms=(600.0,),
        outcomes=(Outcome.RESET, Outcome.FULL),
        faults=1,
        leaves=1,
        about="A node drains and is gone under two operations.",
    ),
    World(
        "large-restart",
        _OURS,
        ACROSS,
        (Wish(BALANCE), Wish(EARN)),
        words=_REBORN,
        lulls_ms=(1000.0, 2000.0),
        outcomes=(Outcome.CONNECT_FAILED, Outcome.RESET),
        faults=2,
        about="A node restarts under two operations, and they find it down before.",
    ),
    World(
        "large-empty",
        _OURS,
        PAIR,
        (Wish(BALANCE), Wish(REDEEM)),
        lulls_ms=(600.0,),
        words=(_full(), _delta(Line(0)), _BOTH),
        outcomes=(Outcome.FULL, Outcome.RESET),
        faults=1,
        leaves=1,
        about="The list is empty, then comes back node by node.",
    ),
    World(
        "large-probes",
        settings(probes=True),
        PAIR,
        (Wish(BALANCE), Wish(REDEEM)),
        outcomes=FAULTS,
        faults=2,
        lulls_ms=(600.0,),
        about="Two operations where nodes may be probed.",
    ),
    World(
        "large-late-cancel",
        _OURS,
        PAIR,
        (Wish(BALANCE), Wish(EARN)),
        outcomes=FAULTS,
        faults=2,
        leaves=1,
        prompt=False,
        about="Cancels that come late, under two operations.",
    ),
    World(
        "large-stall",
        _OURS,
        PAIR,
        (Wish(BALANCE), Wish(EARN)),
        outcomes=(Outcome.RESET, Outcome.FULL),
        faults=2,
        stalls=2,
        about="Two operations, two faults, two stalls.",
    ),
    World(
        "large-must-ask",
        settings(must_ask=True),
        PAIR,
        (Wish(BALANCE), Wish(REDEEM)),
        words=(
            Word(EndpointUpdateKind.FAILED),
            _full(Line(0)),
            _delta(Line(0, EndpointState.DRAINING), Line(1)),
            Word(EndpointUpdateKind.FAILED),
        ),
        outcomes=(Outcome.RESET,),
        faults=1,
        stalls=1,
        about="Discovery fails, tells, and fails again.",
    ),
    World(
        "large-crowd",
        _OURS,
        (Node(),),
        (Wish(BALANCE),) * 4,
        outcomes=(Outcome.FULL, Outcome.RESET),
        faults=2,
        about="Four operations for one node, which takes two at a time.",
    ),
    World(
        "large-short",
        _OURS,
        PAIR,
        (Wish(BALANCE, wait_ms=150.0), Wish(EARN), Wish(REDEEM, wait_ms=400.0)),
        outcomes=FAULTS,
        faults=2,
        about="Clients that wait for less than the aim.",
    ),
    World(
        "large-spreads",
        _OURS,
        PAIR,
        (Wish(BALANCE), Wish(BALANCE)),
        outcomes=FAULTS,
        faults=2,
        lulls_ms=(600.0,),
        spreads=(0.0, 1.0),
        about="Trials at both ends of their spread.",
    ),
)
"""Explored for minutes, outside CI; some of them are bounded."""

WORLDS = {world.name: world for world in (*SMALL, *LARGE)}


def faulty(world: World) -> World:
    """The world for a module that has a fault planted: the reducer may complain."""
    return dataclasses.replace(world, name=f"{world.name}-faulty", complaints=True)
