"""What two configurations differ in, item by item. Pure."""

from __future__ import annotations

import json
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, Final

from coveport.serving.wire.names import Config

_ABSENT: Final = object()


@dataclass(frozen=True, slots=True)
class Difference:
    """One place where they differ: `before` or `after` is `_ABSENT` where it isn't there."""

    place: str
    before: Any
    after: Any

    def __str__(self) -> str:
        if self.before is _ABSENT:
            return f"+ {self.place}: {_short(self.after)}"
        if self.after is _ABSENT:
            return f"- {self.place}"
        return f"~ {self.place}: {_short(self.before)} -> {_short(self.after)}"

    def as_json(self) -> dict[str, Any]:
        """For scripts; `before` and `after` are left out where they aren't there."""
        sides = {"before": self.before, "after": self.after}
        return {"place": self.place} | {key: value for key, value in sides.items() if value is not _ABSENT}


def find_differences(before: dict[str, Any], after: dict[str, Any]) -> list[Difference]:
    """All differences, in the order of the places: items of lists are told apart by their names."""
    return list(_compare("", before, after))


def _compare(place: str, before: Any, after: Any) -> Iterator[Difference]:
    before_parts, after_parts = _parts(before), _parts(after)
    if before_parts is None or after_parts is None:
        if before != after:
            yield Difference(place, before, after)
        return
    for key in [*before_parts, *(key for key in after_parts if key not in before_parts)]:
        inner = f"{place}.{key}" if place else key
        yield from _compare(inner, before_parts.get(key, _ABSENT), after_parts.get(key, _ABSENT))


def _parts(value: Any) -> dict[str, Any] | None:
    """The fields of an object or the named items of a list; None for anything else."""
    if isinstance(value, dict):
        return value
    if not isinstance(value, list) or not value:
        return None
    names = [item.get(Config.NAME) if isinstance(item, dict) else None for item in value]
    texts = [name for name in names if isinstance(name, str)]
    is_named = len(set(texts)) == len(value)
    return dict(zip(texts, value, strict=True)) if is_named else None


def _short(value: Any) -> str:
    return json.dumps(value, ensure_ascii=False, separators=(",", ":"))
