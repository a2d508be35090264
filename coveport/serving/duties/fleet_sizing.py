"""Computes the nodes that a zone needs for a demand, and a spare for lost zones or regions. Does no I/O."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from math import ceil
from typing import Final

from coveport.serving.model.configuration import Scaling

# A zone is sized so that this part of the zone's slots is in use, spare demand included. The other slots
# allow for random arrivals and for prompts, which are prefilled one after another.
TARGET_OCCUPANCY: Final = 0.65
# Above this occupancy, nodes are added until the occupancy is at the target. The distance between the two
# prevents oscillating orders.
HIGH_OCCUPANCY: Final = 0.95


@dataclass(frozen=True, slots=True)
class ToleratedLosses:
    """Numbers of simultaneous losses that the remaining zones must tolerate."""

    zones: int = 0
    regions: int = 0


def spare_demand(
    zone: str, demands: Mapping[str, float], regions: Mapping[str, str], tolerated: ToleratedLosses
) -> float:
    """Return the demand that moves to a zone with the worst losses to be tolerated.

    The demand of a lost zone moves to the other zones of its region or, where there are none, to all other
    zones; that of a lost region to the zones of all other regions. `demands`: by zone; `regions`: region by
    zone, for at least these zones.
    """
    moved_from_zones = [
        _moved_from_zone(zone, lost, demands, regions) for lost in demands if lost != zone and zone in demands
    ]
    lost_regions = {regions[other] for other in demands} - {regions[zone]}
    moved_from_regions = [_moved_from_region(lost, demands, regions) for lost in lost_regions]
    return max(
        sum(sorted(moved_from_zones, reverse=True)[: tolerated.zones]),
        sum(sorted(moved_from_regions, reverse=True)[: tolerated.regions]),
    )


def _moved_from_zone(zone: str, lost: str, demands: Mapping[str, float], regions: Mapping[str, str]) -> float:
    others = [other for other in demands if other != lost]
    siblings = [other for other in others if regions[other] == regions[lost]]
    receivers = siblings or others
    return demands[lost] / len(receivers) if zone in receivers else 0.0


def _moved_from_region(lost: str, demands: Mapping[str, float], regions: Mapping[str, str]) -> float:
    receivers = [other for other in demands if regions[other] != lost]
    return sum(demand for other, demand in demands.items() if regions[other] == lost) / len(receivers)


def nodes_for(demand: float, slots_per_node: float) -> int:
    """Return the number of nodes that serve a demand at the target occupancy."""
    return ceil(demand / (TARGET_OCCUPANCY * slots_per_node))


def clamp(nodes: int, scaling: Scaling) -> int:
    """Return the number of nodes, limited to the bounds of the service."""
    return max(scaling.min_nodes, min(scaling.max_nodes, nodes))


def exceeds_high_occupancy(demand: float, nodes: int, slots_per_node: float) -> bool:
    """Return whether nodes must be added for a demand."""
    return demand > HIGH_OCCUPANCY * nodes * slots_per_node
