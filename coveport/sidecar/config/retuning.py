"""What a configuration that replaces a running one must hold: all is checked before any is taken. Pure."""

from __future__ import annotations

import sys
from collections.abc import Mapping
from typing import Any

EFFECTS = ("idempotent", "deduplicated", "at_most_once")


def check(told: Mapping[str, Any], running: Mapping[str, Any]) -> None:
    """ValueError names the first key at fault, and what would be right.

    A key that the running file has may not be missing: a file that was cut or half edited would else be taken
    with defaults in its place. Of classes only what all of them have is wanted of each.
    """
    _keys(told, running, "")
    settings = told["settings"]
    classes = settings.get("classes")
    if not isinstance(classes, list) or not classes:
        raise ValueError("settings.classes must be a list of one class or more")
    shared = set.intersection(*({*one} for one in running["settings"]["classes"]))
    names: set[str] = set()
    for place, one in enumerate(classes):
        where = f"settings.classes[{place}]"
        if not isinstance(one, dict):
            raise ValueError(f"{where} must be an object")
        for key in sorted(shared - {*one}):
            raise ValueError(f"{where}.{key} is missing")
        name = one.get("name")
        if not isinstance(name, str) or not name:
            raise ValueError(f"{where}.name must be a text, not {name!r}")
        if name in names:
            raise ValueError(f"{where}.name: there are two classes {name!r}")
        names.add(name)
        for key in ("aim_ms", "deadline_ms"):
            _positive(one.get(key), f"{where}.{key}")
        if one.get("semantics") not in EFFECTS:
            raise ValueError(
                f"{where}.semantics must be one of {', '.join(EFFECTS)}, not {one.get('semantics')!r}"
            )
    limits = settings.get("limits")
    if isinstance(limits, dict) and "most_tries" in limits:
        most = limits["most_tries"]
        _positive(most, "settings.limits.most_tries")
        if most != int(most):
            raise ValueError(f"settings.limits.most_tries must be a whole number, not {most!r}")


def _keys(told: Mapping[str, Any], running: Mapping[str, Any], where: str) -> None:
    for key, value in running.items():
        if key not in told:
            raise ValueError(f"{where}{key} is missing")
        if isinstance(value, dict):
            if not isinstance(told[key], dict):
                raise ValueError(f"{where}{key} must be an object, not {told[key]!r}")
            _keys(told[key], value, f"{where}{key}.")


def _positive(value: Any, where: str) -> None:
    # Guards against true, which counts as 1, and whole numbers beyond all floats.
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 < value <= sys.float_info.max:
        raise ValueError(f"{where} must be a positive number, not {value!r}")
