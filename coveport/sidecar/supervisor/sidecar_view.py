"""The interface of a sidecar that its instance's agent uses."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from coveport import balancing
from coveport.sidecar.reducer import messages as core
from coveport.sidecar.telemetry.counters import Counters


class SidecarView(Protocol):
    """The part of the sidecar that the agent reads and controls."""

    counters: Counters

    @property
    def settings(self) -> balancing.Settings:
        """The present settings."""

    def set_endpoints_listener(self, listener: Callable[[Any, bool], None], /) -> None:
        """Set the listener that receives each endpoint list or update, and whether it is a complete list."""

    def feed(self, item: core.Input) -> None:
        """Pass an input to the reducer."""

    def in_slow_start(self) -> dict[int, tuple[int, float]]:
        """Return the zone, and the age in ms, of each destination in slow start, by number."""

    def ejected(self) -> dict[int, float]:
        """Return for how long each ejected destination has been ejected, ms, by number."""

    def set_peer_count(self, peer_count: int) -> None:
        """Set the number of instances that share the destinations."""
