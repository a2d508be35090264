"""What of a sidecar its instance's agent reads and tells it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from coveport import balancing
from coveport.sidecar.reducer import messages as core
from coveport.sidecar.telemetry.counters import Counters


class SidecarView(Protocol):
    """The part of the sidecar's effects that the agent uses."""

    counters: Counters

    @property
    def settings(self) -> balancing.Settings:
        """The present settings."""

    def set_endpoints_listener(self, listener: Callable[[Any, bool], None], /) -> None:
        """Pass on each endpoint list or update, and whether it is a complete list."""

    def feed(self, item: core.Input) -> None:
        """Give the reducer an input."""

    def in_slow_start(self) -> dict[int, tuple[int, float]]:
        """Return the destinations in slow start: zone, and age in ms."""

    def ejected(self) -> dict[int, float]:
        """Return the ejected destinations: for how long, ms."""

    def set_peer_count(self, peer_count: int) -> None:
        """Set how many instances share the destinations."""
