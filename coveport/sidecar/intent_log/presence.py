"""Who of the instances is there, is leaving, or is lost, as far as one of them can tell. Pure.

It decides about nothing but when somebody begins to try a takeover: what makes one safe is the compare of the
record. A name that was never seen may be new, so it is given a time to live before it counts as lost.
"""

from __future__ import annotations

from coveport.sidecar.intent_log.replayed_answers import Owner


class Presence:
    """Incarnations by name, from what stands in the store."""

    def __init__(self, incarnation: str, ttl_s: float) -> None:
        self._ours = incarnation
        self._ttl_s = ttl_s
        self._there: dict[str, str] = {}  # by name
        self._missed: dict[str, float] = {}  # incarnations that are not there, and since when we know
        self._leaving: dict[str, float] = {}  # ... that end what they have, and until when at the most
        self.sighted = False  # whether we have seen who is there at all

    def here(self, name: str, incarnation: str) -> None:
        """Somebody is there."""
        self.sighted = True
        self._there[name] = incarnation
        self._missed.pop(incarnation, None)

    def incarnation(self, name: str) -> str:
        """Whose a name is; empty: nobody's."""
        return self._there.get(name, "")

    def gone(self, now: float, name: str) -> str:
        """A name is there no more; whose it was, empty: nobody's that we knew."""
        incarnation = self._there.pop(name, "")
        if incarnation:
            self._missed[incarnation] = now - self._ttl_s  # it had its time
        return incarnation

    def leaves(self, incarnation: str, until: float) -> None:
        """It ends what it has by then; before that nothing of it is taken."""
        self._leaving.setdefault(incarnation, until)

    def left(self, incarnation: str) -> None:
        """It has handed on what it had."""
        self._leaving.pop(incarnation, None)

    @property
    def names(self) -> tuple[str, ...]:
        """Who is there."""
        return tuple(self._there)

    def of(self, now: float, incarnation: str) -> Owner:
        """What is known of an owner."""
        if incarnation == self._ours:
            return Owner.OURS
        if incarnation in self._there.values() or not self.sighted:
            return Owner.THERE
        if now - self._missed.setdefault(incarnation, now) < self._ttl_s:
            return Owner.THERE
        return Owner.LEAVING if now < self._leaving.get(incarnation, now) else Owner.LOST

    def forget(self, incarnation: str) -> None:
        """Nothing of it is left."""
        self._missed.pop(incarnation, None)
        self._leaving.pop(incarnation, None)
