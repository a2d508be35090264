"""Reads TOML into a msgspec struct, and says of each mistake where it stands and what would be right. Pure.

msgspec stops at the first mistake it meets, and knows of no file. Here it converts one plain value at a time,
so that all mistakes are found, those of sense beside those of form, and the first in the file can be told.
"""

from __future__ import annotations

import difflib
import json
import math
import re
import tomllib
from collections.abc import Iterable, Mapping, Sequence
from typing import Annotated, Any, Generic, Literal, NamedTuple, TypeVar, get_args, get_origin

import msgspec
from msgspec import UNSET, Struct

Figure = float | tuple[float, float]
"""A number, or a range that is drawn from."""

Place = tuple[str | int, ...]
"""Where something stands: keys, and positions in lists."""

HEADER = re.compile(r"\s*(\[\[?)\s*([A-Za-z0-9_. -]+?)\s*\]\]?\s*(?:#.*)?")
SHOWN = 40  # characters of a value that errors show

T = TypeVar("T", bound=Struct)


class Bounds(NamedTuple):
    """What a number, or both ends of a range, must lie between. Goes into `Annotated`.

    msgspec's own `Meta` would do this, but 0.23 crashes on a union of a float that has one and a tuple.
    """

    low: float
    high: float = math.inf
    above: bool = False  # whether `low` itself is out

    def holds(self, number: float) -> bool:
        """Whether the number lies within."""
        return (self.low < number if self.above else self.low <= number) and number <= self.high

    def __str__(self) -> str:
        if self.above:
            return f"above {self.low}" + (f", at most {self.high}" if self.high < math.inf else "")
        return f"from {self.low} to {self.high}" if self.high < math.inf else f"of at least {self.low}"


class Spelt(NamedTuple):
    """How a text must be spelt, as a pattern and for people. Goes into `Annotated`."""

    pattern: str
    right: str


class TablesError(Exception):
    """A text can't be read at all, or a set can't be laid over it; its text is as `Tables.first` gives it."""


class _Problem(NamedTuple):
    place: Place
    text: str
    needs: tuple[Place, ...] = ()  # other places it was judged by


class Tables(Generic[T]):
    """A text read as `root`. Where it is wrong, `value` holds the default there, or the stand-in.

    `sets` are `KEY=VALUE`, laid over the text in their order: keys dotted, positions in lists by number
    (`a.0.b=4` or `a[0].b=4`; one more than there are adds one), values as in TOML, anything else taken as a
    string. `stand_ins` has a right value for the name of each field without a default.
    """

    value: T

    def __init__(self, text: str, sets: Sequence[str], root: type[T], stand_ins: Mapping[str, Any]) -> None:
        self._stand_ins = stand_ins
        self._wrong: list[_Problem] = []
        self._odd: list[_Problem] = []
        raw = _read(text)
        default = msgspec.to_builtins(msgspec.convert(self._stand_in(root), root))
        self._order = _Order(text, [(_lay(raw, one, default), one) for one in sets], raw)
        self.value = msgspec.convert(self._table(raw, root, ()), root)

    def say(self, place: Place, text: str, *needs: Place) -> None:
        """Note that what stands at `place` makes no sense; `needs` are other places that it was judged by."""
        self._odd.append(_Problem(place, text, needs))

    def first(self) -> str:
        """What is wrong first in the text, sets last: `KEY: what is wrong; what would be right`. Or ""."""
        wrong = [one.place for one in self._wrong]
        # Guards against mistakes that come only of what is put in place of a wrong value.
        own = [
            one
            for one in self._odd
            if not any(
                all(a == b for a, b in zip(bad, need, strict=False))  # one place holds the other
                for bad in wrong
                for need in (one.place, *one.needs)
            )
        ]
        first = min(self._wrong + own, key=lambda one: self._order.of(one.place), default=None)
        return f"{self._order.called(first.place)}: {first.text}" if first else ""

    def _fail(self, place: Place, text: str) -> Any:
        """Note a wrong value, which then counts as not given."""
        self._wrong.append(_Problem(place, text))
        return UNSET

    def _stand_in(self, cls: type[Struct]) -> dict[str, Any]:
        config = cls.__struct_config__
        return ({config.tag_field: config.tag} if config.tag_field else {}) | {
            one.name: self._stand_ins[one.name] for one in msgspec.structs.fields(cls) if one.required
        }

    def _table(self, raw: object, cls: type[Struct], place: Place) -> dict[str, Any]:
        """What of a table is right, with stand-ins for what must be there."""
        clean = self._stand_in(cls)
        if not isinstance(raw, dict):
            self._fail(place, f"{shown(raw)} will not do; a table")
            return clean
        known = {one.name: one for one in msgspec.structs.fields(cls)}
        for key, value in raw.items():
            if key in known:
                got = self._value(value, known[key].type, (*place, key))
                if got is not UNSET:
                    clean[key] = got
            elif key != cls.__struct_config__.tag_field:
                near = difflib.get_close_matches(key, known, 1)
                self._fail(
                    (*place, key),
                    f"no such key; did you mean {near[0]}" if near else f"no such key; {one_of(key, known)}",
                )
        for name, one in known.items():
            if one.required and name not in raw:
                self._fail((*place, name), f"is missing; {_right(one.type)}")
        return clean

    def _value(self, value: object, kind: Any, place: Place) -> Any:
        """A value as the schema has it, or UNSET."""
        if isinstance(kind, type) and issubclass(kind, Struct):
            return self._table(value, kind, place)
        origin, parts = get_origin(kind), get_args(kind)
        if parts and all(isinstance(one, type) and issubclass(one, Struct) for one in parts):
            return self._tagged(value, parts, place)
        if origin is dict:
            if not isinstance(value, dict):
                return self._fail(place, f"{shown(value)} will not do; {_right(kind)}")
            read = {key: self._value(one, parts[1], (*place, key)) for key, one in value.items()}
            return {key: one for key, one in read.items() if one is not UNSET}
        if origin is tuple and parts[1] is ...:
            if not isinstance(value, list):
                return self._fail(place, f"{shown(value)} will not do; {_right(kind)}")
            items = [self._value(one, parts[0], (*place, number)) for number, one in enumerate(value)]
            return UNSET if any(one is UNSET for one in items) else items
        return self._plain(value, kind, place)

    def _tagged(self, value: object, among: Sequence[type[Struct]], place: Place) -> dict[str, Any]:
        """A table whose tag says what it is."""
        by_tag = {str(one.__struct_config__.tag): one for one in among}
        tag = str(among[0].__struct_config__.tag_field)
        if isinstance(value, dict) and isinstance(value.get(tag), str) and value[tag] in by_tag:
            return self._table(value, by_tag[value[tag]], place)
        if not isinstance(value, dict):
            self._fail(place, f"{shown(value)} will not do; a table")
        elif tag not in value:
            self._fail((*place, tag), f"is missing; {one_of('', by_tag)}")
        else:
            self._fail((*place, tag), f"no {tag} {shown(value[tag])}; {one_of(value[tag], by_tag)}")
        return self._stand_in(among[0])

    def _plain(self, value: Any, kind: Any, place: Place) -> Any:
        bare, rule = _split(kind)
        try:
            got = msgspec.convert(value, bare)
        except (msgspec.ValidationError, OverflowError):
            return self._fail(place, f"{shown(value)} will not do; {_right(kind, value)}")
        numbers = got if isinstance(got, tuple) else (got,)
        for one in numbers:
            if (isinstance(one, float) and not math.isfinite(one)) or (
                isinstance(rule, Bounds) and not rule.holds(one)
            ):
                return self._fail(place, f"{shown(value)} is out of bounds; {_right(kind)}")
        if bare == Figure and numbers[0] > numbers[-1]:
            return self._fail(place, f"{shown(value)} falls; [low, high] such as {shown(value[::-1])}")
        if isinstance(rule, Spelt) and not re.fullmatch(rule.pattern, got):
            return self._fail(place, f"{shown(value)} will not do; {_right(kind)}")
        return got


def shown(value: object) -> str:
    """A value as errors show it, cut where it is long."""
    try:
        text = json.dumps(value, ensure_ascii=False, default=str)
    except ValueError:  # a number of thousands of digits in it, which Python does not write
        text = "what is there"
    return text if len(text) <= SHOWN else text[: SHOWN - 3] + "..."


def one_of(word: object, known: Iterable[str]) -> str:
    """What would have been right in place of `word`, nearest first."""
    options = list(known)
    near = difflib.get_close_matches(word, options, 1) if isinstance(word, str) else []
    return "one of " + ", ".join(sorted(options, key=lambda one: one not in near))


def _read(text: str) -> dict[str, Any]:
    try:
        return tomllib.loads(text)
    except RecursionError as problem:
        raise TablesError("file: nested too deep; tables as the schema has them") from problem
    except tomllib.TOMLDecodeError as problem:
        told = str(problem)
        at = re.search(r" \(at line (\d+), column (\d+)\)$", told)
        line, column = (at[1], at[2]) if at else (text.count("\n") + 1, len(text) - text.rfind("\n"))
        what = told.split(" (at ")[0]
        raise TablesError(
            f"line {line}, column {column}: {what[:1].lower()}{what[1:]}; TOML, each KEY = VALUE on a line"
        ) from problem
    except ValueError as problem:  # thousands of digits, which Python makes no number of
        raise TablesError("file: a number is too long; numbers as the schema has them") from problem


def _lay(raw: dict[str, Any], given: str, default: Any) -> Place:
    """Lay one `KEY=VALUE` over what was read; its place."""
    key, equals, value = given.partition("=")
    parts = re.sub(r"\[(\d+)\]", r".\1", key.strip()).split(".")
    if not equals or not all(parts):
        raise TablesError(f"set {given}: not KEY=VALUE; such as length_s=30 or faults.0.size=4")
    try:
        read = tomllib.loads(f"x = {value}")
        new = read["x"] if len(read) == 1 else value
    except (ValueError, RecursionError):
        new = value
    here: Any = raw
    place: Place = ()
    for part in parts[:-1]:
        if isinstance(here, dict) and part not in here:
            # A list that the text leaves out is laid over as it is by default.
            known = default.get(part) if isinstance(default, dict) else None
            here[part] = [*known] if isinstance(known, list | tuple) else {}
        default = default.get(part) if isinstance(default, dict) else None
        at = _at(here, part, place, given)
        here, place = here[at], (*place, at)
    at = _at(here, parts[-1], place, given)
    here[at] = new
    return (*place, at)


def _at(here: Any, part: str, place: Place, given: str) -> str | int:
    """A key of a table, or a position in a list, which grows by one where it is the next."""
    if isinstance(here, dict):
        return part
    if not isinstance(here, list):
        raise TablesError(f"set {given}: {_written(place)} is no table; a value for it as a whole")
    if not part.isdecimal() or len(part) > 9 or int(part) > len(here):
        raise TablesError(
            f"set {given}: {_written(place)} has no {part}; a position from 0 to {len(here)}, "
            "the last one to add one"
        )
    if int(part) == len(here):
        here.append({})
    return int(part)


class _Order:
    """The order in which a text and the sets over it name things, and what errors call them."""

    def __init__(self, text: str, given: Sequence[tuple[Place, str]], raw: dict[str, Any]) -> None:
        self._given = given[::-1]
        self._lines: dict[Place, int] = {}  # of the tables' headers
        self._seen: dict[Place, int] = {}
        counts: dict[Place, int] = {}
        for number, line in enumerate(text.splitlines()):
            if header := HEADER.fullmatch(line):
                place: Place = ()
                for part in header[2].split("."):
                    if place in counts:
                        place = (*place, counts[place] - 1)
                    place = (*place, part.strip())
                if header[1] == "[[":
                    counts[place] = counts.get(place, 0) + 1
                    place = (*place, counts[place] - 1)
                self._lines.setdefault(place, number + 1)
        self._number(raw, ())

    def _number(self, value: Any, place: Place) -> None:
        self._seen[place] = len(self._seen)
        if isinstance(value, list):
            value = dict(enumerate(value))
        if isinstance(value, dict):
            for key, one in value.items():
                self._number(one, (*place, key))

    def of(self, place: Place) -> tuple[float, int]:
        """Sorts places as the text has them: what is left out where its table begins, sets last."""
        for back, (where, _) in enumerate(self._given):
            if place[: len(where)] == where:
                return math.inf, -back
        up = [place[:length] for length in range(len(place), -1, -1)]
        line = next((self._lines[one] for one in up if one in self._lines), 0)
        return line, next(self._seen[one] for one in up if one in self._seen)

    def called(self, place: Place) -> str:
        """A place as errors write it, with the set that named it or something in it, if any."""
        told = next(
            (text for where, text in self._given if all(a == b for a, b in zip(place, where, strict=False))),
            "",
        )
        return _written(place) + (f" (set {told[: 2 * SHOWN]})" if told else "")


def _written(place: Place) -> str:
    text = ""
    for one in place:
        bare = isinstance(one, int) or re.fullmatch(r"[A-Za-z0-9_-]+", one)
        text += f"[{one}]" if isinstance(one, int) else f".{one if bare else shown(one)}"
    return text.removeprefix(".")


def _split(kind: Any) -> tuple[Any, Bounds | Spelt | None]:
    """A type and what holds for it beside."""
    return (kind.__origin__, kind.__metadata__[0]) if get_origin(kind) is Annotated else (kind, None)


def _right(kind: Any, wrong: object = None) -> str:
    """What would be right, for people."""
    kind, rule = _split(kind)
    if isinstance(rule, Spelt):
        return rule.right
    if kind == Figure:
        return f"a number{f' {rule}' * bool(rule)}, or a range [low, high] of such"
    if rule:
        return f"{_right(kind)} {rule}"
    if get_origin(kind) is Literal:
        return one_of(wrong, get_args(kind))
    if get_origin(kind) is tuple:
        one, other = get_args(kind)
        return f"a list, each {_right(one)}" if other is ... else "a pair of numbers"
    names: dict[Any, str] = {
        float: "a number",
        int: "a whole number",
        str: "a text in quotes",
        bool: "true or false",
    }
    return names.get(kind, "a table")
