"""Describe the machines of a simulated world."""

from __future__ import annotations


class Place:
    """Describe a machine: its address and zone, and whether it is `far` (see `Network.place`) or `silent`."""

    __slots__ = ("address", "far", "number", "silent", "zone")

    def __init__(self, address: str, zone: int, number: int = -1, far: bool = False) -> None:
        self.address = address
        self.zone = zone
        self.number = number
        self.far = far
        self.silent = False  # sends and receives nothing for now
