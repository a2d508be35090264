"""The platform's configuration of a sidecar: LB_* variables and a JSON file, checked before the start.

The platform defines the file's schema; `coveport.balancing.simulator_settings` reads the balancer's settings.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, Final

from coveport import balancing
from coveport.balancing import simulator_settings
from coveport.net.address import Address, parse_address
from coveport.sidecar.config import reload_checks
from coveport.sidecar.config.errors import PlatformFileError

DEFAULT_NAME: Final = "coveport"
DEFAULT_SOCKETS: Final = 1024
DEFAULT_MEMORY_MB: Final = 64.0
DEFAULT_KEEPALIVE_MS: Final = 5000.0


@dataclass(frozen=True)
class Config:
    """The checked configuration."""

    name: str
    listen: Address
    discovery: Address
    seed: int  # seed of all random numbers
    sockets: int  # number of file descriptors that the process may use
    memory_mb: float
    settings: balancing.Settings  # settings of the balancer
    zones: tuple[str, ...]
    keepalive_ms: float
    console: Address | None = None  # address of the operators' console; None: there is no console
    # List of endpoints at the start, in discovery's form.
    known_endpoints: Any = field(default=None, repr=False)
    document: Mapping[str, Any] = field(default_factory=dict, repr=False, compare=False)  # the parsed file


def load(environ: Mapping[str, str], *, running: Config | None = None, is_reload: bool = False) -> Config:
    """Read and check the file that LB_CONFIG names; see `read`."""
    path = environ.get("LB_CONFIG")
    if not path:
        raise PlatformFileError("LB_CONFIG is not set")
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except (OSError, ValueError) as error:
        raise PlatformFileError(f"{path}: {_one_line(error)}") from error
    return read(text, environ, is_reload=is_reload, running=running, where=path)


def read(
    text: str,
    environ: Mapping[str, str],
    *,
    is_reload: bool = False,
    running: Config | None = None,
    where: str = "configuration",
) -> Config:
    """Read and check the file's JSON; raise PlatformFileError with one line that begins with `where`.

    `is_reload`: the file was replaced while the process runs. Its discovery address then takes precedence
    over the variable, whose value dates from the start. `running`: the configuration that the file replaces,
    none of whose keys it may leave out.
    """
    try:
        document = _parse(text)
        if running is not None:
            reload_checks.check(document, running.document)
        return _config(document, environ, is_reload)
    except (PlatformFileError, ValueError, TypeError, AttributeError, RecursionError) as error:
        raise PlatformFileError(f"{where}: {_one_line(error)}") from error


def _parse(text: str) -> dict[str, Any]:
    """Return the file's JSON object; its `settings` are checked to be an object too."""
    document = json.loads(text)
    if not isinstance(document, dict):
        raise PlatformFileError("not an object")
    if not isinstance(document.get("settings"), dict):
        raise PlatformFileError("settings: not an object")
    return document


def _config(document: Mapping[str, Any], environ: Mapping[str, str], is_reload: bool) -> Config:
    """Return the configuration; raise an error that `read` catches if a value is invalid."""
    settings = document["settings"]
    limits = document.get("limits") or {}
    seed = document.get("seed", "0")
    console = environ.get("LB_CONSOLE") or document.get("console")
    discovery = (is_reload and document.get("discovery")) or environ.get("LB_DISCOVERY")
    return Config(
        name=environ.get("LB_NAME") or str(document.get("name", DEFAULT_NAME)),
        listen=parse_address(environ.get("LB_LISTEN") or document.get("listen")),
        discovery=parse_address(discovery or document.get("discovery")),
        seed=seed if isinstance(seed, int) else int(seed, 16),
        sockets=int(_number(limits, "sockets", DEFAULT_SOCKETS, least=1)),
        memory_mb=_number(limits, "memory_mb", DEFAULT_MEMORY_MB),
        settings=_balancer_settings(settings),
        zones=tuple(str(zone) for zone in settings.get("localities") or ()),
        keepalive_ms=_number(settings.get("limits") or {}, "keepalive_ms", DEFAULT_KEEPALIVE_MS),
        console=parse_address(console) if console else None,
        known_endpoints=document.get("known"),
        document=document,
    )


def _number(section: Mapping[str, Any], key: str, default: float, *, least: float = 0) -> float:
    value = section.get(key, default)
    # The check rejects integers too large for a float, which JSON allows.
    if (
        isinstance(value, bool)
        or not isinstance(value, int | float)
        or not 0 < value <= sys.float_info.max
        or value < least
    ):
        expected = f"a number of at least {least:g}" if least else "a positive number"
        raise PlatformFileError(f"{key} must be {expected}, not {value!r}")
    return float(value)


def _balancer_settings(document: Mapping[str, Any]) -> balancing.Settings:
    settings = simulator_settings.parse_settings(json.dumps(document))
    if type(settings.zone) is not int:
        raise PlatformFileError(f"zone must be a whole number, not {settings.zone!r}")
    # The check rejects names that are not strings, because nothing in an HTTP message could equal such names.
    for key, names in (
        ("classes: name", [operation_class.name for operation_class in settings.classes]),
        ("telemetry: fields", settings.load_fields),
    ):
        for name in names:
            if not isinstance(name, str):
                raise PlatformFileError(f"{key} must be a text, not {name!r}")
    return settings


def _one_line(error: Exception) -> str:
    return " ".join(str(error).split())
