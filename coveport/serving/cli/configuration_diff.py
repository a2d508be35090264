"""Compares two configurations, item by item. Pure."""

from __future__ import annotations

import json
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, Final

from coveport.serving.wire.names import Config

_ABSENT: Final = object()


@dataclass(frozen=True, slots=True)
class Difference:
    """One value that differs; `before` or `after` is `_ABSENT` where the configuration doesn't have it."""

    path: str  # such as `Routes.shop.DeadlineMs`; named items of lists go by their name
    before: Any
    after: Any

    def __str__(self) -> str:
        if self.before is _ABSENT:
            return f"+ {self.path}: {_compact_json(self.after)}"
        if self.after is _ABSENT:
            return f"- {self.path}"
        return f"~ {self.path}: {_compact_json(self.before)} -> {_compact_json(self.after)}"

    def as_json(self) -> dict[str, Any]:
        """Return the form for scripts, without the side that is absent."""
        sides = {"before": self.before, "after": self.after}
        return {"place": self.path} | {name: value for name, value in sides.items() if value is not _ABSENT}


def find_differences(before: dict[str, Any], after: dict[str, Any]) -> list[Difference]:
    """Return all differences, in the order of `before`, then of what only `after` has."""
    return list(_compare("", before, after))


def _compare(path: str, before: Any, after: Any) -> Iterator[Difference]:
    before_items = _items_by_key(before)
    after_items = _items_by_key(after)
    if before_items is None or after_items is None:
        if before != after:
            yield Difference(path, before, after)
        return
    for key in before_items | after_items:
        inner_path = f"{path}.{key}" if path else key
        yield from _compare(inner_path, before_items.get(key, _ABSENT), after_items.get(key, _ABSENT))


def _items_by_key(value: Any) -> dict[str, Any] | None:
    """Return the fields of an object, or the items of a list by their names; None for anything else."""
    if isinstance(value, dict):
        return value
    if not isinstance(value, list) or not value:
        return None
    names = [item.get(Config.NAME) if isinstance(item, dict) else None for item in value]
    texts = [name for name in names if isinstance(name, str)]
    are_all_named = len(set(texts)) == len(value)
    return dict(zip(texts, value, strict=True)) if are_all_named else None


def _compact_json(value: Any) -> str:
    return json.dumps(value, ensure_ascii=False, separators=(",", ":"))
