"""Since when the holder has seen all of a settled fleet under load: only then may nodes be let go. Pure."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from math import inf
from typing import Final

from coveport.serving.duties.fleet_observation import FleetObservation, FleetSubject

QUIET_S: Final = 5.0  # so long nothing may have been missing before nodes are let go; not measured


@dataclass(slots=True)
class FleetStability:
    """Remembers when something was missing last."""

    _unstable_at_s: float = inf
    _accepting: dict[FleetSubject, int] = field(default_factory=dict)  # at the last look
    _loaded_since_s: dict[str, float] = field(default_factory=dict)  # by service

    def reset(self, now_s: float) -> None:
        """Begin anew: as another holder, or after a stall."""
        self._unstable_at_s = now_s
        self._accepting.clear()
        self._loaded_since_s.clear()

    def record(self, observation: FleetObservation, wanted: Mapping[FleetSubject, int], now_s: float) -> None:
        """Take an observation. `wanted`: the orders in force."""
        if not observation.is_complete or self._lacks_nodes(observation, wanted):
            self._unstable_at_s = now_s
        self._accepting = {subject: fleet.accepting for subject, fleet in observation.fleets.items()}
        for subject, fleet in observation.fleets.items():
            if fleet.demand:
                self._loaded_since_s.setdefault(subject.service, now_s)

    def allows_fewer(self, service: str, now_s: float) -> bool:
        """Return whether nodes of a service may be let go."""
        since_s = max(self._unstable_at_s, self._loaded_since_s.get(service, inf))
        return now_s - since_s >= QUIET_S

    def _lacks_nodes(self, observation: FleetObservation, wanted: Mapping[FleetSubject, int]) -> bool:
        """Return whether a zone has fewer nodes than ordered or, without an order, than at the last look."""
        return any(
            _accepting(observation, subject) < wanted.get(subject, before)
            for subject, before in {**wanted, **self._accepting}.items()
            if subject.service in observation.services
        )


def _accepting(observation: FleetObservation, subject: FleetSubject) -> int:
    fleet = observation.fleets.get(subject)
    return fleet.accepting if fleet is not None else 0
