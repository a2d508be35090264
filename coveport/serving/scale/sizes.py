"""How many of what a scale run has, where they stand, and at which loopback addresses. No I/O."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from coveport.serving.simulation.zones import Zone

# Three regions, seven zones; a region may have ten times the nodes of another.
ZONES: Final = (
    Zone("north-a", "north"),
    Zone("north-b", "north"),
    Zone("north-c", "north"),
    Zone("east-a", "east"),
    Zone("east-b", "east"),
    Zone("west-a", "west"),
    Zone("west-b", "west"),
)
NODE_WEIGHTS: Final = (20.0, 20.0, 20.0, 8.0, 8.0, 3.0, 3.0)
PROXY_WEIGHTS: Final = (4.0, 4.0, 4.0, 2.0, 2.0, 1.0, 1.0)
CORE_ZONES: Final = (0, 3, 5, 1, 4, 6)  # zones of the first, second, ... coordinator: regions apart first
SEEDS: Final = 3

COORDINATOR_BLOCK, REAL_PROXY_BLOCK, PROXY_BLOCK, NODE_BLOCK = 0, 1, 10, 100  # third part of an address
PER_BLOCK: Final = 200
FIRST_HOST: Final = 10


@dataclass(frozen=True, slots=True)
class ScaleSize:
    """One size of the system."""

    proxies: int = 9  # hollow ones
    nodes: int = 12
    coordinators: int = 3
    real_proxies: int = 2
    routes: int = 1000
    services: int = 16

    def __post_init__(self) -> None:
        if not SEEDS <= self.coordinators <= len(CORE_ZONES):
            raise ValueError(f"coordinators must be {SEEDS} to {len(CORE_ZONES)}")
        if not 0 < self.proxies <= 800 or not 0 < self.nodes <= 2000 or not 0 <= self.real_proxies <= 7:
            raise ValueError("proxies must be 1 to 800, nodes 1 to 2000, real proxies 0 to 7")
        if self.routes < 1 or self.services < 1:
            raise ValueError("there must be a route and a service")


def spread(count: int, weights: Sequence[float]) -> list[int]:
    """`count` divided by weight, whole and without loss (largest remainders)."""
    total = sum(weights)
    exact = [count * weight / total for weight in weights]
    parts = [int(share) for share in exact]
    by_remainder = sorted(range(len(weights)), key=lambda at: parts[at] - exact[at])
    for at in by_remainder[: count - sum(parts)]:
        parts[at] += 1
    return parts


@dataclass(frozen=True, slots=True)
class Addresses:
    """Loopback addresses of one run: `127.second.x.y`."""

    second: int

    def coordinator(self, number: int) -> str:
        """Of a coordinator."""
        return self._ip(COORDINATOR_BLOCK, number)

    def real_proxy(self, number: int) -> str:
        """Of a proxy that is a process of its own."""
        return self._ip(REAL_PROXY_BLOCK, number)

    def proxy(self, number: int) -> str:
        """Of a hollow proxy; nothing listens there."""
        return self._ip(PROXY_BLOCK, number)

    def node(self, number: int) -> str:
        """Of a hollow node; nothing listens there."""
        return self._ip(NODE_BLOCK, number)

    def _ip(self, block: int, number: int) -> str:
        return f"127.{self.second}.{block + number // PER_BLOCK}.{FIRST_HOST + number % PER_BLOCK}"
