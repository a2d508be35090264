"""The control plane's state as received by a proxy's subscription, for its data path."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

import immutables

from coveport.serving.model.configuration import Configuration
from coveport.serving.model.node import Node


@dataclass(frozen=True, slots=True)
class KnownNode:
    """A node with its times on this process' clock (`Net.now_s`)."""

    node: Node
    received_at_s: float  # time of the receipt from a coordinator
    warming_until_s: float  # end of the warm-up; 0.0: the node has warmed up
    shutdown_at_s: float  # announced shutdown time; inf: not announced


# The number of proxies that a proxy assumes until a coordinator sends one; high, so that quotas are too small
# rather than exceeded.
INITIAL_MAX_PROXIES: Final = 32


@dataclass(slots=True)
class ControlView:
    """A view that the subscription updates field by field, and the data path reads at any time.

    `configuration` is never replaced by an older one. `nodes` holds accepting and draining nodes by
    incarnation, without deregistered ones. `listeners` are called without arguments after any change.
    """

    configuration: Configuration | None = None
    evacuated_zones: frozenset[str] = frozenset()
    # Ends of evacuations by zone; the zone's nodes may have to warm up again afterwards.
    evacuation_ended_at_s: dict[str, float] = field(default_factory=dict)
    nodes: immutables.Map[str, KnownNode] = field(default_factory=immutables.Map)
    max_proxies: int = 1  # upper bound of all proxies, including this one and partitioned ones
    listeners: list[Callable[[], None]] = field(default_factory=list)

    def notify_listeners(self) -> None:
        """Call every listener, in the order of registration."""
        for listener in self.listeners:
            listener()
