"""Checks parts of a configuration against their forms with `dacite`: every fault, not just the first."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, fields
from typing import Any, Final, Generic, TypeVar

import dacite

from coveport.serving.configuration.forms import NAMES, WHOLE_NUMBERS
from coveport.serving.model.findings import Findings

Form = TypeVar("Form")

LARGEST_NUMBER: Final = 2**53  # above that, whole numbers are no longer exact everywhere
_ABSENT: Final = object()
_SPOKEN: Final = {
    "str": "a string",
    "int": "a whole number",
    "float": "a number",
    "bool": "true or false",
    "list": "a list",
    "dict": "an object",
}


@dataclass(frozen=True, slots=True)
class ReadForm(Generic[Form]):
    """A form, with something harmless in the fields that are at fault."""

    form: Form
    faulty: frozenset[str] = frozenset()


class FormReader:
    """Reads the parts of one configuration; all faults go to its findings.

    Whether a part has the right types follows from its shape: which fields it has, and of which types.
    `dacite` looks at one part of each shape, the others of a shape that passed are taken as they are:
    thousands of routes are alike, and `dacite` takes 0.1 ms for one.
    """

    def __init__(self, findings: Findings) -> None:
        self._findings = findings
        self._passed: set[tuple[Any, ...]] = set()

    def read(self, kind: type[Form], data: object, place: str) -> ReadForm[Form] | None:
        """The form of that kind in a JSON value; None where that is no object."""
        if not isinstance(data, dict):
            self._findings.add(place, "must be an object")
            return None
        names = NAMES[kind]
        shape = (kind, *[_shape(data.get(name, _ABSENT)) for name in names.values()])
        if shape in self._passed:
            form = kind(**{field: data[name] for field, name in names.items() if name in data})
            read = ReadForm(form)
        else:
            read = self._check(kind, data, place)
            if not read.faulty:
                self._passed.add(shape)
        faulty = read.faulty.union(self._check_numbers(read, place))
        return ReadForm(read.form, faulty) if faulty else read

    def _check(self, kind: type[Form], data: dict[str, Any], place: str) -> ReadForm[Form]:
        """Read with `dacite`, which stops at the first fault: mend that field and read again."""
        names = NAMES[kind]
        mended = dict(data)
        faulty: set[str] = set()
        while True:
            try:
                return ReadForm(dacite.from_dict(kind, mended, _SETTINGS[kind]), frozenset(faulty))
            except dacite.DaciteFieldError as fault:
                field = (fault.field_path or "").partition(".")[0]
                type_name = _type_name(kind, field)
                is_missing = isinstance(fault, dacite.MissingValueError)
                message = "is missing" if is_missing else f"must be {_SPOKEN[type_name]}"
                self._findings.add(join_place(place, names[field]), message)
                faulty.add(field)
                mended[names[field]] = _harmless(type_name)

    def _check_numbers(self, read: ReadForm[Form], place: str) -> list[str]:
        """Fields whose number is out of range; a finding for each."""
        faulty = []
        for field in _NUMBER_FIELDS[type(read.form)]:
            if field in read.faulty:
                continue
            fault = _number_fault(field, getattr(read.form, field))
            if fault is not None:
                self._findings.add(join_place(place, NAMES[type(read.form)][field]), fault)
                faulty.append(field)
        return faulty


def join_place(place: str, name: str) -> str:
    """The place of something inside another."""
    return f"{place}.{name}" if place else name


def _shape(value: object) -> object:
    """What of a value decides whether its type is right."""
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


def _refuse_bool(kind: type) -> Callable[[Any], Any]:
    """A check that `dacite` lacks: in JSON, true and false are no numbers."""

    def check(value: Any) -> Any:
        if isinstance(value, bool):
            raise dacite.WrongTypeError(field_type=kind, value=value)
        return value

    return check


def _require(kind: type) -> Callable[[Any], Any]:
    """A check before `dacite` builds a collection: it fails in many ways on one of another type."""

    def check(value: Any) -> Any:
        if not isinstance(value, kind):
            raise dacite.WrongTypeError(field_type=kind, value=value)
        return value

    return check


_HOOKS: Final[dict[Any, Callable[[Any], Any]]] = {
    int: _refuse_bool(int),
    float: _refuse_bool(float),
    list[Any]: _require(list),
    list[str]: _require(list),
    dict[str, Any]: _require(dict),
}
_SETTINGS: Final[dict[Any, dacite.Config]] = {
    kind: dacite.Config(convert_key=names.__getitem__, type_hooks=_HOOKS) for kind, names in NAMES.items()
}


def _type_name(kind: Any, field: str) -> str:
    """A field's type without its details, as one of the names in `_SPOKEN`."""
    text = str(next(one.type for one in fields(kind) if one.name == field))
    return text.removesuffix(" | None").partition("[")[0]


_NUMBER_FIELDS: Final[dict[Any, list[str]]] = {
    kind: [field for field in names if _type_name(kind, field) in ("int", "float")]
    for kind, names in NAMES.items()
}


def _harmless(type_name: str) -> Any:
    return {"str": "", "int": 1, "float": 1.0, "bool": False, "list": [], "dict": {}}[type_name]
