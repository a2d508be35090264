"""The phases of the process, from start to exit."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum


class Phase(Enum):
    """A phase of the process."""

    STARTING = "starting"  # there is no endpoint list yet: not ready
    SERVING = "serving"
    LAMEDUCK = "lameduck"  # drained by operators: not ready, serves the clients it has; can rejoin
    DRAINING = "draining"  # graceful shutdown: closes idle connections, still answers requests
    STOPPED = "stopped"


_NEXT = {
    Phase.STARTING: {Phase.SERVING, Phase.DRAINING},
    Phase.SERVING: {Phase.LAMEDUCK, Phase.DRAINING},
    Phase.LAMEDUCK: {Phase.SERVING, Phase.DRAINING},
    Phase.DRAINING: {Phase.STOPPED},
    Phase.STOPPED: set[Phase](),
}


class Lifecycle:
    """The current phase and the listeners for its changes."""

    def __init__(self) -> None:
        self.phase = Phase.STARTING
        self._listeners: list[Callable[[Phase], None]] = []

    @property
    def ready(self) -> bool:
        """Whether the sidecar is ready for clients (readiness)."""
        return self.phase is Phase.SERVING

    def listen(self, listener: Callable[[Phase], None]) -> None:
        """Call `listener` with each new phase."""
        self._listeners.append(listener)

    def enter(self, phase: Phase) -> bool:
        """Enter a phase; return False if there is no transition to it (as for a second SIGTERM)."""
        if phase not in _NEXT[self.phase]:
            return False
        self.phase = phase
        for listener in self._listeners:
            listener(phase)
        return True
