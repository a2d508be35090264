"""JSON texts of configurations: strict reading, and writing in a canonical form."""

from __future__ import annotations

import json
import math
from typing import Any, Final, NoReturn

from coveport.serving.model.findings import Finding, Refusal

JsonObject = dict[str, Any]
"""A JSON object whose fields have not been checked."""

UNREADABLE: Final = "unreadable JSON"
# Maximum depth of nested objects and lists. Python's own limit depends on the caller's stack, but a primary
# and its backups must accept the same texts.
MAX_DEPTH: Final = 32
_CONTAINERS: Final = (dict, list)


def read_object(raw: bytes) -> JsonObject | Refusal:
    """Return the JSON object in a text, or a refusal where the text is truncated or is no JSON object."""
    try:
        data = json.loads(raw.decode(), parse_constant=_refuse_constant, parse_float=_finite_float)
        if b"\\u" in raw:
            write_object(data)  # raises for half of a surrogate pair, which can be read but not written
    except RecursionError:
        return _refusal("is nested too deeply")
    except ValueError as error:  # UnicodeError and JSONDecodeError included
        return _refusal(f"is not JSON: {error}")
    if not isinstance(data, dict):
        return _refusal("must be an object")
    if _is_deeper_than(data, MAX_DEPTH):
        return _refusal("is nested too deeply")
    return data


class ObjectWriter:
    """Writes the canonical text of many values: no spaces, fields in the order of the input."""

    def __init__(self) -> None:
        self._encoder = json.JSONEncoder(ensure_ascii=False, allow_nan=False, separators=(",", ":"))

    def write(self, data: Any) -> bytes:
        """Return the text of a value."""
        return self._encoder.encode(data).encode()


def write_object(data: Any) -> bytes:
    """Return the canonical text of one value."""
    return ObjectWriter().write(data)


def _refusal(message: str) -> Refusal:
    return Refusal(UNREADABLE, (Finding("", message),))


def _refuse_constant(name: str) -> NoReturn:
    raise ValueError(f"{name} is no JSON number")


def _finite_float(text: str) -> float:
    value = float(text)
    if not math.isfinite(value):
        raise ValueError(f"{text} is out of range")
    return value


def _is_deeper_than(data: Any, max_depth: int) -> bool:
    level = [data]
    for _ in range(max_depth):
        level = [
            inner
            for value in level
            for inner in (value.values() if isinstance(value, dict) else value)
            if type(inner) in _CONTAINERS
        ]
        if not level:
            return False
    return True
