"""Compares two configurations, item by item. Pure."""

from __future__ import annotations

import json
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, Final

from coveport.serving.wire.configuration import TENANT
from coveport.serving.wire.names import Config

_ABSENT: Final = object()
_HIDDEN: Final = "***"  # replaces an API key in outputs


@dataclass(frozen=True, slots=True)
class Difference:
    """One value that differs; `before` or `after` is `_ABSENT` if that configuration lacks the value."""

    path: str  # such as `Routes.shop.DeadlineMs`; named list items are identified by name
    before: Any
    after: Any

    def __str__(self) -> str:
        if self.before is _ABSENT:
            return f"+ {self.path}: {_compact_json(self.after)}"
        if self.after is _ABSENT:
            return f"- {self.path}"
        return f"~ {self.path}: {_compact_json(self.before)} -> {_compact_json(self.after)}"

    def as_json(self) -> dict[str, Any]:
        """Return the JSON form, without an absent side."""
        sides = {"before": self.before, "after": self.after}
        present_sides = {name: _hide_keys(value) for name, value in sides.items() if value is not _ABSENT}
        return {"place": self.path} | present_sides


def find_differences(before: dict[str, Any], after: dict[str, Any]) -> list[Difference]:
    """Return all differences in the order of `before`, then those of values that only `after` has."""
    return list(_compare("", before, after))


def _compare(path: str, before: Any, after: Any) -> Iterator[Difference]:
    before_items = _items_by_key(before)
    after_items = _items_by_key(after)
    if before_items is None or after_items is None:
        if before != after:
            yield Difference(path, _hide_keys_at(path, before), _hide_keys_at(path, after))
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


def _hide_keys(value: Any) -> Any:
    """Return a part of a configuration with its API keys hidden, for output."""
    if isinstance(value, list):
        return [_hide_keys(item) for item in value]
    if not isinstance(value, dict):
        return value
    return {
        name: [_HIDDEN] * len(inner) if _is_key_list(name, inner) else _hide_keys(inner)
        for name, inner in value.items()
    }


def _hide_keys_at(path: str, value: Any) -> Any:
    """Return the value at a path, with API keys hidden if the path ends at a list of API keys."""
    name = path.rpartition(".")[2]
    return _hide_keys({name: value})[name] if _is_key_list(name, value) else value


def _is_key_list(name: str, value: Any) -> bool:
    return name == TENANT["api_keys"] and isinstance(value, list)


def _compact_json(value: Any) -> str:
    return json.dumps(_hide_keys(value), ensure_ascii=False, separators=(",", ":"))
