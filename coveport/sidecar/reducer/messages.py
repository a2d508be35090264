"""What passes between the reducer and the world: inputs, effects, verdicts."""

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
    DOUBLE = "double"  # its id is that of an operation still open


# Inputs.


@dataclass(slots=True)
class OperationReceived:
    """A whole operation has come; from here on one final answer is owed."""

    operation: int
    cls: int
    deadline_ms: float  # on our clock
    repeat: bool = False
    cost_ms: float = 0.0
    room: bool = True  # False: more has come than we can hold
    id: str = ""  # what the client calls it; empty: nothing
    long: bool = False  # its body is still coming: no deadline holds until `BodyReceived`
    before: tuple[
        balancing.PriorAttempt, ...
    ] = ()  # attempts that were made already; they bear the steps from 0 on


@dataclass(slots=True)
class BodyReceived:
    """The last byte of a long operation has come: from here on its time counts."""

    operation: int
    deadline_ms: float  # on our clock


@dataclass(slots=True)
class AttemptSent:
    """The last byte of a long operation was handed over: from here on the destination's time counts."""

    operation: int
    step: int


@dataclass(slots=True)
class AnswerStarted:
    """A long answer begins to come: a good one, as far as can be told."""

    operation: int
    step: int
    answer: Answer


@dataclass(slots=True)
class ClientDisconnected:
    """The client has closed its connection; nothing is owed any more."""

    operation: int


@dataclass(slots=True)
class AttemptEnded:
    """How a route step ended; `answer` is what goes to the client where it was served."""

    operation: int
    step: int
    outcome: balancing.Outcome
    load: tuple[float, ...] = ()
    answer: Answer | None = None


@dataclass(slots=True)
class HealthCheckEnded:
    """How a probe ended."""

    destination: int
    outcome: balancing.Outcome
    latency_ms: float
    load: tuple[float, ...] = ()


@dataclass(slots=True)
class EndpointsUpdated:
    """Word from discovery, or of its failure."""

    update: balancing.EndpointUpdate


@dataclass(slots=True)
class TimerExpired:
    """A timer of the module is due."""

    token: int


@dataclass(slots=True)
class DeadlineExpired:
    """An operation's time is over: whatever went wrong, it is answered now."""

    operation: int


@dataclass(slots=True)
class ConfigurationReloaded:
    """The configuration was read anew. `discovery`: where it is now; None for either: as before."""

    discovery: Address | None
    settings: balancing.Settings | None = None


@dataclass(slots=True)
class SlowStartGranted:
    """A fresh destination may be sent so many operations more for so long."""

    destination: int
    count: int
    lasts_ms: float


@dataclass(slots=True)
class ProcessStalled:
    """We had no CPU for so long, up to now: what was measured over it says nothing of the destinations."""

    lasted_ms: float


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
    """Send the operation to a destination, for so long."""

    operation: int
    step: int
    destination: int
    timeout_ms: float


@dataclass(slots=True)
class CancelAttempt:
    """Give a route step up."""

    operation: int
    step: int


@dataclass(slots=True)
class SendAnswer:
    """Give the client its one final answer."""

    operation: int
    verdict: Verdict
    answer: Answer | None = None
    retry_after_ms: float = 0.0


@dataclass(slots=True)
class StartAnswer:
    """Pass a long answer on to the client as it comes: it is the final one."""

    operation: int
    step: int
    answer: Answer


@dataclass(slots=True)
class EndAnswer:
    """The long answer that was passed on has ended; not `whole`: the client must be able to tell."""

    operation: int
    whole: bool


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
    """Test a destination."""

    destination: int


@dataclass(slots=True)
class RequestEndpoints:
    """Ask discovery: for the whole list once, or for all changes from now on."""

    whole: bool


@dataclass(slots=True)
class SwitchDiscovery:
    """Ask another discovery from now on; the last list holds until it has spoken."""

    discovery: Address


@dataclass(slots=True)
class ReportFault:
    """Log what should not have happened."""

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
