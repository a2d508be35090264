"""The form of each part of a configuration as it arrives; `dacite` checks a part's fields against it."""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, fields
from typing import Any, Final, TypeVar

import dacite

from coveport.system.model.findings import Findings
from coveport.system.wire import configuration as wire

Form = TypeVar("Form")


@dataclass(slots=True)
class RouteForm:
    """A route."""

    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float
    objective_ms: float = 0.0
    precedence: int = 0
    service: str | None = None
    services: list[Any] | None = None
    attempts: int = 1
    pinned: bool = False
    resumable: bool = False
    pause_objective_ms: float = 0.0
    home_regions: list[str] | None = None


@dataclass(slots=True)
class WeightedServiceForm:
    """A route's part of one service."""

    service: str
    weight: float


@dataclass(slots=True)
class ServiceForm:
    """A service."""

    name: str
    health_path: str = "/health"
    max_connections: int = 0
    warm_up_s: float = 0.0
    warm_up_rate: float = 0.0
    engine: dict[str, Any] | None = None


@dataclass(slots=True)
class EngineForm:
    """What a service's nodes can hold and run."""

    slots: int = 0
    memory_tokens: int = 0
    tokens_per_event: int = 1


@dataclass(slots=True)
class ClientLimitsForm:
    """What a client may send."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    header_read_ms: float = 3000.0
    idle_ms: float = 15000.0


@dataclass(slots=True)
class ConfigurationForm:
    """A whole configuration, its items not yet looked at."""

    edition: int
    routes: list[Any] = field(default_factory=list)
    services: list[Any] = field(default_factory=list)
    limits: dict[str, Any] = field(default_factory=dict)


NAMES: Final[dict[type, dict[str, str]]] = {
    RouteForm: wire.ROUTE,
    WeightedServiceForm: wire.WEIGHTED_SERVICE,
    ServiceForm: wire.SERVICE,
    EngineForm: wire.ENGINE,
    ClientLimitsForm: wire.CLIENT_LIMITS,
    ConfigurationForm: wire.CONFIGURATION,
}

_SPOKEN: Final = {
    "str": "a string",
    "int": "a whole number",
    "float": "a number",
    "bool": "true or false",
    "list": "a list",
    "dict": "an object",
}
_FILLERS: Final[dict[str, Any]] = {"str": "", "int": 0, "float": 0.0}


def _number(kind: type) -> Callable[[Any], Any]:
    """A check that `dacite` lacks: true and false are no numbers, nor is infinity."""

    def check(value: Any) -> Any:
        if isinstance(value, bool) or (isinstance(value, float) and not math.isfinite(value)):
            raise dacite.WrongTypeError(field_type=kind, value=value)
        return value

    return check


_HOOKS: Final[dict[Any, Callable[[Any], Any]]] = {int: _number(int), float: _number(float)}
_SETTINGS: Final = {
    form: dacite.Config(convert_key=names.__getitem__, type_hooks=_HOOKS) for form, names in NAMES.items()
}


def read_form(form: type[Form], data: object, place: str, findings: Findings) -> Form | None:
    """The form's fields out of an object; None, and a finding for each field at fault, where any is."""
    if not isinstance(data, dict):
        findings.add(place, "must be an object")
        return None
    try:
        return dacite.from_dict(form, data, _SETTINGS[form])
    except dacite.DaciteFieldError:
        _find_all(form, data, place, findings)
        return None


def _find_all(form: type, data: Mapping[str, Any], place: str, findings: Findings) -> None:
    """Add a finding for each field at fault: `dacite` stops at the first, so it is mended and the rest read."""
    names = NAMES[form]
    mended = dict(data)
    for _ in names:
        try:
            dacite.from_dict(form, mended, _SETTINGS[form])
            return
        except dacite.DaciteFieldError as fault:
            at = (fault.field_path or "").partition(".")[0]
            findings.add(join_place(place, names[at]), _describe(form, at, fault))
            mended[names[at]] = _filler(form, at)


def _type_of(form: type, name: str) -> str:
    """A field's type, as one of the names in `_SPOKEN`."""
    text = str(next(one.type for one in fields(form) if one.name == name))
    return text.removesuffix(" | None").partition("[")[0]


def _filler(form: type, name: str) -> Any:
    """Something that passes, in place of a field at fault."""
    return {"bool": False, "list": [], "dict": {}, **_FILLERS}[_type_of(form, name)]


def _describe(form: type, name: str, fault: dacite.DaciteFieldError) -> str:
    if isinstance(fault, dacite.MissingValueError):
        return "is missing"
    kind = _SPOKEN[_type_of(form, name)]
    return f"must be {kind}" + (" of strings" if name == "home_regions" else "")


def join_place(place: str, name: str) -> str:
    """The place of something inside another."""
    return f"{place}.{name}" if place else name
