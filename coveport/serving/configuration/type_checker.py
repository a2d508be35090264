"""Checks the types of fields in JSON objects with `dacite`; finds every fault, not just the first."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, fields
from typing import Any, Final, Generic, TypeVar

import dacite

from coveport.serving.configuration.json_text import JsonObject
from coveport.serving.configuration.raw_types import FIELD_NAMES, WHOLE_NUMBERS
from coveport.serving.model.findings import Findings

Raw = TypeVar("Raw")
"""One of the classes of `raw_types`."""

LARGEST_NUMBER: Final = 2**53  # above this, whole numbers aren't exact as 64 bit floats (RFC 8259, 6)
_ABSENT: Final = object()
_TYPE_PHRASES: Final = {
    "str": "a string",
    "int": "a whole number",
    "float": "a number",
    "bool": "true or false",
    "list": "a list",
    "dict": "an object",
}
_PLACEHOLDERS: Final[dict[str, Any]] = {
    "str": "",
    "int": 1,
    "float": 1.0,
    "bool": False,
    "list": [],
    "dict": {},
}
"""Valid placeholder values, which cause no further findings, by type name."""


@dataclass(frozen=True, slots=True)
class Checked(Generic[Raw]):
    """An object with fields of the right types; `invalid_fields` hold placeholders or bad numbers."""

    value: Raw
    invalid_fields: frozenset[str] = frozenset()


class TypeChecker:
    """Checks the objects of one configuration, and adds a finding for each fault.

    Whether the types of an object are valid depends only on its shape: its fields and their types. `dacite`,
    which takes 0.1 ms per object, checks one object of each shape; more objects of a valid shape are accepted
    without a check, as a configuration has thousands of similar routes.
    """

    def __init__(self, findings: Findings) -> None:
        self._findings = findings
        self._valid_shapes: set[tuple[Any, ...]] = set()

    def check(self, kind: type[Raw], data: object, location: str) -> Checked[Raw] | None:
        """Return a JSON value as an object of class `kind`; None where the value is no object."""
        if not isinstance(data, dict):
            self._findings.add(location, "must be an object")
            return None
        names = FIELD_NAMES[kind]
        shape = (kind, *[_shape_of(data.get(name, _ABSENT)) for name in names.values()])
        if shape in self._valid_shapes:
            value = kind(**{field: data[name] for field, name in names.items() if name in data})
            checked = Checked(value)
        else:
            checked = self._check_types(kind, data, location)
            if not checked.invalid_fields:
                self._valid_shapes.add(shape)
        invalid_fields = checked.invalid_fields.union(self._check_numbers(checked, location))
        return Checked(checked.value, invalid_fields) if invalid_fields else checked

    def _check_types(self, kind: type[Raw], data: JsonObject, location: str) -> Checked[Raw]:
        """Check with `dacite`, which stops at the first fault: replace the invalid field and check again."""
        names = FIELD_NAMES[kind]
        repaired = dict(data)
        invalid_fields: set[str] = set()
        while True:
            try:
                value = dacite.from_dict(kind, repaired, _DACITE_CONFIGS[kind])
                return Checked(value, frozenset(invalid_fields))
            except dacite.DaciteFieldError as error:
                field = (error.field_path or "").partition(".")[0]
                type_name = _type_name(kind, field)
                is_missing = isinstance(error, dacite.MissingValueError)
                message = "is missing" if is_missing else f"must be {_TYPE_PHRASES[type_name]}"
                self._findings.add(join_location(location, names[field]), message)
                invalid_fields.add(field)
                repaired[names[field]] = _PLACEHOLDERS[type_name]

    def _check_numbers(self, checked: Checked[Raw], location: str) -> list[str]:
        """Return the fields whose number is out of range, and add a finding for each of these fields."""
        kind = type(checked.value)
        invalid_fields = []
        for field in _NUMBER_FIELDS[kind]:
            value = getattr(checked.value, field)
            if field in checked.invalid_fields or value is None:
                continue
            fault = _number_fault(field, value)
            if fault is not None:
                self._findings.add(join_location(location, FIELD_NAMES[kind][field]), fault)
                invalid_fields.append(field)
        return invalid_fields


def join_location(location: str, name: str) -> str:
    """Return the location of a field of the object at a location."""
    return f"{location}.{name}" if location else name


def _shape_of(value: object) -> object:
    """Return the part of a value that determines whether its type is valid."""
    if isinstance(value, list):
        return frozenset(map(type, value))
    return type(value)


def _number_fault(field: str, value: float) -> str | None:
    if value < 0:
        return "must not be negative"
    if value > LARGEST_NUMBER:
        return f"must not be above {LARGEST_NUMBER}"
    if field in WHOLE_NUMBERS and value != int(value):
        return "must be a whole number"
    return None


def _reject_bool(kind: type) -> Callable[[Any], Any]:
    """Return a check that `dacite` lacks: it rejects true and false, which are not numbers in JSON."""

    def check(value: Any) -> Any:
        if isinstance(value, bool):
            raise dacite.WrongTypeError(field_type=kind, value=value)
        return value

    return check


def _require(kind: type) -> Callable[[Any], Any]:
    """Return a check to run before `dacite` builds a collection, since building may raise various errors."""

    def check(value: Any) -> Any:
        if not isinstance(value, kind):
            raise dacite.WrongTypeError(field_type=kind, value=value)
        return value

    return check


def _type_name(kind: Any, field: str) -> str:
    """Return a field's type without its arguments, as one of the names in `_TYPE_PHRASES`."""
    annotation = str(next(each.type for each in fields(kind) if each.name == field))
    return annotation.removesuffix(" | None").partition("[")[0]


_HOOKS: Final[dict[Any, Callable[[Any], Any]]] = {
    int: _reject_bool(int),
    float: _reject_bool(float),
    list[Any]: _require(list),
    list[str]: _require(list),
    dict[str, Any]: _require(dict),
}
_DACITE_CONFIGS: Final[dict[Any, dacite.Config]] = {
    kind: dacite.Config(convert_key=names.__getitem__, type_hooks=_HOOKS)
    for kind, names in FIELD_NAMES.items()
}
_NUMBER_FIELDS: Final[dict[Any, list[str]]] = {
    kind: [field for field in names if _type_name(kind, field) in ("int", "float")]
    for kind, names in FIELD_NAMES.items()
}
