"""The named states of a session and of a duty, as one instance sees them, and how each may follow. Pure."""

from __future__ import annotations

from enum import Enum


class Session(Enum):
    """Where an instance stands with the store."""

    OUT = "out"
    ASKING = "asking"  # for a lease
    ARRIVING = "arriving"  # its name is being written down
    IN = "in"
    WARY = "wary"  # nothing new is begun
    LEFT = "left"
    ESTRANGED = "estranged"  # the store went back in time, or is another one


class State(Enum):
    """Where an instance stands with a duty."""

    IDLE = "idle"  # somebody else's, or nobody knows
    WAITING = "waiting"  # nobody's; we come after a wait
    CLAIMING = "claiming"
    UNSURE = "unsure"  # our claim had no answer: it may be ours
    HELD = "held"
    RELEASING = "releasing"


SESSION_MOVES: dict[Session, frozenset[Session]] = {
    Session.OUT: frozenset({Session.ASKING}),
    Session.ASKING: frozenset({Session.ARRIVING, Session.OUT}),
    Session.ARRIVING: frozenset({Session.IN, Session.OUT}),
    Session.IN: frozenset({Session.WARY, Session.OUT}),
    Session.WARY: frozenset({Session.IN, Session.OUT}),
    Session.LEFT: frozenset(),
    Session.ESTRANGED: frozenset(),
}
ENDS = frozenset({Session.LEFT, Session.ESTRANGED})  # reached from anywhere else
MOVES: dict[State, frozenset[State]] = {
    State.IDLE: frozenset({State.WAITING, State.HELD}),
    State.WAITING: frozenset({State.IDLE, State.CLAIMING, State.HELD}),
    State.CLAIMING: frozenset({State.HELD, State.IDLE, State.UNSURE}),
    State.UNSURE: frozenset({State.HELD, State.IDLE, State.WAITING}),
    State.HELD: frozenset({State.RELEASING, State.IDLE}),
    State.RELEASING: frozenset({State.IDLE, State.RELEASING}),
}
