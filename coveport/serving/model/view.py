"""What a proxy has been told by the control plane: what its data path reads, and nothing more."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import immutables

from coveport.serving.model.configuration import Configuration
from coveport.serving.model.node import Node


@dataclass(frozen=True, slots=True)
class KnownNode:
    """A node with its times on this process' own clock (`Net.now_s`)."""

    node: Node
    received_at_s: float  # when a coordinator told us this
    warming_until_s: float  # cold before that; 0.0: not cold
    shutdown_at_s: float  # gone from then on; inf: not told


@dataclass(slots=True)
class ControlView:
    """Replaced field by field by the subscription; read by the data path at any moment.

    `configuration` never goes back to an older one. `nodes` holds accepting and closing nodes by incarnation;
    those gone are removed. `listeners` are called, without arguments, after any change.
    """

    configuration: Configuration | None = None
    evacuated_zones: frozenset[str] = frozenset()
    evacuation_ended_at_s: dict[str, float] = field(default_factory=dict)  # by zone: its nodes may be cold
    nodes: immutables.Map[str, KnownNode] = field(default_factory=immutables.Map)
    max_proxies: int = 1  # how many proxies there may be by now, ourselves included, cut off ones too
    listeners: list[Callable[[], None]] = field(default_factory=list)

    def notify_listeners(self) -> None:
        """Call every listener, in the order of registration."""
        for listener in self.listeners:
            listener()
