"""Inputs and effects of the reducer, and the verdicts of its answers."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from coveport import balancing
from coveport.net.address import Address
from coveport.sidecar.reducer.operation import Answer


class Verdict(Enum):
    """How an operation is answered."""

    SERVED = "served"
    BUSY = "busy"
    FAILED = "failed"
    DUPLICATE = "double"  # its id is that of an operation still open


# Inputs.


@dataclass(slots=True)
class OperationReceived:
    """An operation was received; from here on one final answer is owed."""

    operation: int
    cls: int
    deadline_ms: float  # on our clock
    repeat: bool = False
    cost_ms: float = 0.0
    is_admitted: bool = True  # False: beyond the capacity for clients
    id: str = ""  # the client's request id; may be empty
    long: bool = False  # its body is still coming: no deadline holds until `BodyReceived`
    prior_attempts: tuple[
        balancing.PriorAttempt, ...
    ] = ()  # attempts made already; they have the numbers from 0 on


@dataclass(slots=True)
class BodyReceived:
    """The last byte of a long operation was received: its deadline holds from here on."""

    operation: int
    deadline_ms: float  # on our clock


@dataclass(slots=True)
class AttemptSent:
    """The last byte of a long operation was sent: the destination's latency counts from here on."""

    operation: int
    step: int


@dataclass(slots=True)
class AnswerStarted:
    """The head of a long, successful answer was received."""

    operation: int
    step: int
    answer: Answer


@dataclass(slots=True)
class ClientDisconnected:
    """The client has closed its connection; no answer is owed any more."""

    operation: int


@dataclass(slots=True)
class AttemptEnded:
    """An attempt ended; `answer` goes to the client where it succeeded."""

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
    """Discovery sent an update, or failed."""

    update: balancing.EndpointUpdate


@dataclass(slots=True)
class TimerExpired:
    """A timer of the balancer has expired."""

    token: int


@dataclass(slots=True)
class DeadlineExpired:
    """An operation's deadline has passed: whatever went wrong, it is answered now."""

    operation: int


@dataclass(slots=True)
class ConfigurationReloaded:
    """The configuration was read again. `discovery`: its address; None for either: unchanged."""

    discovery: Address | None
    settings: balancing.Settings | None = None


@dataclass(slots=True)
class SlowStartGranted:
    """A destination in slow start may be sent `count` operations more within `valid_ms`."""

    destination: int
    count: int
    valid_ms: float


@dataclass(slots=True)
class ProcessStalled:
    """The process had no CPU for `duration_ms` up to now, to be left out of all latencies."""

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
    """Send the client its one final answer."""

    operation: int
    verdict: Verdict
    answer: Answer | None = None
    retry_after_ms: float = 0.0


@dataclass(slots=True)
class StartAnswer:
    """Forward a long answer to the client as it is received: it is the final one."""

    operation: int
    step: int
    answer: Answer


@dataclass(slots=True)
class EndAnswer:
    """End the long answer that was forwarded; not `complete`: the client must see that it was cut."""

    operation: int
    complete: bool


@dataclass(slots=True)
class SetTimer:
    """Feed `TimerExpired(token)` after this long."""

    delay_ms: float
    token: int


@dataclass(slots=True)
class SetDeadlineTimer:
    """Feed `DeadlineExpired` then."""

    operation: int
    at_ms: float


@dataclass(slots=True)
class CheckHealth:
    """Send a health check to a destination."""

    destination: int


@dataclass(slots=True)
class RequestEndpoints:
    """Request from discovery the complete list once, or all changes from now on."""

    full: bool


@dataclass(slots=True)
class SwitchDiscovery:
    """Use another discovery from now on; the last list holds until its first one."""

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
