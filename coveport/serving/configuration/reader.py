"""Reads and validates configurations; reports every fault with its location."""

from __future__ import annotations

from typing import Final

from coveport.serving.configuration.document import Document, make_document
from coveport.serving.configuration.document_cache import DocumentCache
from coveport.serving.configuration.json_text import JsonObject, read_object
from coveport.serving.configuration.raw_types import RawClientLimits, RawConfiguration
from coveport.serving.configuration.route_reader import RouteReader
from coveport.serving.configuration.service_reader import read_services, service_names
from coveport.serving.configuration.tenant_reader import TenantReader
from coveport.serving.configuration.type_checker import TypeChecker
from coveport.serving.model.configuration import ClientLimits, Configuration
from coveport.serving.model.findings import Findings, Refusal, TooManyFindingsError
from coveport.serving.wire.configuration import CONFIGURATION

INVALID: Final = "invalid configuration"
MAX_FINDINGS: Final = 1000  # more than anyone reads; the time and the memory for all could end the process

_CACHE: Final = DocumentCache()


def read_configuration(raw: bytes) -> Configuration | Refusal:
    """Return the configuration in a JSON text, or a refusal with a finding for each fault."""
    document = read_document(raw)
    return document if isinstance(document, Refusal) else document.configuration


def read_document(raw: bytes) -> Document | Refusal:
    """Return the document in a JSON text, or a refusal; the newest documents are cached."""
    cached = _CACHE.find(raw)
    if cached is not None:
        return cached
    data = read_object(raw)
    document = data if isinstance(data, Refusal) else validate_document(data)
    if isinstance(document, Document):
        _CACHE.add(raw, document)
    return document


def render_document(document: Document) -> bytes:
    """Return the text of a document, and cache the document for the next reader of this text."""
    text = document.text()
    _CACHE.add(text, document)
    return text


def validate_document(data: JsonObject) -> Document | Refusal:
    """Return the document of a JSON object, or a refusal."""
    configuration = _validate(data)
    return configuration if isinstance(configuration, Refusal) else make_document(data, configuration)


def _validate(data: JsonObject) -> Configuration | Refusal:
    findings = Findings(max_items=MAX_FINDINGS)
    try:
        configuration = _read(data, findings)
    except TooManyFindingsError:
        return Refusal(INVALID, tuple(findings))
    return Refusal(INVALID, tuple(findings)) if findings else configuration


def _read(data: JsonObject, findings: Findings) -> Configuration:
    """Return the configuration; it is invalid where there are findings."""
    checker = TypeChecker(findings)
    checked = checker.check(RawConfiguration, data, "")
    assert checked is not None  # the checked value is an object
    raw = checked.value
    if raw.edition == 0:
        findings.add(CONFIGURATION["edition"], "must be above 0")
    services = read_services(raw.services, checker, findings)
    known_services = None if "services" in checked.invalid_fields else service_names(raw.services)
    routes = RouteReader(checker, findings, known_services).read(raw.routes)
    limits = _read_limits(raw.limits, checker)
    if raw.tenants is None and CONFIGURATION["tenants"] in data:
        findings.add(CONFIGURATION["tenants"], "must be a list")
    tenants = None if raw.tenants is None else TenantReader(checker, findings).read(raw.tenants)
    return Configuration(raw.edition, routes, services, limits, tenants)


def _read_limits(data: JsonObject, checker: TypeChecker) -> ClientLimits:
    checked = checker.check(RawClientLimits, data, CONFIGURATION["limits"])
    assert checked is not None  # the checked value is an object
    raw = checked.value
    return ClientLimits(int(raw.header_bytes), int(raw.body_bytes), raw.header_read_ms, raw.idle_ms)
