"""Inputs and effects of the reducer, and the verdicts of its answers."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from coveport import balancing
from coveport.net.address import Address
from coveport.sidecar.reducer.operation import Answer


class Verdict(Enum):
    """The verdict of an operation's final answer."""

    SERVED = "served"
    BUSY = "busy"
    FAILED = "failed"
    DUPLICATE = "double"  # the operation has the same id as an open operation


# Inputs.


@dataclass(slots=True)
class OperationReceived:
    """An operation was received; it needs one final answer."""

    operation: int
    cls: int
    deadline_ms: float  # by the sidecar's clock
    repeat: bool = False
    cost_ms: float = 0.0
    is_admitted: bool = True  # False: the client limit is exceeded
    id: str = ""  # the client's request id; may be empty
    long: bool = False  # whether the body is still being received: no deadline applies until `BodyReceived`
    prior_attempts: tuple[balancing.PriorAttempt, ...] = ()  # earlier attempts, numbered from 0


@dataclass(slots=True)
class BodyReceived:
    """The last byte of a long operation was received: its deadline applies from now on."""

    operation: int
    deadline_ms: float  # by the sidecar's clock


@dataclass(slots=True)
class AttemptSent:
    """The last byte of a long operation was sent: the destination's latency counts from now on."""

    operation: int
    step: int


@dataclass(slots=True)
class AnswerStarted:
    """The head of a streamed, successful answer was received."""

    operation: int
    step: int
    answer: Answer


@dataclass(slots=True)
class ClientDisconnected:
    """The client has closed its connection, so its operation needs no answer any more."""

    operation: int


@dataclass(slots=True)
class AttemptEnded:
    """An attempt ended; if it succeeded, `answer` is sent to the client."""

    operation: int
    step: int
    outcome: balancing.Outcome
    load: tuple[float, ...] = ()
    answer: Answer | None = None


@dataclass(slots=True)
class HealthCheckEnded:
    """A health check ended."""

    destination: int
    outcome: balancing.Outcome
    latency_ms: float
    load: tuple[float, ...] = ()


@dataclass(slots=True)
class EndpointsUpdated:
    """Discovery sent an update or failed."""

    update: balancing.EndpointUpdate


@dataclass(slots=True)
class TimerExpired:
    """A timer of the balancer has expired."""

    token: int


@dataclass(slots=True)
class DeadlineExpired:
    """An operation's deadline has passed: an operation without an answer gets one now."""

    operation: int


@dataclass(slots=True)
class ConfigurationReloaded:
    """The configuration was reloaded. `discovery`: its address; None in either field: unchanged."""

    discovery: Address | None
    settings: balancing.Settings | None = None


@dataclass(slots=True)
class SlowStartGranted:
    """The sidecar may send a destination in slow start `count` more operations within `valid_ms`."""

    destination: int
    count: int
    valid_ms: float


@dataclass(slots=True)
class ProcessStalled:
    """The process had no CPU for `duration_ms` up to now; no latency may include that time."""

    duration_ms: float


Input = (
    SlowStartGranted
    | ProcessStalled
    | OperationReceived
    | BodyReceived
    | AttemptSent
    | AnswerStarted
    | ClientDisconnected
    | AttemptEnded
    | HealthCheckEnded
    | EndpointsUpdated
    | TimerExpired
    | DeadlineExpired
    | ConfigurationReloaded
)


# Effects.


@dataclass(slots=True)
class SendAttempt:
    """Send the operation to a destination."""

    operation: int
    step: int
    destination: int
    timeout_ms: float


@dataclass(slots=True)
class CancelAttempt:
    """Cancel an attempt."""

    operation: int
    step: int


@dataclass(slots=True)
class SendAnswer:
    """Send the client the operation's one final answer."""

    operation: int
    verdict: Verdict
    answer: Answer | None = None
    retry_after_ms: float = 0.0


@dataclass(slots=True)
class StartAnswer:
    """Forward a streamed answer to the client as it is received: it is the final answer."""

    operation: int
    step: int
    answer: Answer


@dataclass(slots=True)
class EndAnswer:
    """End a forwarded streamed answer; if it is not `complete`, the client must be able to detect this."""

    operation: int
    complete: bool


@dataclass(slots=True)
class SetTimer:
    """Feed `TimerExpired(token)` after a delay."""

    delay_ms: float
    token: int


@dataclass(slots=True)
class SetDeadlineTimer:
    """Feed `DeadlineExpired` at a time."""

    operation: int
    at_ms: float


@dataclass(slots=True)
class CheckHealth:
    """Send a health check to a destination."""

    destination: int


@dataclass(slots=True)
class RequestEndpoints:
    """Request from discovery the full list once, or else all changes from now on."""

    full: bool


@dataclass(slots=True)
class SwitchDiscovery:
    """Use another discovery from now on; the present list applies until the first list of that discovery."""

    discovery: Address


@dataclass(slots=True)
class ReportFault:
    """Log a fault of this program."""

    text: str


Effect = (
    SendAttempt
    | CancelAttempt
    | SendAnswer
    | StartAnswer
    | EndAnswer
    | SetTimer
    | SetDeadlineTimer
    | CheckHealth
    | RequestEndpoints
    | SwitchDiscovery
    | ReportFault
)
