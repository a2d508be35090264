"""The settings of a balancer as the simulator sends them, in one JSON object."""

from __future__ import annotations

import json
from typing import Any

from coveport.balancing.settings import (
    DeduplicationScope,
    Effect,
    Limits,
    Prices,
    RequestClass,
    Rules,
    Settings,
)

_EFFECTS = {
    "idempotent": Effect.SAFE,
    "deduplicated": Effect.KEYED,
    "at_most_once": Effect.UNSAFE,
}


def _known_values(section: Any, fields: dict[str, str]) -> dict[str, Any]:
    """Return the present values of known keys, by field name; `fields` maps a key to its field."""
    if not isinstance(section, dict):
        return {}
    return {field: section[key] for key, field in fields.items() if section.get(key) is not None}


_CLASS_KEYS = {
    key: key for key in ("name", "aim_ms", "deadline_ms", "late_share", "aim_stretch", "window_ms", "stream")
} | {"gain": "worth"}
_LIMIT_KEYS = {
    key: key
    for key in (
        "second_copies",
        "cancel",
        "probes",
        "retry_after",
        "max_retry_after_ms",
        "connect_timeout_ms",
    )
}
_LIMIT_KEYS["most_tries"] = "max_attempts"
_RULE_KEYS = {
    key: key
    for key in (
        "answer_slack_ms",
        "ask_within_ms",
        "cold_from",
        "warm_after_ms",
        "overload_factor",
        "fall_ms",
    )
}
_RULE_KEYS["stop_sending_within_ms"] = "drain_grace_ms"
_PRICE_KEYS = {key: key for key in ("cross_zone", "waste", "late_fail", "probe")}


def parse_settings(text: str | bytes) -> Settings:
    """Parse settings from a JSON text.

    Unknown keys are skipped; for absent keys the defaults of the settings classes apply. A text that is
    not JSON, or a value out of range, raises `ValueError`.
    """
    info = json.loads(text)
    classes = []
    for section in info.get("classes") or ():
        values = _known_values(section, _CLASS_KEYS)
        values["effect"] = _EFFECTS.get(section.get("semantics"), Effect.UNSAFE)
        # An unknown scope is read as the narrowest one.
        scopes = {scope.value: scope for scope in DeduplicationScope}
        values["group"] = scopes.get(section.get("key_scope", "all"), DeduplicationScope.CELL)
        classes.append(RequestClass(**values))
    telemetry = info.get("telemetry") or {}
    return Settings(
        classes=tuple(classes),
        must_ask=info.get("registry_mode") == "subscribe",
        worth_by_work=info.get("value_by") == "work",
        load_fields=tuple(telemetry.get("fields") or ()),
        limits=Limits(**_known_values(info.get("limits"), _LIMIT_KEYS)),
        rules=Rules(**_known_values(info.get("invariants"), _RULE_KEYS)),
        prices=Prices(**_known_values(info.get("prices"), _PRICE_KEYS)),
        **_known_values(info, {"zone": "zone", "peers_total": "peers_total", "round_ms": "tick_ms"}),
    )
