"""The state of the control plane that a proxy's data path reads, as its subscription received it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

import immutables

from coveport.serving.model.configuration import Configuration
from coveport.serving.model.node import Node


@dataclass(frozen=True, slots=True)
class KnownNode:
    """A node, with its times on this process' own clock (`Net.now_s`)."""

    node: Node
    received_at_s: float  # when the report came from a coordinator
    warming_until_s: float  # 0.0: it has warmed up
    shutdown_at_s: float  # inf: not announced


# The number of proxies that each of them supposes until a coordinator names one: quotas are small rather than
# exceeded; not measured.
INITIAL_MAX_PROXIES: Final = 32


@dataclass(slots=True)
class ControlView:
    """Replaced field by field by the subscription; read by the data path at any moment.

    `configuration` never goes back to an older one. `nodes` holds accepting and draining nodes by
    incarnation; deregistered ones are removed. `listeners` are called, without arguments, after any change.
    """

    configuration: Configuration | None = None
    evacuated_zones: frozenset[str] = frozenset()
    # By zone: its nodes may have to warm up again after that.
    evacuation_ended_at_s: dict[str, float] = field(default_factory=dict)
    nodes: immutables.Map[str, KnownNode] = field(default_factory=immutables.Map)
    max_proxies: int = 1  # upper bound of the proxies there are: this one and partitioned ones included
    listeners: list[Callable[[], None]] = field(default_factory=list)

    def notify_listeners(self) -> None:
        """Call every listener, in the order of registration."""
        for listener in self.listeners:
            listener()
