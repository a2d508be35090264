"""A singleton role: decides what its holder does next. Pure.

A role keeps the state that its successor goes on from under `state/NAME`. Each step is one transaction: it
compares the token and the revision of the state that it was decided on, puts the next state, and makes the
step's changes. So a step is carried out once or not at all, also when another instance takes over midway.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol

from coveport.sidecar.leases.store import Delete, Entry, Put


@dataclass(frozen=True, slots=True)
class Step:
    """One step: the next state, a description for the log, and further changes (keys without the prefix)."""

    state: bytes
    description: str
    changes: tuple[Put | Delete, ...] = ()


@dataclass(frozen=True, slots=True)
class StoredState:
    """A role's state as it stands in the store; without a value, and at revision 0, before the first step."""

    value: bytes | None
    revision: int


class SingletonRole(Protocol):
    """The pure half of a role: decides its next step."""

    name: str
    interval_s: float  # between two decisions

    def decide(self, now: float, state: bytes | None, entries: Mapping[str, Entry]) -> Step | None:
        """Return the next step, or None. `state`: as it stands in the store, None before the first step."""
