"""What the sidecar is told: the LB_* variables and the JSON file, checked before anything starts."""

from __future__ import annotations

import json
import sys
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from coveport.balancing import interface as api
from coveport.balancing import simulator_codec
from coveport.net.address import Address, parse_address
from coveport.sidecar.config import retuning


class ConfigError(Exception):
    """The configuration can't be used; its text is one line."""


@dataclass(frozen=True)
class Config:
    """The checked configuration."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    sockets: int
    memory_mb: float
    settings: api.Settings
    zones: tuple[str, ...]
    keepalive_ms: float
    console: Address | None = None  # where staff call; None: nothing is opened
    known: Any = field(default=None, repr=False)  # in discovery's form; read like its answers
    told: Mapping[str, Any] = field(default_factory=dict, repr=False, compare=False)  # the file


def _number(section: Mapping[str, Any], key: str, default: float, *, least: float = 0) -> float:
    value = section.get(key, default)
    # Guards against whole numbers beyond all floats, which JSON may hold.
    if (
        isinstance(value, bool)
        or not isinstance(value, int | float)
        or not 0 < value <= sys.float_info.max
        or value < least
    ):
        wanted = f"a number of at least {least:g}" if least else "a positive number"
        raise ValueError(f"{key} must be {wanted}, not {value!r}")
    return float(value)


def _settings(told: Mapping[str, Any]) -> api.Settings:
    settings = simulator_codec.parse_settings(json.dumps(told))
    if type(settings.zone) is not int:
        raise ValueError(f"zone must be a whole number, not {settings.zone!r}")
    # Guards against names that are no texts: nothing that comes by HTTP could be one of them.
    for key, names in (
        ("classes: name", [one.name for one in settings.classes]),
        ("telemetry: fields", settings.load_fields),
    ):
        for name in names:
            if not isinstance(name, str):
                raise ValueError(f"{key} must be a text, not {name!r}")
    return settings


def read(
    text: str,
    environ: Mapping[str, str],
    *,
    again: bool = False,
    running: Config | None = None,
    where: str = "configuration",
) -> Config:
    """Read and check a configuration's JSON; ConfigError says in one line what is wrong `where`.

    `again`: the file was replaced while we ran. What it says of discovery then beats the variable, which
    dates from our start. `running`: what the file replaces, of which it may leave out nothing.
    """
    try:
        told = json.loads(text)
        if not isinstance(told, dict):
            raise ValueError("not an object")
        settings = told.get("settings")
        if not isinstance(settings, dict):
            raise ValueError("settings: not an object")
        if running is not None:
            retuning.check(told, running.told)
        limits, seed = told.get("limits") or {}, told.get("seed", "0")
        console = environ.get("LB_CONSOLE") or told.get("console")
        zones = settings.get("localities") or ()
        return Config(
            name=environ.get("LB_NAME") or str(told.get("name", "coveport")),
            listen=parse_address(environ.get("LB_LISTEN") or told.get("listen")),
            discovery=parse_address(
                (again and told.get("discovery")) or environ.get("LB_DISCOVERY") or told.get("discovery")
            ),
            seed=seed if isinstance(seed, int) else int(seed, 16),
            sockets=int(_number(limits, "sockets", 1024, least=1)),
            memory_mb=_number(limits, "memory_mb", 64),
            settings=_settings(settings),
            zones=tuple(str(zone) for zone in zones),
            keepalive_ms=_number(settings.get("limits") or {}, "keepalive_ms", 5000.0),
            console=parse_address(console) if console else None,
            known=told.get("known"),
            told=told,
        )
    except (ValueError, TypeError, AttributeError, RecursionError) as problem:
        raise ConfigError(f"{where}: {' '.join(str(problem).split())}") from problem


def load(environ: Mapping[str, str], *, running: Config | None = None, again: bool = False) -> Config:
    """Read the file that LB_CONFIG names, as `read` does."""
    path = environ.get("LB_CONFIG")
    if not path:
        raise ConfigError("LB_CONFIG is not set")
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except (OSError, ValueError) as problem:
        raise ConfigError(f"{path}: {' '.join(str(problem).split())}") from problem
    return read(text, environ, again=again, running=running, where=path)
