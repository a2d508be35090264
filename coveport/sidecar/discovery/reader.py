"""Reads discovery's lists; gives destinations, zones and cells their numbers. No I/O."""

from __future__ import annotations

import sys
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from coveport import balancing
from coveport.net.address import Address, parse_address
from coveport.sidecar.reducer.locality import Place

_STATES = {
    "active": balancing.EndpointState.READY,
    "leaving": balancing.EndpointState.DRAINING,
    "left": balancing.EndpointState.GONE,
}


@dataclass(slots=True)
class PoolUpdate:
    """A pool config as read: for the module, and where the destinations are (None: gone)."""

    update: balancing.EndpointUpdate
    places: list[tuple[int, Place | None]]


class PoolReader:
    """Reads discovery's form; gives destinations, zones and cells their numbers."""

    def __init__(self, zones: tuple[str, ...]) -> None:
        self._hosts: dict[str, int] = {}
        self._own = {zone: number for number, zone in enumerate(zones)}  # those that are configured
        self._zones = dict(self._own)
        self._cells: dict[str, int] = {}
        self._where: dict[str, tuple[int, int]] = {}  # each host's zone and cell
        self._numbers = self._cell_numbers = 0
        self._zone_numbers = len(zones)
        self.heard: Callable[[Any, bool], None] | None = None  # told each list, and if it is whole

    def read(self, told: Any, kind: balancing.EndpointUpdateKind | None = None) -> PoolUpdate:
        """Check and read all of it; ValueError where any of it is garbled."""
        try:
            hosts, version, whole = told["hosts"], told["seq"], told["whole"]
            if not isinstance(hosts, list) or type(version) is not int or type(whole) is not bool:
                raise ValueError("hosts, seq or whole is not what it should be")
            # Guards against a destination listed twice: its last line counts, as for all that read in order.
            rows = list({row[0]: row for row in map(self._check, hosts)}.values())
        except (KeyError, TypeError, AttributeError) as problem:
            raise ValueError(f"{type(problem).__name__}: {problem}") from problem
        if kind is None:
            kind = balancing.EndpointUpdateKind.FULL if whole else balancing.EndpointUpdateKind.DELTA
        entries, places = [], list[tuple[int, Place | None]]()
        for name, address, zone, cell, state, weight, born in rows:
            number = self._hosts.setdefault(name, self._numbers + 1)
            self._numbers = max(self._numbers, number)
            there = self._where[name] = self._zone(zone), self._cell(cell)
            entries.append(balancing.Endpoint(number, *there, state, weight, born))
            places.append((number, None if state is balancing.EndpointState.GONE else (address, born)))
        if self.heard is not None and kind is not balancing.EndpointUpdateKind.CACHED:
            self.heard(told, kind is balancing.EndpointUpdateKind.FULL)
        gone = {row[0] for row in rows if row[4] is balancing.EndpointState.GONE}
        if kind is not balancing.EndpointUpdateKind.DELTA:
            gone |= self._hosts.keys() - {row[0] for row in rows}
        self._forget(gone)
        return PoolUpdate(balancing.EndpointUpdate(kind, tuple(entries), version), places)

    def _forget(self, gone: set[str]) -> None:
        # Guards against tables that only grow: destinations are replaced all day, under new names. A
        # number is never given twice, so one that comes back is a new one to us.
        for name in gone:
            self._hosts.pop(name, None)
            self._where.pop(name, None)
        # One that stays may move from cell to cell: looked through once there are more than there can be.
        if gone or max(len(self._cells), len(self._zones) - len(self._own)) > len(self._where):
            zones, cells = ({at[part] for at in self._where.values()} for part in (0, 1))
            self._zones = self._own | {name: at for name, at in self._zones.items() if at in zones}
            self._cells = {name: at for name, at in self._cells.items() if at in cells}

    @staticmethod
    def _check(one: Any) -> tuple[str, Address, Any, Any, balancing.EndpointState, float, float]:
        name, weight, born = one["host"], one.get("share", 1.0), one.get("born_ms", 0)
        if not isinstance(name, str) or not name:
            raise ValueError(f"host {name!r} is no name")
        for value in (weight, born):
            # Guards against whole numbers beyond all floats, which JSON may hold.
            if (
                isinstance(value, bool)
                or not isinstance(value, int | float)
                or not 0 <= value <= sys.float_info.max
            ):
                raise ValueError(f"{name!r}: {value!r} is no figure")
        for value in (one["site"], one["block"]):
            if isinstance(value, bool) or not isinstance(value, int | str):
                raise ValueError(f"{name!r}: {value!r} is no site or block")
        # A state that is not known is treated as draining: nothing new goes there.
        state = _STATES.get(one["health"], balancing.EndpointState.DRAINING)
        return name, parse_address(one["dial"]), one["site"], one["block"], state, float(weight), float(born)

    def _zone(self, zone: int | str) -> int:
        if isinstance(zone, int):
            return zone
        if zone not in self._zones:
            self._zones[zone] = self._zone_numbers
            self._zone_numbers += 1
        return self._zones[zone]

    def _cell(self, cell: int | str) -> int:
        if isinstance(cell, int):
            return cell
        if cell not in self._cells:
            self._cell_numbers += 1
            self._cells[cell] = self._cell_numbers
        return self._cells[cell]
