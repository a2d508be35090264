"""Interface of a singleton role, which decides on the next step of its holder.

The module is pure: it does no I/O, and uses no clock or random source of its own.

A role stores its state under `state/NAME`; a successor continues from that state. Each step is one
transaction: it compares the fencing token and the revision of the state that the decision was based on, puts
the next state, and makes the step's changes. A step is therefore carried out once or not at all, even if
another instance takes over in between.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol

from coveport.sidecar.leases.store import Delete, Entry, Put


@dataclass(frozen=True, slots=True)
class Step:
    """A step: the next state, a description for the log, and further changes (keys without the prefix)."""

    state: bytes
    description: str
    changes: tuple[Put | Delete, ...] = ()


@dataclass(frozen=True, slots=True)
class StoredState:
    """A role's state in the store; before the first step its value is None and its revision 0."""

    value: bytes | None
    revision: int


class SingletonRole(Protocol):
    """A role's decisions, without I/O."""

    name: str
    interval_s: float  # interval between decisions

    def decide(self, now: float, state: bytes | None, entries: Mapping[str, Entry]) -> Step | None:
        """Return the next step, or None. `state`: the stored state, None before the first step."""
