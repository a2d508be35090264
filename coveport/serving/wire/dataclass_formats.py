"""`construct` formats of dataclasses, derived from the annotations of their fields.

The supported types are int (any size), float, bool, str, bytes, enumerations of str, `X | None`, tuples of
one type, and nested dataclasses. Fields are encoded in their order, without names, so renaming a field leaves
the bytes unchanged. Fields that a later version added (`versions.added_in`) may be missing at the end of a
whole message, but not within a nested value, whose end isn't marked.
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
from coveport.serving.wire.versions import is_added

T = TypeVar("T")

MAX_CACHED_ENCODINGS: Final = 4096  # per class; more than the nodes and proxies of a large deployment

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
    """Cache the encodings of a dataclass's values within messages; for classes whose values are sent often.

    Equal values must have equal encodings.
    """
    _cached_kinds.add(kind)
    return kind


class DataclassFormat(c.Construct):  # type: ignore[misc]  # construct has no types
    """The format of a dataclass: its fields one after the other."""

    def __init__(self, kind: type) -> None:
        super().__init__()
        self._kind = kind
        hints = typing.get_type_hints(kind)
        declared = dataclasses.fields(kind)
        self._fields = [(field.name, _format_of(hints[field.name])) for field in declared]
        self._original_count = sum(not is_added(field) for field in declared)
        if any(is_added(field) for field in declared[: self._original_count]):
            raise LocalProtocolError(f"{kind.__qualname__}: added fields must come after all others")

    def _parse(self, stream: Any, context: Any, path: str) -> Any:
        original = self._fields[: self._original_count]
        values = [field_format._parsereport(stream, context, path) for _, field_format in original]
        for _, field_format in self._fields[self._original_count :]:
            if _is_at_end(stream):
                break  # an older version wrote the message: the remaining fields get their defaults
            values.append(field_format._parsereport(stream, context, path))
        return self._kind(*values)

    def _build(self, value: Any, stream: Any, context: Any, path: str) -> Any:
        for name, field_format in self._fields:
            field_format._build(getattr(value, name), stream, context, path)
        return value


class _CachedDataclassFormat(c.Construct):  # type: ignore[misc]
    """The format of a dataclass whose values are sent repeatedly: recent encodings are cached."""

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
    """The format of a tuple of one type: the number of items, then each item."""

    def __init__(self, item_format: Any) -> None:
        super().__init__()
        self._item_format = item_format

    def _parse(self, stream: Any, context: Any, path: str) -> Any:
        count = c.VarInt._parse(stream, context, path)
        return tuple([self._item_format._parsereport(stream, context, path) for _ in range(count)])

    def _build(self, value: Any, stream: Any, context: Any, path: str) -> Any:
        c.VarInt._build(len(value), stream, context, path)
        for item in value:
            self._item_format._build(item, stream, context, path)
        return value


class _OptionalFormat(c.Construct):  # type: ignore[misc]
    """The format of a value or None: a flag, then the value if there is one."""

    def __init__(self, item_format: Any) -> None:
        super().__init__()
        self._item_format = item_format

    def _parse(self, stream: Any, context: Any, path: str) -> Any:
        if not c.Flag._parse(stream, context, path):
            return None
        return self._item_format._parsereport(stream, context, path)

    def _build(self, value: Any, stream: Any, context: Any, path: str) -> Any:
        c.Flag._build(value is not None, stream, context, path)
        if value is not None:
            self._item_format._build(value, stream, context, path)
        return value


class _EnumerationFormat(c.Construct):  # type: ignore[misc]
    """The format of a member of an enumeration of strings: its value."""

    def __init__(self, kind: type[enum.Enum]) -> None:
        super().__init__()
        self._kind = kind

    def _parse(self, stream: Any, context: Any, path: str) -> Any:
        return self._kind(_STRING._parsereport(stream, context, path))

    def _build(self, value: Any, stream: Any, context: Any, path: str) -> Any:
        _STRING._build(value.value, stream, context, path)
        return value


def _is_at_end(stream: Any) -> bool:
    """Return whether a seekable stream has no further byte, without changing its position."""
    position = stream.tell()
    has_more = bool(stream.read(1))
    stream.seek(position)
    return not has_more


def _nested_format(kind: type) -> Any:
    """Return the format of a dataclass that is a field of another dataclass."""
    if any(is_added(field) for field in dataclasses.fields(kind)):
        raise LocalProtocolError(f"{kind.__qualname__} is nested, so it can't have added fields")
    return _CachedDataclassFormat(kind) if kind in _cached_kinds else DataclassFormat(kind)


def _format_of(hint: Any) -> Any:
    """Return the format of a type annotation; raise LocalProtocolError if it isn't supported."""
    if hint in _SCALARS:
        return _SCALARS[hint]
    origin = typing.get_origin(hint)
    arguments = typing.get_args(hint)
    if origin in (types.UnionType, typing.Union) and len(arguments) == 2 and type(None) in arguments:
        return _OptionalFormat(_format_of(next(option for option in arguments if option is not type(None))))
    if origin is tuple and len(arguments) == 2 and arguments[1] is Ellipsis:
        return _TupleFormat(_format_of(arguments[0]))
    if isinstance(hint, type) and issubclass(hint, enum.Enum):
        return _EnumerationFormat(hint)
    if isinstance(hint, type) and dataclasses.is_dataclass(hint):
        return _nested_format(hint)
    raise LocalProtocolError(f"the field type {hint!r} is not supported")
