"""Reads and validates the services of a configuration."""

from __future__ import annotations

from typing import Any

from coveport.serving.configuration.json_text import JsonObject
from coveport.serving.configuration.raw_types import RawEngine, RawScaling, RawService
from coveport.serving.configuration.type_checker import TypeChecker
from coveport.serving.model.configuration import Engine, Scaling, Service
from coveport.serving.model.findings import Findings
from coveport.serving.wire.configuration import CONFIGURATION, SCALING, SERVICE


def read_services(items: list[Any], checker: TypeChecker, findings: Findings) -> tuple[Service, ...]:
    """Return the services in a JSON list; not usable where there are findings."""
    services = []
    names: set[str] = set()
    for number, item in enumerate(items):
        location = f"{CONFIGURATION['services']}[{number}]"
        checked = checker.check(RawService, item, location)
        if checked is None:
            continue
        name = checked.value.name
        if "name" not in checked.invalid_fields and name in names:
            findings.add(f"{location}.{SERVICE['name']}", f"another service is named {name!r} too")
        names.add(name)
        services.append(_read_service(checked.value, location, checker, findings))
    return tuple(services)


def service_names(items: list[Any]) -> frozenset[str]:
    """Return the names of all services in a JSON list, including invalid ones.

    A route to an invalid service is not reported as a further fault.
    """
    names = (item.get(SERVICE["name"]) for item in items if isinstance(item, dict))
    return frozenset(name for name in names if isinstance(name, str))


def _read_service(raw: RawService, location: str, checker: TypeChecker, findings: Findings) -> Service:
    return Service(
        name=raw.name,
        health_path=raw.health_path,
        max_connections=int(raw.max_connections),
        warm_up_s=raw.warm_up_s,
        warm_up_rate=raw.warm_up_rate,
        engine=_read_engine(raw.engine, f"{location}.{SERVICE['engine']}", checker),
        scaling=_read_scaling(raw.scaling, f"{location}.{SERVICE['scaling']}", checker, findings),
    )


def _read_engine(data: JsonObject | None, location: str, checker: TypeChecker) -> Engine | None:
    checked = None if data is None else checker.check(RawEngine, data, location)
    if checked is None:
        return None
    raw = checked.value
    return Engine(int(raw.slots), int(raw.kv_cache_tokens), int(raw.tokens_per_event))


def _read_scaling(
    data: JsonObject | None, location: str, checker: TypeChecker, findings: Findings
) -> Scaling | None:
    checked = None if data is None else checker.check(RawScaling, data, location)
    if checked is None:
        return None
    raw = checked.value
    if checked.invalid_fields.isdisjoint(("min_nodes", "max_nodes")) and raw.max_nodes < raw.min_nodes:
        findings.add(f"{location}.{SCALING['max_nodes']}", f"must not be below {SCALING['min_nodes']}")
    return Scaling(int(raw.min_nodes), int(raw.max_nodes), raw.boot_s)
