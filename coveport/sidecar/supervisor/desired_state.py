"""The desired state of a host's instances, as it stands in the store. Pure.

    state/fleet@NAME    the number of instances, the drained ones, and a rolling restart with its steps

The names of the stored fields are fixed: a field whose attribute is named otherwise gives its stored name.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

import msgspec

from coveport.sidecar.config.operator_sections import Fleet


class RestartPhase(Enum):
    """The phase of a rolling restart."""

    RUNNING = "running"
    HALTED = "halted"  # by a fault; instances that were not reached keep running as they are
    ENDED = "ended"  # given up by the operators
    DONE = "done"


RESTART_TRANSITIONS: dict[RestartPhase, frozenset[RestartPhase]] = {
    RestartPhase.RUNNING: frozenset({RestartPhase.HALTED, RestartPhase.ENDED, RestartPhase.DONE}),
    RestartPhase.HALTED: frozenset({RestartPhase.RUNNING, RestartPhase.ENDED}),
    RestartPhase.ENDED: frozenset(),
    RestartPhase.DONE: frozenset(),
}


class RollingRestart(msgspec.Struct, frozen=True):
    """A rolling restart and its steps so far.

    A step stands in the store before the incarnations that it names are drained, so that a successor of the
    supervisor carries it on.
    """

    order: tuple[str, ...]  # names of instances
    at_once: int = 1
    # Of each instance whose step was taken: the incarnation to be replaced.
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
        """Whether it runs, or may be resumed."""
        return self.phase in (RestartPhase.RUNNING, RestartPhase.HALTED)

    @property
    def remaining(self) -> tuple[str, ...]:
        """The instances whose step was not taken yet."""
        return tuple(name for name in self.order if name not in self.replaced)


class DesiredState(msgspec.Struct, frozen=True):
    """Which instances should run, and the rolling restart if there was one."""

    count: int  # instances 1 to `count`
    count_in_file: int = msgspec.field(name="told")  # as last read from the operator's file
    drained: tuple[str, ...] = ()
    restart: RollingRestart | None = None
    last_request_id: str = msgspec.field(default="", name="last")  # the last request that was carried out

    def names(self, fleet: Fleet) -> frozenset[str]:
        """Return the names of the instances that should run."""
        return frozenset(fleet.names(self.count)) - frozenset(self.drained)


@dataclass(frozen=True, slots=True)
class Change:
    """A desired state after a request or step, with a description for operators and the log."""

    desired: DesiredState
    description: str
    is_refused: bool = False  # the state is as before


def refusal(desired: DesiredState, reason: str) -> Change:
    """Return the answer to a request that is not carried out."""
    return Change(desired, f"refused: {reason}", is_refused=True)
