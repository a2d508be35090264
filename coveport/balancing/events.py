"""Events that a balancer handles.

Times are in milliseconds on the caller's clock, which only has to move forward. Ids are opaque numbers.
Hundreds of events are created each second, so most classes have slots instead of being frozen; treat the
objects as immutable.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from coveport.balancing.settings import Settings


class EndpointState(IntEnum):
    """The state of a host, as discovery reports it."""

    READY = 0
    GONE = 2
    DRAINING = 3


class EndpointUpdateKind(IntEnum):
    """The content of an endpoint update: changes, all endpoints, the last cached list, or a failed call."""

    DELTA = 0
    FULL = 1
    CACHED = 2
    FAILED = 3


class Outcome(IntEnum):
    """The result of an attempt."""

    OK = 200
    ERROR = 500
    FULL = 503
    TIMEOUT = 504
    CONNECT_FAILED = 502
    RESET = 598
    CANCELLED = 499
    MOOT = 410  # the attempt was given up before the request was sent


NEVER_RAN = frozenset({Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT})
"""The outcomes which prove that the attempt had no effect."""


@dataclass(frozen=True, slots=True)
class Endpoint:
    """A host, as discovery reports it."""

    host: int
    zone: int = 0
    cell: int = 0
    state: EndpointState = EndpointState.READY
    weight: float = 1.0
    started_ms: float = 0.0  # start time; 0: not reported, so the host is presumed to have started long ago


@dataclass(slots=True)
class EndpointUpdate:
    """An update from discovery."""

    kind: EndpointUpdateKind
    entries: tuple[Endpoint, ...] = ()
    version: int = 0


@dataclass(frozen=True, slots=True)
class PriorAttempt:
    """An attempt of a request by another balancer, or by an earlier incarnation of this balancer."""

    zone: int
    cell: int
    sent_ms: float  # a lower bound of the time when it was sent, on this balancer's clock
    may_have_run: bool


@dataclass(slots=True)
class Request:
    """A client's request, to which the balancer owes one final answer."""

    id: int
    deadline_ms: float
    cls: int = 0
    key: int = 0
    cost_ms: float = 0.0  # hint of the request's service time; 0: no hint
    tenant: int = 0
    repeat: bool = False  # whether the request is the client's retry of an earlier request
    write: bool = False
    # Whether the body is forwarded while the client sends it: an attempt then takes as long as the client.
    streams_body: bool = False
    # Earlier attempts, which count as attempts of this request and are numbered from 0.
    prior_attempts: tuple[PriorAttempt, ...] = ()


@dataclass(slots=True)
class StreamStarted:
    """The start of a streamed answer, which is passed to the client from now on."""

    id: int
    attempt: int
    host: int


@dataclass(slots=True)
class Reply:
    """The end of an attempt. `closed`: the client has its answer or has disconnected."""

    id: int
    attempt: int
    host: int
    outcome: Outcome
    latency_ms: float
    closed: bool
    load: tuple[float, ...] = ()


@dataclass(slots=True)
class ClientDisconnected:
    """The disconnection of a client, to which no answer is owed any more."""

    id: int


@dataclass(slots=True)
class TimerFired:
    """The expiry of a timer."""

    token: int


@dataclass(slots=True)
class HealthCheckResult:
    """The result of a health check."""

    host: int
    outcome: Outcome
    latency_ms: float
    load: tuple[float, ...] = ()


@dataclass(slots=True)
class PeerMessage:
    """A message from another balancer. It is ignored: each balancer decides by its own view."""

    sender: int
    data: bytes


@dataclass(slots=True)
class SettingsChanged:
    """New settings; earlier requests keep the class and limits under which they arrived."""

    settings: Settings


@dataclass(slots=True)
class SlowStartGrant:
    """The permission to send `count` requests to a host that is warming up, until `until_ms`.

    The slow-start coordinator divides the capacity of such a host among the balancers.
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
