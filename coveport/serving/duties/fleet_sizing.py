"""How many nodes a zone needs for a demand, with spare for the loss of another zone or region. Pure."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from math import ceil
from typing import Final

from coveport.serving.model.configuration import Scaling

# Part of the slots that a zone is sized for, the spare included. The rest is for the chance of arrivals, and
# for prompts, which are prefilled one after another; not measured.
TARGET_OCCUPANCY: Final = 0.65
# Above it nodes are added, up to the target: far apart, so that orders don't swing.
HIGH_OCCUPANCY: Final = 0.95


@dataclass(frozen=True, slots=True)
class ToleratedLosses:
    """Losses at one time that the rest must bear."""

    zones: int = 0
    regions: int = 0


def spare_demand(
    zone: str, demands: Mapping[str, float], regions: Mapping[str, str], tolerated: ToleratedLosses
) -> float:
    """Return the demand that moves to a zone with the worst losses that must be borne.

    A zone's demand moves to the others of its region, or to all others where it has none; a region's to the
    zones of all others. `demands`: by zone; `regions`: of at least those zones.
    """
    shares_of_zones = [
        _share_of_zone(zone, lost, demands, regions) for lost in demands if lost != zone and zone in demands
    ]
    lost_regions = {regions[other] for other in demands} - {regions[zone]}
    shares_of_regions = [_share_of_region(lost, demands, regions) for lost in lost_regions]
    return max(
        sum(sorted(shares_of_zones, reverse=True)[: tolerated.zones]),
        sum(sorted(shares_of_regions, reverse=True)[: tolerated.regions]),
    )


def _share_of_zone(zone: str, lost: str, demands: Mapping[str, float], regions: Mapping[str, str]) -> float:
    others = [other for other in demands if other != lost]
    siblings = [other for other in others if regions[other] == regions[lost]]
    receivers = siblings or others
    return demands[lost] / len(receivers) if zone in receivers else 0.0


def _share_of_region(lost: str, demands: Mapping[str, float], regions: Mapping[str, str]) -> float:
    receivers = [other for other in demands if regions[other] != lost]
    return sum(demand for other, demand in demands.items() if regions[other] == lost) / len(receivers)


def nodes_for(demand: float, slots_per_node: float) -> int:
    """Return the nodes that hold a demand at the target occupancy."""
    return ceil(demand / (TARGET_OCCUPANCY * slots_per_node))


def clamp(nodes: int, scaling: Scaling) -> int:
    """Return the number of nodes within the bounds of the service."""
    return max(scaling.min_nodes, min(scaling.max_nodes, nodes))


def is_over_high(demand: float, nodes: int, slots_per_node: float) -> bool:
    """Return whether nodes must be added for a demand."""
    return demand > HIGH_OCCUPANCY * nodes * slots_per_node
