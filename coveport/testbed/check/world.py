"""Small worlds, stated: who asks, who serves, what may happen. And the moves that a path is made of. Pure."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from coveport import balancing

# Numbers that name something, and instants, are told by their size from counters and spans.
START_MS = float(2**30)  # when a world begins; a float beyond half of it is an instant
OPERATION = 1_000_000  # the first operation is one more
NODE = 1_000  # the first ledger node


@dataclass(frozen=True, slots=True)
class Wish:
    """An operation that may come, at any time. Equal wishes are interchangeable."""

    cls: int = 0  # position in the settings' classes
    wait_ms: float = 3000.0  # how long its client waits
    id: str = ""  # what its client calls it; empty: by a name of its own
    repeat: bool = False
    room: bool = True


@dataclass(frozen=True, slots=True)
class Node:
    """A ledger node: where it stands."""

    zone: int = 0
    cell: int = 0


@dataclass(frozen=True, slots=True)
class Line:
    """What discovery says of a node: its state, and which of its starts it means (0: one long ago)."""

    node: int  # position in the world's nodes
    state: balancing.EndpointState = balancing.EndpointState.READY
    birth: int = 0


@dataclass(frozen=True, slots=True)
class Word:
    """Word from discovery. Where it has no lines it is empty; `FAILED` has none."""

    kind: balancing.EndpointUpdateKind
    lines: tuple[Line, ...] = ()


@dataclass(frozen=True, slots=True)
class World:
    """All that may happen. Time passes only to where something is due, or a rule's figure is reached."""

    name: str
    settings: balancing.Settings
    nodes: tuple[Node, ...]
    wishes: tuple[Wish, ...]
    known: Word | None = None  # told at the start; None: all nodes, as cached
    words: tuple[Word, ...] = ()  # told in this order, at any times
    outcomes: tuple[balancing.Outcome, ...] = ()  # of route steps, beside OK and silence
    faults: int = 0  # so many route steps and probes end in those
    leaves: int = 0  # so many clients go away
    reloads: int = 0
    stalls: int = 0  # so often the sidecar sleeps past what was due, until the next thing is
    lulls_ms: tuple[float, ...] = ()  # in this order time may pass so long, where nothing is due
    prompt: bool = True  # a route step given up ends at once; False: in its own time, in any way
    quick_ms: float = 40.0  # an answer takes so long or longer; a refused connect may come at once
    spreads: tuple[float, ...] = (0.5,)  # where in its range a random spread of time may fall, 0 to 1
    grid_ms: float = 1.0  # what is due is due at a multiple of this
    age_ms: float = 100.0  # how long ago a node started that is told of for the first time
    complaints: bool = False  # the module has a fault planted: that the reducer complains is right
    most_timers: int = 0  # so many timers of the module may wait together; 0: any number
    most_twins: int = 0  # so many of them may wait for the same instant; 0: any number
    about: str = field(default="", compare=False)

    def list_known(self) -> Word:
        """The list that is told at the start."""
        return self.known or Word(
            balancing.EndpointUpdateKind.CACHED, tuple(Line(node) for node in range(len(self.nodes)))
        )


# Moves. Operations are numbered from 1 as they come, route steps from 0, nodes by their place in the world.


@dataclass(frozen=True, slots=True)
class Came:
    """An operation comes: the wish of this place."""

    wish: int


@dataclass(frozen=True, slots=True)
class Ended:
    """A route step ends."""

    operation: int
    step: int
    outcome: balancing.Outcome


@dataclass(frozen=True, slots=True)
class Left:
    """The client of an operation goes away."""

    operation: int


@dataclass(frozen=True, slots=True)
class Told:
    """Discovery says its next word."""


@dataclass(frozen=True, slots=True)
class Timer:
    """A timer of the module is due."""

    token: int


@dataclass(frozen=True, slots=True)
class Deadline:
    """The guard of an operation is due."""

    operation: int


@dataclass(frozen=True, slots=True)
class Probed:
    """A probe ends."""

    node: int
    outcome: balancing.Outcome


@dataclass(frozen=True, slots=True)
class Reload:
    """The configuration is read anew."""


@dataclass(frozen=True, slots=True)
class Until:
    """Time passes until then. `asleep`: the sidecar is stalled, and what is due waits."""

    asleep: bool = False


Move = Came | Ended | Left | Told | Timer | Deadline | Probed | Reload | Until
Path = Sequence[tuple[float, Move]]
"""Moves, each with its time in ms since the world began."""
