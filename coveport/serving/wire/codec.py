"""Encodes the dataclasses of one protocol, or of one kind of file, and decodes them.

A codec numbers its classes in their given order, which must be the same for the writer and the reader.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any, Generic, TypeVar

import construct as c

from coveport.serving.wire.dataclass_formats import DataclassFormat
from coveport.serving.wire.errors import LocalProtocolError, MalformedMessageError

T = TypeVar("T")


class MessageCodec(Generic[T]):
    """Encodes each message as the number of its class, one byte, followed by its fields."""

    def __init__(self, kinds: Sequence[type]) -> None:
        self._kinds = tuple(kinds)
        self._numbers = {kind: number for number, kind in enumerate(self._kinds)}
        self._formats: dict[int, DataclassFormat] = {}  # created on first use, to keep the start short

    def _format(self, number: int) -> Any:
        known_format = self._formats.get(number)
        if known_format is None:
            known_format = self._formats[number] = DataclassFormat(self._kinds[number])
        return known_format

    def encode(self, message: T) -> bytes:
        """Return a message as bytes; raise LocalProtocolError if the codec lacks the message's class."""
        number = self._numbers.get(type(message))
        if number is None:
            raise LocalProtocolError(f"the codec does not have the class {type(message).__qualname__}")
        return bytes([number]) + bytes(self._format(number).build(message))

    def decode(self, data: bytes) -> T:
        """Return the message in the bytes; raise MalformedMessageError if they are no valid message."""
        if not data or data[0] >= len(self._kinds):
            raise MalformedMessageError("unknown kind of message")
        try:
            message: T = self._format(data[0]).parse(data[1:])
        except (c.ConstructError, ValueError) as error:
            raise MalformedMessageError(str(error)) from error
        return message
