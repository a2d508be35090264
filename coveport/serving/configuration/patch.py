"""Applies patches to a configuration: upserts and removals of named items. Items keep their order."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, Final

from coveport.serving.configuration.json_text import JsonObject
from coveport.serving.model.findings import Findings, Refusal, TooManyFindingsError
from coveport.serving.wire.names import Config

INVALID_PATCH: Final = "invalid patch"
MAX_FINDINGS: Final = 1000  # as in a whole configuration


def apply_patch(current: Mapping[str, Any], change: Mapping[str, Any]) -> JsonObject | Refusal:
    """Return the configuration after a change, or a refusal. The inputs, JSON objects, are not modified.

    Removals are applied first, then upserts: an item replaces the item with its name at the same position, or
    is appended. The limits are replaced as a whole. Removing an unknown name has no effect.
    """
    findings = Findings(max_items=MAX_FINDINGS)
    try:
        result = _apply(current, change, findings)
    except TooManyFindingsError:
        return Refusal(INVALID_PATCH, tuple(findings))
    return Refusal(INVALID_PATCH, tuple(findings)) if findings else result


def _apply(current: Mapping[str, Any], change: Mapping[str, Any], findings: Findings) -> JsonObject:
    """Return the configuration after a change; it is invalid where there are findings."""
    upserts = _section(change, Config.UPSERT, findings)
    removals = _section(change, Config.REMOVE, findings)
    result = dict(current)
    if Config.EDITION in change:
        result[Config.EDITION] = change[Config.EDITION]
    else:
        findings.add(Config.EDITION, "is missing")
    for key, names in removals.items():
        _remove(result, key, names, findings)
    for key, items in upserts.items():
        _upsert(result, key, items, findings)
    if Config.LIMITS in change:
        result[Config.LIMITS] = change[Config.LIMITS]
    return result


def _section(change: Mapping[str, Any], key: str, findings: Findings) -> Mapping[str, Any]:
    section = change.get(key, {})
    if isinstance(section, Mapping):
        return section
    findings.add(key, "must be an object")
    return {}


def _remove(result: JsonObject, key: str, names: Any, findings: Findings) -> None:
    location = f"{Config.REMOVE}.{key}"
    if not isinstance(names, list) or not all(isinstance(name, str) for name in names):
        findings.add(location, "must be a list of names")
        return
    items = result.get(key, [])
    if not isinstance(items, list):
        findings.add(location, "has no items that could be removed by name")
        return
    removed = frozenset(names)
    if items:
        result[key] = [item for item in items if _name_of(item) not in removed]


def _upsert(result: JsonObject, key: str, items: Any, findings: Findings) -> None:
    location = f"{Config.UPSERT}.{key}"
    if isinstance(items, dict) and not isinstance(result.get(key, {}), list):
        result[key] = items
        return
    if not isinstance(items, list) or not isinstance(result.get(key, []), list):
        findings.add(location, "must be a list of items")
        return
    merged = list(result.get(key, []))
    positions = {_name_of(item): position for position, item in enumerate(merged)}
    for number, item in enumerate(items):
        name = _name_of(item)
        if name is None:
            findings.add(f"{location}[{number}]", f"must be an object with a {Config.NAME}")
        elif name in positions:
            merged[positions[name]] = item
        else:
            positions[name] = len(merged)
            merged.append(item)
    result[key] = merged


def _name_of(item: Any) -> str | None:
    name = item.get(Config.NAME) if isinstance(item, Mapping) else None
    return name if isinstance(name, str) else None
