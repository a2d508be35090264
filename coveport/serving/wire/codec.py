"""Encodes the dataclasses of one protocol, or of one kind of file, and decodes them again.

A codec numbers its classes in the order in which it was given them: a peer must have been given the same.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any, Generic, TypeVar

import construct as c

from coveport.serving.wire.dataclass_formats import DataclassFormat
from coveport.serving.wire.errors import LocalProtocolError, MalformedMessageError

T = TypeVar("T")


class MessageCodec(Generic[T]):
    """Bytes of any one of the given dataclasses: its number, one byte, then its fields."""

    def __init__(self, kinds: Sequence[type]) -> None:
        self._kinds = tuple(kinds)
        self._numbers = {kind: number for number, kind in enumerate(self._kinds)}
        self._formats: dict[int, DataclassFormat] = {}  # made when first used, which keeps the start short

    def _format(self, number: int) -> Any:
        known = self._formats.get(number)
        if known is None:
            known = self._formats[number] = DataclassFormat(self._kinds[number])
        return known

    def encode(self, message: T) -> bytes:
        """Return a message as bytes; raise LocalProtocolError where its class is none of the codec's."""
        number = self._numbers.get(type(message))
        if number is None:
            raise LocalProtocolError(f"the codec has no message of the class {type(message).__qualname__}")
        return bytes([number]) + bytes(self._format(number).build(message))

    def decode(self, data: bytes) -> T:
        """Return the message that the bytes hold; raise MalformedMessageError where they hold none."""
        if not data or data[0] >= len(self._kinds):
            raise MalformedMessageError("unknown kind of message")
        try:
            message: T = self._format(data[0]).parse(data[1:])
        except (c.ConstructError, ValueError) as error:
            raise MalformedMessageError(str(error)) from error
        return message
