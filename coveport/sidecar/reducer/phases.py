"""The phases of the program, from start to exit."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum


class Phase(Enum):
    """Where the program is in its life."""

    STARTING = "starting"  # no list yet: not ready
    SERVING = "serving"
    LAMEDUCK = "lameduck"  # drained by staff: takes no new clients, serves those it has; there is a way back
    DRAINING = "draining"  # told to stop: serves on, then closes what is idle and ends what it owes
    STOPPED = "stopped"


_NEXT = {
    Phase.STARTING: {Phase.SERVING, Phase.DRAINING},
    Phase.SERVING: {Phase.LAMEDUCK, Phase.DRAINING},
    Phase.LAMEDUCK: {Phase.SERVING, Phase.DRAINING},
    Phase.DRAINING: {Phase.STOPPED},
    Phase.STOPPED: set[Phase](),
}


class Lifecycle:
    """The current phase and who wants to hear of a change."""

    def __init__(self) -> None:
        self.phase = Phase.STARTING
        self._listeners: list[Callable[[Phase], None]] = []

    @property
    def ready(self) -> bool:
        """Whether the application may begin to send."""
        return self.phase is Phase.SERVING

    def listen(self, listener: Callable[[Phase], None]) -> None:
        """Call `listener` with each new phase."""
        self._listeners.append(listener)

    def enter(self, phase: Phase) -> bool:
        """Go to a phase; False where that is no step from here (a second SIGTERM, say)."""
        if phase not in _NEXT[self.phase]:
            return False
        self.phase = phase
        for listener in self._listeners:
            listener(phase)
        return True
