"""The acknowledged state that the replication carries: what it holds, and the result of a command."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import Final

from coveport.serving.duties.state import SingletonState
from coveport.serving.model.findings import Finding

# How many changes are recognised when a client sends them again. Older ones get no clear answer
# (`state_machine`), which takes that many further changes while one request is under way.
MAX_APPLIED_CHANGES: Final = 512


@dataclass(frozen=True, slots=True)
class AppliedChange:
    """A change of the configuration that was applied."""

    edition: int  # of the configuration that it made
    digest: bytes  # of its method, the edition it was based on, and its body


@dataclass(frozen=True, slots=True)
class ControlState:
    """What the operators were promised is durable, and what outlives a holder of the duties."""

    configuration_text: bytes | None = None  # JSON of the newest configuration, exactly as it is handed out
    edition: int = 0  # of that configuration; 0: there is none
    evacuated_zones: frozenset[str] = frozenset()
    applied_changes: tuple[AppliedChange, ...] = ()  # the newest `MAX_APPLIED_CHANGES`, oldest first
    singleton_state: SingletonState = SingletonState()  # noqa: RUF009 - frozen


@dataclass(frozen=True, slots=True)
class ChangeResult:
    """The answer to the caller of a command."""

    status: int  # an HTTP status
    edition: int  # in force after the command
    findings: tuple[Finding, ...] = ()


def without_singleton_state(state: ControlState) -> ControlState:
    """Return what proxies need of a state."""
    return replace(state, singleton_state=SingletonState())


def initial_state() -> ControlState:
    """Return the state of a new system: no configuration, no evacuation, no holder."""
    return ControlState()
