"""The acknowledged state, which is replicated, and the result of a command."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import Final

from coveport.serving.duties.state import SingletonState
from coveport.serving.model.findings import Finding

# Number of newest changes that are recognised when a client sends them again. For older changes the client
# gets no definite answer (`state_machine`); this needs as many further changes while the client's request is
# in flight.
MAX_APPLIED_CHANGES: Final = 512


@dataclass(frozen=True, slots=True)
class AppliedChange:
    """A change of the configuration that has been applied."""

    edition: int  # edition of the resulting configuration
    digest: bytes  # digest of the method, the edition that the change is based on, and the body


@dataclass(frozen=True, slots=True)
class ControlState:
    """The changes acknowledged to operators as durable, and the state of the singleton tasks."""

    configuration_text: bytes | None = None  # JSON of the newest configuration, exactly as it is served
    edition: int = 0  # edition of this configuration; 0: no configuration
    evacuated_zones: frozenset[str] = frozenset()
    applied_changes: tuple[AppliedChange, ...] = ()  # the newest `MAX_APPLIED_CHANGES`, oldest first
    singleton_state: SingletonState = SingletonState()  # noqa: RUF009 - frozen


@dataclass(frozen=True, slots=True)
class ChangeResult:
    """The answer to the caller of a command."""

    status: int  # an HTTP status
    edition: int  # edition in force after the command
    findings: tuple[Finding, ...] = ()


def without_singleton_state(state: ControlState) -> ControlState:
    """Return the part of a state that proxies need."""
    return replace(state, singleton_state=SingletonState())


def initial_state() -> ControlState:
    """Return the state of a new system: no configuration, no evacuation, no lease owner."""
    return ControlState()
