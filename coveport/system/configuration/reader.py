"""Reads a configuration and checks it whole: a configuration, or every fault of it with its place."""

from __future__ import annotations

import json
from collections.abc import Iterator
from typing import Any, NoReturn

from coveport.system.configuration.forms import (
    NAMES,
    ClientLimitsForm,
    ConfigurationForm,
    EngineForm,
    RouteForm,
    ServiceForm,
    WeightedServiceForm,
    join_place,
    read_form,
)
from coveport.system.model.configuration import (
    ClientLimits,
    Configuration,
    Engine,
    Route,
    RouteKind,
    Service,
    WeightedService,
)
from coveport.system.model.findings import Finding, Findings, Refusal
from coveport.system.wire.configuration import CONFIGURATION, ENGINE, ROUTE, SERVICE, WEIGHTED_SERVICE

INVALID = "invalid configuration"
_KINDS = {kind.value: kind for kind in RouteKind}


def read_configuration(raw: bytes) -> Configuration | Refusal:
    """The configuration in a JSON text, or why it can't be used, with a finding for each fault."""
    data = read_object(raw)
    return data if isinstance(data, Refusal) else check_configuration(data)


def read_object(raw: bytes) -> dict[str, Any] | Refusal:
    """The JSON object in a text; a refusal where it is cut short or anything else."""
    try:
        data = json.loads(raw.decode(), parse_constant=_refuse_constant)
    except (ValueError, RecursionError) as problem:  # UnicodeDecodeError and JSONDecodeError are ValueErrors
        return Refusal(INVALID, (Finding("", f"is not JSON: {problem}"),))
    if not isinstance(data, dict):
        return Refusal(INVALID, (Finding("", "must be an object"),))
    return data


def _refuse_constant(name: str) -> NoReturn:
    raise ValueError(f"{name} is no JSON number")


def check_configuration(data: dict[str, Any]) -> Configuration | Refusal:
    """The configuration that a JSON object holds, or a finding for each fault."""
    findings = Findings()
    form = read_form(ConfigurationForm, data, "", findings)
    if form is None:  # read what can be read, so that all faults are found together
        form = ConfigurationForm(
            edition=1,
            routes=_of_type(data.get(CONFIGURATION["routes"]), list),
            services=_of_type(data.get(CONFIGURATION["services"]), list),
            limits=_of_type(data.get(CONFIGURATION["limits"]), dict),
        )
    if form.edition < 1:
        findings.add(CONFIGURATION["edition"], "must be above 0")
    services = _read_services(form.services, findings)
    names = _service_names(form.services)
    routes = _read_routes(form.routes, names, findings)
    limits = _read_limits(form.limits, findings)
    if findings:
        return Refusal(INVALID, tuple(findings))
    return Configuration(form.edition, routes, services, limits)


def _of_type(value: Any, kind: type) -> Any:
    return value if isinstance(value, kind) else kind()


def _service_names(items: list[Any]) -> frozenset[str]:
    """The names of all services, faulty ones too: a route to one of those has no fault of its own."""
    named = (item.get(SERVICE["name"]) for item in items if isinstance(item, dict))
    return frozenset(name for name in named if isinstance(name, str))


def _read_services(items: list[Any], findings: Findings) -> tuple[Service, ...]:
    services = []
    seen: set[str] = set()
    for number, item in enumerate(items):
        place = f"{CONFIGURATION['services']}[{number}]"
        form = read_form(ServiceForm, item, place, findings)
        if form is None:
            continue
        if form.name in seen:
            findings.add(f"{place}.{SERVICE['name']}", f"another service is named {form.name!r} too")
        seen.add(form.name)
        services.append(_read_service(form, place, findings))
    return tuple(services)


def _read_service(form: ServiceForm, place: str, findings: Findings) -> Service:
    _check_not_negative(form, ("max_connections", "warm_up_s", "warm_up_rate"), place, findings)
    if not form.health_path.startswith("/"):
        findings.add(f"{place}.{SERVICE['health_path']}", "must begin with a slash")
    return Service(
        form.name,
        form.health_path,
        form.max_connections,
        form.warm_up_s,
        form.warm_up_rate,
        _read_engine(form.engine, f"{place}.{SERVICE['engine']}", findings),
    )


def _read_engine(data: dict[str, Any] | None, place: str, findings: Findings) -> Engine | None:
    if data is None:
        return None
    form = read_form(EngineForm, data, place, findings)
    if form is None:
        return None
    _check_not_negative(form, tuple(ENGINE), place, findings)
    return Engine(form.slots, form.memory_tokens, form.tokens_per_event)


def _read_limits(data: dict[str, Any], findings: Findings) -> ClientLimits:
    place = CONFIGURATION["limits"]
    form = read_form(ClientLimitsForm, data, place, findings)
    if form is None:
        return ClientLimits()
    _check_not_negative(form, ("header_bytes", "body_bytes", "header_read_ms", "idle_ms"), place, findings)
    return ClientLimits(form.header_bytes, form.body_bytes, form.header_read_ms, form.idle_ms)


def _check_not_negative(form: Any, names: tuple[str, ...], place: str, findings: Findings) -> None:
    for name in names:
        if getattr(form, name) < 0:
            findings.add(join_place(place, NAMES[type(form)][name]), "must not be negative")


def _read_routes(items: list[Any], services: frozenset[str], findings: Findings) -> tuple[Route, ...]:
    routes = []
    named: set[str] = set()
    placed: dict[tuple[str, str], str] = {}
    for number, item in enumerate(items):
        place = f"{CONFIGURATION['routes']}[{number}]"
        form = read_form(RouteForm, item, place, findings)
        if form is None:
            continue
        route = _read_route(form, place, services, findings)
        if route.name in named:
            findings.add(f"{place}.{ROUTE['name']}", f"another route is named {route.name!r} too")
        named.add(route.name)
        first = placed.setdefault((route.host, route.path_prefix), place)
        if first != place:
            findings.add(place, f"has the same host and path prefix as {first}")
        routes.append(route)
    return tuple(routes)


def _read_route(form: RouteForm, place: str, services: frozenset[str], findings: Findings) -> Route:
    for fault_place, message in _route_faults(form):
        findings.add(f"{place}.{ROUTE[fault_place]}", message)
    return Route(
        name=form.name,
        host=form.host.lower(),
        path_prefix=form.path_prefix,
        kind=_KINDS.get(form.kind, RouteKind.UNSAFE),
        timeout_ms=form.timeout_ms,
        objective_ms=form.objective_ms,
        precedence=form.precedence,
        services=_read_weights(form, place, services, findings),
        attempts=form.attempts,
        pinned=form.pinned,
        resumable=form.resumable,
        pause_objective_ms=form.pause_objective_ms,
        home_regions=frozenset(form.home_regions or ()),
    )


def _route_faults(form: RouteForm) -> Iterator[tuple[str, str]]:
    """The faults of a route's own values: the field, and what is wrong."""
    if not form.host:
        yield "host", "is empty"
    if not (form.path_prefix.startswith("/") and form.path_prefix.endswith("/")):
        yield "path_prefix", "must begin and end with a slash"
    if form.kind not in _KINDS:
        yield "kind", f"must be one of {', '.join(_KINDS)}"
    if form.timeout_ms <= 0:
        yield "timeout_ms", "must be above 0"
    if form.attempts < 1:
        yield "attempts", "must be at least 1"
    for name in ("objective_ms", "precedence", "pause_objective_ms"):
        if getattr(form, name) < 0:
            yield name, "must not be negative"


def _read_weights(
    form: RouteForm, place: str, services: frozenset[str], findings: Findings
) -> tuple[WeightedService, ...]:
    """The services of a route: the shares where there are any, else the one service, whole."""
    if form.service is not None and form.service not in services:
        findings.add(f"{place}.{ROUTE['service']}", f"there is no service {form.service!r}")
    if not form.services:
        return _read_single_service(form, place, findings)
    weighted = []
    place = f"{place}.{ROUTE['services']}"
    for number, item in enumerate(form.services):
        here = f"{place}[{number}]"
        share = read_form(WeightedServiceForm, item, here, findings)
        if share is None:
            continue
        if share.service not in services:
            findings.add(f"{here}.{WEIGHTED_SERVICE['service']}", f"there is no service {share.service!r}")
        if share.weight < 0:
            findings.add(f"{here}.{WEIGHTED_SERVICE['weight']}", "must not be negative")
        weighted.append(WeightedService(share.service, share.weight))
    if len(weighted) == len(form.services) and sum(one.weight for one in weighted) == 0:
        findings.add(place, "the weights sum to 0")
    return tuple(weighted)


def _read_single_service(form: RouteForm, place: str, findings: Findings) -> tuple[WeightedService, ...]:
    if form.service is not None:
        return (WeightedService(form.service, 1.0),)
    if form.services is None:
        findings.add(f"{place}.{ROUTE['service']}", "is missing")
    else:
        findings.add(f"{place}.{ROUTE['services']}", "the weights sum to 0")
    return ()
