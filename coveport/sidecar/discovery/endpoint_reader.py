"""Reads endpoint lists; assigns the balancer's numbers of endpoints, zones and cells. No I/O."""

from __future__ import annotations

import sys
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, NamedTuple

from coveport import balancing
from coveport.net.address import Address, parse_address
from coveport.net.errors import AddressError
from coveport.sidecar.discovery.errors import DiscoveryResponseError
from coveport.sidecar.reducer.endpoint import EndpointAddress

_STATES = {
    "active": balancing.EndpointState.READY,
    "leaving": balancing.EndpointState.DRAINING,
    "left": balancing.EndpointState.GONE,
}


@dataclass(slots=True)
class DiscoveredEndpoints:
    """A list in the balancer's form, and the address and start time by endpoint number (None: removed)."""

    update: balancing.EndpointUpdate
    endpoints: list[tuple[int, EndpointAddress | None]]


class _EndpointRow(NamedTuple):
    """One endpoint of a list, after the checks."""

    name: str
    address: Address
    zone: int | str
    cell: int | str
    state: balancing.EndpointState
    weight: float
    started_ms: float  # Unix time


class EndpointReader:
    """Reads discovery's lists; assigns numbers to endpoints, zones and cells.

    `zones`: the configured zones, which are numbered from 0. No number is assigned twice.
    """

    def __init__(self, zones: tuple[str, ...]) -> None:
        self._configured_zones = {zone: number for number, zone in enumerate(zones)}
        self._endpoint_numbers: dict[str, int] = {}
        self._zone_numbers = dict(self._configured_zones)
        self._cell_numbers: dict[str, int] = {}
        self._localities: dict[str, tuple[int, int]] = {}  # zone and cell by endpoint name
        self._last_endpoint = 0
        self._last_cell = 0
        self._next_zone = len(zones)
        # Called with each list in discovery's form, and whether it is the full list.
        self.on_endpoints: Callable[[Any, bool], None] | None = None

    def read(self, data: Any, kind: balancing.EndpointUpdateKind | None = None) -> DiscoveredEndpoints:
        """Read a list; if any part of the list is malformed, raise DiscoveryResponseError and change nothing.

        `data`: the parsed JSON. `kind`: by default full or delta, as the list itself states.
        """
        rows, version, is_full = _check_endpoints(data)
        if kind is None:
            kind = balancing.EndpointUpdateKind.FULL if is_full else balancing.EndpointUpdateKind.DELTA
        entries = []
        endpoints = list[tuple[int, EndpointAddress | None]]()
        gone = set[str]()
        for row in rows:
            number = self._endpoint_numbers.setdefault(row.name, self._last_endpoint + 1)
            self._last_endpoint = max(self._last_endpoint, number)
            locality = self._zone(row.zone), self._cell(row.cell)
            self._localities[row.name] = locality
            entries.append(balancing.Endpoint(number, *locality, row.state, row.weight, row.started_ms))
            if row.state is balancing.EndpointState.GONE:
                gone.add(row.name)
                endpoints.append((number, None))
            else:
                endpoints.append((number, (row.address, row.started_ms)))
        if self.on_endpoints is not None and kind is not balancing.EndpointUpdateKind.CACHED:
            self.on_endpoints(data, kind is balancing.EndpointUpdateKind.FULL)
        if kind is not balancing.EndpointUpdateKind.DELTA:
            gone |= self._endpoint_numbers.keys() - {row.name for row in rows}
        self._forget(gone)
        return DiscoveredEndpoints(balancing.EndpointUpdate(kind, tuple(entries), version), endpoints)

    def _forget(self, gone: set[str]) -> None:
        # Guards against tables that only grow: endpoints are replaced all the time, under new names.
        for name in gone:
            self._endpoint_numbers.pop(name, None)
            self._localities.pop(name, None)
        # Endpoints may also move between cells: the tables are cleaned up once they have more cells or zones
        # than there are endpoints.
        discovered_zones = len(self._zone_numbers) - len(self._configured_zones)
        if gone or max(len(self._cell_numbers), discovered_zones) > len(self._localities):
            zones = {zone for zone, _ in self._localities.values()}
            cells = {cell for _, cell in self._localities.values()}
            self._zone_numbers = self._configured_zones | _only(self._zone_numbers, zones)
            self._cell_numbers = _only(self._cell_numbers, cells)

    def _zone(self, zone: int | str) -> int:
        if isinstance(zone, int):
            return zone
        if zone not in self._zone_numbers:
            self._zone_numbers[zone] = self._next_zone
            self._next_zone += 1
        return self._zone_numbers[zone]

    def _cell(self, cell: int | str) -> int:
        if isinstance(cell, int):
            return cell
        if cell not in self._cell_numbers:
            self._last_cell += 1
            self._cell_numbers[cell] = self._last_cell
        return self._cell_numbers[cell]


def _only(numbers: dict[str, int], retained: set[int]) -> dict[str, int]:
    return {name: number for name, number in numbers.items() if number in retained}


def _check_endpoints(data: Any) -> tuple[list[_EndpointRow], int, bool]:
    """Return the endpoints, the version and whether the list is full."""
    try:
        return _parse_endpoints(data)
    except (KeyError, TypeError, AttributeError) as error:
        raise DiscoveryResponseError(f"{type(error).__name__}: {error}") from error


def _parse_endpoints(data: Any) -> tuple[list[_EndpointRow], int, bool]:
    hosts = data["hosts"]
    version = data["seq"]
    is_full = data["whole"]
    if not isinstance(hosts, list) or type(version) is not int or type(is_full) is not bool:
        raise DiscoveryResponseError("hosts, seq or whole has the wrong type")
    # Guards against an endpoint that is listed twice: its last entry counts.
    rows = {row.name: row for row in map(_check_endpoint, hosts)}
    return list(rows.values()), version, is_full


def _check_endpoint(host: Any) -> _EndpointRow:
    name = host["host"]
    weight = host.get("share", 1.0)
    started_ms = host.get("born_ms", 0)
    if not isinstance(name, str) or not name:
        raise DiscoveryResponseError(f"host {name!r} is not a name")
    for value in (weight, started_ms):
        # Guards against integers too large for a float, which JSON allows.
        if (
            isinstance(value, bool)
            or not isinstance(value, int | float)
            or not 0 <= value <= sys.float_info.max
        ):
            raise DiscoveryResponseError(f"{name!r}: {value!r} is not a valid number")
    for value in (host["site"], host["block"]):
        if isinstance(value, bool) or not isinstance(value, int | str):
            raise DiscoveryResponseError(f"{name!r}: {value!r} is not a valid site or block")
    # An unknown state is treated as draining: the endpoint gets no new operations.
    state = _STATES.get(host["health"], balancing.EndpointState.DRAINING)
    address = _check_address(host["dial"])
    return _EndpointRow(name, address, host["site"], host["block"], state, float(weight), float(started_ms))


def _check_address(text: Any) -> Address:
    try:
        return parse_address(text)
    except AddressError as error:
        raise DiscoveryResponseError(str(error)) from error
