"""Turns frozen dataclasses into bytes and back: a `construct` format is derived from each class' annotations.

Fields may be int (any size), float, bool, str, bytes, enumerations of str, `X | None`, tuples of any one
type, and nested dataclasses. A `MessageCodec` numbers the classes that it was given in their order; peers
must have been given the same ones.
"""

from __future__ import annotations

import dataclasses
import enum
import functools
import types
import typing
from collections.abc import Sequence
from typing import Any, Generic, TypeVar

import construct as c

from coveport.serving.wire.errors import MalformedMessageError

T = TypeVar("T")

_REMEMBERED: set[type] = set()

_STRING = c.PascalString(c.VarInt, "utf8")
_BYTES = c.Prefixed(c.VarInt, c.GreedyBytes)
_SCALARS: dict[type, Any] = {int: c.ZigZag, float: c.Float64b, bool: c.Flag, str: _STRING, bytes: _BYTES}


def remembered(kind: type[T]) -> type[T]:
    """Keep the bytes of a dataclass' values, as parts of other messages; for what is sent often.

    Equal values must have equal bytes.
    """
    _REMEMBERED.add(kind)
    return kind


class _Dataclass(c.Construct):  # type: ignore[misc]  # construct has no types
    """One dataclass: its fields one after the other."""

    def __init__(self, kind: type) -> None:
        super().__init__()
        self.kind = kind
        hints = typing.get_type_hints(kind)
        self.fields = [(field.name, _format_of(hints[field.name])) for field in dataclasses.fields(kind)]

    def _parse(self, stream: Any, context: Any, path: str) -> Any:
        return self.kind(*[part._parsereport(stream, context, path) for _, part in self.fields])

    def _build(self, value: Any, stream: Any, context: Any, path: str) -> Any:
        for name, part in self.fields:
            part._build(getattr(value, name), stream, context, path)
        return value


class _Remembered(c.Construct):  # type: ignore[misc]
    """A dataclass whose values are sent again and again: the bytes of those sent last are kept."""

    KEPT = 4096

    def __init__(self, kind: type) -> None:
        super().__init__()
        self.format = _Dataclass(kind)
        self.encode = functools.lru_cache(self.KEPT)(self.format.build)

    def _parse(self, stream: Any, context: Any, path: str) -> Any:
        return self.format._parsereport(stream, context, path)

    def _build(self, value: Any, stream: Any, context: Any, path: str) -> Any:
        stream.write(self.encode(value))
        return value


class _Tuple(c.Construct):  # type: ignore[misc]
    """A tuple of one type: how many, then each."""

    def __init__(self, item: Any) -> None:
        super().__init__()
        self.item = item

    def _parse(self, stream: Any, context: Any, path: str) -> Any:
        count = c.VarInt._parse(stream, context, path)
        return tuple([self.item._parsereport(stream, context, path) for _ in range(count)])

    def _build(self, value: Any, stream: Any, context: Any, path: str) -> Any:
        c.VarInt._build(len(value), stream, context, path)
        for item in value:
            self.item._build(item, stream, context, path)
        return value


class _Optional(c.Construct):  # type: ignore[misc]
    """Something or None: a flag in front."""

    def __init__(self, item: Any) -> None:
        super().__init__()
        self.item = item

    def _parse(self, stream: Any, context: Any, path: str) -> Any:
        if not c.Flag._parse(stream, context, path):
            return None
        return self.item._parsereport(stream, context, path)

    def _build(self, value: Any, stream: Any, context: Any, path: str) -> Any:
        c.Flag._build(value is not None, stream, context, path)
        if value is not None:
            self.item._build(value, stream, context, path)
        return value


class _Enumeration(c.Construct):  # type: ignore[misc]
    """A member of an enumeration of strings, by its value."""

    def __init__(self, kind: type[enum.Enum]) -> None:
        super().__init__()
        self.kind = kind

    def _parse(self, stream: Any, context: Any, path: str) -> Any:
        return self.kind(_STRING._parsereport(stream, context, path))

    def _build(self, value: Any, stream: Any, context: Any, path: str) -> Any:
        _STRING._build(value.value, stream, context, path)
        return value


def _format_of(hint: Any) -> Any:
    """The format of one annotation; TypeError where there is none."""
    if hint in _SCALARS:
        return _SCALARS[hint]
    origin, arguments = typing.get_origin(hint), typing.get_args(hint)
    if origin in (types.UnionType, typing.Union) and len(arguments) == 2 and type(None) in arguments:
        return _Optional(_format_of(next(one for one in arguments if one is not type(None))))
    if origin is tuple and len(arguments) == 2 and arguments[1] is Ellipsis:
        return _Tuple(_format_of(arguments[0]))
    if isinstance(hint, type) and issubclass(hint, enum.Enum):
        return _Enumeration(hint)
    if isinstance(hint, type) and dataclasses.is_dataclass(hint):
        return _Remembered(hint) if hint in _REMEMBERED else _Dataclass(hint)
    raise TypeError(f"no format for {hint!r}")


class MessageCodec(Generic[T]):
    """Bytes of any one of the given classes, told apart by a number in front."""

    def __init__(self, kinds: Sequence[type]) -> None:
        self._kinds = tuple(kinds)
        self._numbers = {kind: number for number, kind in enumerate(self._kinds)}
        self._formats: dict[int, Any] = {}  # made when first used: a start must not pay for all

    def _format(self, number: int) -> Any:
        made = self._formats.get(number)
        if made is None:
            made = self._formats[number] = _Dataclass(self._kinds[number])
        return made

    def encode(self, message: T) -> bytes:
        """A message as bytes."""
        number = self._numbers[type(message)]
        return bytes([number]) + bytes(self._format(number).build(message))

    def decode(self, data: bytes) -> T:
        """The message that the bytes hold; MalformedMessageError where they hold none."""
        if not data or data[0] >= len(self._kinds):
            raise MalformedMessageError("unknown kind of message")
        try:
            message: T = self._format(data[0]).parse(data[1:])
        except (c.ConstructError, ValueError) as problem:
            raise MalformedMessageError(str(problem)) from problem
        return message
