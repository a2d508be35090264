"""`construct` formats of dataclasses, derived from the annotations of their fields.

Fields may be int (any size), float, bool, str, bytes, enumerations of str, `X | None`, tuples of any one
type, and nested dataclasses. They follow each other in their order, without names: renaming one leaves the
bytes as they are.
"""

from __future__ import annotations

import dataclasses
import enum
import functools
import types
import typing
from typing import Any, Final, TypeVar

import construct as c

from coveport.serving.wire.errors import LocalProtocolError

T = TypeVar("T")

MAX_CACHED_ENCODINGS: Final = 4096  # of one class; more than the nodes and proxies of a large deployment

_cached_kinds: set[type] = set()

_STRING = c.PascalString(c.VarInt, "utf8")
_BYTES = c.Prefixed(c.VarInt, c.GreedyBytes)
_SCALARS: Final[dict[type, Any]] = {
    int: c.ZigZag,
    float: c.Float64b,
    bool: c.Flag,
    str: _STRING,
    bytes: _BYTES,
}


def cache_encodings(kind: type[T]) -> type[T]:
    """Keep the bytes of a dataclass' values where they are parts of messages; for values that are sent often.

    Equal values must have equal bytes.
    """
    _cached_kinds.add(kind)
    return kind


class DataclassFormat(c.Construct):  # type: ignore[misc]  # construct has no types
    """A dataclass: its fields one after the other."""

    def __init__(self, kind: type) -> None:
        super().__init__()
        self._kind = kind
        hints = typing.get_type_hints(kind)
        self._fields = [(field.name, _format_of(hints[field.name])) for field in dataclasses.fields(kind)]

    def _parse(self, stream: Any, context: Any, path: str) -> Any:
        return self._kind(*[item._parsereport(stream, context, path) for _, item in self._fields])

    def _build(self, value: Any, stream: Any, context: Any, path: str) -> Any:
        for name, item in self._fields:
            item._build(getattr(value, name), stream, context, path)
        return value


class _CachedDataclassFormat(c.Construct):  # type: ignore[misc]
    """A dataclass whose values are sent again and again: the bytes of those sent last are kept."""

    def __init__(self, kind: type) -> None:
        super().__init__()
        self._format = DataclassFormat(kind)
        self._encode = functools.lru_cache(MAX_CACHED_ENCODINGS)(self._format.build)

    def _parse(self, stream: Any, context: Any, path: str) -> Any:
        return self._format._parsereport(stream, context, path)

    def _build(self, value: Any, stream: Any, context: Any, path: str) -> Any:
        stream.write(self._encode(value))
        return value


class _TupleFormat(c.Construct):  # type: ignore[misc]
    """A tuple of one type: the number of items, then each."""

    def __init__(self, item: Any) -> None:
        super().__init__()
        self._item = item

    def _parse(self, stream: Any, context: Any, path: str) -> Any:
        count = c.VarInt._parse(stream, context, path)
        return tuple([self._item._parsereport(stream, context, path) for _ in range(count)])

    def _build(self, value: Any, stream: Any, context: Any, path: str) -> Any:
        c.VarInt._build(len(value), stream, context, path)
        for item in value:
            self._item._build(item, stream, context, path)
        return value


class _OptionalFormat(c.Construct):  # type: ignore[misc]
    """A value or None: a flag, then the value if there is one."""

    def __init__(self, item: Any) -> None:
        super().__init__()
        self._item = item

    def _parse(self, stream: Any, context: Any, path: str) -> Any:
        if not c.Flag._parse(stream, context, path):
            return None
        return self._item._parsereport(stream, context, path)

    def _build(self, value: Any, stream: Any, context: Any, path: str) -> Any:
        c.Flag._build(value is not None, stream, context, path)
        if value is not None:
            self._item._build(value, stream, context, path)
        return value


class _EnumerationFormat(c.Construct):  # type: ignore[misc]
    """A member of an enumeration of strings, by its value."""

    def __init__(self, kind: type[enum.Enum]) -> None:
        super().__init__()
        self._kind = kind

    def _parse(self, stream: Any, context: Any, path: str) -> Any:
        return self._kind(_STRING._parsereport(stream, context, path))

    def _build(self, value: Any, stream: Any, context: Any, path: str) -> Any:
        _STRING._build(value.value, stream, context, path)
        return value


def _format_of(hint: Any) -> Any:
    """Return the format of an annotation; raise LocalProtocolError where there is none."""
    if hint in _SCALARS:
        return _SCALARS[hint]
    origin = typing.get_origin(hint)
    arguments = typing.get_args(hint)
    if origin in (types.UnionType, typing.Union) and len(arguments) == 2 and type(None) in arguments:
        return _OptionalFormat(_format_of(next(item for item in arguments if item is not type(None))))
    if origin is tuple and len(arguments) == 2 and arguments[1] is Ellipsis:
        return _TupleFormat(_format_of(arguments[0]))
    if isinstance(hint, type) and issubclass(hint, enum.Enum):
        return _EnumerationFormat(hint)
    if isinstance(hint, type) and dataclasses.is_dataclass(hint):
        return _CachedDataclassFormat(hint) if hint in _cached_kinds else DataclassFormat(hint)
    raise LocalProtocolError(f"a field is annotated with {hint!r}, which has no format")
