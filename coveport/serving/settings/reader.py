"""Reads and checks the settings file of a process, described in docs/operators/start.md.

The result is the settings, or a finding with its location for each fault of the file.
"""

from __future__ import annotations

import tomllib
from collections.abc import Collection, Mapping
from dataclasses import replace
from pathlib import Path
from typing import Any, Final, Literal, TypeVar

from coveport.net.address import Address, parse_address
from coveport.serving.model.findings import Finding, Findings, Refusal
from coveport.serving.resource_budget import MIN_DESCRIPTORS, MIN_MEMORY_MB
from coveport.serving.settings.boot import (
    BootSettings,
    Bounds,
    FaultTolerance,
    PlatformSettings,
    ProcessLimits,
)
from coveport.serving.settings.field_reader import FieldReader
from coveport.serving.wire import names
from coveport.serving.wire import settings as wire
from coveport.serving.wire.settings import Boot

INVALID: Final = "invalid settings"
UNREADABLE: Final = "unreadable settings"
MAX_PORT: Final = 65535

# Optional settings that a role may require: its data directory and the addresses at which it listens.
RoleSetting = Literal["data_dir", "clients", "readiness", "control", "lookups"]
Numbers = TypeVar("Numbers", ProcessLimits, FaultTolerance, Bounds)

# The listeners that a process needs, by the APIs that it serves.
_LISTENERS: Final[dict[str, tuple[RoleSetting, ...]]] = {
    names.SERVES_CLIENTS: ("clients", "readiness"),
    names.SERVES_CONTROL: ("control",),
    names.SERVES_LOOKUPS: ("lookups",),
}


def read_boot_settings(path: str, required_settings: Collection[RoleSetting] = ()) -> BootSettings | Refusal:
    """Return the settings in a file, or a refusal; `required_settings` as in `parse_boot_settings`."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, ValueError) as error:
        return Refusal(UNREADABLE, (Finding("", f"can't be read: {error}"),))
    return parse_boot_settings(text, required_settings)


def parse_boot_settings(text: str, required_settings: Collection[RoleSetting] = ()) -> BootSettings | Refusal:
    """Return the settings in a TOML text, or a refusal with a finding for each fault. Ignore unknown fields.

    `required_settings`: optional settings without which the role can't start.
    """
    try:
        data = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return Refusal(INVALID, (Finding("", f"is not TOML: {error}"),))
    findings = Findings()
    settings = _BootSettingsReader(data, findings, required_settings).read()
    return Refusal(INVALID, tuple(findings)) if findings else settings


class _BootSettingsReader:
    """Reads the settings of one file."""

    def __init__(
        self, data: Mapping[str, Any], findings: Findings, required_settings: Collection[RoleSetting]
    ) -> None:
        self._data = data
        self._findings = findings
        self._fields = FieldReader(data, findings)
        self._required_settings = required_settings

    def read(self) -> BootSettings:
        """Return the settings; invalid where there are findings."""
        fields = self._fields
        serves = fields.required_strings(Boot.SERVES)
        listen = self._listen_addresses(serves)
        settings = BootSettings(
            name=fields.required(Boot.NAME, str, ""),
            ip=self._ip(),
            zone=fields.required(Boot.ZONE, str, ""),
            region=fields.required(Boot.REGION, str, ""),
            inner_ports=self._inner_ports(),
            seeds=self._seeds(),
            first_boot=fields.required(Boot.FIRST_BOOT, bool, False),
            loss_counted=fields.required(Boot.LOSS_COUNTED, bool, False),
            data_dir=self._data_dir(),
            serves=serves,
            heartbeat_ms=fields.number(
                self._data, Boot.HEARTBEAT_MS, Boot.HEARTBEAT_MS, is_zero_allowed=False
            ),
            regions=self._regions(),
            clients=listen["clients"],
            readiness=listen["readiness"],
            control=listen["control"],
            lookups=listen["lookups"],
            limits=self._numbers(Boot.LIMITS, wire.LIMITS, ProcessLimits()),
            tolerated=self._numbers(Boot.TOLERATED, wire.TOLERATED, FaultTolerance()),
            bounds=self._numbers(Boot.BOUNDS, wire.BOUNDS, Bounds()),
            platform=self._platform(),
        )
        self._check_locality(settings)
        self._check_limits(settings.limits)
        return settings

    def _ip(self) -> str:
        text = self._fields.required(Boot.IP, str, "")
        if text:
            try:
                parse_address(f"{text}:0")
            except ValueError:
                self._findings.add(Boot.IP, "must be an IP address")
        return text

    def _inner_ports(self) -> tuple[int, int]:
        """Return the first and the last port that this system's processes use among each other."""
        value = self._data.get(Boot.INNER_PORTS)
        if value is None:
            self._findings.add(Boot.INNER_PORTS, "is missing")
            return 0, 0
        if not _is_port_range(value):
            self._findings.add(Boot.INNER_PORTS, "must be the first and the last port of a range")
            return 0, 0
        return value[0], value[1]

    def _seeds(self) -> tuple[Address, ...]:
        texts = self._fields.required_strings(Boot.SEEDS)
        addresses = [self._fields.address(text, f"{Boot.SEEDS}[{index}]") for index, text in enumerate(texts)]
        return tuple(address for address in addresses if address is not None)

    def _listen_addresses(self, serves: tuple[str, ...]) -> dict[str, Address | None]:
        """Return the address of each listener; None where the file has none."""
        table = self._fields.table(Boot.LISTEN)
        required_listeners = {listener for role in serves for listener in _LISTENERS.get(role, ())}.union(
            self._required_settings
        )
        addresses: dict[str, Address | None] = {}
        for listener, name in wire.LISTEN.items():
            location = f"{Boot.LISTEN}.{name}"
            addresses[listener] = self._fields.address(table[name], location) if name in table else None
            if name not in table and listener in required_listeners:
                self._findings.add(location, "is missing")
        return addresses

    def _data_dir(self) -> str | None:
        if Boot.DATA_DIR in self._data or "data_dir" in self._required_settings:
            return self._fields.required(Boot.DATA_DIR, str, "")
        return None

    def _regions(self) -> dict[str, str]:
        """Return the region of each zone."""
        regions = {}
        for zone, region in self._fields.table(Boot.REGIONS).items():
            if isinstance(region, str) and region:
                regions[zone] = region
            else:
                self._findings.add(f"{Boot.REGIONS}.{zone}", "must be the name of a region")
        return regions

    def _check_locality(self, settings: BootSettings) -> None:
        """Check that the table of zones has the zone of this process, with the region of this process."""
        if Boot.REGIONS not in self._data:
            self._findings.add(Boot.REGIONS, "is missing")
            return
        region = settings.regions.get(settings.zone)
        if settings.zone and settings.zone not in self._fields.table(Boot.REGIONS):
            self._findings.add(Boot.ZONE, f"{Boot.REGIONS} has no zone {settings.zone!r}")
        if region is not None and settings.region and region != settings.region:
            self._findings.add(Boot.REGION, f"{Boot.REGIONS} has {region!r} for this zone")

    def _check_limits(self, limits: ProcessLimits) -> None:
        """Check that the process can serve a single request within its limits."""
        names = wire.LIMITS
        if 0 < limits.memory_mb < MIN_MEMORY_MB:
            self._findings.add(f"{Boot.LIMITS}.{names['memory_mb']}", f"must be at least {MIN_MEMORY_MB}")
        if 0 <= limits.descriptors < MIN_DESCRIPTORS:
            self._findings.add(f"{Boot.LIMITS}.{names['descriptors']}", f"must be at least {MIN_DESCRIPTORS}")

    def _platform(self) -> PlatformSettings | None:
        """Return the platform's API; None where the file has none. Ignore unknown duties."""
        if Boot.PLATFORM not in self._data:
            return None
        table = self._fields.table(Boot.PLATFORM)
        address, duties, calls_per_s = (wire.PLATFORM[key] for key in ("address", "duties", "calls_per_s"))
        read_address = self._fields.address(table.get(address), f"{Boot.PLATFORM}.{address}")
        names_of_duties = self._fields.strings(table, duties, f"{Boot.PLATFORM}.{duties}")
        return PlatformSettings(
            read_address or ("", 0),
            frozenset(kind for kind, name in wire.DUTIES.items() if name in names_of_duties),
            self._fields.number(table, calls_per_s, f"{Boot.PLATFORM}.{calls_per_s}", is_zero_allowed=False),
        )

    def _numbers(self, name: str, keys: Mapping[str, str], defaults: Numbers) -> Numbers:
        """Return a table of numbers and flags; missing fields keep their defaults.

        `keys`: the key in the table of each field of the result. The type of a field's default is required:
        whole numbers for an int, true or false for a bool.
        """
        table = self._fields.table(name)
        values: dict[str, Any] = {}
        for field, key in keys.items():
            if key not in table:
                continue
            default = getattr(defaults, field)
            if isinstance(default, bool):
                values[field] = self._fields.flag(table, key, f"{name}.{key}")
                continue
            value = self._fields.number(table, key, f"{name}.{key}")
            is_integer = isinstance(default, int)
            if is_integer and value != int(value):
                self._findings.add(f"{name}.{key}", "must be a whole number")
            values[field] = int(value) if is_integer else float(value)
        return replace(defaults, **values)


def _is_port_range(value: object) -> bool:
    """Return whether a value is a list of two ports, the first not above the last."""
    if not isinstance(value, list) or len(value) != 2:
        return False
    first, last = value
    return _is_port(first) and _is_port(last) and first <= last


def _is_port(value: object) -> bool:
    return type(value) is int and 0 < value <= MAX_PORT  # bool is no port, though it is an int
