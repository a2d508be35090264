"""The size of a scale run, and the zones and loopback addresses of its processes. No I/O."""

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
CORE_ZONES: Final = (
    0,
    3,
    5,
    1,
    4,
    6,
)  # index in ZONES of each coordinator's zone; the first ones in distinct regions
SEEDS: Final = 3

COORDINATOR_BLOCK, REAL_PROXY_BLOCK, PROXY_BLOCK, NODE_BLOCK = 0, 1, 10, 100  # first value of the third octet
PER_BLOCK: Final = 200  # hosts for each value of the third octet
FIRST_HOST: Final = 10  # first value of the fourth octet


@dataclass(frozen=True, slots=True)
class ScaleSize:
    """The numbers of processes, routes and services of the system."""

    proxies: int = 9  # hollow proxies
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
    """Divide `count` by weight into whole numbers with the same sum (largest remainders)."""
    total = sum(weights)
    exact = [count * weight / total for weight in weights]
    parts = [int(exact_part) for exact_part in exact]
    by_remainder = sorted(range(len(weights)), key=lambda index: parts[index] - exact[index])
    for index in by_remainder[: count - sum(parts)]:
        parts[index] += 1
    return parts


@dataclass(frozen=True, slots=True)
class Addresses:
    """Loopback addresses of one run: `127.second_octet.x.y`."""

    second_octet: int

    def coordinator(self, number: int) -> str:
        """Return the address of a coordinator."""
        return self._ip(COORDINATOR_BLOCK, number)

    def real_proxy(self, number: int) -> str:
        """Return the address of a real proxy, which is a separate process."""
        return self._ip(REAL_PROXY_BLOCK, number)

    def proxy(self, number: int) -> str:
        """Return the address of a hollow proxy; nothing listens there."""
        return self._ip(PROXY_BLOCK, number)

    def node(self, number: int) -> str:
        """Return the address of a hollow node; nothing listens there."""
        return self._ip(NODE_BLOCK, number)

    def _ip(self, block: int, number: int) -> str:
        return f"127.{self.second_octet}.{block + number // PER_BLOCK}.{FIRST_HOST + number % PER_BLOCK}"
