"""Reads and checks the routes of a configuration."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any, Final

from coveport.serving.configuration.form_reader import FormReader, ReadForm
from coveport.serving.configuration.forms import RouteForm, WeightedServiceForm
from coveport.serving.model.configuration import Route, RouteKind, WeightedService
from coveport.serving.model.findings import Findings
from coveport.serving.wire.configuration import CONFIGURATION, ROUTE, WEIGHTED_SERVICE

_KINDS: Final = {kind.value: kind for kind in RouteKind}


class RouteReader:
    """Reads all routes of one configuration."""

    def __init__(self, forms: FormReader, findings: Findings, services: frozenset[str] | None) -> None:
        """`services`: the names that routes may use; None: not known, since that list can't be read."""
        self._forms = forms
        self._findings = findings
        self._services = services
        self._names: set[str] = set()
        self._places: dict[tuple[str, str], str] = {}

    def read(self, items: list[Any]) -> tuple[Route, ...]:
        """The routes; of no use where there are findings."""
        routes = []
        for number, item in enumerate(items):
            place = f"{CONFIGURATION['routes']}[{number}]"
            read = self._forms.read(RouteForm, item, place)
            if read is not None:
                routes.append(self._read_route(read, place))
        return tuple(routes)

    def _read_route(self, read: ReadForm[RouteForm], place: str) -> Route:
        form = read.form
        faulty = set(read.faulty)
        for field, message in _faults(form):
            if field not in faulty:
                self._findings.add(f"{place}.{ROUTE[field]}", message)
                faulty.add(field)
        self._check_unique(form, faulty, place)
        return Route(
            name=form.name,
            host=form.host.lower(),
            path_prefix=form.path_prefix,
            kind=_KINDS.get(form.kind, RouteKind.UNSAFE),
            timeout_ms=form.timeout_ms,
            latency_target_ms=form.latency_target_ms,
            priority=int(form.priority),
            services=self._read_services(read, place),
            max_attempts=int(form.max_attempts),
            session_affinity=form.session_affinity,
            resumable=form.resumable,
            inter_token_target_ms=form.inter_token_target_ms,
            home_regions=frozenset(form.home_regions or ()),
        )

    def _check_unique(self, form: RouteForm, faulty: set[str], place: str) -> None:
        """Names and places must differ, those at fault aside: they have their finding."""
        if "name" not in faulty:
            if form.name in self._names:
                self._findings.add(f"{place}.{ROUTE['name']}", f"another route is named {form.name!r} too")
            self._names.add(form.name)
        if faulty.isdisjoint(("host", "path_prefix")):
            first = self._places.setdefault((form.host.lower(), form.path_prefix), place)
            if first != place:
                self._findings.add(place, f"has the same host and path prefix as {first}")

    def _read_services(self, read: ReadForm[RouteForm], place: str) -> tuple[WeightedService, ...]:
        """The services of a route: the weighted ones where there are any, else the one service, whole."""
        form = read.form
        if form.service is not None and "service" not in read.faulty:
            self._check_known(form.service, f"{place}.{ROUTE['service']}")
        if form.services:
            return self._read_weighted(form.services, f"{place}.{ROUTE['services']}")
        if form.service is not None:
            return (WeightedService(form.service, 1.0),)
        if form.services is None:
            self._findings.add(f"{place}.{ROUTE['service']}", "is missing")
        elif "services" not in read.faulty:
            self._findings.add(f"{place}.{ROUTE['services']}", "the weights sum to 0")
        return ()

    def _read_weighted(self, items: list[Any], place: str) -> tuple[WeightedService, ...]:
        weighted = []
        has_fault = False
        for number, item in enumerate(items):
            here = f"{place}[{number}]"
            read = self._forms.read(WeightedServiceForm, item, here)
            if read is None:
                has_fault = True
                continue
            if "service" not in read.faulty:
                self._check_known(read.form.service, f"{here}.{WEIGHTED_SERVICE['service']}")
            has_fault = has_fault or "weight" in read.faulty
            weighted.append(WeightedService(read.form.service, read.form.weight))
        if not has_fault and sum(one.weight for one in weighted) == 0:
            self._findings.add(place, "the weights sum to 0")
        return tuple(weighted)

    def _check_known(self, service: str, place: str) -> None:
        if self._services is not None and service not in self._services:
            self._findings.add(place, f"there is no service {service!r}")


def _faults(form: RouteForm) -> Iterator[tuple[str, str]]:
    """The faults of a route's own values: the field, and what is wrong."""
    if not form.host:
        yield "host", "is empty"
    if not (form.path_prefix.startswith("/") and form.path_prefix.endswith("/")):
        yield "path_prefix", "must begin and end with a slash"
    if form.kind not in _KINDS:
        yield "kind", f"must be one of {', '.join(_KINDS)}"
    if form.timeout_ms == 0:
        yield "timeout_ms", "must be above 0"
    if form.max_attempts < 1:
        yield "max_attempts", "must be at least 1"
