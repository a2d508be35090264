"""What came of a played day, as the JSON that operators and tools rely on. Pure.

Shares are between 0 and 1, times in the unit of their name. Unless said otherwise a figure covers what was
due (or, where nothing is due, what happened) after the scenario's `settle_s`.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec
from msgspec import Struct, field

WHOLE, CLASS, TEN = 0.7, 0.2, 0.1
"""The weights of the whole day, the worst-served class and the worst 10 s in `Outcome.mark`."""


class Named(Struct, frozen=True):
    """Which scenario: its title, and the name it is called by (its file's)."""

    title: str
    name: str = ""


class Broken(Struct, frozen=True):
    """One breach of a rule."""

    rule: str
    at_ms: float  # since the day began
    operation: str  # its X-Request-Id; empty where it concerns none
    what: str  # a sentence for people


class Expectation(Struct, frozen=True):
    """One of the scenario's expectations."""

    name: str  # the key in the file; for a class's latency "p99_ms balance"
    wanted: float
    got: float | None  # None: there is no such figure, or it never recovered
    met: bool


class ClassService(Struct, frozen=True):
    """A class and its service."""

    name: str
    service: float


class Latency(Struct, frozen=True):
    """Of wishes with a 200, in time or late: from the first try's due time to the 200's last byte, in ms.

    Counted from when the wish was due and not from when it was sent, so that a wait before sending (no
    connection, a stalled sidecar) shows: no coordinated omission. Percentiles are None where `count` is 0.
    """

    count: int
    unserved: int  # wishes that never got a 200; they are in none of the percentiles
    p50: float | None = None
    p90: float | None = None
    p99: float | None = None
    p999: float | None = None
    max: float | None = None


class Answers(Struct, frozen=True):
    """How wishes ended, counted by kind (see `request_table.KINDS`); all kinds together make all wishes."""

    all: dict[str, int]
    by_class: dict[str, dict[str, int]]


class Attempts(Struct, frozen=True):
    """Attempts whose last byte came to a node."""

    total: int
    per_operation: float  # of the operations handed to a sidecar; a client's retry is an operation of its own
    ended: dict[str, int]  # see `measures.ENDS`
    second_copies: int  # handed over while an earlier one was out, as far as nodes can tell


class Connections(Struct, frozen=True):
    """From sidecars to nodes."""

    opened: int
    per_operation: float
    peak_open: int  # at once, all sidecars together, over the whole day


class SidecarFigures(Struct, frozen=True):
    """One sidecar."""

    number: int
    name: str
    asked: int  # wishes
    service: float | None  # None where nothing was asked
    memory_mb: float  # the most, over the whole day; 0 where the ground can't tell
    descriptors: int  # the most
    cpu_s: float  # over the whole day, all its processes together


class Outcome(Struct, kw_only=True):
    """A day's figures and verdict."""

    scenario: Named
    seed: int
    ground: str  # "virtual" or "real"
    variant: str  # of the sidecar
    kept: bool  # no rule was broken
    broken: list[Broken] = field(default_factory=list)
    expectations: list[Expectation] = field(default_factory=list)
    late: bool  # this machine ran late: the figures are void
    service: float  # worth answered in time / worth asked; 0 where nothing was asked
    worst_10s: float  # the lowest over sliding windows of 10 s
    worst_class: ClassService
    mark: float  # 0.7 service + 0.2 worst class + 0.1 worst 10 s
    latency_ms: dict[str, Latency]  # by class
    answers: Answers
    attempts: Attempts
    waste: float  # share of the nodes' work that led to no answer in time; probes are waste
    crossings: float  # share of operations whose first attempt left the sidecar's zone
    connections: Connections
    probes: int
    discovery_calls: int
    sidecars: list[SidecarFigures]
    recovery_s: dict[str, float | None]  # by fault, as "0 crash"; None: not by the day's end
    trace: str  # a hash of all that was exchanged (virtual ground); equal for equal runs
    wall_s: float
    simulated_s: float
    notes: list[str] = field(default_factory=list)

    def break_rules(self, broken: Iterable[Broken]) -> None:
        """Put in what the oracle found, in the order given."""
        self.broken = list(broken)
        self.kept = not self.broken

    @property
    def passed(self) -> bool:
        """Whether the figures hold, no rule was broken and all expectations were met."""
        return self.kept and not self.late and all(one.met for one in self.expectations)


def encode(outcome: Outcome) -> bytes:
    """As indented JSON (RFC 8259) with an end of line."""
    return msgspec.json.format(msgspec.json.encode(outcome), indent=2) + b"\n"


def decode(data: bytes) -> Outcome:
    """An outcome from its JSON; unknown keys are passed over. ValueError where it is none."""
    try:
        return msgspec.json.decode(data, type=Outcome)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise ValueError(f"not a lab's outcome: {error}") from error
