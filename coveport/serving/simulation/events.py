"""What the stand-ins saw on their sockets, one typed line each, in the order in which it happened. Pure.

The judge and the figures read nothing else. Times are seconds on the clock that all stand-ins of a day share.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TypeVar


class Ending(Enum):
    """How a client's try ended."""

    COMPLETE = "complete"  # a whole answer, whatever its status
    BROKEN = "broken"  # the connection ended before the answer was whole
    UNREACHED = "unreached"  # no connection came up: nothing was sent
    ABANDONED = "abandoned"  # the client gave up
    GARBLED = "garbled"  # what came is no answer, or more came than one


@dataclass(frozen=True, slots=True)
class Event:
    """One event of a stream as a client read it: its number, who wrote it, and its text."""

    number: int
    run: str
    text: str


@dataclass(frozen=True, slots=True)
class TrySent:
    """A client has sent one try of a request, or a prober has sent a probe."""

    at_s: float
    request: str  # the same for all tries of one request
    try_id: str
    method: str
    target: str
    host: str
    body_digest: str
    proxy: str  # address that it was sent to
    client_region: str
    deadline_s: float  # when the client stops waiting
    first_sent_s: float  # of the request's first try
    events_wanted: int  # of the whole stream
    resumes_after: int = 0  # last event that an earlier try brought
    is_probe: bool = False
    kind: str = ""  # of request, for the figures


@dataclass(frozen=True, slots=True)
class TryEnded:
    """What became of a try."""

    at_s: float
    try_id: str
    ending: Ending
    status: int = 0  # 0: no answer began
    stamp: str = ""
    answered_id: str = ""  # the try id that the answer carries
    events: tuple[Event, ...] = ()
    first_event_s: float = 0.0
    longest_pause_s: float = 0.0
    body_digest: str = ""  # of an answer that is no stream
    is_stream: bool = False
    surplus: bool = False  # more came behind the whole answer


@dataclass(frozen=True, slots=True)
class NodeStarted:
    """A node runs: a new incarnation."""

    at_s: float
    incarnation: str
    service: str
    address: str
    zone: str
    region: str


@dataclass(frozen=True, slots=True)
class NodeEnded:
    """A node has ended, by plan or by a crash."""

    at_s: float
    incarnation: str
    planned: bool


@dataclass(frozen=True, slots=True)
class NodeCold:
    """A node is cold from now until then, and bears so many requests a second."""

    at_s: float
    incarnation: str
    until_s: float
    rate: float


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A whole request has reached a node (health checks and reports are not counted)."""

    at_s: float
    incarnation: str
    try_id: str
    method: str
    target: str
    host: str
    body_digest: str
    resumes_after: int = 0


@dataclass(frozen=True, slots=True)
class RequestTurnedAway:
    """A node has refused a request and says that it has not run."""

    at_s: float
    incarnation: str
    try_id: str
    status: int


@dataclass(frozen=True, slots=True)
class RequestRan:
    """A node has begun work on a request."""

    at_s: float
    incarnation: str
    try_id: str
    run: str
    stamp: str
    first_event: int  # number of the first event that this run writes


@dataclass(frozen=True, slots=True)
class RequestFinished:
    """A node is done with a request that ran; `whole`: all events were written to a connection that held."""

    at_s: float
    incarnation: str
    try_id: str
    run: str
    status: int
    whole: bool
    node_broke: bool  # the node itself broke it off


@dataclass(frozen=True, slots=True)
class HeartbeatAnswered:
    """A coordinator has acknowledged what a node said (`closing`, or gone), or a plain heartbeat."""

    at_s: float
    incarnation: str
    state: str  # accepting, closing, gone
    coordinator: str


class Order(Enum):
    """What an operator asks for."""

    PUT = "put"
    PATCH = "patch"
    EVACUATE = "evacuate"
    TAKE_BACK = "take back"
    READ = "read"


class Verdict(Enum):
    """What an operator was answered."""

    ACKNOWLEDGED = "acknowledged"
    REFUSED = "refused"
    UNCLEAR = "unclear"  # no clear answer: it may be in force or may not


@dataclass(frozen=True, slots=True)
class RoutePlace:
    """One route as the judge needs it."""

    host: str
    path_prefix: str
    services: frozenset[str]
    idempotent: bool
    streaming: bool
    homes: frozenset[str]
    timeout_s: float = 0.0


@dataclass(frozen=True, slots=True)
class OrderSent:
    """An operator has begun an order. For configurations: the edition, what it builds on and its routes."""

    at_s: float
    number: int
    order: Order
    edition: int = 0
    based_on: int = 0
    valid: bool = True
    routes: tuple[RoutePlace, ...] = ()
    digest: str = ""  # of the whole configuration that it makes
    zone: str = ""


@dataclass(frozen=True, slots=True)
class OrderEnded:
    """How an order ended. For a reading: the edition and the digest that were read (0: none came)."""

    at_s: float
    number: int
    verdict: Verdict
    status: int = 0
    edition: int = 0
    digest: str = ""


@dataclass(frozen=True, slots=True)
class TroubleBegan:
    """Something is done to a machine, or to the links between machines.

    `machines`: names of those that are not in touch meanwhile; `core`: it makes the core unstable;
    `core_machines`: those of the core that do not run, connected and at full speed; `planned`: a stop
    by SIGTERM and the like.
    """

    at_s: float
    number: int
    kind: str
    machines: tuple[str, ...] = ()
    core: bool = False
    planned: bool = False
    core_machines: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class TroubleEnded:
    """It is over."""

    at_s: float
    number: int


@dataclass(frozen=True, slots=True)
class ProxyStarted:
    """A proxy's process has begun a life."""

    at_s: float
    machine: str
    address: str


Happening = (
    TrySent
    | TryEnded
    | NodeStarted
    | NodeEnded
    | NodeCold
    | RequestArrived
    | RequestTurnedAway
    | RequestRan
    | RequestFinished
    | HeartbeatAnswered
    | OrderSent
    | OrderEnded
    | TroubleBegan
    | TroubleEnded
    | ProxyStarted
)

Line = TypeVar("Line")


@dataclass(slots=True)
class Book:
    """All happenings of a day."""

    lines: list[Happening] = field(default_factory=list)

    def write(self, line: Happening) -> None:
        """Add one."""
        self.lines.append(line)

    def of(self, kind: type[Line]) -> list[Line]:
        """All of one type, in order."""
        return [line for line in self.lines if isinstance(line, kind)]
