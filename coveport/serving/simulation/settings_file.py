"""Writes boot settings as TOML, for the real processes of a small deployment."""

from __future__ import annotations

from coveport.net.address import Address
from coveport.serving.settings.boot import BootSettings, PlatformSettings
from coveport.serving.wire import settings as wire
from coveport.serving.wire.settings import Boot

TomlValue = str | int | float | bool | list[str] | list[int]


def settings_text(settings: BootSettings) -> str:
    """Return the settings as TOML; parsing it gives equal settings."""
    top: dict[str, TomlValue] = {
        Boot.NAME: settings.name,
        Boot.SERVES: list(settings.serves),
        Boot.IP: settings.ip,
        Boot.ZONE: settings.zone,
        Boot.REGION: settings.region,
        Boot.INNER_PORTS: list(settings.inner_ports),
        Boot.SEEDS: [_text(seed) for seed in settings.seeds],
        Boot.FIRST_BOOT: settings.first_boot,
        Boot.LOSS_COUNTED: settings.loss_counted,
        Boot.HEARTBEAT_MS: settings.heartbeat_ms,
    }
    if settings.data_dir is not None:
        top[Boot.DATA_DIR] = settings.data_dir
    listen = {
        name: _text(address)
        for field, name in wire.LISTEN.items()
        if (address := getattr(settings, field)) is not None
    }
    lines = [
        *_lines(top),
        *_table(Boot.REGIONS, settings.regions),
        *_table(Boot.LISTEN, listen),
        *_table(Boot.LIMITS, _fields(settings.limits, wire.LIMITS)),
        *_table(Boot.TOLERATED, _fields(settings.tolerated, wire.TOLERATED)),
        *_table(Boot.BOUNDS, _fields(settings.bounds, wire.BOUNDS)),
        *_platform(settings.platform),
    ]
    return "\n".join(lines) + "\n"


def _platform(platform: PlatformSettings | None) -> list[str]:
    """Return the lines of the platform's section; empty without a platform."""
    if platform is None:
        return []
    fields: dict[str, TomlValue] = {
        wire.PLATFORM["address"]: _text(platform.address),
        wire.PLATFORM["duties"]: [name for kind, name in wire.DUTIES.items() if kind in platform.duties],
        wire.PLATFORM["calls_per_s"]: platform.calls_per_s,
    }
    return _table(Boot.PLATFORM, fields)


def _fields(section: object, names: dict[str, str]) -> dict[str, TomlValue]:
    return {name: getattr(section, field) for field, name in names.items()}


def _table(name: str, fields: dict[str, TomlValue] | dict[str, str]) -> list[str]:
    return [f"[{name}]", *_lines(dict(fields))]


def _lines(fields: dict[str, TomlValue]) -> list[str]:
    return [f"{name} = {_value(value)}" for name, value in fields.items()]


def _value(value: TomlValue) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return "[" + ", ".join(_value(item) for item in value) + "]"
    if isinstance(value, str):
        escaped = value.replace("\\", "\\\\").replace('"', '\\"')
        return f'"{escaped}"'
    return repr(value)


def _text(address: Address) -> str:
    return "{}:{}".format(*address)
