"""Which instances are alive, draining or lost, as far as one of them can tell. Pure.

It decides only when somebody begins to try a takeover: what makes a takeover safe is the compare of the
record's revision. An incarnation that was never seen may be new, so it gets one time to live before it counts
as lost.
"""

from __future__ import annotations

from enum import Enum


class OwnerStatus(Enum):
    """What is known of a record's owner."""

    SELF = "self"
    ALIVE = "alive"
    DRAINING = "draining"  # its session is over; it finishes its operations
    LOST = "lost"


class Presence:
    """Incarnations by instance name, from the sessions in the store. `ttl_s`: of a session."""

    def __init__(self, incarnation: str, ttl_s: float) -> None:
        self._own = incarnation
        self._ttl_s = ttl_s
        self._present: dict[str, str] = {}  # incarnations by name
        self._absent_since: dict[str, float] = {}  # by incarnation, own clock in s
        self._draining_until: dict[str, float] = {}  # by incarnation, own clock in s
        self._has_seen_sessions = False  # whether any was seen at all

    def add(self, name: str, incarnation: str) -> None:
        """Note that an instance has a session."""
        self._has_seen_sessions = True
        self._present[name] = incarnation
        self._absent_since.pop(incarnation, None)

    def remove(self, now_s: float, name: str) -> str:
        """Note that a session is over; return its incarnation, empty where it was not known."""
        incarnation = self._present.pop(name, "")
        if incarnation:
            self._absent_since[incarnation] = now_s - self._ttl_s  # its session has had its time to live
        return incarnation

    def start_drain(self, incarnation: str, until_s: float) -> None:
        """Note that an incarnation finishes its operations by then; the first note stands."""
        self._draining_until.setdefault(incarnation, until_s)

    def end_drain(self, incarnation: str) -> None:
        """Note that an incarnation is through with draining."""
        self._draining_until.pop(incarnation, None)

    def incarnation_of(self, name: str) -> str:
        """Return the incarnation under a name; empty: none."""
        return self._present.get(name, "")

    @property
    def names(self) -> tuple[str, ...]:
        """The instances that have a session."""
        return tuple(self._present)

    def status_of(self, now_s: float, incarnation: str) -> OwnerStatus:
        """Return what is known of an owner; starts the time to live of one that was never seen."""
        if incarnation == self._own:
            return OwnerStatus.SELF
        if incarnation in self._present.values() or not self._has_seen_sessions:
            return OwnerStatus.ALIVE
        if now_s - self._absent_since.setdefault(incarnation, now_s) < self._ttl_s:
            return OwnerStatus.ALIVE
        is_draining = now_s < self._draining_until.get(incarnation, now_s)
        return OwnerStatus.DRAINING if is_draining else OwnerStatus.LOST

    def forget(self, incarnation: str) -> None:
        """Drop an incarnation of which no record is left."""
        self._absent_since.pop(incarnation, None)
        self._draining_until.pop(incarnation, None)
