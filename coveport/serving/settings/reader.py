"""Reads and checks the settings file of a process: settings, or every fault of the file with its place."""

from __future__ import annotations

import math
import tomllib
from collections.abc import Collection, Mapping
from dataclasses import replace
from pathlib import Path
from typing import Any, Final, TypeVar

from coveport.net.address import Address, parse_address
from coveport.serving.model.findings import Finding, Findings, Refusal
from coveport.serving.settings.boot import BootSettings, Bounds, FaultTolerance, ProcessLimits
from coveport.serving.wire import names
from coveport.serving.wire import settings as wire
from coveport.serving.wire.settings import Boot

INVALID: Final = "invalid settings"
UNREADABLE: Final = "unreadable settings"

Numbers = TypeVar("Numbers", ProcessLimits, FaultTolerance, Bounds)
Value = TypeVar("Value")

# What a process that serves something listens on.
_LISTENERS: Final = {
    names.SERVES_CLIENTS: ("clients", "readiness"),
    names.SERVES_CONTROL: ("control",),
    names.SERVES_LOOKUPS: ("lookups",),
}


def read_boot_settings(path: str, needed: Collection[str] = ()) -> BootSettings | Refusal:
    """The settings in a file, or why there are none; `needed` as in `parse_boot_settings`."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, ValueError) as problem:
        return Refusal(UNREADABLE, (Finding("", f"can't be read: {problem}"),))
    return parse_boot_settings(text, needed)


def parse_boot_settings(text: str, needed: Collection[str] = ()) -> BootSettings | Refusal:
    """The settings in a TOML text, or a finding for each fault. Unknown fields are ignored.

    `needed`: what the role can't be without, of `data_dir` and the names of addresses to listen on.
    """
    try:
        data = tomllib.loads(text)
    except tomllib.TOMLDecodeError as problem:
        return Refusal(INVALID, (Finding("", f"is not TOML: {problem}"),))
    findings = Findings()
    settings = _Reader(data, findings, needed).read()
    return Refusal(INVALID, tuple(findings)) if findings else settings


class _Reader:
    """Reads one file's fields; faults go to the findings and give way to a harmless value."""

    def __init__(self, data: Mapping[str, Any], findings: Findings, needed: Collection[str]) -> None:
        self._data = data
        self._findings = findings
        self._needed = needed

    def read(self) -> BootSettings:
        """The settings; of no use where there are findings."""
        serves = self._strings(Boot.SERVES)
        listen = self._listen(serves)
        settings = BootSettings(
            name=self._field(Boot.NAME, str, ""),
            ip=self._ip(),
            zone=self._field(Boot.ZONE, str, ""),
            region=self._field(Boot.REGION, str, ""),
            inner_ports=self._ports(),
            seeds=self._seeds(),
            first_boot=self._field(Boot.FIRST_BOOT, bool, False),
            loss_counted=self._field(Boot.LOSS_COUNTED, bool, False),
            data_dir=self._data_dir(),
            serves=serves,
            heartbeat_ms=self._number(self._data, Boot.HEARTBEAT_MS, Boot.HEARTBEAT_MS, is_0_useful=False),
            regions=self._regions(),
            clients=listen["clients"],
            readiness=listen["readiness"],
            control=listen["control"],
            lookups=listen["lookups"],
            limits=self._numbers(Boot.LIMITS, wire.LIMITS, ProcessLimits()),
            tolerated=self._numbers(Boot.TOLERATED, wire.TOLERATED, FaultTolerance()),
            bounds=self._numbers(Boot.BOUNDS, wire.BOUNDS, Bounds()),
        )
        self._check_zone(settings)
        return settings

    def _field(self, name: str, kind: type[Value], default: Value) -> Value:
        """A field that must be there, of a type; text must not be empty."""
        if name not in self._data:
            self._findings.add(name, "is missing")
            return default
        value: Value = self._data[name]
        if not isinstance(value, kind):
            self._findings.add(name, f"must be {'true or false' if kind is bool else 'a string'}")
            return default
        if value == "":
            self._findings.add(name, "is empty")
        return value

    def _table(self, name: str) -> Mapping[str, Any]:
        """A table; empty where it is missing."""
        value = self._data.get(name, {})
        if isinstance(value, dict):
            return value
        self._findings.add(name, "must be a table")
        return {}

    def _strings(self, name: str) -> tuple[str, ...]:
        value = self._data.get(name)
        if isinstance(value, list) and all(isinstance(item, str) for item in value):
            return tuple(value)
        self._findings.add(name, "is missing" if value is None else "must be a list of strings")
        return ()

    def _address(self, text: object, place: str) -> Address | None:
        try:
            return parse_address(text)
        except ValueError as problem:
            self._findings.add(place, f"must be an address such as 10.0.0.1:80 ({problem})")
            return None

    def _ip(self) -> str:
        text = self._field(Boot.IP, str, "")
        if text:
            try:
                parse_address(f"{text}:0")
            except ValueError:
                self._findings.add(Boot.IP, "must be an IP address")
        return text

    def _ports(self) -> tuple[int, int]:
        value = self._data.get(Boot.INNER_PORTS)
        if value is None:
            self._findings.add(Boot.INNER_PORTS, "is missing")
            return 0, 0
        pair = value if isinstance(value, list) and len(value) == 2 else ()
        if not pair or not all(type(port) is int and 0 < port < 65536 for port in pair) or pair[0] > pair[1]:
            self._findings.add(Boot.INNER_PORTS, "must be the first and the last of a range of ports")
            return 0, 0
        return pair[0], pair[1]

    def _seeds(self) -> tuple[Address, ...]:
        seeds = []
        for number, text in enumerate(self._strings(Boot.SEEDS)):
            address = self._address(text, f"{Boot.SEEDS}[{number}]")
            if address is not None:
                seeds.append(address)
        return tuple(seeds)

    def _listen(self, serves: tuple[str, ...]) -> dict[str, Address | None]:
        table = self._table(Boot.LISTEN)
        needed = {field for served in serves for field in _LISTENERS.get(served, ())}.union(self._needed)
        listen: dict[str, Address | None] = {}
        for field, name in wire.LISTEN.items():
            place = f"{Boot.LISTEN}.{name}"
            listen[field] = self._address(table[name], place) if name in table else None
            if name not in table and field in needed:
                self._findings.add(place, "is missing")
        return listen

    def _data_dir(self) -> str | None:
        if Boot.DATA_DIR in self._data or "data_dir" in self._needed:
            return self._field(Boot.DATA_DIR, str, "")
        return None

    def _regions(self) -> dict[str, str]:
        regions = {}
        for zone, region in self._table(Boot.REGIONS).items():
            if isinstance(region, str) and region:
                regions[zone] = region
            else:
                self._findings.add(f"{Boot.REGIONS}.{zone}", "must be the name of a region")
        return regions

    def _check_zone(self, settings: BootSettings) -> None:
        """The zone must be one of the zones, of the region that is named with it."""
        if Boot.REGIONS not in self._data:
            self._findings.add(Boot.REGIONS, "is missing")
            return
        region = settings.regions.get(settings.zone)
        if settings.zone and settings.zone not in self._table(Boot.REGIONS):
            self._findings.add(Boot.ZONE, f"{Boot.REGIONS} does not have {settings.zone!r}")
        if region is not None and settings.region and region != settings.region:
            self._findings.add(Boot.REGION, f"{Boot.REGIONS} has {region!r} for this zone")

    def _number(self, table: Mapping[str, Any], name: str, place: str, is_0_useful: bool = True) -> float:
        """A number above or equal to 0 that must be there."""
        if name not in table:
            self._findings.add(place, "is missing")
            return 0.0
        value = table[name]
        if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
            self._findings.add(place, "must be a number")
            return 0.0
        if value < 0:
            self._findings.add(place, "must not be negative")
        elif value == 0 and not is_0_useful:
            self._findings.add(place, "must be above 0")
        return value

    def _numbers(self, name: str, fields: Mapping[str, str], default: Numbers) -> Numbers:
        """A table of numbers; those that are missing keep their defaults."""
        table = self._table(name)
        read: dict[str, Any] = {}
        for field, key in fields.items():
            if key not in table:
                continue
            value = self._number(table, key, f"{name}.{key}")
            is_whole = isinstance(getattr(default, field), int)
            if is_whole and value != int(value):
                self._findings.add(f"{name}.{key}", "must be a whole number")
            read[field] = int(value) if is_whole else float(value)
        return replace(default, **read)
