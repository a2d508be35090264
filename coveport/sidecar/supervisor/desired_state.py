"""The desired state of a host's instances, as stored. Pure.

    state/fleet@NAME    the number of instances, the drained instances, and a rolling restart with its steps

The names of the stored fields are fixed: a field whose attribute has another name declares its stored name.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

import msgspec

from coveport.sidecar.config.operator_sections import Fleet


class RestartPhase(Enum):
    """The phase of a rolling restart."""

    RUNNING = "running"
    HALTED = "halted"  # stopped by a fault; the remaining instances keep running unchanged
    ENDED = "ended"  # cancelled by an operator
    DONE = "done"


RESTART_TRANSITIONS: dict[RestartPhase, frozenset[RestartPhase]] = {
    RestartPhase.RUNNING: frozenset({RestartPhase.HALTED, RestartPhase.ENDED, RestartPhase.DONE}),
    RestartPhase.HALTED: frozenset({RestartPhase.RUNNING, RestartPhase.ENDED}),
    RestartPhase.ENDED: frozenset(),
    RestartPhase.DONE: frozenset(),
}


class RollingRestart(msgspec.Struct, frozen=True):
    """A rolling restart and its steps so far.

    A step is stored before the incarnations that it names are drained, so that a successor of the supervisor
    can continue it.
    """

    order: tuple[str, ...]  # names of the instances, in the order of their restart
    at_once: int = 1
    # The incarnation to be replaced of each instance whose step was taken, by name.
    replaced: dict[str, str] = msgspec.field(default_factory=dict, name="lives")
    phase: RestartPhase = RestartPhase.RUNNING
    reason: str = msgspec.field(default="", name="why")

    def with_phase(self, phase: RestartPhase, reason: str = "") -> RollingRestart:
        """Return the restart in another phase; AssertionError if there is no such transition."""
        if phase not in RESTART_TRANSITIONS[self.phase]:
            raise AssertionError(f"no transition from {self.phase} to {phase}")
        return msgspec.structs.replace(self, phase=phase, reason=reason)

    @property
    def is_open(self) -> bool:
        """Whether the restart is running, or can be resumed."""
        return self.phase in (RestartPhase.RUNNING, RestartPhase.HALTED)

    @property
    def remaining(self) -> tuple[str, ...]:
        """The instances whose step was not taken yet."""
        return tuple(name for name in self.order if name not in self.replaced)


class DesiredState(msgspec.Struct, frozen=True):
    """The instances that should run, and the latest rolling restart, if any."""

    count: int  # number of instances: 1 to `count` should run
    count_in_file: int = msgspec.field(name="told")  # the count last read from the operator's file
    drained: tuple[str, ...] = ()
    restart: RollingRestart | None = None
    last_request_id: str = msgspec.field(default="", name="last")  # id of the last request carried out

    def names(self, fleet: Fleet) -> frozenset[str]:
        """Return the names of the instances that should run."""
        return frozenset(fleet.names(self.count)) - frozenset(self.drained)


@dataclass(frozen=True, slots=True)
class Change:
    """A desired state after a request or step, with a description for operators and the log."""

    desired: DesiredState
    description: str
    is_refused: bool = False  # whether a request was refused; the state is then unchanged


def refusal(desired: DesiredState, reason: str) -> Change:
    """Return the change for a refused request: the same state, with the reason as its description."""
    return Change(desired, f"refused: {reason}", is_refused=True)
