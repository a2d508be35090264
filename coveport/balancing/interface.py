"""The interface of the decision module: settings, events that go in, actions that come out.

Times are milliseconds on the caller's clock, which only has to move forward. Ids are opaque numbers.
Events and actions are made by the hundred each second, so they are slotted; treat them as immutable.
"""

from __future__ import annotations

import sys
from dataclasses import dataclass, field
from enum import Enum, IntEnum
from typing import Protocol


class Effect(Enum):
    """What running a request twice would do."""

    SAFE = "safe"  # may be repeated freely
    KEYED = "keyed"  # repeats are dropped inside a group of hosts, for a while
    UNSAFE = "unsafe"  # must never run twice


class Place(Protocol):
    """Where a host stands."""

    @property
    def zone(self) -> int:
        """Its zone."""

    @property
    def cell(self) -> int:
        """Its cell, unique in its zone."""


class Group(Enum):
    """Which hosts drop the repeats of a keyed request: all, those of one zone, or those of one cell."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"

    def covers(self, one: Place, other: Place) -> bool:
        """Whether two places drop each other's repeats."""
        same_zone = one.zone == other.zone
        return self is Group.ALL or (same_zone and (self is Group.ZONE or one.cell == other.cell))


class State(IntEnum):
    """State of a host in the list."""

    READY = 0
    GONE = 2
    DRAINING = 3


class ListKind(IntEnum):
    """What a list update holds: changes, the whole list, the list as last cached, or word of a failure."""

    DELTA = 0
    FULL = 1
    CACHED = 2
    FAILED = 3


class Outcome(IntEnum):
    """How an attempt ended."""

    OK = 200
    ERROR = 500
    FULL = 503
    TIMEOUT = 504
    CONNECT_FAILED = 502
    RESET = 598
    CANCELLED = 499
    MOOT = 410


NEVER_RAN = frozenset({Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT})
"""The outcomes that prove that the attempt had no effect."""


_MOST = sys.float_info.max  # guards against whole numbers beyond all floats, which JSON may hold


def _positive(**values: float) -> None:
    for key, value in values.items():
        if not 0 < value <= _MOST:
            raise ValueError(f"{key} must be positive and finite, not {value!r}")


def _not_negative(**values: float) -> None:
    for key, value in values.items():
        if not 0 <= value <= _MOST:
            raise ValueError(f"{key} must be finite and not negative, not {value!r}")


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of requests: what it is worth, until when, and whether it may run again."""

    name: str = ""
    aim_ms: float = 1000.0
    deadline_ms: float = 5000.0
    worth: float = 1.0
    late_share: float = 0.0
    aim_stretch: float = 0.0
    effect: Effect = Effect.UNSAFE
    group: Group = Group.ALL
    window_ms: float = 0.0
    stream: bool = False

    def __post_init__(self) -> None:
        _positive(aim_ms=self.aim_ms, deadline_ms=self.deadline_ms)
        _not_negative(
            worth=self.worth,
            late_share=self.late_share,
            window_ms=self.window_ms,
            aim_stretch=self.aim_stretch,
        )

    @property
    def repeats_anywhere(self) -> bool:
        """Whether another attempt at any host whatever, by whomever, does no harm."""
        return self.effect is Effect.SAFE or (self.effect is Effect.KEYED and self.group is Group.ALL)


@dataclass(frozen=True, slots=True)
class Limits:
    """What the site permits."""

    max_attempts: int = 3
    second_copies: bool = False
    cancel: bool = False
    probes: bool = False
    retry_after: bool = False
    max_retry_after_ms: float = 0.0
    connect_timeout_ms: float = 250.0

    def __post_init__(self) -> None:
        _positive(max_attempts=self.max_attempts, connect_timeout_ms=self.connect_timeout_ms)
        _not_negative(max_retry_after_ms=self.max_retry_after_ms)


@dataclass(frozen=True, slots=True)
class Rules:
    """The figures of the rules on answers, drains and cold hosts."""

    answer_slack_ms: float = 0.0
    drain_grace_ms: float = 0.0
    ask_within_ms: float = 10_000.0
    cold_from: float = 0.1
    warm_after_ms: float = 30_000.0
    overload_factor: float = 2.0
    fall_ms: float = 1000.0

    def __post_init__(self) -> None:
        _positive(
            ask_within_ms=self.ask_within_ms,
            cold_from=self.cold_from,
            overload_factor=self.overload_factor,
            fall_ms=self.fall_ms,
        )
        _not_negative(
            answer_slack_ms=self.answer_slack_ms,
            drain_grace_ms=self.drain_grace_ms,
            warm_after_ms=self.warm_after_ms,
        )
        if self.cold_from > 1:
            raise ValueError(f"cold_from must be at most 1, not {self.cold_from!r}")

    def cold_share(self, age_ms: float) -> float:
        """The part of a warm host's capacity that one has which started so long ago, before it is warm."""
        return self.cold_from + (1 - self.cold_from) * max(age_ms, 0.0) / self.warm_after_ms


@dataclass(frozen=True, slots=True)
class Prices:
    """Points taken off the result, each as a fraction of a mean request's worth."""

    cross_zone: float = 0.0
    waste: float = 0.0
    late_fail: float = 0.0
    probe: float = 0.0

    def __post_init__(self) -> None:
        _not_negative(
            cross_zone=self.cross_zone, waste=self.waste, late_fail=self.late_fail, probe=self.probe
        )


@dataclass(frozen=True, slots=True)
class Settings:
    """All that a balancer is told at its start."""

    classes: tuple[RequestClass, ...]
    zone: int = 0
    peers_total: int = 1
    must_ask: bool = False  # the list comes only to those who ask for it
    worth_by_work: bool = False
    tick_ms: float = 1.0
    load_fields: tuple[str, ...] = ()
    limits: Limits = field(default_factory=Limits)
    rules: Rules = field(default_factory=Rules)
    prices: Prices = field(default_factory=Prices)

    def __post_init__(self) -> None:
        if not self.classes:
            raise ValueError("classes must name at least one class")
        _positive(peers_total=self.peers_total, tick_ms=self.tick_ms)


@dataclass(frozen=True, slots=True)
class HostEntry:
    """One line of the host list."""

    host: int
    zone: int = 0
    cell: int = 0
    state: State = State.READY
    weight: float = 1.0
    started_ms: float = 0.0  # 0: long ago


@dataclass(slots=True)
class ListUpdate:
    """Word from discovery."""

    kind: ListKind
    entries: tuple[HostEntry, ...] = ()
    version: int = 0


@dataclass(frozen=True, slots=True)
class Before:
    """An attempt that another balancer made for a request, or this one in an earlier life of it."""

    zone: int
    cell: int
    sent_ms: float  # on this clock, and no later than it was sent
    may_have_run: bool


@dataclass(slots=True)
class Request:
    """A client's request; from here on one final answer is owed."""

    id: int
    deadline_ms: float
    cls: int = 0
    key: int = 0
    cost_ms: float = 0.0  # 0: not known
    tenant: int = 0
    repeat: bool = False
    write: bool = False
    long: bool = False  # it is sent while it comes: an attempt takes its client's time before a host has it
    before: tuple[Before, ...] = ()  # they count as its attempts, and bear the numbers from 0 on


@dataclass(slots=True)
class StreamStarted:
    """A streamed answer has begun; the attempt now belongs to the client."""

    id: int
    attempt: int
    host: int


@dataclass(slots=True)
class Reply:
    """How an attempt ended. `closed`: the client has its answer (or left)."""

    id: int
    attempt: int
    host: int
    outcome: Outcome
    latency_ms: float
    closed: bool
    load: tuple[float, ...] = ()


@dataclass(slots=True)
class Left:
    """The client is gone; nothing more is owed."""

    id: int


@dataclass(slots=True)
class TimerFired:
    """A timer set earlier is due."""

    token: int


@dataclass(slots=True)
class ProbeResult:
    """How a probe ended."""

    host: int
    outcome: Outcome
    latency_ms: float
    load: tuple[float, ...] = ()


@dataclass(slots=True)
class PeerMessage:
    """A message of another balancer. This one keeps to its own view and passes it over."""

    sender: int
    data: bytes


@dataclass(slots=True)
class Retuned:
    """Other settings hold from now on; what came before keeps its class and its limits."""

    settings: Settings


@dataclass(slots=True)
class Granted:
    """A fresh host may be sent so many of ours until then: somebody shares its safe load out."""

    host: int
    count: int
    until_ms: float


Event = (
    Granted
    | Retuned
    | ListUpdate
    | Request
    | StreamStarted
    | Reply
    | Left
    | TimerFired
    | ProbeResult
    | PeerMessage
)


@dataclass(slots=True)
class Send:
    """Start an attempt; attempts of a request are numbered from 0 in this order."""

    id: int
    host: int
    timeout_ms: float


@dataclass(slots=True)
class Cancel:
    """Stop waiting for an attempt."""

    id: int
    attempt: int


@dataclass(slots=True)
class Fail:
    """Final answer: failed; says nothing of the effect."""

    id: int


@dataclass(slots=True)
class Refuse:
    """Final answer: refused; a retry is harmless, after `wait_ms` at best."""

    id: int
    wait_ms: float = 0.0


@dataclass(slots=True)
class SetTimer:
    """Send `TimerFired(token)` after `delay_ms`."""

    delay_ms: float
    token: int


@dataclass(slots=True)
class Probe:
    """Test a host."""

    host: int


@dataclass(slots=True)
class Subscribe:
    """Ask discovery for all changes from now on."""


@dataclass(slots=True)
class FetchList:
    """Ask discovery for the whole list once."""


Action = Send | Cancel | Fail | Refuse | SetTimer | Probe | Subscribe | FetchList
