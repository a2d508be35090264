"""Finds the nodes that the control plane allows for a request, and groups them by locality.

`node_selection` filters them further by this proxy's own observations.

This module does no I/O and reads no clock.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from coveport.serving.model.node import NodeState
from coveport.serving.model.view import ControlView, KnownNode


def is_eligible(view: ControlView, known: KnownNode, now_s: float) -> bool:
    """Return whether the control plane allows new requests to the node."""
    return (
        known.node.state is NodeState.ACCEPTING
        and known.node.zone not in view.evacuated_zones
        and known.shutdown_at_s > now_s
    )


def eligible_nodes(
    view: ControlView, service: str, home_regions: frozenset[str], now_s: float
) -> list[KnownNode]:
    """Return the service's nodes that the control plane and the home regions allow.

    Empty `home_regions` allow any region. The nodes are sorted because the order of the view's map depends on
    Python's hash seed, and seeded draws must be repeatable.
    """
    nodes = [
        known
        for known in view.nodes.values()
        if known.node.service == service
        and is_eligible(view, known, now_s)
        and (not home_regions or known.node.region in home_regions)
    ]
    return sorted(nodes, key=lambda known: known.node.incarnation)


@dataclass(frozen=True, slots=True)
class NodesByLocality:
    """Candidates in the proxy's own region, and those in all other regions."""

    local: list[KnownNode] = field(default_factory=list)
    remote: list[KnownNode] = field(default_factory=list)

    def first_usable(self, is_usable: Callable[[KnownNode], bool]) -> list[KnownNode]:
        """Return the usable local nodes or, if there are none, the usable remote nodes."""
        usable = [known for known in self.local if is_usable(known)]
        return usable or [known for known in self.remote if is_usable(known)]


def group_by_locality(nodes: Iterable[KnownNode], region: str) -> NodesByLocality:
    """Group nodes into those of a region and those of all other regions."""
    by_locality = NodesByLocality()
    for known in nodes:
        (by_locality.local if known.node.region == region else by_locality.remote).append(known)
    return by_locality
