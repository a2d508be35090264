"""Events that a balancer handles.

Times are milliseconds on the caller's clock, which only has to move forward. Ids are opaque numbers.
Events are made by the hundred each second, so they are slotted rather than frozen; treat them as immutable.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from coveport.balancing.settings import Settings


class EndpointState(IntEnum):
    """State of a host, as discovery reports it."""

    READY = 0
    GONE = 2
    DRAINING = 3


class EndpointUpdateKind(IntEnum):
    """What an endpoint update holds: changes, all endpoints, all as last cached, or that asking failed."""

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


@dataclass(frozen=True, slots=True)
class Endpoint:
    """A host, as discovery reports it."""

    host: int
    zone: int = 0
    cell: int = 0
    state: EndpointState = EndpointState.READY
    weight: float = 1.0
    started_ms: float = 0.0  # 0: long ago


@dataclass(slots=True)
class EndpointUpdate:
    """An update from discovery."""

    kind: EndpointUpdateKind
    entries: tuple[Endpoint, ...] = ()
    version: int = 0


@dataclass(frozen=True, slots=True)
class PriorAttempt:
    """An attempt for a request that another balancer made, or this one in an earlier incarnation."""

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
    streams_body: bool = (
        False  # it is sent while it comes: an attempt takes its client's time before a host has it
    )
    prior_attempts: tuple[
        PriorAttempt, ...
    ] = ()  # they count as its attempts, and bear the numbers from 0 on


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
class ClientDisconnected:
    """The client has disconnected: no answer is owed any more."""

    id: int


@dataclass(slots=True)
class TimerFired:
    """A timer set earlier is due."""

    token: int


@dataclass(slots=True)
class HealthCheckResult:
    """How a health check ended."""

    host: int
    outcome: Outcome
    latency_ms: float
    load: tuple[float, ...] = ()


@dataclass(slots=True)
class PeerMessage:
    """A message of another balancer, which this one ignores: it keeps to its own view."""

    sender: int
    data: bytes


@dataclass(slots=True)
class SettingsChanged:
    """Other settings apply from now on; requests that came before keep their class and limits."""

    settings: Settings


@dataclass(slots=True)
class SlowStartGrant:
    """A warming host may be sent `count` requests by this balancer until then.

    The slow-start coordinator shares out what a host can take while it warms up.
    """

    host: int
    count: int
    until_ms: float


Event = (
    SlowStartGrant
    | SettingsChanged
    | EndpointUpdate
    | Request
    | StreamStarted
    | Reply
    | ClientDisconnected
    | TimerFired
    | HealthCheckResult
    | PeerMessage
)
