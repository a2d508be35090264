"""Checks a platform file that is to replace the running file, before any of the new file takes effect.

The module is pure: it does no I/O, and uses no clock or random source of its own.
"""

from __future__ import annotations

import sys
from collections.abc import Mapping, Sequence
from typing import Any, Final

from coveport.sidecar.config.errors import PlatformFileError

SEMANTICS: Final = ("idempotent", "deduplicated", "at_most_once")


def check(candidate: Mapping[str, Any], running: Mapping[str, Any]) -> None:
    """Raise PlatformFileError for the first invalid key, with the values that are allowed.

    Both arguments are the JSON objects of the files. Each key of the running file is required: a file that is
    truncated or half edited would otherwise be applied with defaults for the rest. Each class must have the
    keys that all running classes have.
    """
    _check_keys(candidate, running, "")
    settings = candidate["settings"]
    _check_classes(settings.get("classes"), running["settings"]["classes"])
    limits = settings.get("limits")
    if isinstance(limits, dict) and "most_tries" in limits:
        _check_positive_integer(limits["most_tries"], "settings.limits.most_tries")


def _check_keys(candidate: Mapping[str, Any], running: Mapping[str, Any], prefix: str) -> None:
    for key, value in running.items():
        if key not in candidate:
            raise PlatformFileError(f"{prefix}{key} is missing")
        if isinstance(value, dict):
            if not isinstance(candidate[key], dict):
                raise PlatformFileError(f"{prefix}{key} must be an object, not {candidate[key]!r}")
            _check_keys(candidate[key], value, f"{prefix}{key}.")


def _check_classes(classes: Any, running: Sequence[Mapping[str, Any]]) -> None:
    if not isinstance(classes, list) or not classes:
        raise PlatformFileError("settings.classes must be a list of one class or more")
    required = set.intersection(*({*running_class} for running_class in running))
    names: set[str] = set()
    for index, candidate in enumerate(classes):
        location = f"settings.classes[{index}]"
        name = _check_class(candidate, required, location)
        if name in names:
            raise PlatformFileError(f"{location}.name: there are two classes {name!r}")
        names.add(name)
        _check_values(candidate, location)


def _check_class(candidate: Any, required: set[str], location: str) -> str:
    """Check that a class has the required keys and a name; return the name."""
    if not isinstance(candidate, dict):
        raise PlatformFileError(f"{location} must be an object")
    missing = sorted(required - {*candidate})
    if missing:
        raise PlatformFileError(f"{location}.{missing[0]} is missing")
    name = candidate.get("name")
    if not isinstance(name, str) or not name:
        raise PlatformFileError(f"{location}.name must be a text, not {name!r}")
    return name


def _check_values(candidate: Mapping[str, Any], location: str) -> None:
    for key in ("aim_ms", "deadline_ms"):
        _check_positive(candidate.get(key), f"{location}.{key}")
    semantics = candidate.get("semantics")
    if semantics not in SEMANTICS:
        raise PlatformFileError(
            f"{location}.semantics must be one of {', '.join(SEMANTICS)}, not {semantics!r}"
        )


def _check_positive_integer(value: Any, location: str) -> None:
    _check_positive(value, location)
    if value != int(value):
        raise PlatformFileError(f"{location} must be a whole number, not {value!r}")


def _check_positive(value: Any, location: str) -> None:
    # The check rejects true, which counts as 1, and integers too large for a float.
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 < value <= sys.float_info.max:
        raise PlatformFileError(f"{location} must be a positive number, not {value!r}")
