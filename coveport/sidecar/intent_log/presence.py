"""One instance's view of which instances are alive, draining or lost.

The module is pure: it does no I/O, and uses no clock or random source of its own.

The view decides only when this instance begins to try a takeover; the comparison of the record's revision
makes a takeover safe. An incarnation that was never seen may be new, so it counts as lost only after one time
to live of a session.
"""

from __future__ import annotations

from enum import Enum


class OwnerStatus(Enum):
    """Status of a record's owner, as far as this instance knows."""

    SELF = "self"
    ALIVE = "alive"
    DRAINING = "draining"  # the owner's session is over; the owner finishes its operations
    LOST = "lost"


class Presence:
    """Incarnations by instance name, from the sessions in the store. `ttl_s`: a session's time to live."""

    def __init__(self, incarnation: str, ttl_s: float) -> None:
        self._own = incarnation
        self._ttl_s = ttl_s
        self._present: dict[str, str] = {}  # incarnations of the instances with a session, by name
        self._absent_since: dict[str, float] = {}  # by incarnation; time in s by this instance's clock
        self._draining_until: dict[str, float] = {}  # by incarnation; time in s by this instance's clock
        self._has_seen_sessions = False

    def add(self, name: str, incarnation: str) -> None:
        """Note that an instance has a session."""
        self._has_seen_sessions = True
        self._present[name] = incarnation
        self._absent_since.pop(incarnation, None)

    def remove(self, now_s: float, name: str) -> str:
        """Note that an instance's session is over; return its incarnation, empty if not known."""
        incarnation = self._present.pop(name, "")
        if incarnation:
            # The session's time to live has already passed.
            self._absent_since[incarnation] = now_s - self._ttl_s
        return incarnation

    def start_drain(self, incarnation: str, until_s: float) -> None:
        """Note that an incarnation drains until `until_s`; only the first call for an incarnation counts."""
        self._draining_until.setdefault(incarnation, until_s)

    def end_drain(self, incarnation: str) -> None:
        """Note that an incarnation has finished draining."""
        self._draining_until.pop(incarnation, None)

    def incarnation_of(self, name: str) -> str:
        """Return the incarnation of an instance; empty if the instance has no session."""
        return self._present.get(name, "")

    @property
    def names(self) -> tuple[str, ...]:
        """The names of the instances that have a session."""
        return tuple(self._present)

    def status_of(self, now_s: float, incarnation: str) -> OwnerStatus:
        """Return the status of an owner; start the time to live of an incarnation that was never seen."""
        if incarnation == self._own:
            return OwnerStatus.SELF
        if incarnation in self._present.values() or not self._has_seen_sessions:
            return OwnerStatus.ALIVE
        if now_s - self._absent_since.setdefault(incarnation, now_s) < self._ttl_s:
            return OwnerStatus.ALIVE
        is_draining = now_s < self._draining_until.get(incarnation, now_s)
        return OwnerStatus.DRAINING if is_draining else OwnerStatus.LOST

    def forget(self, incarnation: str) -> None:
        """Drop an incarnation that owns no open record any more."""
        self._absent_since.pop(incarnation, None)
        self._draining_until.pop(incarnation, None)
