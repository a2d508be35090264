"""Zones, and how far they are from each other. No I/O."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Zone:
    """A zone and the region that it lies in."""

    name: str
    region: str

    def farness(self, other: Zone) -> int:
        """Return 0 for the same zone, 1 for another zone of the same region, 2 for another region."""
        return 0 if self == other else 1 if self.region == other.region else 2


@dataclass(frozen=True, slots=True)
class Delays:
    """One-way network delays, in milliseconds."""

    in_zone_ms: float = 0.1
    between_zones_ms: float = 1.4
    between_regions_ms: float = 12.0
    to_clients_ms: float = 3.0  # between any zone and the clients
