"""Typed events that the emulated clients, nodes and operators observed, in order of time. No I/O.

The event log is the only input of the judge and the statistics. All times are seconds on one clock, which
runs for the whole day.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TypeVar


class Ending(Enum):
    """How an attempt of a client ended."""

    COMPLETE = "complete"  # a complete answer, with any status
    BROKEN = "broken"  # the connection ended before the answer was complete
    UNREACHED = "unreached"  # no connection could be opened: nothing was sent
    ABANDONED = "abandoned"  # the client gave up
    GARBLED = "garbled"  # the received bytes are not a valid answer, or are several answers


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One event of a stream as a client read it: its number, the run that wrote it, and its text."""

    number: int
    run: str
    text: str


@dataclass(frozen=True, slots=True)
class AttemptStarted:
    """A client has sent one attempt of a request.

    `is_direct`: a check of the configuration sent to a given proxy, without a lookup.
    """

    at_s: float
    request: str  # the same for all attempts of one request
    attempt_id: str
    method: str
    target: str
    host: str
    body_digest: str
    proxy: str  # address of the proxy that the attempt was sent to
    client_region: str
    deadline_s: float  # time at which the client gives up
    request_started_s: float  # start of the request's first attempt
    events_wanted: int  # number of events in the complete stream
    resumes_after: int = 0  # number of the last event that an earlier attempt received
    is_direct: bool = False
    kind: str = ""  # name of the kind of request, by which the statistics group
    api_key: str = ""  # empty: the request carries no key


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt has ended."""

    at_s: float
    attempt_id: str
    ending: Ending
    status: int = 0  # HTTP status; 0: no head of an answer was received
    stamp: str = ""
    answered_id: str = ""  # attempt id in the answer
    events: tuple[StreamEvent, ...] = ()
    first_event_s: float = 0.0
    longest_inter_token_s: float = 0.0
    body_digest: str = ""  # digest of an answer that is not a stream
    is_stream: bool = False
    surplus: bool = False  # bytes followed the complete answer


@dataclass(frozen=True, slots=True)
class NodeStarted:
    """A new incarnation of a node has started."""

    at_s: float
    incarnation: str
    service: str
    address: str
    zone: str
    region: str


@dataclass(frozen=True, slots=True)
class NodeEnded:
    """A node has ended, by a planned shutdown or a crash."""

    at_s: float
    incarnation: str
    planned: bool


@dataclass(frozen=True, slots=True)
class WarmUpBegan:
    """A node warms up until `until_s`; meanwhile it can serve `rate` requests per second."""

    at_s: float
    incarnation: str
    until_s: float
    rate: float


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A complete request has reached a node (health checks and reports are not counted)."""

    at_s: float
    incarnation: str
    attempt_id: str
    method: str
    target: str
    host: str
    body_digest: str
    resumes_after: int = 0
    tenant: str = ""  # tenant in the request's header
    api_key: str = ""  # API key that the request still carries


@dataclass(frozen=True, slots=True)
class RequestRejected:
    """A node has rejected a request, which guarantees that the request has not run."""

    at_s: float
    incarnation: str
    attempt_id: str
    status: int


@dataclass(frozen=True, slots=True)
class RequestRan:
    """A node has begun to process a request."""

    at_s: float
    incarnation: str
    attempt_id: str
    run: str
    stamp: str
    first_event: int  # number of the first event that this run writes


@dataclass(frozen=True, slots=True)
class RequestFinished:
    """A node has ended the processing of a request; `complete`: all events were written."""

    at_s: float
    incarnation: str
    attempt_id: str
    run: str
    status: int
    complete: bool
    node_broke: bool  # the node itself aborted the answer


@dataclass(frozen=True, slots=True)
class HeartbeatAnswered:
    """A coordinator has acknowledged a heartbeat of a node, with the state that it reported."""

    at_s: float
    incarnation: str
    state: str  # accepting, closing, gone
    coordinator: str


class Order(Enum):
    """The kind of an operator's order."""

    PUT = "put"
    PATCH = "patch"
    EVACUATE = "evacuate"
    TAKE_BACK = "take back"
    READ = "read"


class Verdict(Enum):
    """The outcome of an order."""

    ACKNOWLEDGED = "acknowledged"
    REFUSED = "refused"
    UNCLEAR = "unclear"  # no conclusive answer: the order may or may not be in force


@dataclass(frozen=True, slots=True)
class JudgedRoute:
    """The properties of a route that the judge reads."""

    host: str
    path_prefix: str
    services: frozenset[str]
    idempotent: bool
    streaming: bool
    homes: frozenset[str]
    timeout_s: float = 0.0
    public: bool = False


@dataclass(frozen=True, slots=True)
class JudgedTenant:
    """The properties of a tenant that the judge reads."""

    name: str
    api_keys: frozenset[str]
    homes: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class OrderStarted:
    """An operator has begun an order.

    An order that changes the configuration has the new edition, the edition it is based on, the routes, and
    the tenants if there are any.
    """

    at_s: float
    number: int
    order: Order
    edition: int = 0
    based_on: int = 0
    valid: bool = True
    routes: tuple[JudgedRoute, ...] = ()
    digest: str = ""  # digest of the resulting configuration
    zone: str = ""
    tenants: tuple[JudgedTenant, ...] | None = None  # None: requests need no key


@dataclass(frozen=True, slots=True)
class OrderEnded:
    """An order has ended; a read has the edition (0: none) and the digest that were read."""

    at_s: float
    number: int
    verdict: Verdict
    status: int = 0
    edition: int = 0
    digest: str = ""


@dataclass(frozen=True, slots=True)
class FaultBegan:
    """A fault was injected into machines, or into the links between them.

    `machines`: names of the machines that are out of touch during the fault; `core`: the fault makes the core
    unstable; `core_machines`: machines of the core that are stopped, disconnected or slowed by the fault;
    `planned`: an orderly stop, such as by SIGTERM.
    """

    at_s: float
    number: int
    kind: str
    machines: tuple[str, ...] = ()
    core: bool = False
    planned: bool = False
    core_machines: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class FaultEnded:
    """A fault is over."""

    at_s: float
    number: int


@dataclass(frozen=True, slots=True)
class ProxyStarted:
    """A new incarnation of a proxy has started."""

    at_s: float
    machine: str
    address: str


LoggedEvent = (
    AttemptStarted
    | AttemptEnded
    | NodeStarted
    | NodeEnded
    | WarmUpBegan
    | RequestArrived
    | RequestRejected
    | RequestRan
    | RequestFinished
    | HeartbeatAnswered
    | OrderStarted
    | OrderEnded
    | FaultBegan
    | FaultEnded
    | ProxyStarted
)

LoggedType = TypeVar("LoggedType")


@dataclass(slots=True)
class EventLog:
    """All events of a day, in order of time."""

    entries: list[LoggedEvent] = field(default_factory=list)

    def write(self, entry: LoggedEvent) -> None:
        """Append an event."""
        self.entries.append(entry)

    def of(self, kind: type[LoggedType]) -> list[LoggedType]:
        """Return all events of one type, in order."""
        return [entry for entry in self.entries if isinstance(entry, kind)]
