"""Tracks for how long a complete fleet has been observed under load, before nodes may be removed. No I/O."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from math import inf
from typing import Final

from coveport.serving.duties.fleet_observation import FleetObservation, NodeGroup

STABILIZATION_S: Final = 5.0  # complete observations needed for this long before nodes are removed


@dataclass(slots=True)
class FleetStability:
    """Tracks when nodes or observations were last missing."""

    _unstable_at_s: float = inf
    _accepting: dict[NodeGroup, int] = field(default_factory=dict)  # accepting nodes as last observed
    _loaded_since_s: dict[str, float] = field(default_factory=dict)  # first time with demand, by service

    def reset(self, now_s: float) -> None:
        """Restart the stabilization, for a new lease owner or after a stall."""
        self._unstable_at_s = now_s
        self._accepting.clear()
        self._loaded_since_s.clear()

    def record(self, observation: FleetObservation, wanted: Mapping[NodeGroup, int], now_s: float) -> None:
        """Add an observation. `wanted`: the number of nodes ordered for each group."""
        if not observation.is_complete or self._lacks_nodes(observation, wanted):
            self._unstable_at_s = now_s
        self._accepting = {group: fleet.accepting for group, fleet in observation.fleets.items()}
        for group, fleet in observation.fleets.items():
            if fleet.demand:
                self._loaded_since_s.setdefault(group.service, now_s)

    def allows_scale_down(self, service: str, now_s: float) -> bool:
        """Return whether nodes of a service may be removed."""
        stable_since_s = max(self._unstable_at_s, self._loaded_since_s.get(service, inf))
        return now_s - stable_since_s >= STABILIZATION_S

    def _lacks_nodes(self, observation: FleetObservation, wanted: Mapping[NodeGroup, int]) -> bool:
        """Return whether a group has fewer nodes than ordered or, without an order, than observed last."""
        return any(
            _accepting(observation, group) < wanted.get(group, expected)
            for group, expected in {**wanted, **self._accepting}.items()
            if group.service in observation.services
        )


def _accepting(observation: FleetObservation, group: NodeGroup) -> int:
    fleet = observation.fleets.get(group)
    return fleet.accepting if fleet is not None else 0
