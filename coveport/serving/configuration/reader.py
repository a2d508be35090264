"""Reads a configuration and checks it whole: a configuration, or every fault of it with its place."""

from __future__ import annotations

from typing import Any, Final

from coveport.serving.configuration.document import Document, DocumentCache, make_document
from coveport.serving.configuration.form_reader import FormReader
from coveport.serving.configuration.forms import ClientLimitsForm, ConfigurationForm, EngineForm, ServiceForm
from coveport.serving.configuration.json_text import read_object
from coveport.serving.configuration.route_reader import RouteReader
from coveport.serving.model.configuration import ClientLimits, Configuration, Engine, Service
from coveport.serving.model.findings import Findings, Refusal
from coveport.serving.wire.configuration import CONFIGURATION, SERVICE

INVALID: Final = "invalid configuration"


_NEWEST: Final = DocumentCache()


def read_configuration(raw: bytes) -> Configuration | Refusal:
    """The configuration in a JSON text, or why it can't be used, with a finding for each fault."""
    document = read_document(raw)
    return document if isinstance(document, Refusal) else document.configuration


def read_document(raw: bytes) -> Document | Refusal:
    """The configuration in a JSON text with its parts; the newest are not read again."""
    known = _NEWEST.find(raw)
    if known is not None:
        return known
    data = read_object(raw)
    document = data if isinstance(data, Refusal) else validate_document(data)
    if isinstance(document, Document):
        _NEWEST.remember(raw, document)
    return document


def render_document(document: Document) -> bytes:
    """The text of a document, which will not be read again soon."""
    text = document.text()
    _NEWEST.remember(text, document)
    return text


def validate_document(data: dict[str, Any]) -> Document | Refusal:
    """A whole configuration as a JSON object, checked."""
    configuration = _read(data)
    return configuration if isinstance(configuration, Refusal) else make_document(data, configuration)


def _read(data: dict[str, Any]) -> Configuration | Refusal:
    findings = Findings()
    forms = FormReader(findings)
    whole = forms.read(ConfigurationForm, data, "")
    assert whole is not None  # an object
    form = whole.form
    if form.edition == 0:
        findings.add(CONFIGURATION["edition"], "must be above 0")
    services = _read_services(form.services, forms, findings)
    service_names = None if "services" in whole.faulty else _names(form.services)
    routes = RouteReader(forms, findings, service_names).read(form.routes)
    limits = _read_limits(form.limits, forms)
    if findings:
        return Refusal(INVALID, tuple(findings))
    return Configuration(form.edition, routes, services, limits)


def _names(items: list[Any]) -> frozenset[str]:
    """The names of all services, faulty ones too: a route to one of those has no fault of its own."""
    named = (item.get(SERVICE["name"]) for item in items if isinstance(item, dict))
    return frozenset(name for name in named if isinstance(name, str))


def _read_services(items: list[Any], forms: FormReader, findings: Findings) -> tuple[Service, ...]:
    services = []
    seen: set[str] = set()
    for number, item in enumerate(items):
        place = f"{CONFIGURATION['services']}[{number}]"
        read = forms.read(ServiceForm, item, place)
        if read is None:
            continue
        name = read.form.name
        if "name" not in read.faulty and name in seen:
            findings.add(f"{place}.{SERVICE['name']}", f"another service is named {name!r} too")
        seen.add(name)
        services.append(_read_service(read.form, place, forms))
    return tuple(services)


def _read_service(form: ServiceForm, place: str, forms: FormReader) -> Service:
    return Service(
        form.name,
        form.health_path,
        int(form.max_connections),
        form.warm_up_s,
        form.warm_up_rate,
        _read_engine(form.engine, f"{place}.{SERVICE['engine']}", forms),
    )


def _read_engine(data: dict[str, Any] | None, place: str, forms: FormReader) -> Engine | None:
    read = None if data is None else forms.read(EngineForm, data, place)
    if read is None:
        return None
    form = read.form
    return Engine(int(form.slots), int(form.kv_cache_tokens), int(form.tokens_per_event))


def _read_limits(data: dict[str, Any], forms: FormReader) -> ClientLimits:
    read = forms.read(ClientLimitsForm, data, CONFIGURATION["limits"])
    assert read is not None  # an object
    form = read.form
    return ClientLimits(int(form.header_bytes), int(form.body_bytes), form.header_read_ms, form.idle_ms)
